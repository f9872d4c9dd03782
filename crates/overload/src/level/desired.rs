//! What one member would have the fleet turn away, from its own pressure.

use crate::{Ms, PerMille, PER_MILLE_SCALE};

/// Above this wait, in thousandths of what is aimed at, more is turned away.
pub const RAISE_ABOVE_PRESSURE: PerMille = 1_000;
/// Below this, less. Between them the wish stays: a queue in its bounds is no cause to change.
pub const LOWER_BELOW_PRESSURE: PerMille = 600;
/// Most change a second, in thousandths: up while queues grow, down when they are short.
const MAX_RISE_PER_SECOND: u64 = 250;
const MAX_FALL_PER_SECOND: u64 = 200;
/// Thousandths of change a second for each thousandth beyond a bound.
const GAIN: u64 = 1;
/// Longest time that one step counts; a process that was stopped knows nothing of the time between.
const MAX_STEP: Ms = 1_000;

/// The wish, in millionths inside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DesiredLevel {
    millionths: u64,
    updated_at: Ms,
}

impl DesiredLevel {
    pub fn new(now: Ms) -> Self {
        DesiredLevel { millionths: 0, updated_at: now }
    }

    /// Lets time pass under a pressure: the greatest of the roles' waits in thousandths of their aims.
    pub fn step(&mut self, now: Ms, pressure: PerMille) -> PerMille {
        let elapsed = now.saturating_sub(self.updated_at).min(MAX_STEP);
        self.updated_at = self.updated_at.max(now);
        let rise = u64::from(pressure.saturating_sub(RAISE_ABOVE_PRESSURE)) * GAIN;
        let fall = u64::from(LOWER_BELOW_PRESSURE.saturating_sub(pressure)) * GAIN;
        // A thousandth a second is a millionth a millisecond.
        let max = u64::from(PER_MILLE_SCALE) * 1_000;
        self.millionths = (self.millionths + rise.min(MAX_RISE_PER_SECOND) * elapsed).min(max);
        self.millionths = self.millionths.saturating_sub(fall.min(MAX_FALL_PER_SECOND) * elapsed);
        self.get()
    }

    pub fn get(&self) -> PerMille {
        u32::try_from(self.millionths / 1_000).unwrap_or(PER_MILLE_SCALE)
    }
}
