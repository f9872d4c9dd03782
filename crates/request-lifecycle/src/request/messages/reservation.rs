//! What servers may hold for a request, and the calls that reserve and release it.

use serde::{Deserialize, Serialize};

use super::Server;

/// What servers hold under the request's identifier, or may hold as far as the gateway knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reservation {
    /// Nothing.
    None,
    /// A prefill server may hold the prompt's KV state.
    KvState,
    /// This decode server may hold a slot; a prefill server may hold KV state too.
    Slot(Server),
}

/// The release of what servers hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Release {
    /// None is due or in progress.
    None,
    /// It starts as soon as no attempt is at a server.
    Due,
    /// It started after a cut, and is sent a little later, or as soon as the servers are known to have noticed.
    Waiting,
    /// It is in progress.
    InProgress {
        /// Whether something was reserved after it began, so that another release must follow.
        repeat: bool,
    },
}

/// The call that reserves a slot at a decode server ahead of the attempt that will use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SlotRequest {
    /// No such call is in flight.
    None,
    /// The call to this server is in flight.
    InFlight(Server),
}
