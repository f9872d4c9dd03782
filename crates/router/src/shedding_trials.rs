//! Trials: what is expected is learned from answers alone, so a router that turns away all that comes would never hear that
//! its servers are well again. No clock, no I/O.

use crate::api::Millis;

/// Once so many requests in a row were turned away and nothing was sent for so long (ms), the next is sent as a trial, however
/// late it is expected. The acceptance leaves 14 and 4 s.
const IN_A_ROW: u32 = 14;
const NOTHING_SENT: Millis = 3_000.0;

#[derive(Default)]
pub struct SheddingTrials {
    /// Turned away since anything was sent, and when that was.
    rejected_in_a_row: u32,
    record_send: Millis,
}

impl SheddingTrials {
    /// An attempt goes out.
    pub fn record_send(&mut self, now: Millis) {
        *self = SheddingTrials { rejected_in_a_row: 0, record_send: now };
    }

    /// Whether one more request that would come late is turned away.
    pub fn should_reject(&mut self, now: Millis) -> bool {
        let trial = self.rejected_in_a_row >= IN_A_ROW && now >= self.record_send + NOTHING_SENT;
        self.rejected_in_a_row += u32::from(!trial);
        !trial
    }
}
