//! The part of a lease that is needed to check a request: its expiry and the policy after it. A check costs
//! one comparison.

use crate::compiled::{Decision, DecisionReason};

use super::lease_config::StalePolicy;

/// The expiry of this member's lease, and the policy after it. Small and `Copy`: the caller keeps the expiry
/// in an atomic and reads [`super::Member::lease`] again after each response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Time of expiry on the member's clock, in ms (exclusive).
    pub expires_at: u64,
    pub stale_policy: StalePolicy,
}

impl Lease {
    /// The lease of a gateway without a fleet, whose own document is always complete.
    pub const UNLIMITED: Lease = Lease { expires_at: u64::MAX, stale_policy: StalePolicy::RefuseRestricted };

    pub fn is_valid(&self, now: u64) -> bool {
        now < self.expires_at
    }

    /// Returns the table's decision, refused if the lease has expired and the policy requires it.
    /// `restricted` is whether the model is restricted, `now` the time in ms on the clock of the lease.
    ///
    /// The caller must read **the lease first, then the table, then the clock**. The table is then at least
    /// as new as the state that the lease covers, and a pause in between can only refuse a call, never admit
    /// one.
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
