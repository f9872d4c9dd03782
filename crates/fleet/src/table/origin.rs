//! The cells of one origin in one incarnation, with their versions and creation times. A merge enforces the
//! bounds for one origin. Owned by [`super::Table`]; times are milliseconds on the caller's clock.

use std::collections::{BTreeMap, BTreeSet};

use super::cell::weight;
use super::{Bounds, Cell, CellId, CellValue, MergeOutcome};
use crate::{Incarnation, MemberId};

/// A cell without its id.
struct StoredCell {
    version: u64,
    value: Option<Vec<u8>>,
    /// Time at which the origin wrote the cell, on this member's clock; negative if that was before the clock's zero.
    created_at: i64,
    hash: u64,
}

/// The stored cells of one origin.
pub(super) struct Origin {
    pub(super) incarnation: Incarnation,
    cells: BTreeMap<(u16, Vec<u8>), StoredCell>,
    by_version: BTreeSet<(u64, (u16, Vec<u8>))>,
    /// Highest version ever stored in this incarnation. Versions of expired cells are not reused.
    pub(super) highest_version_ever: u64,
    /// XOR of the hashes of the cells, so equal for equal cells.
    pub(super) hash: u64,
    pub(super) bytes: usize,
    /// Set when a cell is dropped at a bound; cleared once expiry leaves at least half of both of this origin's bounds
    /// free.
    pub(super) bound_reached: bool,
}

/// Returns the hash of a cell's content. It is equal at all members, as it does not include the age.
fn hash(kind: u16, key: &[u8], version: u64, value: Option<&[u8]>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&kind.to_le_bytes()).update(&version.to_le_bytes());
    hasher.update(&(key.len() as u64).to_le_bytes()).update(key);
    hasher.update(&[u8::from(value.is_some())]).update(value.unwrap_or_default());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

impl Origin {
    pub(super) fn new(incarnation: Incarnation) -> Origin {
        Origin {
            incarnation,
            cells: BTreeMap::new(),
            by_version: BTreeSet::new(),
            highest_version_ever: 0,
            hash: 0,
            bytes: 0,
            bound_reached: false,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.cells.len()
    }

    /// Highest version among the stored cells; 0 without cells.
    pub(super) fn newest_version(&self) -> u64 {
        self.by_version.last().map_or(0, |(version, _)| *version)
    }

    /// Version and value of a cell that is not a tombstone.
    pub(super) fn get(&self, kind: u16, key: &[u8]) -> Option<(u64, &[u8])> {
        let stored = self.cells.get(&(kind, key.to_vec()))?;
        stored.value.as_deref().map(|value| (stored.version, value))
    }

    /// Cells of a kind that are not tombstones, in the order of their keys. `origin` is the id of this origin.
    pub(super) fn values_of_kind(&self, origin: MemberId, kind: u16) -> impl Iterator<Item = CellValue<'_>> {
        let incarnation = self.incarnation;
        let from_kind = self.cells.range((kind, Vec::new())..);
        let of_kind = from_kind.take_while(move |((found, _), _)| *found == kind);
        of_kind.filter_map(move |((_, key), stored)| {
            let value = stored.value.as_deref()?;
            Some(CellValue { origin, incarnation, key, version: stored.version, value })
        })
    }

    /// Whether the cell is stored, as a value or as a tombstone.
    pub(super) fn contains(&self, id: &CellId) -> bool {
        self.cells.contains_key(&(id.kind, id.key.clone()))
    }

    /// Whether the cell is stored with this version and value.
    pub(super) fn contains_exactly(&self, cell: &Cell) -> bool {
        let cell_key = (cell.id.kind, cell.id.key.clone());
        self.cells
            .get(&cell_key)
            .is_some_and(|stored| stored.version == cell.version && stored.value == cell.value)
    }

    /// Merges a cell of this origin's incarnation.
    pub(super) fn merge(&mut self, now: u64, cell: &Cell, bounds: &Bounds) -> MergeOutcome {
        let cell_key = (cell.id.kind, cell.id.key.clone());
        let created_at = now as i64 - cell.age() as i64;
        if let Some(stored) = self.cells.get_mut(&cell_key) {
            // Only a faulty origin writes two values with one version. The greater value wins at every member.
            match (cell.version, &cell.value).cmp(&(stored.version, &stored.value)) {
                std::cmp::Ordering::Less => return MergeOutcome::Stale,
                std::cmp::Ordering::Equal => {
                    // The greater age is the more accurate one, as ages do not include the time in transit.
                    stored.created_at = stored.created_at.min(created_at);
                    return MergeOutcome::Duplicate;
                }
                std::cmp::Ordering::Greater => {}
            }
        }
        self.remove(&cell_key);
        let hash = hash(cell_key.0, &cell_key.1, cell.version, cell.value.as_deref());
        self.hash ^= hash;
        self.bytes += cell.weight();
        self.highest_version_ever = self.highest_version_ever.max(cell.version);
        self.by_version.insert((cell.version, cell_key.clone()));
        self.cells.insert(
            cell_key.clone(),
            StoredCell { version: cell.version, value: cell.value.clone(), created_at, hash },
        );
        while self.cells.len() > bounds.max_entries_per_origin || self.bytes > bounds.max_bytes_per_origin {
            self.drop_oldest();
        }
        if self.cells.contains_key(&cell_key) {
            MergeOutcome::Applied
        } else {
            MergeOutcome::OverBounds
        }
    }

    /// Number and total weight of the cells other than this one.
    pub(super) fn usage_without(&self, id: &CellId) -> (usize, usize) {
        match self.cells.get(&(id.kind, id.key.clone())) {
            Some(stored) => (self.cells.len() - 1, self.bytes - weight(&id.key, stored.value.as_deref())),
            None => (self.cells.len(), self.bytes),
        }
    }

    fn remove(&mut self, cell_key: &(u16, Vec<u8>)) {
        if let Some(stored) = self.cells.remove(cell_key) {
            self.hash ^= stored.hash;
            self.bytes -= weight(&cell_key.1, stored.value.as_deref());
            self.by_version.remove(&(stored.version, cell_key.clone()));
        }
    }

    /// Drops the cell with the lowest version, so that the remaining cells do not depend on the order of merges.
    /// Returns false if there is no cell.
    pub(super) fn drop_oldest(&mut self) -> bool {
        self.bound_reached = true;
        let Some((_, cell_key)) = self.by_version.first().cloned() else { return false };
        self.remove(&cell_key);
        true
    }

    /// Removes expired cells.
    pub(super) fn expire(&mut self, now: u64, bounds: &Bounds) {
        let is_expired =
            |cell: &StoredCell| now as i64 - cell.created_at >= bounds.max_age(cell.value.as_deref()) as i64;
        let expired: Vec<_> = self
            .cells
            .iter()
            .filter(|(_, stored)| is_expired(stored))
            .map(|(cell_key, _)| cell_key.clone())
            .collect();
        expired.iter().for_each(|cell_key| self.remove(cell_key));
        // Once half of both bounds is free, dropped cells may be requested again.
        if self.cells.len() * 2 <= bounds.max_entries_per_origin
            && self.bytes * 2 <= bounds.max_bytes_per_origin
        {
            self.bound_reached = false;
        }
    }

    /// Cells with versions above `version`, the lowest version first, with their current ages.
    pub(super) fn cells_above(&self, now: u64, origin: MemberId, version: u64) -> Vec<Cell> {
        let from = (version.saturating_add(1), (0, Vec::new()));
        let newer = self.by_version.range(from..);
        newer
            .filter_map(|(_, (kind, key))| self.cell(now, &CellId { origin, kind: *kind, key: key.clone() }))
            .collect()
    }

    /// A copy of one cell with its current age; `None` if it does not exist.
    pub(super) fn cell(&self, now: u64, id: &CellId) -> Option<Cell> {
        let stored = self.cells.get(&(id.kind, id.key.clone()))?;
        let age = (now as i64 - stored.created_at).max(0) as u64;
        Some(Cell::new(id.clone(), self.incarnation, stored.version, age, stored.value.clone()))
    }
}
