//! The endpoint list and the load reports of servers.

use super::{Millis, ServerId};

/// State in which a server is listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts new requests.
    #[default]
    Ready,
    /// Finishes what it has and must not get new requests.
    Draining,
    /// Has left the deployment.
    Terminated,
}

/// One entry of the server list.
#[derive(Clone, Debug, Default)]
pub struct ServerEntry {
    /// The server that is described.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its cell in that zone.
    pub cell: u32,
    /// Index of its kind in [`Settings::kinds`](super::Settings::kinds); an unknown one counts as mixed.
    pub kind: u32,
    /// Whether it accepts requests.
    pub state: ServerState,
    /// Its capacity relative to other servers of its role.
    pub weight: f64,
    /// When its process last started; `None`: so long ago that slow start is over.
    pub started: Option<Millis>,
}

/// How a delivered server list relates to the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only the entries that changed; all others remain.
    Delta,
    /// The complete list; a server that is missing has left.
    Full,
    /// A complete list that was stored earlier and may be out of date.
    Cached,
    /// Discovery failed: no list came, and the previous one stands.
    Failed,
}

/// Load of a server as it reports it. Only what the deployment reports is set.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests in flight at the server, from all routers.
    pub in_flight: Option<f64>,
    /// Requests that wait at the server, from all routers.
    pub queue: Option<f64>,
    /// Share of its computing capacity in use, from 0 to 1.
    pub utilization: Option<f64>,
    /// Share of its memory for request state in use, from 0 to 1.
    pub memory_share: Option<f64>,
    /// Prompt tokens, in thousands, that wait for their prefill or for the transfer of their state.
    pub backlog_kilotokens: Option<f64>,
}
