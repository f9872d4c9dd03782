//! The router's clock, and conversions between milliseconds and durations.

use std::time::Duration;

use glenrail_router::Millis;
use tokio::time::Instant;

/// Maximum result of [`duration`], in milliseconds: one hour.
const MAX_DURATION: Millis = 3.6e6;

/// Monotonic clock in milliseconds since its creation, with the wall-clock time of its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_ms: f64,
}

impl Clock {
    /// Creates a clock that starts now; `unix` is the present wall-clock time since the Unix epoch.
    pub fn new(unix: Duration) -> Self {
        Clock { start: Instant::now(), unix_ms: millis(unix) }
    }

    /// Returns the milliseconds since this clock started.
    pub fn now(&self) -> Millis {
        self.at(Instant::now())
    }

    /// Returns this clock's time at an instant; 0 for an instant before its start.
    pub fn at(&self, instant: Instant) -> Millis {
        millis(instant.saturating_duration_since(self.start))
    }

    /// Converts Unix milliseconds to this clock's time; negative for times before this clock started.
    pub fn from_unix(&self, unix_ms: f64) -> Millis {
        unix_ms - self.unix_ms
    }

    /// Converts this clock's time to Unix milliseconds.
    pub fn to_unix(&self, time: Millis) -> Millis {
        time + self.unix_ms
    }

    /// Returns the instant at which this clock reaches `time`. The limit of [`duration`] applies only to the remaining time,
    /// not to the time since the start, because a process may run for days.
    pub(super) fn instant(&self, time: Millis) -> Instant {
        let now = Instant::now();
        now + duration(time - self.at(now))
    }
}

/// Converts a duration to milliseconds.
pub fn millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1000.0
}

/// Converts milliseconds to a duration between 0 and one hour; 0 for a number that is not finite.
pub fn duration(milliseconds: Millis) -> Duration {
    let limited = if milliseconds.is_finite() { milliseconds.clamp(0.0, MAX_DURATION) / 1000.0 } else { 0.0 };
    Duration::from_secs_f64(limited)
}
