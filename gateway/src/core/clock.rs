//! The module's clock, and milliseconds as durations.

use std::time::Duration;

use glenrail_router::Millis;
use tokio::time::Instant;

/// Milliseconds since this process began, beside the machine's clock at that time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_ms: f64,
}

impl Clock {
    pub fn new(unix: Duration) -> Self {
        Clock { start: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }
    pub fn now(&self) -> Millis {
        self.at(Instant::now())
    }
    pub fn at(&self, when: Instant) -> Millis {
        when.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }
    /// A time on the machine's clock; it lies before this clock's zero for what began before this process.
    pub fn of_unix(&self, ms: f64) -> Millis {
        ms - self.unix_ms
    }
    /// What the machine's clock shows at this time.
    pub fn unix(&self, at: Millis) -> Millis {
        at + self.unix_ms
    }
    /// What lies ahead is cut to the range of durations, never what lies behind: a process may run for days.
    pub(super) fn instant(&self, at: Millis) -> Instant {
        let now = Instant::now();
        now + duration(at - self.at(now))
    }
}

/// Milliseconds as a duration; what is negative, not a number or beyond an hour is cut to that range.
pub fn duration(ms: Millis) -> Duration {
    Duration::from_secs_f64(if ms.is_finite() { ms.clamp(0.0, 3.6e6) / 1000.0 } else { 0.0 })
}
