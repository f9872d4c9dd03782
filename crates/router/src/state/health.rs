//! Health of one server, as outlier detection sees it.

use crate::api::{AttemptStatus, Millis};

/// A failure that counts against a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FailureKind {
    /// It answered with an error.
    Error,
    /// The connection to it broke.
    Reset,
    /// Its response could not be parsed.
    MalformedResponse,
    /// It gave no sign of life while work waited there.
    Unresponsive,
    /// No connection to it could be established.
    ConnectFailed,
}

impl FailureKind {
    /// The failure that the end of an attempt shows, if any.
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

/// Failures of one server and its ejection.
#[derive(Default)]
pub struct Health {
    /// Weighted failures that success has not yet made up for; 1 ejects.
    pub score: f64,
    /// Ejections that success has not yet made up for; each doubles the time of the next.
    pub ejections: u32,
    /// Ejected until then; afterwards on trial until an attempt sent since has succeeded.
    pub ejected_until: Millis,
    /// When it was last ejected.
    pub ejected_at: Millis,
    /// It was ejected, and no attempt sent since has succeeded.
    pub on_trial: bool,
    /// The failure that ejected it.
    pub cause: Option<FailureKind>,
}

impl Health {
    /// Whether it is ejected at `now`.
    pub fn is_ejected(&self, now: Millis) -> bool {
        self.on_trial && now < self.ejected_until
    }

    /// Whether it was ejected as unreachable, which the panic threshold does not overrule.
    pub fn is_unreachable(&self) -> bool {
        matches!(self.cause, Some(FailureKind::Unresponsive | FailureKind::ConnectFailed))
    }
}
