//! The table that all members replicate: cells by origin, each in the newest version that its origin wrote.
//!
//! Merging is commutative and idempotent. A later incarnation of an origin replaces all cells of an earlier one; within
//! an incarnation the higher version of a cell wins. The number and total weight of an origin's cells, the number of
//! origins, the total weight and the age of cells are all bounded. A cell is sent with its age, which never decreases,
//! so that a cell that expired at one member is not added again by another.
//!
//! [`crate::Fleet`] owns the table and passes in the time, in milliseconds on the driver's clock.

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
    /// The cell is new, or newer than the stored version, and was stored.
    Applied,
    /// The same version is already stored.
    Duplicate,
    /// A newer version is stored, or a later incarnation of the origin is known.
    Stale,
    /// The cell has reached its maximum age.
    Expired,
    /// The cell was not stored, or was evicted at once, because it exceeds a bound.
    OverBounds,
}

/// The replicated table; see the module documentation.
pub struct Table {
    bounds: Bounds,
    origins: BTreeMap<MemberId, Origin>,
    bytes: usize,
    /// Id of this member, whose cells are never evicted in favour of those of other members.
    local_id: MemberId,
}

impl Table {
    /// Creates an empty table for the member `local_id`.
    pub fn new(local_id: MemberId, bounds: Bounds) -> Table {
        Table { bounds, origins: BTreeMap::new(), bytes: 0, local_id }
    }

    /// Number of cells, tombstones included.
    pub fn len(&self) -> usize {
        self.origins.values().map(Origin::len).sum()
    }

    /// Whether the table has no cells, not even tombstones.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Total weight of the cells; see [`Cell::weight`].
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of known origins. This member's stays known without cells; others are removed by [`Table::expire`].
    pub fn origins(&self) -> usize {
        self.origins.len()
    }

    /// Cells of one kind that are not tombstones, in the order of origin and key.
    pub fn values_of_kind(&self, kind: u16) -> impl Iterator<Item = CellValue<'_>> {
        self.origins.iter().flat_map(move |(id, origin)| origin.values_of_kind(*id, kind))
    }

    /// Version and value of a cell; `None` if the cell does not exist or was deleted.
    pub fn get(&self, origin: MemberId, kind: u16, key: &[u8]) -> Option<(u64, &[u8])> {
        self.origins.get(&origin)?.get(kind, key)
    }

    /// Newest known incarnation of an origin; `None` if the origin is unknown.
    pub fn incarnation(&self, origin: MemberId) -> Option<Incarnation> {
        self.origins.get(&origin).map(|origin| origin.incarnation)
    }

    /// Version for the next write of an origin.
    pub fn next_version(&self, origin: MemberId) -> u64 {
        self.origins.get(&origin).map_or(1, |origin| origin.highest_version_ever + 1)
    }

    /// Merges a cell whose [`Cell::age`] is its age at the time `now`, in milliseconds.
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

    /// Checks that a cell of this member fits in place of the cell that it replaces, if any.
    pub(crate) fn check_room(&self, cell: &Cell) -> Result<(), TableError> {
        let (entries, bytes) =
            self.origins.get(&self.local_id).map_or((0, 0), |local| local.usage_without(&cell.id));
        self.bounds.check_room(cell, entries, bytes)
    }

    /// Drops the cells of earlier incarnations of `origin`. Returns whether the known incarnation was an earlier one.
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

    /// Drops cells until the total weight is within its bound: each time the cell with the lowest version of
    /// the heaviest origin, this member excepted. An origin that floods the table thereby loses its own
    /// cells.
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

    /// Removes expired cells, and other origins that have no cells.
    pub fn expire(&mut self, now: u64) {
        for origin in self.origins.values_mut() {
            let before = origin.bytes;
            origin.expire(now, &self.bounds);
            self.bytes -= before - origin.bytes;
        }
        let local_id = self.local_id;
        self.origins.retain(|id, origin| origin.len() > 0 || *id == local_id);
    }

    /// Digests of the origins within `from..=to` that have cells, in the order of their ids.
    pub fn digests(&self, from: MemberId, to: MemberId) -> Vec<Digest> {
        self.origins.range(from..=to).filter(|(_, origin)| origin.len() > 0).map(digest::of_origin).collect()
    }

    /// Digest of one origin; `None` if it has no cells.
    pub fn digest(&self, origin: MemberId) -> Option<Digest> {
        self.origins.get_key_value(&origin).filter(|(_, origin)| origin.len() > 0).map(digest::of_origin)
    }

    /// Cells of an origin with versions above `version`, the lowest version first, with their current ages.
    pub fn cells_above(&self, now: u64, origin: MemberId, version: u64) -> Vec<Cell> {
        self.origins.get(&origin).map_or(Vec::new(), |cells| cells.cells_above(now, origin, version))
    }

    /// Whether the cell is stored, as a value or as a tombstone.
    pub fn contains(&self, id: &CellId) -> bool {
        self.origins.get(&id.origin).is_some_and(|origin| origin.contains(id))
    }

    /// A copy of one cell with its current age; `None` if it does not exist.
    pub fn cell(&self, now: u64, id: &CellId) -> Option<Cell> {
        self.origins.get(&id.origin)?.cell(now, id)
    }

    /// Cells of `origin`, without tombstones, that are at least `age` milliseconds old and so due for renewal.
    pub fn values_older_than(&self, now: u64, origin: MemberId, age: u64) -> Vec<Cell> {
        let mut cells = self.cells_above(now, origin, 0);
        cells.retain(|cell| cell.value.is_some() && cell.age_at_least(age));
        cells
    }
}

#[cfg(test)]
mod tests;
