//! Limits that two processes share during an upgrade: while both run, each has half.

use std::sync::Arc;

use tokio::sync::Semaphore;

use crate::budget::{Budget, Claim};

/// Limits of a process that it shares with the other one during an upgrade.
#[derive(Clone)]
pub struct SharedLimits {
    /// Semaphore with one permit for each connection to a server.
    pub slots: Arc<Semaphore>,
    /// Number of these permits while a single process runs.
    pub connections: usize,
    /// Memory budget for request bodies.
    pub budget: Budget,
    /// Size of that budget, in bytes, while a single process runs.
    pub bodies: usize,
}

/// Half of the limits, reserved for the other process. Dropping it returns that half.
pub struct ReservedHalf {
    slots: Arc<Semaphore>,
    reserved_slots: usize,
    _bodies: Option<Claim>,
}

impl SharedLimits {
    /// Reserves half of the limits for the other process. Permits and memory already in use are not reclaimed, so less
    /// may be reserved.
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
