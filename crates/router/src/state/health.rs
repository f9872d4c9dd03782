//! Health of a server, as determined by outlier detection.

use crate::api::{AttemptStatus, Millis};

/// Kind of failure that counts against a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FailureKind {
    /// The server responded with an error.
    Error,
    /// The connection to the server broke.
    Reset,
    /// The response could not be parsed.
    MalformedResponse,
    /// The server showed no progress while work was pending, or an attempt was not confirmed as delivered.
    Unresponsive,
    /// No connection to the server could be established.
    ConnectFailed,
}

impl FailureKind {
    /// Returns the failure that an attempt with this status indicates, if any.
    pub fn from_status(status: AttemptStatus) -> Option<Self> {
        match status {
            AttemptStatus::ConnectFailed => Some(FailureKind::ConnectFailed),
            AttemptStatus::Undelivered => Some(FailureKind::Unresponsive),
            AttemptStatus::Error => Some(FailureKind::Error),
            AttemptStatus::Reset => Some(FailureKind::Reset),
            AttemptStatus::MalformedResponse => Some(FailureKind::MalformedResponse),
            _ => None,
        }
    }
}

/// Failure score and ejection state of a server.
#[derive(Default)]
pub struct Health {
    /// Weighted failures, reduced by successes; the server is ejected at 1.
    pub score: f64,
    /// Ejections, reduced by successes; each doubles the duration of the next one.
    pub ejections: u32,
    /// End of the ejection. The server stays on trial after it, until an attempt sent after `ejected_at` has
    /// succeeded.
    pub ejected_until: Millis,
    /// Time of the last ejection.
    pub ejected_at: Millis,
    /// Whether no attempt sent since the last ejection has succeeded; `false` before the first ejection.
    pub on_trial: bool,
    /// Failure that caused the ejection; `None` unless the server is on trial.
    pub cause: Option<FailureKind>,
}

impl Health {
    /// Returns whether the server is ejected at `now`.
    pub fn is_ejected(&self, now: Millis) -> bool {
        self.on_trial && now < self.ejected_until
    }

    /// Returns whether the server was ejected as unreachable, which the panic threshold does not override
    /// while other servers remain.
    pub fn is_unreachable(&self) -> bool {
        matches!(self.cause, Some(FailureKind::Unresponsive | FailureKind::ConnectFailed))
    }
}
