//! Configuration of a budget from the operators' files.

use super::{ConfigError, Units};
use crate::{scale_by_ratio, Ms, PerMille, PER_MILLE_SCALE};

/// Configuration of a budget. It must be the same at all members but for `owns_share`. The number of owners
/// may grow while fewer are running (raise it at every member, then start the new one), and shrink after the
/// last member that leaves has terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BudgetConfig {
    /// Rate that the whole fleet may spend.
    pub total: Units,
    /// Number of members that own a share, running or not.
    pub share_owners: u32,
    /// Whether this member is one of them; others spend only what they borrow.
    pub owns_share: bool,
    /// Part of its own share that a member never lends, and may spend from the start.
    pub floor: PerMille,
    /// Duration of a lease on the borrower's clock.
    pub lease_duration: Ms,
    /// Maximum deviation of a clock from true time, in parts of 10,000.
    pub max_clock_drift: u32,
    /// Number of other members that must have voted recently for an owner to hold its lendable share. With 0,
    /// each owner always holds its own, which is unused while the owner is unreachable. With more, that many
    /// members may be unreachable at once and their shares are inherited, and one side of a partition needs
    /// one member more than that to keep its own shares. At most half of the owners.
    pub witnesses: u32,
    /// Time over which a member may save up what it does not spend.
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

    /// Returns the units that this member owns. The remainder of an uneven division is unused.
    pub fn own_share(&self) -> Units {
        if self.owns_share {
            self.total / self.share_owners.max(1)
        } else {
            0
        }
    }

    /// Returns the units of its own share that this member may lend.
    pub fn lendable_share(&self) -> Units {
        let unlendable = scale_by_ratio(
            u64::from(self.own_share()),
            u64::from(self.floor.min(PER_MILLE_SCALE)),
            u64::from(PER_MILLE_SCALE),
        );
        self.own_share() - u32::try_from(unlendable).unwrap_or(u32::MAX).min(self.own_share())
    }

    /// Returns how long a lender waits by its own clock until a lease of that duration has expired on any
    /// other clock within the drift bound: the own clock may be fast and the other one slow.
    pub fn drift_safe_wait(&self, duration: Ms) -> Ms {
        let (fast, slow) =
            (10_000 + u64::from(self.max_clock_drift), 10_000 - u64::from(self.max_clock_drift.min(9_999)));
        duration.saturating_mul(fast).div_ceil(slow).saturating_add(1)
    }
}
