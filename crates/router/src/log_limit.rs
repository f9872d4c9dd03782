//! The router's lines for the log: seldom enough that a fault which repeats does not fill it.

use std::collections::BTreeMap;

use crate::api::{Action, Millis};

/// At most one line of each kind in this time (ms).
const EVERY: Millis = 5_000.0;

/// When a line of each kind was last written.
#[derive(Default)]
pub struct LogLimiter(BTreeMap<&'static str, Millis>);

impl LogLimiter {
    /// Appends a line, unless one of its kind was written a short time ago.
    pub fn log(&mut self, kind: &'static str, words: String, now: Millis, out: &mut Vec<Action>) {
        if self.0.get(kind).is_none_or(|at| now >= at + EVERY) {
            self.0.insert(kind, now);
            out.push(Action::Log(format!("{kind}: {words}")));
        }
    }
}
