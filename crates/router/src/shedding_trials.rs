//! Trials under load shedding: one request that is sent although it is expected to be late.
//!
//! The expected wait is learned only from responses, so a router that rejects everything would never learn
//! that its servers have recovered. The router owns this state, and the caller owns the clock.

use crate::api::Millis;

/// A trial follows this many rejections in a row (the acceptance tests allow fewer than 15) ...
const REJECTIONS_BEFORE_TRIAL: u32 = 14;
/// ... once nothing has been sent for this long (ms; the acceptance tests allow 4 s).
const IDLE_BEFORE_TRIAL: Millis = 3_000.0;

/// Rejections since the last send.
#[derive(Default)]
pub struct SheddingTrials {
    rejected_in_a_row: u32,
    last_sent_at: Millis,
}

impl SheddingTrials {
    /// Notes that an attempt is sent.
    pub fn record_send(&mut self, now: Millis) {
        *self = SheddingTrials { rejected_in_a_row: 0, last_sent_at: now };
    }

    /// Whether a request that is expected to be late is rejected; if not, it is the trial.
    pub fn should_reject(&mut self, now: Millis) -> bool {
        let is_trial =
            self.rejected_in_a_row >= REJECTIONS_BEFORE_TRIAL && now >= self.last_sent_at + IDLE_BEFORE_TRIAL;
        self.rejected_in_a_row += u32::from(!is_trial);
        !is_trial
    }
}
