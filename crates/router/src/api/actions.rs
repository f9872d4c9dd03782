//! What the router asks its caller to do.

use super::{Millis, RejectReason, RequestId, ServerId};

/// Something to be done by the caller, in the order in which it is listed.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt of a request. Attempts of a request are numbered from 0 in the order of their sends.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Time after which the attempt ends with [`Timeout`](super::AttemptStatus::Timeout).
        timeout: Millis,
    },
    /// Cancels an attempt in flight.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Releases every state lease and slot reservation of a request.
    Release {
        /// The request.
        id: RequestId,
    },
    /// Final answer that promises that trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Time after which its client may retry; 0: nothing is said about it.
        retry_after: Millis,
        /// Why it is rejected.
        reason: RejectReason,
    },
    /// Final answer that promises nothing: an attempt may have run.
    Fail {
        /// The request.
        id: RequestId,
        /// Why it failed.
        reason: RejectReason,
    },
    /// Ends a running stream so that its client reconnects and resumes it at another server.
    Migrate {
        /// The request.
        id: RequestId,
    },
    /// Reserves a slot for a request at a server.
    ReserveSlot {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
    },
    /// Asks a server for its load report.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Closes the idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Sends gossip to other routers.
    SendGossip {
        /// Index of the router to send to; `None`: to all.
        to: Option<u32>,
        /// What to send.
        bytes: Vec<u8>,
    },
    /// Starts or ends the subscription to the server list.
    Subscribe {
        /// Whether to subscribe.
        on: bool,
    },
    /// Fetches the server list once.
    FetchList,
    /// Delivers [`Event::Timer`](super::Event::Timer) with this key at a time.
    Timer {
        /// When it is due.
        at: Millis,
        /// The key to deliver.
        key: u64,
        /// The timer may be dropped once this request is closed; `None`: it must be delivered.
        request: Option<RequestId>,
    },
    /// Writes a line to the log.
    Log(String),
}
