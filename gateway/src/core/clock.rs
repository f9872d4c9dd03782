//! The router's clock, and milliseconds as durations.

use std::time::Duration;

use glenrail_router::Millis;
use tokio::time::Instant;

/// Longest duration that a number of milliseconds is turned into: one hour.
const MAX_DURATION: Millis = 3.6e6;

/// Milliseconds since this process began, and the wall clock's time at that moment.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_ms: f64,
}

impl Clock {
    /// A clock that begins now, when the wall clock shows `unix` since the Unix epoch.
    pub fn new(unix: Duration) -> Self {
        Clock { start: Instant::now(), unix_ms: millis(unix) }
    }

    /// Milliseconds since this clock began.
    pub fn now(&self) -> Millis {
        self.at(Instant::now())
    }

    /// What this clock shows at an instant; 0 for any before it began.
    pub fn at(&self, instant: Instant) -> Millis {
        millis(instant.saturating_duration_since(self.start))
    }

    /// What this clock shows at a time of the wall clock, in Unix milliseconds; negative for what was before this process.
    pub fn of_unix(&self, unix_ms: f64) -> Millis {
        unix_ms - self.unix_ms
    }

    /// What the wall clock shows at a time of this clock, in Unix milliseconds.
    pub fn unix(&self, time: Millis) -> Millis {
        time + self.unix_ms
    }

    /// The instant at which this clock shows `time`. Only the part that is still ahead is limited to the range of
    /// [`duration`], never the part that has passed: a process may run for days.
    pub(super) fn instant(&self, time: Millis) -> Instant {
        let now = Instant::now();
        now + duration(time - self.at(now))
    }
}

/// A duration in milliseconds.
pub fn millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1000.0
}

/// Milliseconds as a duration, limited to between 0 and one hour; 0 for what is not a finite number.
pub fn duration(milliseconds: Millis) -> Duration {
    let limited = if milliseconds.is_finite() { milliseconds.clamp(0.0, MAX_DURATION) / 1000.0 } else { 0.0 };
    Duration::from_secs_f64(limited)
}
