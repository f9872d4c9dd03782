//! Cutoff in the priority order, below which a level rejects requests.

use crate::{PerMille, PER_MILLE_SCALE};

/// Rejects all bands below `band`, and in `band` the ranks below `below_rank`. If `band` is 255 and
/// `below_rank` is less than 65,536, it instead rejects the ranks below `below_rank` in every band.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cutoff {
    band: u8,
    /// Lowest rank that is admitted in `band`, or 65,536 if none is.
    below_rank: u32,
}

/// Number of ranks in a band.
const RANK_COUNT: u128 = 1 << 16;

impl Cutoff {
    /// Rejects nothing.
    pub const ADMIT_ALL: Cutoff = Cutoff { band: 0, below_rank: 0 };
    /// Rejects everything.
    pub const REJECT_ALL: Cutoff = Cutoff { band: u8::MAX, below_rank: RANK_COUNT as u32 };

    /// Returns the cutoff that rejects the share `level` of the work, lowest bands first. `work_by_band` has
    /// each band once, lowest band first. If it has no work, that share of the ranks is rejected
    /// in every band.
    pub fn for_level(level: PerMille, work_by_band: &[(u8, u64)]) -> Cutoff {
        if level == 0 {
            return Cutoff::ADMIT_ALL;
        }
        if level >= PER_MILLE_SCALE {
            return Cutoff::REJECT_ALL;
        }
        let total_work: u128 = work_by_band.iter().map(|(_, work)| u128::from(*work)).sum();
        // In thousandths of work, so that rounding loses nothing.
        let mut to_reject = total_work * u128::from(level);
        for (band, work) in work_by_band {
            let work = u128::from(*work) * u128::from(PER_MILLE_SCALE);
            if to_reject < work {
                return Cutoff { band: *band, below_rank: (to_reject * RANK_COUNT / work) as u32 };
            }
            to_reject -= work;
        }
        Cutoff {
            band: u8::MAX,
            below_rank: (u128::from(level) * RANK_COUNT / u128::from(PER_MILLE_SCALE)) as u32,
        }
    }

    pub fn rejects(&self, band: u8, rank: u16) -> bool {
        // Without known work, the cutoff applies to the ranks of every band.
        let all_bands_alike = self.band == u8::MAX && self.below_rank < RANK_COUNT as u32;
        let at_cutoff = band == self.band || all_bands_alike;
        band < self.band && !all_bands_alike || at_cutoff && u32::from(rank) < self.below_rank
    }
}
