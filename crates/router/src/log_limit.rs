//! Rate limit of the router's log lines, so that a repeated fault does not fill the log.
//!
//! The router owns this state, and the caller owns the clock.

use std::collections::BTreeMap;

use crate::api::{Action, Millis};

/// Minimum interval between two lines of the same kind (ms).
const MIN_INTERVAL: Millis = 5_000.0;

/// Time at which a line of each kind was last written.
#[derive(Default)]
pub struct LogLimiter(BTreeMap<&'static str, Millis>);

impl LogLimiter {
    /// Appends a log line to the actions, unless a line of the same kind was written within the minimum
    /// interval.
    pub fn log(&mut self, kind: &'static str, text: String, now: Millis, actions: &mut Vec<Action>) {
        let last_written = self.0.get(kind);
        if last_written.is_none_or(|written_at| now >= written_at + MIN_INTERVAL) {
            self.0.insert(kind, now);
            actions.push(Action::Log(format!("{kind}: {text}")));
        }
    }
}
