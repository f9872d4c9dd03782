//! Level that a member applies: it follows the fleet's level at a bounded rate.

use crate::{Ms, PerMille, PER_MILLE_SCALE};

/// Maximum change of the applied level per second, in thousandths.
pub const MAX_CHANGE_PER_SECOND: u64 = 300;
/// Time (ms) after which members with the same reports apply the same level, whatever level they started
/// from, if each calls [`AppliedLevel::step`] at least once per second.
pub const SETTLING_TIME: Ms = 1_000 * PER_MILLE_SCALE as Ms / MAX_CHANGE_PER_SECOND + 1;
/// Longest time (ms) that one step counts, so that the level does not jump after the process was suspended.
const MAX_STEP: Ms = 1_000;

/// Applied level, stored in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AppliedLevel {
    millionths: u64,
    updated_at: Ms,
}

impl AppliedLevel {
    pub fn new(now: Ms) -> Self {
        AppliedLevel { millionths: 0, updated_at: now }
    }

    /// Moves the level towards `target`, the fleet's level, as far as the elapsed time allows, and returns
    /// it.
    pub fn step(&mut self, now: Ms, target: PerMille) -> PerMille {
        let max_change = now.saturating_sub(self.updated_at).min(MAX_STEP) * MAX_CHANGE_PER_SECOND;
        self.updated_at = self.updated_at.max(now);
        let target = u64::from(target.min(PER_MILLE_SCALE)) * 1_000;
        let (low, high) = (self.millionths.saturating_sub(max_change), self.millionths + max_change);
        self.millionths = target.clamp(low, high);
        self.get()
    }

    pub fn get(&self) -> PerMille {
        u32::try_from(self.millionths / 1_000).unwrap_or(PER_MILLE_SCALE)
    }
}
