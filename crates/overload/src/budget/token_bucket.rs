//! What a member has saved up of its part, and how much it asks for.

use super::Units;
use crate::Ms;

/// One retry or probe: thousandths, times the milliseconds of a second.
const ONE: u64 = 1_000_000;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Purse {
    /// Thousandths times milliseconds.
    saved: u64,
    at: Ms,
    /// Spending that was asked for in this second and the one before, granted or not.
    second: Ms,
    asked: [u32; 2],
}

impl Purse {
    /// A new purse is empty: what an earlier life saved up may have been spent by it.
    pub fn new(now: Ms) -> Self {
        Purse { at: now, ..Purse::default() }
    }

    /// Lets time pass, in which the part was at least `least`, and is `part` now.
    pub fn pass(&mut self, now: Ms, least: Units, part: Units, burst: Ms) {
        let earned = now.saturating_sub(self.at).saturating_mul(u64::from(least));
        // Room for one at least, or the smallest parts could never spend.
        let most = u64::from(part).saturating_mul(burst).max(if part > 0 { ONE } else { 0 });
        self.saved = self.saved.saturating_add(earned).min(most);
        self.at = self.at.max(now);
    }

    /// Spends one, if so much is saved up.
    pub fn spend(&mut self, now: Ms) -> bool {
        self.turn(now);
        self.asked[0] = self.asked[0].saturating_add(1);
        let may = self.saved >= ONE;
        self.saved -= if may { ONE } else { 0 };
        may
    }

    /// What this member would spend if it could.
    pub fn need(&mut self, now: Ms) -> Units {
        self.turn(now);
        self.asked[0].max(self.asked[1]).saturating_mul(1_000)
    }

    fn turn(&mut self, now: Ms) {
        let second = now / 1_000;
        match second.saturating_sub(self.second) {
            0 => {}
            1 => self.asked = [0, self.asked[0]],
            _ => self.asked = [0, 0],
        }
        self.second = self.second.max(second);
    }
}
