//! The table that all members replicate: cells by origin, each in the newest version that its origin wrote.
//!
//! Merging is a join: the same cells result whatever the order and number of merges. A later incarnation of an origin
//! drops all cells of an earlier one; within an incarnation the higher version of a cell wins. Everything is bounded:
//! cells and bytes of an origin, origins, total bytes, and age. The age travels with a cell and only grows, so that a
//! cell that expired at one member is not revived by another.
//!
//! [`crate::Fleet`] owns the table and passes the time in, in milliseconds on the driver's clock.

mod bounds;
mod cell;
mod digest;
mod origin;

pub use bounds::{Bounds, TableError};
pub(crate) use cell::CELL_OVERHEAD_BYTES;
pub use cell::{Cell, CellId, CellValue};
pub use digest::{compare, Digest, Reconciliation};

use std::collections::BTreeMap;

use crate::{Incarnation, MemberId};
use origin::Origin;

/// Outcome of merging a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// New here, or newer than the version held: stored.
    Applied,
    /// Held already, in this version.
    Duplicate,
    /// A newer version is held, or its origin has a later incarnation.
    Stale,
    /// Too old by the age that it carries.
    Expired,
    /// A bound was reached: it was not stored, or was evicted at once.
    OverBounds,
}

/// The replicated table: see the module.
pub struct Table {
    bounds: Bounds,
    origins: BTreeMap<MemberId, Origin>,
    bytes: usize,
    /// Id of this member, whose cells are never evicted for those of others.
    local_id: MemberId,
}

impl Table {
    /// An empty table of the member `local_id`.
    pub fn new(local_id: MemberId, bounds: Bounds) -> Table {
        Table { bounds, origins: BTreeMap::new(), bytes: 0, local_id }
    }

    /// Number of cells, tombstones included.
    pub fn len(&self) -> usize {
        self.origins.values().map(Origin::len).sum()
    }

    /// Whether there is no cell.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Total weight of the cells: see [`Cell::weight`].
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of origins that are known.
    pub fn origins(&self) -> usize {
        self.origins.len()
    }

    /// Values of one kind, in the order of origin and key.
    pub fn values_of_kind(&self, kind: u16) -> impl Iterator<Item = CellValue<'_>> {
        self.origins.iter().flat_map(move |(id, origin)| origin.values_of_kind(*id, kind))
    }

    /// Version and value of a cell; `None` if there is none, or it was deleted.
    pub fn get(&self, origin: MemberId, kind: u16, key: &[u8]) -> Option<(u64, &[u8])> {
        self.origins.get(&origin)?.get(kind, key)
    }

    /// The newest incarnation of an origin that is known.
    pub fn incarnation(&self, origin: MemberId) -> Option<Incarnation> {
        self.origins.get(&origin).map(|origin| origin.incarnation)
    }

    /// Version of the next write of this origin.
    pub fn next_version(&self, origin: MemberId) -> u64 {
        self.origins.get(&origin).map_or(1, |origin| origin.highest_version_ever + 1)
    }

    /// Merges a cell that has the age it carries at `now`, in milliseconds.
    pub fn merge(&mut self, now: u64, cell: &Cell) -> MergeOutcome {
        if cell.age_at_least(self.bounds.max_age(cell.value.as_deref())) {
            return MergeOutcome::Expired;
        }
        if !self.bounds.within_length_limits(cell) {
            return MergeOutcome::OverBounds;
        }
        if let Some(origin) = self.origins.get(&cell.id.origin) {
            if cell.incarnation < origin.incarnation {
                return MergeOutcome::Stale;
            }
        } else if self.origins.len() >= self.bounds.max_origins && cell.id.origin != self.local_id {
            return MergeOutcome::OverBounds;
        }
        self.advance_incarnation(cell.id.origin, cell.incarnation);
        let origin = self.origins.entry(cell.id.origin).or_insert_with(|| Origin::new(cell.incarnation));
        let before = origin.bytes;
        let merged = origin.merge(now, cell, &self.bounds);
        self.bytes = self.bytes + origin.bytes - before;
        if merged != MergeOutcome::Applied {
            return merged;
        }
        self.evict();
        let is_held = self.origins.get(&cell.id.origin).is_some_and(|origin| origin.contains_exactly(cell));
        if is_held {
            MergeOutcome::Applied
        } else {
            MergeOutcome::OverBounds
        }
    }

    /// Whether a cell of this member fits, without the one that it replaces.
    pub(crate) fn check_room(&self, cell: &Cell) -> Result<(), TableError> {
        let (entries, bytes) =
            self.origins.get(&self.local_id).map_or((0, 0), |local| local.usage_without(&cell.id));
        self.bounds.check_room(cell, entries, bytes)
    }

    /// Drops the cells of earlier incarnations of `origin`. True if the known incarnation was an earlier one.
    pub fn advance_incarnation(&mut self, origin: MemberId, incarnation: Incarnation) -> bool {
        match self.origins.get_mut(&origin) {
            Some(known) if known.incarnation < incarnation => {
                self.bytes -= known.bytes;
                *known = Origin::new(incarnation);
                true
            }
            _ => false,
        }
    }

    /// While the total is over its bound, drops the oldest cell of the heaviest other origin: one that floods loses its
    /// own cells.
    fn evict(&mut self) {
        while self.bytes > self.bounds.max_total_bytes {
            let others = self.origins.iter_mut().filter(|(id, _)| **id != self.local_id);
            let Some((_, heaviest)) = others.max_by_key(|(_, origin)| origin.bytes) else { return };
            let before = heaviest.bytes;
            if !heaviest.drop_oldest() {
                return;
            }
            self.bytes -= before - heaviest.bytes;
        }
    }

    /// Removes expired cells, and origins without cells.
    pub fn expire(&mut self, now: u64) {
        for origin in self.origins.values_mut() {
            let before = origin.bytes;
            origin.expire(now, &self.bounds);
            self.bytes -= before - origin.bytes;
        }
        let local_id = self.local_id;
        self.origins.retain(|id, origin| origin.len() > 0 || *id == local_id);
    }

    /// One digest for each origin within `from..=to`, in order.
    pub fn digests(&self, from: MemberId, to: MemberId) -> Vec<Digest> {
        self.origins.range(from..=to).filter(|(_, origin)| origin.len() > 0).map(digest::of_origin).collect()
    }

    /// Digest of one origin, if it has cells.
    pub fn digest(&self, origin: MemberId) -> Option<Digest> {
        self.origins.get_key_value(&origin).filter(|(_, origin)| origin.len() > 0).map(digest::of_origin)
    }

    /// Cells of an origin with a version above `version`, oldest first, with their ages by now.
    pub fn cells_above(&self, now: u64, origin: MemberId, version: u64) -> Vec<Cell> {
        self.origins.get(&origin).map_or(Vec::new(), |cells| cells.cells_above(now, origin, version))
    }

    /// Whether there is such a cell, tombstones included.
    pub fn contains(&self, id: &CellId) -> bool {
        self.origins.get(&id.origin).is_some_and(|origin| origin.contains(id))
    }

    /// One cell as it is sent to others, with its age by now.
    pub fn cell(&self, now: u64, id: &CellId) -> Option<Cell> {
        self.origins.get(&id.origin)?.cell(now, id)
    }

    /// Values of `origin` that are `age` milliseconds old or older, which their origin has to renew.
    pub fn values_older_than(&self, now: u64, origin: MemberId, age: u64) -> Vec<Cell> {
        let mut cells = self.cells_above(now, origin, 0);
        cells.retain(|cell| cell.value.is_some() && cell.age_at_least(age));
        cells
    }
}

#[cfg(test)]
mod tests;
