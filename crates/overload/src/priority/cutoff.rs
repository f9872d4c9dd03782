//! Where the level cuts the order.

use crate::{PerMille, WHOLE};

/// Everything below this band is refused, and of this band what stands below the rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cut {
    band: u8,
    /// Of 65,536.
    below: u32,
}

const RANKS: u128 = 1 << 16;

impl Cut {
    /// Nothing is refused.
    pub const NONE: Cut = Cut { band: 0, below: 0 };
    /// Everything is.
    pub const ALL: Cut = Cut { band: u8::MAX, below: RANKS as u32 };

    /// The cut that turns away this share of the work that the bands have, lowest first; each band once, smallest
    /// first. Where nobody knows the work, all bands lose alike, by rank.
    pub fn at(level: PerMille, bands: &[(u8, u64)]) -> Cut {
        if level == 0 {
            return Cut::NONE;
        }
        if level >= WHOLE {
            return Cut::ALL;
        }
        let whole: u128 = bands.iter().map(|(_, work)| u128::from(*work)).sum();
        // In thousandths of work, so that nothing is lost by rounding.
        let mut refuse = whole * u128::from(level);
        for (band, work) in bands {
            let work = u128::from(*work) * u128::from(WHOLE);
            if refuse < work {
                return Cut { band: *band, below: (refuse * RANKS / work) as u32 };
            }
            refuse -= work;
        }
        Cut { band: u8::MAX, below: (u128::from(level) * RANKS / u128::from(WHOLE)) as u32 }
    }

    pub fn refuses(&self, band: u8, rank: u16) -> bool {
        // Where no band is known, the cut goes through all of them.
        let even = self.band == u8::MAX && self.below < RANKS as u32;
        let at = band == self.band || even;
        band < self.band && !even || at && u32::from(rank) < self.below
    }
}
