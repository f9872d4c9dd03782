//! What a request needs of all this: one comparison.

use crate::compiled::{Decision, DecisionReason};

use super::lease_config::Stale;

/// Until when this member knows, and what it does afterwards. Small and copied; a driver keeps the time in
/// an atomic and takes [`super::Member::lease`] anew after each answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Known until just before this time on the member's clock, ms.
    pub until: u64,
    pub stale: Stale,
}

impl Lease {
    /// For a gateway without a fleet, whose own document is all there is to know.
    pub const ALONE: Lease = Lease { until: u64::MAX, stale: Stale::RefuseRestricted };

    pub fn knows(&self, now: u64) -> bool {
        now < self.until
    }

    /// The table's decision as far as this member may go by it. A driver takes **the lease first, then the table,
    /// then the time** (`now`, ms on the clock of the leases): the table is then at least as new as what the lease
    /// rests on, and a pause in between refuses and never admits.
    pub fn gate(&self, decision: Decision, restricted: bool, now: u64) -> Decision {
        let refuses = match self.stale {
            Stale::RefuseRestricted => restricted,
            Stale::RefuseAll => true,
            Stale::GoOn => false,
        };
        if decision.allowed && refuses && !self.knows(now) {
            return Decision {
                allowed: false,
                reason: DecisionReason::LeaseExpired,
                stream_policy: decision.stream_policy,
            };
        }
        decision
    }
}
