//! The gossip queue: newly merged cells that are still to be sent to other members.
//!
//! Each cell is sent a number of times that grows with the logarithm of the fleet's size; the cells with the fewest
//! transmissions are sent first. Receiving a cell again counts as a transmission, so gossip ends sooner once most
//! members have the cell. Owned by [`crate::Fleet`]; needs no clock.

use std::collections::{BTreeMap, BTreeSet};

use crate::table::CellId;

/// Ids of the queued cells. A newer version of a cell replaces an older one, so the table's bounds also limit the
/// queue.
#[derive(Default)]
pub(crate) struct GossipQueue {
    /// Number of times each cell was sent, or received again.
    transmissions: BTreeMap<CellId, u32>,
    /// The same cells ordered by their number of transmissions, the fewest first.
    order: BTreeSet<(u32, CellId)>,
}

/// Maximum number of transmissions of a cell in a fleet of `members`: the bit length of that number, plus one.
pub(crate) fn transmission_limit(members: usize) -> u32 {
    usize::BITS - members.leading_zeros() + 1
}

impl GossipQueue {
    /// Queues a new version of a cell, with no transmissions yet.
    pub(crate) fn add(&mut self, id: CellId) {
        self.remove(&id);
        self.order.insert((0, id.clone()));
        self.transmissions.insert(id, 0);
    }

    /// Counts a transmission of the cell (sent, or received again). Removes the cell at the limit for a fleet of
    /// `members`.
    pub(crate) fn count_transmission(&mut self, id: &CellId, members: usize) {
        let Some(transmissions) = self.transmissions.get(id).map(|transmissions| transmissions + 1) else {
            return;
        };
        self.remove(id);
        if transmissions < transmission_limit(members) {
            self.order.insert((transmissions, id.clone()));
            self.transmissions.insert(id.clone(), transmissions);
        }
    }

    /// Removes a cell, if it is queued.
    pub(crate) fn remove(&mut self, id: &CellId) {
        if let Some(transmissions) = self.transmissions.remove(id) {
            self.order.remove(&(transmissions, id.clone()));
        }
    }

    /// Removes the cells for which `is_present` is false.
    pub(crate) fn retain(&mut self, is_present: impl Fn(&CellId) -> bool) {
        self.transmissions.retain(|id, _| is_present(id));
        self.order.retain(|(_, id)| is_present(id));
    }

    /// Ids of the queued cells, those with the fewest transmissions first.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = &CellId> {
        self.order.iter().map(|(_, id)| id)
    }

    /// Whether no cell is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.transmissions.is_empty()
    }
}

#[cfg(test)]
mod tests;
