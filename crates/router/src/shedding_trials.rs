//! Trials: what is expected is learned from answers alone, so a router that turns away all that comes would never hear that
//! its servers are well again. No clock, no I/O.

use crate::api::Millis;

/// Once so many requests in a row were turned away and nothing was sent for so long (ms), the next is sent as a trial, however
/// late it is expected. The acceptance leaves 14 and 4 s.
const IN_A_ROW: u32 = 14;
const NOTHING_SENT: Millis = 3_000.0;

#[derive(Default)]
pub struct Trials {
    /// Turned away since anything was sent, and when that was.
    turned_away: u32,
    sent: Millis,
}

impl Trials {
    /// An attempt goes out.
    pub fn sent(&mut self, now: Millis) {
        *self = Trials { turned_away: 0, sent: now };
    }

    /// Whether one more request that would come late is turned away.
    pub fn turns_away(&mut self, now: Millis) -> bool {
        let trial = self.turned_away >= IN_A_ROW && now >= self.sent + NOTHING_SENT;
        self.turned_away += u32::from(!trial);
        !trial
    }
}
