//! Logging to standard error through [`log!`](macro@crate::log), with a rate limit for each call site.

#![deny(missing_docs)]

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Maximum number of lines that one call site writes in one period.
const LINES_PER_PERIOD: u32 = 5;

/// Period of the rate limit.
const PERIOD: Duration = Duration::from_secs(5);

/// The rate limit of one call site.
pub struct RateLimit {
    period_start: Cell<Option<Instant>>,
    /// Number of lines in the current period, including suppressed ones.
    lines: Cell<u32>,
}

impl RateLimit {
    /// Creates a limit that has counted no lines.
    pub const fn new() -> Self {
        RateLimit { period_start: Cell::new(None), lines: Cell::new(0) }
    }

    /// Counts a line. If the line may be written, returns the number of lines suppressed in the previous period.
    pub fn admit(&self, now: Instant) -> Option<u32> {
        let mut suppressed = 0;
        if self.period_start.get().is_none_or(|start| now.duration_since(start) >= PERIOD) {
            suppressed = self.lines.replace(0).saturating_sub(LINES_PER_PERIOD);
            self.period_start.set(Some(now));
        }
        self.lines.set(self.lines.get().saturating_add(1));
        (self.lines.get() <= LINES_PER_PERIOD).then_some(suppressed)
    }
}

impl Default for RateLimit {
    fn default() -> Self {
        RateLimit::new()
    }
}

/// Writes one line to standard error if its rate limit allows it.
pub fn write_limited(limit: &RateLimit, text: std::fmt::Arguments) {
    if let Some(suppressed) = limit.admit(Instant::now()) {
        write(suppressed, text);
    }
}

/// Writes one line to standard error, with the number of lines of the same call site suppressed before it.
pub fn write(suppressed: u32, text: std::fmt::Arguments) {
    let suffix = if suppressed > 0 { format!(" ({suppressed} like it left out)") } else { String::new() };
    eprintln!("glenrail: {text}{suffix}");
}

/// Writes one line to standard error. Each call site writes at most five lines in five seconds.
#[macro_export]
macro_rules! log {
    ($($text:tt)*) => {{
        thread_local! { static LIMIT: $crate::log::RateLimit = const { $crate::log::RateLimit::new() }; }
        if let Some(suppressed) = LIMIT.with(|limit| limit.admit(std::time::Instant::now())) {
            $crate::log::write(suppressed, format_args!($($text)*));
        }
    }};
}

#[cfg(test)]
mod tests;
