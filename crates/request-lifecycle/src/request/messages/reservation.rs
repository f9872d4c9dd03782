//! Reservations that servers may hold for a request, and the calls that make and release them.

use serde::{Deserialize, Serialize};

use super::Server;

/// What servers may hold under the request's identifier, as far as the gateway knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reservation {
    /// No server holds anything for the request.
    None,
    /// A prefill server may hold the prompt's KV state.
    KvState,
    /// This decode server may hold a slot, and a prefill server may hold KV state too.
    Slot(Server),
}

/// Progress of the release of the request's reservations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Release {
    /// No release is due or in progress.
    None,
    /// A release is due. It starts once no attempt in flight may use the reservations.
    Due,
    /// A release was started after an interrupted call. It is sent after a short delay, or as soon as the servers are
    /// known to have stopped working on interrupted attempts.
    Waiting,
    /// A release is in progress.
    InProgress {
        /// Whether something may have been reserved after the release began, so that another one must follow.
        repeat: bool,
    },
}

/// State of the call that reserves a slot at a decode server ahead of the attempt that will use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SlotRequest {
    /// No call is in flight.
    None,
    /// A call to this server is in flight.
    InFlight(Server),
}
