//! When the refused are told to come back.

use super::Place;
use crate::{portion, Ms, PerMille, WHOLE};

/// The settings' bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryAfter {
    /// Whether clients may be told at all.
    pub told: bool,
    pub least: Ms,
    pub most: Ms,
}

impl RetryAfter {
    /// How long a refused session is told to wait: within the bounds, the later the higher the level, and the refused of
    /// one moment spread evenly over a window that grows with the level.
    pub fn at(&self, level: PerMille, place: Place) -> Option<Ms> {
        let window =
            portion(self.most.saturating_sub(self.least), u64::from(level.min(WHOLE)), u64::from(WHOLE));
        let wait = self.least + portion(window, u64::from(place.spread()), u64::from(u32::MAX));
        self.told.then_some(wait.min(self.most.max(self.least)))
    }
}
