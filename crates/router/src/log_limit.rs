//! Rate limit of the router's log lines: a fault that repeats must not fill the log.
//!
//! The router owns this state, and the caller owns the clock.

use std::collections::BTreeMap;

use crate::api::{Action, Millis};

/// At most one line of each kind is written in this time (ms).
const MIN_INTERVAL: Millis = 5_000.0;

/// When a line of each kind was last written.
#[derive(Default)]
pub struct LogLimiter(BTreeMap<&'static str, Millis>);

impl LogLimiter {
    /// Appends a line to the actions, unless one of its kind was written a short time ago.
    pub fn log(&mut self, kind: &'static str, text: String, now: Millis, actions: &mut Vec<Action>) {
        let last_written = self.0.get(kind);
        if last_written.is_none_or(|written_at| now >= written_at + MIN_INTERVAL) {
            self.0.insert(kind, now);
            actions.push(Action::Log(format!("{kind}: {text}")));
        }
    }
}
