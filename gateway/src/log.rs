//! The one way to write a log line: [`log!`], rate-limited for each place that calls it.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Lines that one place may write in one period.
const LINES: u32 = 5;
const PERIOD: Duration = Duration::from_secs(5);

/// Counts the lines of one place in the program.
pub struct Limit {
    since: Cell<Option<Instant>>,
    lines: Cell<u32>,
}

impl Limit {
    pub const fn new() -> Self {
        Limit { since: Cell::new(None), lines: Cell::new(0) }
    }

    /// Whether a line may be written now, and how many were left out in the period before.
    pub fn pass(&self, now: Instant) -> Option<u32> {
        let mut missed = 0;
        if self.since.get().is_none_or(|s| now.duration_since(s) >= PERIOD) {
            missed = self.lines.replace(0).saturating_sub(LINES);
            self.since.set(Some(now));
        }
        self.lines.set(self.lines.get().saturating_add(1));
        (self.lines.get() <= LINES).then_some(missed)
    }
}

impl Default for Limit {
    fn default() -> Self {
        Limit::new()
    }
}

/// Writes one line to standard error, if its limit lets it pass.
pub fn line(limit: &Limit, words: std::fmt::Arguments) {
    if let Some(missed) = limit.pass(Instant::now()) {
        write(missed, words);
    }
}

/// Writes one line to standard error, and how many like it were left out before.
pub fn write(missed: u32, words: std::fmt::Arguments) {
    let more = if missed > 0 { format!(" ({missed} like it left out)") } else { String::new() };
    eprintln!("glenrail: {words}{more}");
}

/// Writes one line to standard error, at most five in five seconds from each place that calls it.
#[macro_export]
macro_rules! log {
    ($($words:tt)*) => {{
        thread_local! { static LIMIT: $crate::log::Limit = const { $crate::log::Limit::new() }; }
        if let Some(missed) = LIMIT.with(|l| l.pass(std::time::Instant::now())) {
            $crate::log::write(missed, format_args!($($words)*));
        }
    }};
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a flood of lines filling memory, where the log is kept.
    #[test]
    fn a_place_is_limited_and_says_later_what_it_left_out() {
        let (limit, start) = (Limit::new(), Instant::now());
        let passed = (0..20).filter(|_| limit.pass(start).is_some()).count();
        assert_eq!(passed, LINES as usize);
        assert_eq!(limit.pass(start + PERIOD), Some(20 - LINES));
        assert_eq!(limit.pass(start + 2 * PERIOD), Some(0));
    }
}
