//! The machine's monotonic clock, which is the same for all processes of a run.

use rustix::time::{clock_gettime, ClockId};

/// Time on the machine's monotonic clock, in microseconds.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;

/// Returns the current time.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
