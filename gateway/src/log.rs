//! The only way to write a log line: [`log!`](macro@crate::log), rate-limited for each place in the code that calls it.

#![deny(missing_docs)]

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Lines that one place may write in one period.
const LINES_PER_PERIOD: u32 = 5;

/// The period of the rate limit.
const PERIOD: Duration = Duration::from_secs(5);

/// The rate limit of one place in the code.
pub struct Limit {
    period_start: Cell<Option<Instant>>,
    /// Lines of this period, those left out included.
    lines: Cell<u32>,
}

impl Limit {
    /// A limit that has counted no lines.
    pub const fn new() -> Self {
        Limit { period_start: Cell::new(None), lines: Cell::new(0) }
    }

    /// Counts a line; if it may be written now, returns how many were left out in the period before.
    pub fn pass(&self, now: Instant) -> Option<u32> {
        let mut left_out = 0;
        if self.period_start.get().is_none_or(|start| now.duration_since(start) >= PERIOD) {
            left_out = self.lines.replace(0).saturating_sub(LINES_PER_PERIOD);
            self.period_start.set(Some(now));
        }
        self.lines.set(self.lines.get().saturating_add(1));
        (self.lines.get() <= LINES_PER_PERIOD).then_some(left_out)
    }
}

impl Default for Limit {
    fn default() -> Self {
        Limit::new()
    }
}

/// Writes one line to standard error, if its limit allows that.
pub fn line(limit: &Limit, text: std::fmt::Arguments) {
    if let Some(left_out) = limit.pass(Instant::now()) {
        write(left_out, text);
    }
}

/// Writes one line to standard error, and how many lines like it were left out before.
pub fn write(left_out: u32, text: std::fmt::Arguments) {
    let suffix = if left_out > 0 { format!(" ({left_out} like it left out)") } else { String::new() };
    eprintln!("glenrail: {text}{suffix}");
}

/// Writes one line to standard error, at most five in five seconds from each place that calls it.
#[macro_export]
macro_rules! log {
    ($($text:tt)*) => {{
        thread_local! { static LIMIT: $crate::log::Limit = const { $crate::log::Limit::new() }; }
        if let Some(left_out) = LIMIT.with(|limit| limit.pass(std::time::Instant::now())) {
            $crate::log::write(left_out, format_args!($($text)*));
        }
    }};
}

#[cfg(test)]
mod tests;
