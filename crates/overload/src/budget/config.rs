//! What all members of a fleet must be told alike by their operators' files.

use super::{ConfigError, Units};
use crate::{scale_by_ratio, Ms, PerMille, PER_MILLE_SCALE};

/// A budget's terms. All members need the same but for `owns_share`; a list of seats may grow while fewer run (raise it
/// at every member, then start the new one) and shrink after the last of those that leave has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BudgetConfig {
    /// What the whole fleet may spend.
    pub total: Units,
    /// Members that own a share, running or not.
    pub share_owners: u32,
    /// Whether this member is one of them; others live on what they are lent.
    pub owns_share: bool,
    /// Share of what a member owns that it never lends, and may spend from its first moment.
    pub floor: PerMille,
    /// Length of a lease on its borrower's clock.
    pub lease_duration: Ms,
    /// How far a clock may run from true time: parts of 10,000.
    pub max_clock_drift: u32,
    /// Others that must have pledged a seat's lendable share to its owner lately; with none, it is the owner's for good,
    /// and lies idle when the owner is gone. With so many, as many members may be gone at once and what they owned
    /// is inherited; a piece of a cut fleet needs one more than that to keep its own. At most half of the seats.
    pub witnesses: u32,
    /// How long a member may save up its part.
    pub burst_duration: Ms,
}

impl BudgetConfig {
    pub fn check(&self) -> Result<(), ConfigError> {
        if self.share_owners == 0 {
            return Err(ConfigError::NoShareOwners);
        }
        if self.floor > PER_MILLE_SCALE {
            return Err(ConfigError::FloorAboveShare { per_mille: self.floor });
        }
        if !(100..=60_000).contains(&self.lease_duration) {
            return Err(ConfigError::LeaseOutOfBounds { lease_ms: self.lease_duration });
        }
        if self.max_clock_drift >= 5_000 {
            return Err(ConfigError::DriftOutOfBounds { drift: self.max_clock_drift });
        }
        if u64::from(self.witnesses) * 2 > u64::from(self.share_owners) {
            return Err(ConfigError::TooManyWitnesses {
                witnesses: self.witnesses,
                share_owners: self.share_owners,
            });
        }
        Ok(())
    }

    /// What this member owns. What cannot be shared out evenly is nobody's.
    pub fn own_share(&self) -> Units {
        if self.owns_share {
            self.total / self.share_owners.max(1)
        } else {
            0
        }
    }

    /// What this member may lend.
    pub fn lendable_share(&self) -> Units {
        let unlendable = scale_by_ratio(
            u64::from(self.own_share()),
            u64::from(self.floor.min(PER_MILLE_SCALE)),
            u64::from(PER_MILLE_SCALE),
        );
        self.own_share() - u32::try_from(unlendable).unwrap_or(u32::MAX).min(self.own_share())
    }

    /// How long a lender waits by its own clock for a lease of that length to have ended on any other that drifts
    /// within the bound: a fast clock here, a slow one there.
    pub fn drift_safe_wait(&self, duration: Ms) -> Ms {
        let (fast, slow) =
            (10_000 + u64::from(self.max_clock_drift), 10_000 - u64::from(self.max_clock_drift.min(9_999)));
        duration.saturating_mul(fast).div_ceil(slow).saturating_add(1)
    }
}
