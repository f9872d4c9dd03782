//! What a request needs of all this: one comparison.

use crate::compiled::{Decision, DecisionReason};

use super::lease_config::StalePolicy;

/// Until when this member knows, and what it does afterwards. Small and copied; a driver keeps the time in
/// an atomic and takes [`super::Member::lease`] anew after each answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Known until just before this time on the member's clock, ms.
    pub expires_at: u64,
    pub stale_policy: StalePolicy,
}

impl Lease {
    /// For a gateway without a fleet, whose own document is all there is to know.
    pub const UNLIMITED: Lease = Lease { expires_at: u64::MAX, stale_policy: StalePolicy::RefuseRestricted };

    pub fn is_valid(&self, now: u64) -> bool {
        now < self.expires_at
    }

    /// The table's decision as far as this member may go by it. A driver takes **the lease first, then the table,
    /// then the time** (`now`, ms on the clock of the leases): the table is then at least as new as what the lease
    /// rests on, and a pause in between refuses and never admits.
    pub fn apply(&self, decision: Decision, restricted: bool, now: u64) -> Decision {
        let refuses = match self.stale_policy {
            StalePolicy::RefuseRestricted => restricted,
            StalePolicy::RefuseAll => true,
            StalePolicy::GoOn => false,
        };
        if decision.allowed && refuses && !self.is_valid(now) {
            return Decision {
                allowed: false,
                reason: DecisionReason::LeaseExpired,
                stream_policy: decision.stream_policy,
            };
        }
        decision
    }
}
