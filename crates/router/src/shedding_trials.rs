//! Trials under load shedding: single requests that are sent although they are expected to be late.
//!
//! The expected wait is updated only by responses, so a router that rejects every request could not detect
//! that its servers have recovered. The router owns this state, and the caller owns the clock.

use crate::api::Millis;

/// Number of consecutive rejections before a trial. The acceptance tests require fewer than 15.
const REJECTIONS_BEFORE_TRIAL: u32 = 14;
/// Minimum time without any send before a trial (ms). The acceptance tests require an attempt within 4 s.
const IDLE_BEFORE_TRIAL: Millis = 3_000.0;

/// Number of rejections since the last send, and the time of that send.
#[derive(Default)]
pub struct SheddingTrials {
    consecutive_rejections: u32,
    last_sent_at: Millis,
}

impl SheddingTrials {
    /// Records the send of an attempt.
    pub fn record_send(&mut self, now: Millis) {
        *self = SheddingTrials { consecutive_rejections: 0, last_sent_at: now };
    }

    /// Returns whether a request that load shedding selects for rejection is rejected. If it is not, it
    /// serves as the trial.
    pub fn should_reject(&mut self, now: Millis) -> bool {
        let is_trial = self.consecutive_rejections >= REJECTIONS_BEFORE_TRIAL
            && now >= self.last_sent_at + IDLE_BEFORE_TRIAL;
        self.consecutive_rejections += u32::from(!is_trial);
        !is_trial
    }
}
