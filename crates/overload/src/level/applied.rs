//! The level that a member acts on: it follows the fleet's at a bounded rate.

use crate::{Ms, PerMille, WHOLE};

/// Most change a second, in thousandths.
pub const MOST_A_SECOND: u64 = 300;
/// After so long under the same words, members stand at the same level, whatever they came from.
pub const SETTLES: Ms = 1_000 * WHOLE as Ms / MOST_A_SECOND + 1;
/// Longest time that one step counts; a process that was stopped goes on gently.
const LONGEST_STEP: Ms = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Level {
    millionths: u64,
    at: Ms,
}

impl Level {
    pub fn new(now: Ms) -> Self {
        Level { millionths: 0, at: now }
    }

    /// Lets time pass while the fleet's words give this level.
    pub fn step(&mut self, now: Ms, target: PerMille) -> PerMille {
        let most = now.saturating_sub(self.at).min(LONGEST_STEP) * MOST_A_SECOND;
        self.at = self.at.max(now);
        let target = u64::from(target.min(WHOLE)) * 1_000;
        let (low, high) = (self.millionths.saturating_sub(most), self.millionths + most);
        self.millionths = target.clamp(low, high);
        self.get()
    }

    pub fn get(&self) -> PerMille {
        u32::try_from(self.millionths / 1_000).unwrap_or(WHOLE)
    }
}
