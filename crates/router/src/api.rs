//! The interface of the decision module: types only.
//!
//! Times and durations are milliseconds on one clock of the caller's choosing. A [`Settings`] value is
//! handed over once; then each [`Event`] is answered by a list of [`Action`]s.

/// A point in time or a duration, in milliseconds.
pub type Ms = f64;

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
    Reader,
    Writer,
    Mixed,
}

/// Whether a request of a class may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    #[default]
    Safe,
    Keyed,
    Unsafe,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
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
pub struct Kind {
    pub role: Role,
    pub memory_tokens: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Class {
    pub aim: Ms,
    pub aim_per_1000_tokens: Ms,
    pub deadline: Ms,
    pub token_aim: Ms,
    pub worth: f64,
    pub late_worth: f64,
    pub effect: Effect,
    pub group: Group,
    pub window: Ms,
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
    pub max_retry_after: Ms,
    pub connect_timeout: Ms,
    pub probes: bool,
    pub cancel: bool,
    pub second_copies: bool,
    pub retry_after: bool,
    pub peers: bool,
    pub places_ahead: bool,
}

/// The figures of the five rules.
#[derive(Clone, Debug)]
pub struct Rules {
    pub answer_grace: Ms,
    pub drain_grace: Ms,
    pub pin_limit: Ms,
    pub cold: Ms,
    pub cold_from: f64,
    pub fall: Ms,
    pub fall_multiple: f64,
    pub ask_within: Ms,
}

/// What a deployment takes off its result, in shares of the worth asked for; 0 where it takes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// For one probe a request.
    pub probe: f64,
    /// For all prompt tokens moved out of their cell, less in proportion.
    pub moved: f64,
}

/// What a router is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    pub me: u32,
    pub routers: u32,
    pub zone: u32,
    pub tick: Ms,
    pub kinds: Vec<Kind>,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    pub limits: Limits,
    pub rules: Rules,
    pub discovery: Discovery,
    pub over_share_worth: f64,
    pub prices: Prices,
    /// A stream that broke can go on elsewhere, and a running one may be moved.
    pub resume: bool,
    /// A writer reads a prompt itself when there is no state to fetch.
    pub writers_read: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of the server list.
#[derive(Clone, Debug, Default)]
pub struct Member {
    pub server: ServerId,
    pub zone: u32,
    pub cell: u32,
    pub kind: u32,
    pub state: ServerState,
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started: Option<Ms>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Delta,
    Full,
    Cached,
    Failed,
}

/// A load report; only what the deployment reports is set.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    pub in_flight: Option<f64>,
    pub queue: Option<f64>,
    pub utilization: Option<f64>,
    /// Share of the server's memory that is held.
    pub memory: Option<f64>,
    /// Thousands of prompt tokens waiting to be read or fetched.
    pub backlog_k: Option<f64>,
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
    pub hint: Option<Ms>,
    pub patience: Ms,
    pub repeat: bool,
    pub resumed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Served,
    /// The prompt has been read and its state waits at the reader.
    Read,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    /// What came back could not be read; it may have run.
    Spoilt,
    Cancelled,
    /// Written, and no sign came in time that it had arrived: it was called back, and what was held has been let go. It may
    /// have run.
    Undelivered,
    NotSent,
}

impl Status {
    /// Whether an attempt that ended so can have come to its server.
    pub fn may_have_arrived(self) -> bool {
        !matches!(self, Status::ConnectFailed | Status::NotSent)
    }
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: RequestId,
    pub attempt: u32,
    pub server: ServerId,
    pub status: Status,
    pub elapsed: Ms,
    /// `Read`, `Served`: prompt tokens found kept. `Full`: 1 when there was no state to fetch.
    pub note: f64,
    /// The request has been closed, by this outcome or earlier.
    pub closed: bool,
    /// It is known to have come to its server, so that the time of what is held did not run meanwhile.
    pub arrived: bool,
    pub report: Option<Report>,
}

#[derive(Clone, Debug)]
pub enum Event {
    Members { scope: Scope, members: Vec<Member> },
    Request(Request),
    Timer { key: u64 },
    ClientGone { id: RequestId },
    FirstToken { id: RequestId, attempt: u32, server: ServerId, elapsed: Ms },
    Outcome(Outcome),
    Place { id: RequestId, attempt: u32, server: ServerId, held: bool },
    Probed { server: ServerId, status: Status, elapsed: Ms, report: Option<Report> },
    Peer { from: u32, bytes: Vec<u8> },
}

/// Why a request is refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The settings name no such class.
    UnknownClass,
    /// Load shedding: it would be late, or no writer would take its state.
    Shed,
    /// No server may take it at present.
    NoServer,
    /// All attempts that the settings allow have been made.
    AttemptsSpent,
    /// The budget of retries is used up.
    RetryBudget,
    /// It may have had its effect, and its class must not be repeated.
    MayHaveRun,
    /// Its deadline is reached.
    OutOfTime,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Attempts of a request are numbered from 0 in the order of their sends.
    Send {
        id: RequestId,
        server: ServerId,
        timeout: Ms,
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
    Refuse {
        id: RequestId,
        retry_after: Ms,
        reason: Reason,
    },
    /// Final, promising nothing.
    Fail {
        id: RequestId,
        reason: Reason,
    },
    /// Ends a running stream so that its client comes back and goes on elsewhere.
    Move {
        id: RequestId,
    },
    HoldPlace {
        id: RequestId,
        server: ServerId,
    },
    Probe {
        server: ServerId,
    },
    CloseIdle {
        server: ServerId,
    },
    Tell {
        to: Option<u32>,
        bytes: Vec<u8>,
    },
    Subscribe {
        on: bool,
    },
    FetchList,
    /// Wake the module at this time with this key. `of`: only for as long as this request is open.
    Timer {
        at: Ms,
        key: u64,
        of: Option<RequestId>,
    },
    Log(String),
}
