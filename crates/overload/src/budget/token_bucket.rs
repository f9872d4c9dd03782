//! What a member has saved up of its part, and how much it asks for.

use super::Units;
use crate::Ms;

/// One retry or probe: thousandths, times the milliseconds of a second.
const TOKENS_PER_SPEND: u64 = 1_000_000;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct TokenBucket {
    /// Thousandths times milliseconds.
    tokens: u64,
    refilled_at: Ms,
    /// Spending that was asked for in this second and the one before, granted or not.
    demand_second: Ms,
    demand: [u32; 2],
}

impl TokenBucket {
    /// A new purse is empty: what an earlier life saved up may have been spent by it.
    pub fn new(now: Ms) -> Self {
        TokenBucket { refilled_at: now, ..TokenBucket::default() }
    }

    /// Lets time pass, in which the part was at least `min_rate`, and is `rate` now.
    pub fn refill(&mut self, now: Ms, min_rate: Units, rate: Units, burst_duration: Ms) {
        let earned = now.saturating_sub(self.refilled_at).saturating_mul(u64::from(min_rate));
        // Room for one at least, or the smallest parts could never spend.
        let capacity =
            u64::from(rate).saturating_mul(burst_duration).max(if rate > 0 { TOKENS_PER_SPEND } else { 0 });
        self.tokens = self.tokens.saturating_add(earned).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Spends one, if so much is saved up.
    pub fn try_spend(&mut self, now: Ms) -> bool {
        self.rotate_demand(now);
        self.demand[0] = self.demand[0].saturating_add(1);
        let allowed = self.tokens >= TOKENS_PER_SPEND;
        self.tokens -= if allowed { TOKENS_PER_SPEND } else { 0 };
        allowed
    }

    /// What this member would spend if it could.
    pub fn demanded_rate(&mut self, now: Ms) -> Units {
        self.rotate_demand(now);
        self.demand[0].max(self.demand[1]).saturating_mul(1_000)
    }

    fn rotate_demand(&mut self, now: Ms) {
        let current_second = now / 1_000;
        match current_second.saturating_sub(self.demand_second) {
            0 => {}
            1 => self.demand = [0, self.demand[0]],
            _ => self.demand = [0, 0],
        }
        self.demand_second = self.demand_second.max(current_second);
    }
}
