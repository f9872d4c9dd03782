//! Ends of clients' connections that left bytes of a request without a complete answer: each is counted and logged here, with its
//! reason, whoever decided it.
//!
//! A gateway runs on one thread, and its counters are that thread's.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use glenrail_request_lifecycle::client::Stage;
use serde_json::{json, Value};

use crate::log;
use crate::log::Limit;

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// It had been in a stage for too long.
    TimedOut,
    /// Another client needed its entry in the connection table.
    Evicted,
    /// It was beyond the cap, and no more connections could be rejected.
    OverCap,
    /// The gateway is shutting down, or out of service, and the connection was idle.
    Shutdown,
    /// Its client ended or reset it, or takes no more of its response.
    ClientEnded,
    /// The response before was the last on it.
    LastResponse,
    /// Its response was aborted.
    ResponseAborted,
    /// What was received on it breaks the protocol.
    ProtocolError,
    /// It could not be handed over to the successor.
    HandoverFailed,
    /// The process ended first.
    ProcessEnded,
}

impl EndReason {
    /// All reasons, in the order of the operators' figures.
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

    /// Its name in the log and in the operators' figures.
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

/// How much of the request was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// None of it: its client may send it again.
    Unread,
    /// A part of it.
    PartlyRead,
    /// All of it.
    Read,
}

/// The progresses by their names in the operators' figures, in the order of their variants.
const PROGRESS_NAMES: [&str; 3] = ["unread", "partly_read", "read"];

/// The end of a connection that left bytes of a request without a complete answer.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredEnd {
    /// Why it ended.
    pub reason: EndReason,
    /// How much of the request was read.
    pub progress: RequestProgress,
    /// The client's address, where it is known.
    pub client: Option<SocketAddr>,
    /// Bytes that were read since the last answer.
    pub bytes_read: u64,
    /// Bytes that were not read while the connection was served.
    pub bytes_unread: usize,
    /// The stage in which the end was decided ...
    pub stage: Stage,
    /// ... and for how long the connection had been in it by then.
    pub age: Duration,
}

type Counts = [[u64; PROGRESS_NAMES.len()]; EndReason::ALL.len()];

thread_local! {
    static COUNTS: RefCell<Counts> = RefCell::default();
    /// One a reason: a crowd of one reason does not silence the others.
    static LIMITS: [Limit; EndReason::ALL.len()] = const { [const { Limit::new() }; EndReason::ALL.len()] };
}

/// Counts and logs an end.
pub fn report(end: &UnansweredEnd) {
    let reason = end.reason as usize;
    COUNTS.with_borrow_mut(|counts| counts[reason][end.progress as usize] += 1);
    let client = end.client.map_or_else(|| "an unknown address".to_string(), |client| client.to_string());
    LIMITS.with(|limits| {
        log::line(
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

/// Ends of this reason and progress since the process began.
pub fn count(reason: EndReason, progress: RequestProgress) -> u64 {
    COUNTS.with_borrow(|counts| counts[reason as usize][progress as usize])
}

/// The counts as the operators' figures show them: by reason, then by how much was read.
pub fn figures() -> Value {
    let counts = COUNTS.with_borrow(|counts| *counts);
    let by_progress =
        |counts: &[u64; 3]| json!({"unread": counts[0], "partly_read": counts[1], "read": counts[2]});
    let reasons = EndReason::ALL.iter().zip(&counts);
    reasons.map(|(reason, counts)| (reason.name().to_string(), by_progress(counts))).collect()
}
