//! What the caller reports to the router.

use super::{
    AttemptOutcome, AttemptStatus, ListUpdate, LoadReport, Millis, Request, RequestId, ServerEntry, ServerId,
};

/// Something that happened, passed to [`Router::handle`](crate::Router::handle) in the order in which it
/// happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A server list, or a change to it, came from discovery.
    ServerList {
        /// How it relates to the list before.
        update: ListUpdate,
        /// The entries that it brings.
        servers: Vec<ServerEntry>,
    },
    /// A request arrived.
    Request(Request),
    /// The timer with this key, set by [`Action::Timer`](super::Action::Timer), is due.
    Timer {
        /// The key that the timer was set with.
        key: u64,
    },
    /// The client of a request has disconnected; nothing more is to be answered.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The first token of an answer came.
    FirstToken {
        /// The request.
        id: RequestId,
        /// Number of the attempt that answers.
        attempt: u32,
        /// The server that answers.
        server: ServerId,
        /// Time from the send of that attempt to its first token.
        elapsed: Millis,
    },
    /// An attempt came to its end.
    Outcome(AttemptOutcome),
    /// A server answered [`Action::ReserveSlot`](super::Action::ReserveSlot).
    SlotReservation {
        /// The request.
        id: RequestId,
        /// Number of the attempt that the slot is for.
        attempt: u32,
        /// The server that was asked.
        server: ServerId,
        /// Whether the slot is reserved.
        reserved: bool,
    },
    /// A probe, sent by [`Action::Probe`](super::Action::Probe), was answered or failed.
    ProbeResult {
        /// The server that was probed.
        server: ServerId,
        /// [`Served`](AttemptStatus::Served) for an answer, or how the probe failed.
        status: AttemptStatus,
        /// Time from the probe to this result.
        elapsed: Millis,
        /// The load report in the answer.
        report: Option<LoadReport>,
    },
    /// Gossip of another router came.
    Gossip {
        /// Index of the router that sent it.
        from: u32,
        /// What it sent.
        bytes: Vec<u8>,
    },
}
