//! Entries of the endpoint list and load reports of servers.

use super::{Millis, ServerId};

/// State of a server according to discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts new requests.
    #[default]
    Ready,
    /// The server finishes its current requests and must not receive new ones.
    Draining,
    /// The server has left the deployment.
    Terminated,
}

/// Entry of the server list.
#[derive(Clone, Debug, Default)]
pub struct ServerEntry {
    /// Server that the entry describes.
    pub server: ServerId,
    /// Index of the zone in which the server runs.
    pub zone: u32,
    /// Index of the cell within the zone.
    pub cell: u32,
    /// Index of the server's kind in [`Settings::kinds`](super::Settings::kinds); an index that is out of
    /// range counts as [`Role::Mixed`](super::Role::Mixed).
    pub kind: u32,
    /// State according to discovery.
    pub state: ServerState,
    /// Capacity relative to other servers of the same role.
    pub weight: f64,
    /// Start time of the server process; `None` if it started so long ago that slow start is over.
    pub started: Option<Millis>,
}

/// Relation of a delivered server list to the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The entries that changed; all other entries remain.
    Delta,
    /// The complete list; servers that are missing from it have left the deployment.
    Full,
    /// A complete list that was stored earlier and may be out of date.
    Cached,
    /// Discovery failed: no list was delivered, and the previous list remains in use.
    Failed,
}

/// Load that a server reports. Fields that the deployment does not report are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Number of requests in flight at the server, from all routers.
    pub in_flight: Option<f64>,
    /// Number of requests that wait at the server, from all routers.
    pub queue: Option<f64>,
    /// Share of the compute capacity in use, from 0 to 1.
    pub utilization: Option<f64>,
    /// Share of the memory for request state in use, from 0 to 1.
    pub memory_share: Option<f64>,
    /// Prompt tokens, in thousands, that wait for their prefill or for the transfer of their state.
    pub backlog_kilotokens: Option<f64>,
}
