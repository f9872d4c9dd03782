//! When the refused are told to come back.

use super::SessionHash;
use crate::{scale_by_ratio, Ms, PerMille, PER_MILLE_SCALE};

/// The settings' bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryAfterBounds {
    /// Whether clients may be told at all.
    pub enabled: bool,
    pub min: Ms,
    pub max: Ms,
}

impl RetryAfterBounds {
    /// How long a refused session is told to wait: within the bounds, the later the higher the level, and the refused of
    /// one moment spread evenly over a window that grows with the level.
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
