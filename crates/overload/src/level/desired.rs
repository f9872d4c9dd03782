//! Level that one member requests for the fleet, by the pressure on its own queues.

use crate::{Ms, PerMille, PER_MILLE_SCALE};

/// Pressure, in thousandths of the target wait, above which the desired level rises.
pub const RAISE_ABOVE_PRESSURE: PerMille = 1_000;
/// Pressure below which the desired level falls. Between the two bounds it stays the same: a queue that is
/// close to its target is no reason for a change.
pub const LOWER_BELOW_PRESSURE: PerMille = 600;
/// Maximum rise per second, in thousandths, while queues are too long.
const MAX_RISE_PER_SECOND: u64 = 250;
/// Maximum fall per second, in thousandths, while queues are short.
const MAX_FALL_PER_SECOND: u64 = 200;
/// Change per second, in thousandths, for each thousandth of pressure beyond a bound.
const GAIN: u64 = 1;
/// Longest time (ms) that one step counts: a process that was suspended has no measurements of that time.
const MAX_STEP: Ms = 1_000;

/// Desired level, stored in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DesiredLevel {
    millionths: u64,
    updated_at: Ms,
}

impl DesiredLevel {
    pub fn new(now: Ms) -> Self {
        DesiredLevel { millionths: 0, updated_at: now }
    }

    /// Updates the level for the time since the last step and returns it. `pressure` is the largest of the
    /// roles' queue waits, in thousandths of their targets.
    pub fn step(&mut self, now: Ms, pressure: PerMille) -> PerMille {
        let elapsed = now.saturating_sub(self.updated_at).min(MAX_STEP);
        self.updated_at = self.updated_at.max(now);
        let rise = u64::from(pressure.saturating_sub(RAISE_ABOVE_PRESSURE)) * GAIN;
        let fall = u64::from(LOWER_BELOW_PRESSURE.saturating_sub(pressure)) * GAIN;
        // One thousandth per second is one millionth per millisecond.
        let max = u64::from(PER_MILLE_SCALE) * 1_000;
        self.millionths = (self.millionths + rise.min(MAX_RISE_PER_SECOND) * elapsed).min(max);
        self.millionths = self.millionths.saturating_sub(fall.min(MAX_FALL_PER_SECOND) * elapsed);
        self.get()
    }

    pub fn get(&self) -> PerMille {
        u32::try_from(self.millionths / 1_000).unwrap_or(PER_MILLE_SCALE)
    }
}
