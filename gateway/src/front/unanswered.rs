//! Counts and logs each client connection that ended with bytes of a request but without a complete response,
//! by the reason of the end.
//!
//! A gateway runs on one thread, so the counters are thread-local.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use glenrail_request_lifecycle::client::Stage;
use serde_json::{json, Value};

use crate::log;
use crate::log::RateLimit;

/// Why a client connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The time limit of its stage had expired.
    TimedOut,
    /// Its entry in the connection table was needed for another client.
    Evicted,
    /// It was over the cap, and the maximum number of connections was already being rejected.
    OverCap,
    /// The connection was idle while the gateway was shutting down or out of service.
    Shutdown,
    /// The client closed or reset it, or stopped reading its response.
    ClientEnded,
    /// The previous response was the last one on the connection, for example because of `Connection: close`,
    /// so no further request was served.
    LastResponse,
    /// Its response was aborted before the end.
    ResponseAborted,
    /// The client violated the protocol.
    ProtocolError,
    /// Its handover to the successor failed.
    HandoverFailed,
    /// The process ended before a decision to close the connection.
    ProcessEnded,
}

impl EndReason {
    /// All reasons, in the order of the operators' counters.
    pub const ALL: [EndReason; 10] = [
        EndReason::TimedOut,
        EndReason::Evicted,
        EndReason::OverCap,
        EndReason::Shutdown,
        EndReason::ClientEnded,
        EndReason::LastResponse,
        EndReason::ResponseAborted,
        EndReason::ProtocolError,
        EndReason::HandoverFailed,
        EndReason::ProcessEnded,
    ];

    /// Returns the name of the reason in the log and in the operators' counters.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::TimedOut => "timed_out",
            EndReason::Evicted => "evicted",
            EndReason::OverCap => "over_cap",
            EndReason::Shutdown => "shutdown",
            EndReason::ClientEnded => "client_ended",
            EndReason::LastResponse => "last_response",
            EndReason::ResponseAborted => "response_aborted",
            EndReason::ProtocolError => "protocol_error",
            EndReason::HandoverFailed => "handover_failed",
            EndReason::ProcessEnded => "process_ended",
        }
    }
}

/// How much of a request was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// No byte, so the client can safely send it again.
    Unread,
    /// Some of its bytes.
    PartlyRead,
    /// The complete request.
    Read,
}

/// Names of the variants of [`RequestProgress`] in the operators' counters, in the same order.
const PROGRESS_NAMES: [&str; 3] = ["unread", "partly_read", "read"];

/// End of a connection that had received bytes of a request but sent no complete response.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredEnd {
    /// Why the connection ended.
    pub reason: EndReason,
    /// How much of the request had been read.
    pub progress: RequestProgress,
    /// Address of the client; `None` if unknown.
    pub client: Option<SocketAddr>,
    /// Number of bytes read that belong to no request with a complete response.
    pub bytes_read: u64,
    /// Number of bytes that were not read while the connection was served.
    pub bytes_unread: usize,
    /// Stage of the connection when its end was decided.
    pub stage: Stage,
    /// Time that the connection had spent in the stage by then.
    pub age: Duration,
}

type Counts = [[u64; PROGRESS_NAMES.len()]; EndReason::ALL.len()];

thread_local! {
    static COUNTS: RefCell<Counts> = RefCell::default();
    /// One limit for each reason, so that many lines of one reason do not suppress those of others.
    static LIMITS: [RateLimit; EndReason::ALL.len()] =
        const { [const { RateLimit::new() }; EndReason::ALL.len()] };
}

/// Counts and logs the end of a connection.
pub fn report(end: &UnansweredEnd) {
    let reason = end.reason as usize;
    COUNTS.with_borrow_mut(|counts| counts[reason][end.progress as usize] += 1);
    let client = end.client.map_or_else(|| "an unknown address".to_string(), |client| client.to_string());
    LIMITS.with(|limits| {
        log::write_limited(
            &limits[reason],
            format_args!(
                "connection ended with a request unanswered: {}, client {client}, request {}, {} bytes read, \
                 {} unread, {:?} for {} ms",
                end.reason.name(),
                PROGRESS_NAMES[end.progress as usize],
                end.bytes_read,
                end.bytes_unread,
                end.stage,
                end.age.as_millis(),
            ),
        );
    });
}

/// Returns the number of ends with this reason and progress since the process began.
pub fn count(reason: EndReason, progress: RequestProgress) -> u64 {
    COUNTS.with_borrow(|counts| counts[reason as usize][progress as usize])
}

/// Returns the counts as JSON for the operators, by reason and then by how much of the request was read.
pub fn to_json() -> Value {
    let counts = COUNTS.with_borrow(|counts| *counts);
    let by_progress =
        |counts: &[u64; 3]| json!({"unread": counts[0], "partly_read": counts[1], "read": counts[2]});
    let reasons = EndReason::ALL.iter().zip(&counts);
    reasons.map(|(reason, counts)| (reason.name().to_string(), by_progress(counts))).collect()
}
