//! The cells of one origin.

use std::collections::{BTreeMap, BTreeSet};

use super::{cell::weight, Bounds, Cell, Merged, Place};
use crate::{Life, MemberId};

struct Row {
    version: u64,
    value: Option<Vec<u8>>,
    /// When its origin told it, on this member's clock: before its zero if it is older than that.
    told: i64,
    hash: u64,
}

pub(super) struct Origin {
    pub(super) life: Life,
    rows: BTreeMap<(u16, Vec<u8>), Row>,
    by_version: BTreeSet<(u64, (u16, Vec<u8>))>,
    /// Highest version ever held in this life: versions are not used again when cells age out.
    pub(super) highest: u64,
    /// Exclusive or over the rows' hashes: the same rows, the same hash.
    pub(super) hash: u64,
    pub(super) bytes: usize,
    /// A bound was met in this life.
    pub(super) over: bool,
}

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
    pub(super) fn new(life: Life) -> Origin {
        Origin {
            life,
            rows: BTreeMap::new(),
            by_version: BTreeSet::new(),
            highest: 0,
            hash: 0,
            bytes: 0,
            over: false,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Highest version among the rows that are held now.
    pub(super) fn newest(&self) -> u64 {
        self.by_version.last().map_or(0, |(version, _)| *version)
    }

    pub(super) fn get(&self, kind: u16, key: &[u8]) -> Option<(u64, &[u8])> {
        let row = self.rows.get(&(kind, key.to_vec()))?;
        row.value.as_deref().map(|value| (row.version, value))
    }

    pub(super) fn of_kind(&self, kind: u16) -> impl Iterator<Item = (&[u8], u64, &[u8])> {
        let whole = (kind, Vec::new())..;
        self.rows.range(whole).take_while(move |((found, _), _)| *found == kind).filter_map(
            |((_, key), row)| row.value.as_deref().map(|value| (key.as_slice(), row.version, value)),
        )
    }

    pub(super) fn has(&self, place: &Place) -> bool {
        self.rows.contains_key(&(place.kind, place.key.clone()))
    }

    pub(super) fn holds(&self, cell: &Cell) -> bool {
        let at = (cell.place.kind, cell.place.key.clone());
        self.rows.get(&at).is_some_and(|row| row.version == cell.version && row.value == cell.value)
    }

    pub(super) fn merge(&mut self, now: u64, cell: &Cell, bounds: &Bounds) -> Merged {
        let at = (cell.place.kind, cell.place.key.clone());
        let told = now as i64 - cell.age() as i64;
        if let Some(row) = self.rows.get_mut(&at) {
            // One version with two values comes only from an origin that lies: the greater holds, everywhere.
            match (cell.version, &cell.value).cmp(&(row.version, &row.value)) {
                std::cmp::Ordering::Less => return Merged::Older,
                std::cmp::Ordering::Equal => {
                    // The greater age is nearer the truth: time on the way is not counted.
                    row.told = row.told.min(told);
                    return Merged::Same;
                }
                std::cmp::Ordering::Greater => {}
            }
        }
        self.remove(&at);
        let hash = hash(at.0, &at.1, cell.version, cell.value.as_deref());
        self.hash ^= hash;
        self.bytes += cell.weight();
        self.highest = self.highest.max(cell.version);
        self.by_version.insert((cell.version, at.clone()));
        self.rows.insert(at.clone(), Row { version: cell.version, value: cell.value.clone(), told, hash });
        while self.rows.len() > bounds.entries_per_origin || self.bytes > bounds.bytes_per_origin {
            self.drop_oldest();
        }
        if self.rows.contains_key(&at) {
            Merged::Newer
        } else {
            Merged::OverBounds
        }
    }

    /// Number and bytes of the cells but this one.
    pub(super) fn without(&self, place: &Place) -> (usize, usize) {
        match self.rows.get(&(place.kind, place.key.clone())) {
            Some(row) => (self.rows.len() - 1, self.bytes - weight(&place.key, row.value.as_deref())),
            None => (self.rows.len(), self.bytes),
        }
    }

    fn remove(&mut self, at: &(u16, Vec<u8>)) {
        if let Some(row) = self.rows.remove(at) {
            self.hash ^= row.hash;
            self.bytes -= weight(&at.1, row.value.as_deref());
            self.by_version.remove(&(row.version, at.clone()));
        }
    }

    /// Drops the cell with the lowest version: whichever way the cells came, the same highest stay. False if none.
    pub(super) fn drop_oldest(&mut self) -> bool {
        self.over = true;
        let Some((_, at)) = self.by_version.first().cloned() else { return false };
        self.remove(&at);
        true
    }

    pub(super) fn age(&mut self, now: u64, bounds: &Bounds) {
        let too_old = |row: &Row| now as i64 - row.told >= bounds.age_of(row.value.is_none()) as i64;
        let gone: Vec<_> =
            self.rows.iter().filter(|(_, row)| too_old(row)).map(|(at, _)| at.clone()).collect();
        gone.iter().for_each(|at| self.remove(at));
        // With half of the room free again, the origin may be asked for anew.
        if self.rows.len() * 2 <= bounds.entries_per_origin && self.bytes * 2 <= bounds.bytes_per_origin {
            self.over = false;
        }
    }

    pub(super) fn above(&self, now: u64, origin: MemberId, above: u64) -> Vec<Cell> {
        let from = (above.saturating_add(1), (0, Vec::new()));
        let places = self.by_version.range(from..);
        places
            .filter_map(|(_, (kind, key))| self.cell(now, &Place { origin, kind: *kind, key: key.clone() }))
            .collect()
    }

    pub(super) fn cell(&self, now: u64, place: &Place) -> Option<Cell> {
        let row = self.rows.get(&(place.kind, place.key.clone()))?;
        let age = (now as i64 - row.told).max(0) as u64;
        Some(Cell::new(place.clone(), self.life, row.version, age, row.value.clone()))
    }
}
