//! The limits that two processes share while both run: each then has half.

use std::sync::Arc;

use tokio::sync::Semaphore;

use crate::budget::{Budget, Claim};

/// Limits of the process that count across an upgrade.
#[derive(Clone)]
pub struct SharedLimits {
    /// Permits for connections to servers.
    pub slots: Arc<Semaphore>,
    /// Number of these permits while one process runs.
    pub connections: usize,
    /// Memory for request bodies.
    pub budget: Budget,
    /// Size of that memory in bytes while one process runs.
    pub bodies: usize,
}

/// The half that the other process may use; returned when this is dropped.
pub struct ReservedHalf {
    slots: Arc<Semaphore>,
    reserved_slots: usize,
    _bodies: Option<Claim>,
}

impl SharedLimits {
    /// Leaves half to the other process. Permits and memory in use by then stay in use, so less may be reserved.
    pub fn reserve_half(&self) -> ReservedHalf {
        let reserved_slots = self.slots.forget_permits(self.connections / 2);
        let bodies = self.budget.claim(self.bodies / 2);
        ReservedHalf { slots: self.slots.clone(), reserved_slots, _bodies: bodies }
    }
}

impl Drop for ReservedHalf {
    fn drop(&mut self) {
        self.slots.add_permits(self.reserved_slots);
    }
}
