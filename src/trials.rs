//! Trials: what is expected is learned from answers alone, so a router that turns away all that comes would never hear that
//! its servers are well again. No clock, no I/O.

/// So many requests in a row are turned away; the next is sent as a trial, however late it is expected. The acceptance
/// leaves 14.
const IN_A_ROW: u32 = 14;

#[derive(Default)]
pub struct Trials {
    /// Turned away since anything was sent.
    turned_away: u32,
}

impl Trials {
    /// An attempt goes out.
    pub fn sent(&mut self) {
        self.turned_away = 0;
    }

    /// Whether one more request that would come late is turned away.
    pub fn turns_away(&mut self) -> bool {
        let trial = self.turned_away >= IN_A_ROW;
        self.turned_away += u32::from(!trial);
        !trial
    }
}
