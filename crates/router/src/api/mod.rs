//! The interface of the decision module: types only.
//!
//! Times and durations are milliseconds on one clock of the caller's choosing. A [`Settings`] value is
//! handed over once; then each [`Event`] is answered by a list of [`Action`]s.

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;

/// A request, named by the caller; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A server. It must be the same number at every router, as hashing relies on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// What a kind of server does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    #[default]
    Prefill,
    Decode,
    Mixed,
}

/// Whether a request of a class may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    #[default]
    Idempotent,
    IdempotencyKey,
    NonIdempotent,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    Push,
    Subscribe,
}

#[derive(Clone, Debug)]
pub struct ServerKind {
    pub role: Role,
    pub memory_tokens: f64,
}

#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    pub latency_objective: Millis,
    pub latency_objective_per_1000_tokens: Millis,
    pub deadline: Millis,
    pub inter_token_objective: Millis,
    pub priority_weight: f64,
    pub late_priority_weight: f64,
    pub idempotency: Idempotency,
    pub deduplication_scope: DeduplicationScope,
    pub idempotency_window: Millis,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all routers together, that lie within its share.
    pub allowance_per_s: f64,
}

/// What a deployment permits.
#[derive(Clone, Debug)]
pub struct Limits {
    pub max_attempts: u32,
    pub max_retry_after: Millis,
    pub connect_timeout: Millis,
    pub probes: bool,
    pub cancellation: bool,
    pub hedging: bool,
    pub retry_after: bool,
    pub gossip: bool,
    pub slot_reservation: bool,
}

/// The figures of the five rules.
#[derive(Clone, Debug)]
pub struct Rules {
    pub answer_grace: Millis,
    pub drain_grace: Millis,
    pub lease_limit: Millis,
    pub slow_start_window: Millis,
    pub slow_start_initial_share: f64,
    pub overload_window: Millis,
    pub overload_multiple: f64,
    pub discovery_poll_limit: Millis,
}

/// What a deployment takes off its result, in shares of the worth asked for; 0 where it takes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// For one probe a request.
    pub probe: f64,
    /// For all prompt tokens moved out of their cell, less in proportion.
    pub cell_transfer: f64,
}

/// What a router is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    pub router_index: u32,
    pub router_count: u32,
    pub zone: u32,
    pub tick_interval: Millis,
    pub kinds: Vec<ServerKind>,
    pub classes: Vec<RequestClass>,
    pub tenants: Vec<Tenant>,
    pub limits: Limits,
    pub rules: Rules,
    pub discovery: Discovery,
    pub over_quota_priority_weight: f64,
    pub prices: Prices,
    /// A stream that broke can go on elsewhere, and a running one may be moved.
    pub stream_resumption: bool,
    /// A writer reads a prompt itself when there is no state to fetch.
    pub decode_servers_prefill: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    #[default]
    Ready,
    Draining,
    Terminated,
}

/// One line of the server list.
#[derive(Clone, Debug, Default)]
pub struct ServerEntry {
    pub server: ServerId,
    pub zone: u32,
    pub cell: u32,
    pub kind: u32,
    pub state: ServerState,
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started: Option<Millis>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    Delta,
    Full,
    Cached,
    Failed,
}

/// A load report; only what the deployment reports is set.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub in_flight: Option<f64>,
    pub queue: Option<f64>,
    pub utilization: Option<f64>,
    /// Share of the server's memory that is held.
    pub memory_share: Option<f64>,
    /// Thousands of prompt tokens waiting to be read or fetched.
    pub backlog_kilotokens: Option<f64>,
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub id: RequestId,
    pub class: u32,
    pub tenant: u32,
    pub session: u64,
    /// The beginning shared with other sessions.
    pub prefix: Option<u64>,
    pub prompt_tokens: f64,
    pub prefix_tokens: f64,
    pub max_tokens: f64,
    /// A guess at the answer's length, as time at the class's token aim.
    pub expected_duration: Option<Millis>,
    pub client_timeout: Millis,
    pub client_retry: bool,
    pub resumed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    Served,
    /// The prompt has been read and its state waits at the reader.
    Prefilled,
    Error,
    Rejected,
    Timeout,
    ConnectFailed,
    Reset,
    /// What came back could not be read; it may have run.
    MalformedResponse,
    Cancelled,
    /// Written, and no sign came in time that it had arrived: it was called back, and what was held has been let go. It may
    /// have run.
    Undelivered,
    NotSent,
}

impl AttemptStatus {
    /// Whether an attempt that ended so can have come to its server.
    pub fn may_have_arrived(self) -> bool {
        !matches!(self, AttemptStatus::ConnectFailed | AttemptStatus::NotSent)
    }
}

#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    pub id: RequestId,
    pub attempt: u32,
    pub server: ServerId,
    pub status: AttemptStatus,
    pub elapsed: Millis,
    /// `Read`, `Served`: prompt tokens found kept. `Full`: 1 when there was no state to fetch.
    pub note: f64,
    /// The request has been closed, by this outcome or earlier.
    pub closed: bool,
    /// It is known to have come to its server, so that the time of what is held did not run meanwhile.
    pub delivered: bool,
    pub report: Option<LoadReport>,
}

#[derive(Clone, Debug)]
pub enum Event {
    ServerList { update: ListUpdate, servers: Vec<ServerEntry> },
    Request(Request),
    Timer { key: u64 },
    ClientDisconnected { id: RequestId },
    FirstToken { id: RequestId, attempt: u32, server: ServerId, elapsed: Millis },
    Outcome(AttemptOutcome),
    SlotReservation { id: RequestId, attempt: u32, server: ServerId, reserved: bool },
    ProbeResult { server: ServerId, status: AttemptStatus, elapsed: Millis, report: Option<LoadReport> },
    Gossip { from: u32, bytes: Vec<u8> },
}

/// Why a request is refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The settings name no such class.
    UnknownClass,
    /// Load shedding: it would be late, or no writer would take its state.
    LoadShed,
    /// No server may take it at present.
    NoServerAvailable,
    /// All attempts that the settings allow have been made.
    AttemptsExhausted,
    /// The budget of retries is used up.
    RetryBudgetExhausted,
    /// It may have had its effect, and its class must not be repeated.
    MayHaveRun,
    /// Its deadline is reached.
    DeadlineExceeded,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Attempts of a request are numbered from 0 in the order of their sends.
    Send {
        id: RequestId,
        server: ServerId,
        timeout: Millis,
    },
    Cancel {
        id: RequestId,
        attempt: u32,
    },
    /// Lets go of every state and place held for the request.
    Release {
        id: RequestId,
    },
    /// Final: trying again is harmless.
    Reject {
        id: RequestId,
        retry_after: Millis,
        reason: RejectReason,
    },
    /// Final, promising nothing.
    Fail {
        id: RequestId,
        reason: RejectReason,
    },
    /// Ends a running stream so that its client comes back and goes on elsewhere.
    Migrate {
        id: RequestId,
    },
    ReserveSlot {
        id: RequestId,
        server: ServerId,
    },
    Probe {
        server: ServerId,
    },
    CloseIdle {
        server: ServerId,
    },
    SendGossip {
        to: Option<u32>,
        bytes: Vec<u8>,
    },
    Subscribe {
        on: bool,
    },
    FetchList,
    /// Wake the module at this time with this key. `of`: only for as long as this request is open.
    Timer {
        at: Millis,
        key: u64,
        request: Option<RequestId>,
    },
    Log(String),
}

impl AttemptStatus {
    /// The word for this status in a line of the access log. Kept as earlier versions wrote it, so that their logs and these
    /// are read alike.
    pub fn log_label(self) -> &'static str {
        match self {
            AttemptStatus::Served => "Served",
            AttemptStatus::Prefilled => "Read",
            AttemptStatus::Error => "Error",
            AttemptStatus::Rejected => "Full",
            AttemptStatus::Timeout => "Timeout",
            AttemptStatus::ConnectFailed => "ConnectFailed",
            AttemptStatus::Reset => "Reset",
            AttemptStatus::MalformedResponse => "Spoilt",
            AttemptStatus::Cancelled => "Cancelled",
            AttemptStatus::Undelivered => "Undelivered",
            AttemptStatus::NotSent => "NotSent",
        }
    }
}

impl RejectReason {
    /// The word for this reason in a line of the access log. Kept as earlier versions wrote it, so that their logs and these
    /// are read alike.
    pub fn log_label(self) -> &'static str {
        match self {
            RejectReason::UnknownClass => "UnknownClass",
            RejectReason::LoadShed => "Shed",
            RejectReason::NoServerAvailable => "NoServer",
            RejectReason::AttemptsExhausted => "AttemptsSpent",
            RejectReason::RetryBudgetExhausted => "RetryBudget",
            RejectReason::MayHaveRun => "MayHaveRun",
            RejectReason::DeadlineExceeded => "OutOfTime",
        }
    }
}
