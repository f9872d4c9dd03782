//! Settings of a deployment, constant for the lifetime of a router.
//!
//! They cover everything that the platform configures for a deployment. The router does not use the priority
//! weights, the connect time-out, the grace periods, its own index and zone, stream resumption, prefills at
//! decode servers, or permissions other than those for probes, cancellation and retries. The gateway, the
//! settings check and the tests use some of them.

use super::Millis;

/// Stages of a request that a kind of server executes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Executes the prefill of a prompt and holds the resulting state (KV cache) until a decode server
    /// fetches it.
    #[default]
    Prefill,
    /// Fetches a prefilled state and streams the answer.
    Decode,
    /// Executes both stages, so that no state is transferred.
    Mixed,
}

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution is always harmless.
    #[default]
    Idempotent,
    /// Servers discard repeats with the same idempotency key, within [`RequestClass::deduplication_scope`]
    /// and [`RequestClass::idempotency_window`].
    IdempotencyKey,
    /// The request must not be repeated once an attempt may have been executed.
    NonIdempotent,
}

/// Set of servers that share one table of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers of the deployment.
    #[default]
    All,
    /// All servers of one zone.
    Zone,
    /// All servers of one cell.
    Cell,
}

/// Method by which the router receives the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Discovery delivers every change without a request.
    Push,
    /// The router subscribes to changes, and subscribes again after a failure.
    Subscribe,
}

/// Kind of server. [`ServerEntry::kind`](super::ServerEntry::kind) is its index in [`Settings::kinds`].
#[derive(Clone, Debug)]
pub struct ServerKind {
    /// Stages that servers of this kind execute.
    pub role: Role,
    /// Capacity of the memory for request state, in tokens; 0 if unknown.
    pub memory_tokens: f64,
}

/// Objectives and guarantees of a class of requests. [`Request::class`](super::Request::class) is its index
/// in [`Settings::classes`].
#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    /// Objective for the time to the first token of an empty prompt.
    pub latency_objective: Millis,
    /// Addition to `latency_objective` for each 1,000 prompt tokens.
    pub latency_objective_per_1000_tokens: Millis,
    /// Time after arrival by which a request must be answered.
    pub deadline: Millis,
    /// Objective for the time between two consecutive tokens of an answer.
    pub inter_token_objective: Millis,
    /// Value of a request that meets its objectives, relative to requests of other classes.
    pub priority_weight: f64,
    /// Value of a request that is answered late, on the scale of `priority_weight`.
    pub late_priority_weight: f64,
    /// Condition under which a request may be repeated.
    pub idempotency: Idempotency,
    /// Servers that recognise an idempotency key. Only used with [`Idempotency::IdempotencyKey`].
    pub deduplication_scope: DeduplicationScope,
    /// Time after the first send of an idempotency key for which servers recognise the key. Only used with
    /// [`Idempotency::IdempotencyKey`].
    pub idempotency_window: Millis,
}

/// Quota of a tenant. [`Request::tenant`](super::Request::tenant) is its index in [`Settings::tenants`].
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within the quota, as the sum over all routers.
    pub allowance_per_s: f64,
}

/// Operations that a deployment permits, and their limits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts of a request, including the first. A prefill and its decode count as two.
    pub max_attempts: u32,
    /// Maximum `Retry-After` of a rejection.
    pub max_retry_after: Millis,
    /// Time within which a connection to a server must be established.
    pub connect_timeout: Millis,
    /// Whether the router may probe servers for their load.
    pub probes: bool,
    /// Whether an attempt in flight may be cancelled.
    pub cancellation: bool,
    /// Whether hedged requests are permitted. The router sends none.
    pub hedging: bool,
    /// Whether a rejection may suggest a time after which to retry.
    pub retry_after: bool,
    /// Whether routers may send gossip to each other. The router sends none.
    pub gossip: bool,
    /// Whether slots may be reserved at servers before a send. The router reserves none.
    pub slot_reservation: bool,
}

/// Parameters of the rules that every router must observe.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Maximum time after its deadline at which a request may still be answered.
    pub answer_grace: Millis,
    /// Time after the announcement of a drain during which requests that still reach the draining server are
    /// tolerated.
    pub drain_grace: Millis,
    /// Maximum lease of a prefilled state, which is the time for which a prefill server holds the state until
    /// a decode server fetches it.
    pub lease_limit: Millis,
    /// Time after the start of a server during which it is in slow start.
    pub slow_start_window: Millis,
    /// Share of its capacity, from 0 to 1, that a server may receive at the beginning of slow start.
    pub slow_start_initial_share: f64,
    /// Length of the window over which the requests sent to a server in slow start are counted.
    pub overload_window: Millis,
    /// Multiple of its current capacity above which a server in slow start is overloaded within an
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Maximum time after which a change of the server list must have been fetched from discovery.
    pub discovery_poll_limit: Millis,
}

/// Costs that a deployment charges, as shares of the priority weight of all requests; 0 means free.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// Cost of sending one probe per request.
    pub probe: f64,
    /// Cost of transferring all prompt tokens out of their cell; the cost is proportional to their share.
    pub cell_transfer: f64,
}

/// Settings with which a router starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Index of this router among all routers, from 0.
    pub router_index: u32,
    /// Number of routers that share the servers; 0 is treated as 1.
    pub router_count: u32,
    /// Zone in which this router runs.
    pub zone: u32,
    /// Resolution of the caller's clock, which is the maximum delay of a timer.
    pub tick_interval: Millis,
    /// Server kinds, indexed by [`ServerEntry::kind`](super::ServerEntry::kind).
    pub kinds: Vec<ServerKind>,
    /// Request classes, indexed by [`Request::class`](super::Request::class).
    pub classes: Vec<RequestClass>,
    /// Tenants, indexed by [`Request::tenant`](super::Request::tenant); a tenant that is not listed has no
    /// quota.
    pub tenants: Vec<Tenant>,
    /// Permitted operations and their limits.
    pub limits: Limits,
    /// Parameters of the rules that every router must observe.
    pub rules: Rules,
    /// Method by which the router receives the server list.
    pub discovery: Discovery,
    /// Priority weight of a request that exceeds its tenant's quota.
    pub over_quota_priority_weight: f64,
    /// Costs of probes and transfers.
    pub prices: Prices,
    /// Whether a broken stream can be resumed at another server and a running one migrated.
    pub stream_resumption: bool,
    /// Whether a decode server executes the prefill itself if it finds no state to fetch.
    pub decode_servers_prefill: bool,
}
