//! Events that the caller reports to the router.

use super::{
    AttemptOutcome, AttemptStatus, ListUpdate, LoadReport, Millis, Request, RequestId, ServerEntry, ServerId,
};

/// Input of [`Router::handle`](crate::Router::handle). Events are passed in the order in which they occur.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery delivered a server list or a change to it.
    ServerList {
        /// Relation of `servers` to the previous list.
        update: ListUpdate,
        /// Entries of the list or of the change.
        servers: Vec<ServerEntry>,
    },
    /// A request arrived.
    Request(Request),
    /// A timer that was set by [`Action::Timer`](super::Action::Timer) is due.
    Timer {
        /// Key from the action that set the timer.
        key: u64,
    },
    /// The client of a request disconnected, so no response can be delivered any more.
    ClientDisconnected {
        /// Request of the client.
        id: RequestId,
    },
    /// The first token of an answer was received.
    FirstToken {
        /// Request that is answered.
        id: RequestId,
        /// Number of the attempt that produced the token.
        attempt: u32,
        /// Server that produced the token.
        server: ServerId,
        /// Time from the send of the attempt to its first token.
        elapsed: Millis,
    },
    /// An attempt ended.
    Outcome(AttemptOutcome),
    /// A server replied to [`Action::ReserveSlot`](super::Action::ReserveSlot).
    SlotReservation {
        /// Request that the slot is for.
        id: RequestId,
        /// Number of the attempt that the slot is for.
        attempt: u32,
        /// Server that replied.
        server: ServerId,
        /// Whether the slot was granted.
        reserved: bool,
    },
    /// A probe that was sent by [`Action::Probe`](super::Action::Probe) was answered or failed.
    ProbeResult {
        /// Server that was probed.
        server: ServerId,
        /// [`Served`](AttemptStatus::Served) if the probe was answered, otherwise the kind of failure.
        status: AttemptStatus,
        /// Time from the send of the probe to this result.
        elapsed: Millis,
        /// Load report in the response; `None` if the response has none.
        report: Option<LoadReport>,
    },
    /// Gossip was received from another router.
    Gossip {
        /// Index of the sending router.
        from: u32,
        /// Encoded gossip message.
        bytes: Vec<u8>,
    },
}
