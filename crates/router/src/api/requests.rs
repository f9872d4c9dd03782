//! Requests, outcomes of their attempts, and reasons for a rejection.

use super::{LoadReport, Millis, RequestId, ServerId};

/// Request as it arrives at the gateway.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Identifier that the caller assigned.
    pub id: RequestId,
    /// Index of the request's class in [`Settings::classes`](super::Settings::classes).
    pub class: u32,
    /// Index of the request's tenant in [`Settings::tenants`](super::Settings::tenants).
    pub tenant: u32,
    /// Session (conversation) of the request; prefix affinity keeps a session at one server.
    pub session: u64,
    /// Identifier of the prompt prefix that the request shares with other sessions; `None` if it shares none.
    pub prefix: Option<u64>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: f64,
    /// Length of the shared prefix, in tokens; included in `prompt_tokens`.
    pub prefix_tokens: f64,
    /// Maximum number of tokens in the answer.
    pub max_tokens: f64,
    /// Estimated duration of the stream at the inter-token objective of the class; `None` if unknown.
    pub expected_duration: Option<Millis>,
    /// Time after arrival at which the client gives up.
    pub client_timeout: Millis,
    /// Whether the client marks this as a retry of an earlier request.
    pub client_retry: bool,
    /// Whether the request resumes a stream that broke or was migrated.
    pub resumed: bool,
}

/// Result of an attempt or of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The answer was streamed completely, or the probe was answered.
    Served,
    /// The prefill is complete, and the prefill server holds its state under a lease.
    Prefilled,
    /// The server responded with an error; the attempt may have been executed.
    Error,
    /// The server rejected the attempt without executing it.
    Rejected,
    /// No answer was received within the time-out of the attempt, which may have been executed.
    Timeout,
    /// No connection could be established; nothing was sent.
    ConnectFailed,
    /// The connection broke; the attempt may have been executed.
    Reset,
    /// The response could not be parsed; the attempt may have been executed.
    MalformedResponse,
    /// The router or the client cancelled the attempt, which may have been executed.
    Cancelled,
    /// The request was written but its delivery was not confirmed in time. The attempt was cancelled and its
    /// state lease released; it may have been executed.
    Undelivered,
    /// The attempt ended before any byte was written.
    NotSent,
}

impl AttemptStatus {
    /// Returns whether an attempt with this status may have reached its server.
    pub fn may_have_arrived(self) -> bool {
        !matches!(self, AttemptStatus::ConnectFailed | AttemptStatus::NotSent)
    }

    /// Returns the name of this status in the access log. The names never change, so that one search covers
    /// the logs of all versions.
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

/// Outcome of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// Request that the attempt belongs to.
    pub id: RequestId,
    /// Attempt number, from 0 in send order.
    pub attempt: u32,
    /// Destination of the attempt.
    pub server: ServerId,
    /// Result of the attempt.
    pub status: AttemptStatus,
    /// Time from the send to the end of the attempt.
    pub elapsed: Millis,
    /// Detail whose meaning depends on `status`:
    ///
    /// - [`Prefilled`](AttemptStatus::Prefilled) and [`Served`](AttemptStatus::Served): number of prompt
    ///   tokens that the server found in its prefix cache.
    /// - [`Rejected`](AttemptStatus::Rejected): 1 if a decode server found no state to fetch, 0 if the server
    ///   has no capacity.
    /// - Any other status: unused.
    pub status_detail: f64,
    /// Whether the request is closed, by this outcome or earlier, so that no further attempt may follow.
    pub closed: bool,
    /// Whether the attempt is known to have reached its server. If so, the lease of a prefilled state did not
    /// run during the attempt.
    pub delivered: bool,
    /// Load report in the response; `None` if the response has none.
    pub report: Option<LoadReport>,
}

/// Cause of a rejection or a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The settings do not define the class of the request.
    UnknownClass,
    /// Load shedding: the request would miss its objective, or no decode server would have capacity for its
    /// state.
    LoadShed,
    /// No server may receive the request at present.
    NoServerAvailable,
    /// The request has used the maximum number of attempts.
    AttemptsExhausted,
    /// The retry budget is exhausted.
    RetryBudgetExhausted,
    /// An attempt may have been executed, and requests of the class must not be repeated.
    MayHaveRun,
    /// The deadline of the request was reached.
    DeadlineExceeded,
}

impl RejectReason {
    /// Returns the name of this reason in the access log. The names never change, so that one search covers
    /// the logs of all versions.
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
