//! What one member would have the fleet turn away, from its own pressure.

use crate::{Ms, PerMille, WHOLE};

/// Above this wait, in thousandths of what is aimed at, more is turned away.
pub const FULL: PerMille = 1_000;
/// Below this, less. Between them the wish stays: a queue in its bounds is no cause to change.
pub const CALM: PerMille = 600;
/// Most change a second, in thousandths: up while queues grow, down when they are short.
const RISE: u64 = 250;
const FALL: u64 = 200;
/// Thousandths of change a second for each thousandth beyond a bound.
const GAIN: u64 = 1;
/// Longest time that one step counts; a process that was stopped knows nothing of the time between.
const LONGEST_STEP: Ms = 1_000;

/// The wish, in millionths inside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Wish {
    millionths: u64,
    at: Ms,
}

impl Wish {
    pub fn new(now: Ms) -> Self {
        Wish { millionths: 0, at: now }
    }

    /// Lets time pass under a pressure: the greatest of the roles' waits in thousandths of their aims.
    pub fn step(&mut self, now: Ms, pressure: PerMille) -> PerMille {
        let passed = now.saturating_sub(self.at).min(LONGEST_STEP);
        self.at = self.at.max(now);
        let over = u64::from(pressure.saturating_sub(FULL)) * GAIN;
        let under = u64::from(CALM.saturating_sub(pressure)) * GAIN;
        // A thousandth a second is a millionth a millisecond.
        let most = u64::from(WHOLE) * 1_000;
        self.millionths = (self.millionths + over.min(RISE) * passed).min(most);
        self.millionths = self.millionths.saturating_sub(under.min(FALL) * passed);
        self.get()
    }

    pub fn get(&self) -> PerMille {
        u32::try_from(self.millionths / 1_000).unwrap_or(WHOLE)
    }
}
