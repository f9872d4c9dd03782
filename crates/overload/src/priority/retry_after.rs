//! Delay after which rejected clients may retry.

use super::SessionHash;
use crate::{scale_by_ratio, Ms, PerMille, PER_MILLE_SCALE};

/// Bounds of the retry delay, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryAfterBounds {
    /// Whether rejections give clients a retry delay at all.
    pub enabled: bool,
    pub min: Ms,
    pub max: Ms,
}

impl RetryAfterBounds {
    /// Returns the retry delay for a rejected session; `None` if the settings disable it. The delay is within
    /// the bounds and grows with the level, and sessions rejected at the same time are spread evenly over a
    /// window whose width grows with the level.
    pub fn delay(&self, level: PerMille, session: SessionHash) -> Option<Ms> {
        let window = scale_by_ratio(
            self.max.saturating_sub(self.min),
            u64::from(level.min(PER_MILLE_SCALE)),
            u64::from(PER_MILLE_SCALE),
        );
        let delay = self.min + scale_by_ratio(window, u64::from(session.retry_jitter()), u64::from(u32::MAX));
        self.enabled.then_some(delay.min(self.max.max(self.min)))
    }
}
