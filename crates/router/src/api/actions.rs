//! Actions that the router returns to its caller.

use super::{Millis, RejectReason, RequestId, ServerId};

/// An operation that the caller performs. The actions of one event are performed in list order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt of a request. Attempts of a request are numbered from 0 in the order of their sends.
    Send {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Destination of the attempt.
        server: ServerId,
        /// Time after which the attempt ends with [`Timeout`](super::AttemptStatus::Timeout).
        timeout: Millis,
    },
    /// Cancels an attempt in flight.
    Cancel {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Attempt number, from 0 in send order.
        attempt: u32,
    },
    /// Releases every state lease and slot reservation of a request.
    Release {
        /// Request that holds the leases and reservations.
        id: RequestId,
    },
    /// Ends a request with a final response that promises that a retry by the client is harmless.
    Reject {
        /// Request that is rejected.
        id: RequestId,
        /// Time after which the client may retry; 0 if no time is suggested.
        retry_after: Millis,
        /// Cause of the rejection.
        reason: RejectReason,
    },
    /// Ends a request with a final response that makes no promise: an attempt may have been executed.
    Fail {
        /// Request that failed.
        id: RequestId,
        /// Cause of the failure.
        reason: RejectReason,
    },
    /// Ends a running stream so that its client reconnects and resumes it at another server.
    Migrate {
        /// Request that is being streamed.
        id: RequestId,
    },
    /// Reserves a slot for a request at a server.
    ReserveSlot {
        /// Request that the slot is for.
        id: RequestId,
        /// Server that owns the slot.
        server: ServerId,
    },
    /// Requests a load report from a server.
    Probe {
        /// Server to probe.
        server: ServerId,
    },
    /// Closes the idle connections to a server.
    CloseIdle {
        /// Server at the other end of the connections.
        server: ServerId,
    },
    /// Sends gossip to other routers.
    SendGossip {
        /// Index of the destination router; `None` broadcasts to all routers.
        to: Option<u32>,
        /// Encoded gossip message.
        bytes: Vec<u8>,
    },
    /// Starts or ends the subscription to the server list.
    Subscribe {
        /// `true` starts the subscription, `false` ends it.
        on: bool,
    },
    /// Fetches the server list once.
    FetchList,
    /// Schedules an [`Event::Timer`](super::Event::Timer) with this key.
    Timer {
        /// Time at which the timer is due.
        at: Millis,
        /// Opaque value that the timer event carries.
        key: u64,
        /// Request after whose end the timer may be dropped; `None` if the timer must always be delivered.
        request: Option<RequestId>,
    },
    /// Writes a line to the log.
    Log(String),
}
