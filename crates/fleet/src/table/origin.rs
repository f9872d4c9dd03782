//! The cells of one origin in one incarnation, with their versions, ages and bounds. Owned by [`super::Table`]; times
//! are the caller's milliseconds.

use std::collections::{BTreeMap, BTreeSet};

use super::cell::weight;
use super::{Bounds, Cell, CellId, CellValue, MergeOutcome};
use crate::{Incarnation, MemberId};

/// A cell without its id.
struct Row {
    version: u64,
    value: Option<Vec<u8>>,
    /// When its origin wrote it, on this member's clock; negative if that was before the clock's zero.
    created_at: i64,
    hash: u64,
}

/// The cells of one origin.
pub(super) struct Origin {
    pub(super) incarnation: Incarnation,
    rows: BTreeMap<(u16, Vec<u8>), Row>,
    by_version: BTreeSet<(u64, (u16, Vec<u8>))>,
    /// Highest version ever held in this incarnation: versions of expired cells are not reused.
    pub(super) highest: u64,
    /// Exclusive or of the rows' hashes: equal for the same rows.
    pub(super) hash: u64,
    pub(super) bytes: usize,
    /// A bound was reached in this incarnation, and not enough has expired since.
    pub(super) bound_reached: bool,
}

/// Hash of a cell's content, equal at all members.
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
            rows: BTreeMap::new(),
            by_version: BTreeSet::new(),
            highest: 0,
            hash: 0,
            bytes: 0,
            bound_reached: false,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Highest version among the present rows.
    pub(super) fn newest_version(&self) -> u64 {
        self.by_version.last().map_or(0, |(version, _)| *version)
    }

    /// Version and value of a cell that is not a tombstone.
    pub(super) fn get(&self, kind: u16, key: &[u8]) -> Option<(u64, &[u8])> {
        let row = self.rows.get(&(kind, key.to_vec()))?;
        row.value.as_deref().map(|value| (row.version, value))
    }

    /// All cells of a kind that are no tombstones; `origin` is the id of this origin.
    pub(super) fn of_kind(&self, origin: MemberId, kind: u16) -> impl Iterator<Item = CellValue<'_>> {
        let incarnation = self.incarnation;
        let from_kind = self.rows.range((kind, Vec::new())..);
        let of_kind = from_kind.take_while(move |((found, _), _)| *found == kind);
        of_kind.filter_map(move |((_, key), row)| {
            let value = row.value.as_deref()?;
            Some(CellValue { origin, incarnation, key, version: row.version, value })
        })
    }

    /// Whether there is such a cell, tombstones included.
    pub(super) fn contains(&self, id: &CellId) -> bool {
        self.rows.contains_key(&(id.kind, id.key.clone()))
    }

    /// Whether the cell is there with this version and value.
    pub(super) fn contains_exactly(&self, cell: &Cell) -> bool {
        let row_key = (cell.id.kind, cell.id.key.clone());
        self.rows.get(&row_key).is_some_and(|row| row.version == cell.version && row.value == cell.value)
    }

    /// Merges a cell of this origin's incarnation.
    pub(super) fn merge(&mut self, now: u64, cell: &Cell, bounds: &Bounds) -> MergeOutcome {
        let row_key = (cell.id.kind, cell.id.key.clone());
        let created_at = now as i64 - cell.age() as i64;
        if let Some(row) = self.rows.get_mut(&row_key) {
            // Two values of one version come only from a faulty origin: the greater wins, at every member.
            match (cell.version, &cell.value).cmp(&(row.version, &row.value)) {
                std::cmp::Ordering::Less => return MergeOutcome::Stale,
                std::cmp::Ordering::Equal => {
                    // The greater age is closer to the real one, as time in transit is not counted.
                    row.created_at = row.created_at.min(created_at);
                    return MergeOutcome::Duplicate;
                }
                std::cmp::Ordering::Greater => {}
            }
        }
        self.remove(&row_key);
        let hash = hash(row_key.0, &row_key.1, cell.version, cell.value.as_deref());
        self.hash ^= hash;
        self.bytes += cell.weight();
        self.highest = self.highest.max(cell.version);
        self.by_version.insert((cell.version, row_key.clone()));
        self.rows.insert(
            row_key.clone(),
            Row { version: cell.version, value: cell.value.clone(), created_at, hash },
        );
        while self.rows.len() > bounds.entries_per_origin || self.bytes > bounds.bytes_per_origin {
            self.drop_oldest();
        }
        if self.rows.contains_key(&row_key) {
            MergeOutcome::Applied
        } else {
            MergeOutcome::OverBounds
        }
    }

    /// Number and weight of the cells other than this one.
    pub(super) fn usage_without(&self, id: &CellId) -> (usize, usize) {
        match self.rows.get(&(id.kind, id.key.clone())) {
            Some(row) => (self.rows.len() - 1, self.bytes - weight(&id.key, row.value.as_deref())),
            None => (self.rows.len(), self.bytes),
        }
    }

    fn remove(&mut self, row_key: &(u16, Vec<u8>)) {
        if let Some(row) = self.rows.remove(row_key) {
            self.hash ^= row.hash;
            self.bytes -= weight(&row_key.1, row.value.as_deref());
            self.by_version.remove(&(row.version, row_key.clone()));
        }
    }

    /// Drops the cell with the lowest version, so that the result does not depend on the order of arrival. False if there
    /// is none.
    pub(super) fn drop_oldest(&mut self) -> bool {
        self.bound_reached = true;
        let Some((_, row_key)) = self.by_version.first().cloned() else { return false };
        self.remove(&row_key);
        true
    }

    /// Removes expired cells.
    pub(super) fn expire(&mut self, now: u64, bounds: &Bounds) {
        let is_expired =
            |row: &Row| now as i64 - row.created_at >= bounds.max_age(row.value.as_deref()) as i64;
        let expired: Vec<_> =
            self.rows.iter().filter(|(_, row)| is_expired(row)).map(|(row_key, _)| row_key.clone()).collect();
        expired.iter().for_each(|row_key| self.remove(row_key));
        // Once half of the room is free, missing cells may be requested again.
        if self.rows.len() * 2 <= bounds.entries_per_origin && self.bytes * 2 <= bounds.bytes_per_origin {
            self.bound_reached = false;
        }
    }

    /// Cells of versions above `above`, the lowest first.
    pub(super) fn above(&self, now: u64, origin: MemberId, above: u64) -> Vec<Cell> {
        let from = (above.saturating_add(1), (0, Vec::new()));
        let newer = self.by_version.range(from..);
        newer
            .filter_map(|(_, (kind, key))| self.cell(now, &CellId { origin, kind: *kind, key: key.clone() }))
            .collect()
    }

    /// One cell, with its age by now.
    pub(super) fn cell(&self, now: u64, id: &CellId) -> Option<Cell> {
        let row = self.rows.get(&(id.kind, id.key.clone()))?;
        let age = (now as i64 - row.created_at).max(0) as u64;
        Some(Cell::new(id.clone(), self.incarnation, row.version, age, row.value.clone()))
    }
}
