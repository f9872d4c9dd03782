//! The machine's monotonic clock, which all processes of a run share.

use rustix::time::{clock_gettime, ClockId};

/// Microseconds on the machine's monotonic clock.
pub type Micros = u64;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;

/// The present moment.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
