//! Settings of a deployment, constant for the life of a router.
//!
//! They hold all that the platform says of a deployment. The router's decisions make no use of the priority
//! weights, the connect time-out, the graces, or what is permitted beyond probes, cancellation and retries;
//! the gateway and the tests read those.

use super::Millis;

/// What a kind of server does for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Runs the prefill of a prompt and keeps the resulting state (KV cache) until a decode server fetches
    /// it.
    #[default]
    Prefill,
    /// Fetches a prefilled state and streams the answer.
    Decode,
    /// Does both, so that no state has to be transferred.
    Mixed,
}

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating it is always harmless.
    #[default]
    Idempotent,
    /// Servers drop repeats by an idempotency key, within [`RequestClass::deduplication_scope`] and
    /// [`RequestClass::idempotency_window`].
    IdempotencyKey,
    /// It must not be repeated once an attempt may have run.
    NonIdempotent,
}

/// Which servers share one table of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers of the deployment.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell of a zone.
    Cell,
}

/// How the list of servers reaches the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Every change is delivered unasked.
    Push,
    /// The router subscribes, and subscribes again after a failure.
    Subscribe,
}

/// One kind of server. [`ServerEntry::kind`](super::ServerEntry::kind) is its index in [`Settings::kinds`].
#[derive(Clone, Debug)]
pub struct ServerKind {
    /// What servers of this kind do.
    pub role: Role,
    /// Capacity of the memory for request state, in tokens; 0 where it is unknown.
    pub memory_tokens: f64,
}

/// Objectives and guarantees of one class of requests. [`Request::class`](super::Request::class) is its index
/// in [`Settings::classes`].
#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    /// Objective for the time to the first token of an empty prompt.
    pub latency_objective: Millis,
    /// What each 1,000 tokens of the prompt add to that objective.
    pub latency_objective_per_1000_tokens: Millis,
    /// Time after its arrival by which a request must be answered.
    pub deadline: Millis,
    /// Objective for the time between two tokens of an answer.
    pub inter_token_objective: Millis,
    /// Value of a request that meets its objectives, relative to other classes.
    pub priority_weight: f64,
    /// Value of a request that is answered late, on the same scale.
    pub late_priority_weight: f64,
    /// Whether a request may be repeated.
    pub idempotency: Idempotency,
    /// Where an idempotency key is recognised. Only used with [`Idempotency::IdempotencyKey`].
    pub deduplication_scope: DeduplicationScope,
    /// How long after its first send an idempotency key is recognised. Only used with
    /// [`Idempotency::IdempotencyKey`].
    pub idempotency_window: Millis,
}

/// Quota of one tenant. [`Request::tenant`](super::Request::tenant) is its index in [`Settings::tenants`].
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within its quota, over all routers together.
    pub allowance_per_s: f64,
}

/// What a deployment permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts of one request, the first included. A prefill and the decode after it are two attempts.
    pub max_attempts: u32,
    /// Longest `Retry-After` that a rejection may carry.
    pub max_retry_after: Millis,
    /// Time within which a connection to a server must be established.
    pub connect_timeout: Millis,
    /// Whether the router may probe servers for their load.
    pub probes: bool,
    /// Whether an attempt in flight may be cancelled.
    pub cancellation: bool,
    /// Whether a second copy of a request may be in flight. The router sends none.
    pub hedging: bool,
    /// Whether a rejection may name a time to retry after.
    pub retry_after: bool,
    /// Whether routers may send each other gossip. The router sends none.
    pub gossip: bool,
    /// Whether slots may be reserved at servers ahead of a send. The router reserves none.
    pub slot_reservation: bool,
}

/// Parameters of the rules that every router must keep.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Time beyond a request's deadline by which its answer must be given at the latest.
    pub answer_grace: Millis,
    /// Time after the announcement of a drain in which a request that still reaches the draining server is
    /// tolerated.
    pub drain_grace: Millis,
    /// Longest lease of a prefilled state: how long a prefill server may be made to hold it for its fetch.
    pub lease_limit: Millis,
    /// Time after its start in which a server is in slow start.
    pub slow_start_window: Millis,
    /// Share of its capacity, from 0 to 1, that a server can be sent at the start of that window.
    pub slow_start_initial_share: f64,
    /// Window over which the requests sent to a starting server are counted for overload.
    pub overload_window: Millis,
    /// A starting server is overloaded by more than this many times its capacity over that window.
    pub overload_multiple: f64,
    /// Time within which a change of the server list must be fetched from discovery.
    pub discovery_poll_limit: Millis,
}

/// What a deployment charges, as shares of the priority weight of all requests; 0 where something is free.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// Cost of one probe for each request.
    pub probe: f64,
    /// Cost of transferring all prompt tokens out of their cell; a part of them costs that part.
    pub cell_transfer: f64,
}

/// What a router has to know at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Index of this router among all routers, from 0.
    pub router_index: u32,
    /// Number of routers that share the servers; 0 counts as 1.
    pub router_count: u32,
    /// Zone in which this router runs.
    pub zone: u32,
    /// Resolution of the caller's clock: a timer may fire late by as much.
    pub tick_interval: Millis,
    /// Kinds of servers, indexed by [`ServerEntry::kind`](super::ServerEntry::kind).
    pub kinds: Vec<ServerKind>,
    /// Classes of requests, indexed by [`Request::class`](super::Request::class).
    pub classes: Vec<RequestClass>,
    /// Tenants, indexed by [`Request::tenant`](super::Request::tenant); one that is not listed has no quota.
    pub tenants: Vec<Tenant>,
    /// What the deployment permits.
    pub limits: Limits,
    /// Parameters of the rules that every router must keep.
    pub rules: Rules,
    /// How the list of servers reaches the router.
    pub discovery: Discovery,
    /// Priority weight of a request beyond its tenant's quota.
    pub over_quota_priority_weight: f64,
    /// What the deployment charges for probes and transfers.
    pub prices: Prices,
    /// Whether a broken stream can be resumed at another server, and a running one be migrated.
    pub stream_resumption: bool,
    /// Whether a decode server runs the prefill itself when it finds no state to fetch.
    pub decode_servers_prefill: bool,
}
