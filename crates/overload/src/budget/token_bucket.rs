//! Token bucket of one member, and the demand for its tokens.

use super::Units;
use crate::Ms;

/// Tokens of one retry or probe: 1000 thousandths times the milliseconds of a second.
const TOKENS_PER_SPEND: u64 = 1_000_000;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct TokenBucket {
    /// Saved tokens: units times milliseconds.
    tokens: u64,
    refilled_at: Ms,
    /// Second in which `demand[0]` was counted.
    demand_second: Ms,
    /// Attempts to spend in that second and the one before, successful or not.
    demand: [u32; 2],
}

impl TokenBucket {
    /// Creates an empty bucket: a former incarnation may have spent what it had saved up.
    pub fn new(now: Ms) -> Self {
        TokenBucket { refilled_at: now, ..TokenBucket::default() }
    }

    /// Adds the tokens of the time since the last refill, in which the rate was at least `min_rate`, and
    /// limits the saved tokens to what the current `rate` yields in `burst_duration`.
    pub fn refill(&mut self, now: Ms, min_rate: Units, rate: Units, burst_duration: Ms) {
        let earned = now.saturating_sub(self.refilled_at).saturating_mul(u64::from(min_rate));
        // At any rate above zero, the bucket has room for at least one spend. Otherwise, a member with a very
        // low rate could never save up enough tokens.
        let capacity =
            u64::from(rate).saturating_mul(burst_duration).max(if rate > 0 { TOKENS_PER_SPEND } else { 0 });
        self.tokens = self.tokens.saturating_add(earned).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Spends one retry or probe, if enough tokens are saved up.
    pub fn try_spend(&mut self, now: Ms) -> bool {
        self.rotate_demand(now);
        self.demand[0] = self.demand[0].saturating_add(1);
        let allowed = self.tokens >= TOKENS_PER_SPEND;
        self.tokens -= if allowed { TOKENS_PER_SPEND } else { 0 };
        allowed
    }

    /// Returns the rate at which this member tried to spend: the higher one of this second and the
    /// one before.
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
