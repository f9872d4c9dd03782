//! Requests, how their attempts end, and why a request is rejected.

use super::{LoadReport, Millis, RequestId, ServerId};

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Identifier, chosen by the caller.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`](super::Settings::classes).
    pub class: u32,
    /// Index of its tenant in [`Settings::tenants`](super::Settings::tenants).
    pub tenant: u32,
    /// Session (conversation) that it belongs to; prefix affinity keeps a session at one server.
    pub session: u64,
    /// Identifier of the prompt prefix that it shares with other sessions; `None`: it shares none.
    pub prefix: Option<u64>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: f64,
    /// Length of the shared prefix, in tokens; part of `prompt_tokens`.
    pub prefix_tokens: f64,
    /// Most tokens that the answer may have.
    pub max_tokens: f64,
    /// Estimated duration of the answer's stream, at the inter-token objective of its class.
    pub expected_duration: Option<Millis>,
    /// Time after its arrival at which its client gives up.
    pub client_timeout: Millis,
    /// Whether its client says that this is a retry of an earlier request.
    pub client_retry: bool,
    /// Whether it resumes a stream that broke or was migrated.
    pub resumed: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The answer was streamed to its end, or the probe was answered.
    Served,
    /// The prefill is done, and its state waits at the prefill server under a lease.
    Prefilled,
    /// The server answered with an error; the attempt may have run.
    Error,
    /// The server rejected the attempt without running it.
    Rejected,
    /// No answer came within the attempt's time-out; it may have run.
    Timeout,
    /// No connection could be established; nothing was sent.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The response could not be parsed; the attempt may have run.
    MalformedResponse,
    /// The attempt was cancelled by the router or by its client; it may have run.
    Cancelled,
    /// The request was written, and no sign of its delivery came in time: the attempt was cancelled and its
    /// state lease released. It may have run.
    Undelivered,
    /// The attempt ended before anything was written.
    NotSent,
}

impl AttemptStatus {
    /// Whether an attempt with this end can have reached its server.
    pub fn may_have_arrived(self) -> bool {
        !matches!(self, AttemptStatus::ConnectFailed | AttemptStatus::NotSent)
    }

    /// The name of this status in a line of the access log. The names stay as earlier versions wrote them, so
    /// that logs of all versions can be searched alike.
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

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0 in the order of its sends.
    pub attempt: u32,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub status: AttemptStatus,
    /// Time from the send to this end.
    pub elapsed: Millis,
    /// Detail whose meaning depends on `status`:
    ///
    /// - [`Prefilled`](AttemptStatus::Prefilled) and [`Served`](AttemptStatus::Served): prompt tokens that
    ///   the server found in its prefix cache.
    /// - [`Rejected`](AttemptStatus::Rejected): 1 when a decode server found no state to fetch; 0 when it had
    ///   no capacity.
    /// - Any other status: unused.
    pub note: f64,
    /// The request is closed, by this outcome or earlier: no further attempt may follow.
    pub closed: bool,
    /// The attempt is known to have reached its server, so that the lease of a prefilled state did not run
    /// meanwhile.
    pub delivered: bool,
    /// Load report that came with the response.
    pub report: Option<LoadReport>,
}

/// Why a request is rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The settings have no such class.
    UnknownClass,
    /// Load shedding: the request would be late, or no decode server would have room for its state.
    LoadShed,
    /// No server may accept it at present.
    NoServerAvailable,
    /// All attempts that the settings allow have been made.
    AttemptsExhausted,
    /// The retry budget is used up.
    RetryBudgetExhausted,
    /// An attempt may have run, and the class must not be repeated.
    MayHaveRun,
    /// Its deadline has come.
    DeadlineExceeded,
}

impl RejectReason {
    /// The name of this reason in a line of the access log. The names stay as earlier versions wrote them, so
    /// that logs of all versions can be searched alike.
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
