//! The table that all members share: cells of origins, each the newest that its origin told.
//!
//! Merging is a join: whatever the order, and however often, the same cells come out. A later life of an origin
//! drops all of the earlier; within a life the higher version of a cell holds. Everything is bounded: cells and
//! bytes by origin, origins, bytes in total, and age. Age is carried along and only grows, so that what one member
//! dropped is not brought back for good by another.

mod bounds;
mod cell;
mod digest;
mod origin;

pub use bounds::{Bounds, TableError};
pub use cell::{Cell, Place};
pub use digest::{compare, Digest, Need};

use std::collections::BTreeMap;

use crate::{Life, MemberId};
use origin::Origin;

/// What became of a cell that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// Taken: it is told on.
    Newer,
    /// Held already.
    Same,
    /// A newer one is held, or its origin lives a later life.
    Older,
    /// Too old by its own age.
    Aged,
    /// A bound was met: it, or others of its origin in its stead, are not held.
    OverBounds,
}

/// See the module.
pub struct Table {
    bounds: Bounds,
    origins: BTreeMap<MemberId, Origin>,
    bytes: usize,
    /// Never dropped to make room for others.
    own: MemberId,
}

impl Table {
    pub fn new(own: MemberId, bounds: Bounds) -> Table {
        Table { bounds, origins: BTreeMap::new(), bytes: 0, own }
    }

    /// Cells held, of all origins.
    pub fn len(&self) -> usize {
        self.origins.values().map(Origin::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What the cells weigh together, as the bounds count them.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn origins(&self) -> usize {
        self.origins.len()
    }

    /// Values that are held, of one kind: `(origin, its life, key, version, value)`, in the order of origin and key.
    pub fn of_kind(&self, kind: u16) -> impl Iterator<Item = (MemberId, Life, &[u8], u64, &[u8])> {
        self.origins.iter().flat_map(move |(id, origin)| {
            origin.of_kind(kind).map(move |(key, version, value)| (*id, origin.life, key, version, value))
        })
    }

    /// The value and its version, unless there is none or it was taken back.
    pub fn get(&self, origin: MemberId, kind: u16, key: &[u8]) -> Option<(u64, &[u8])> {
        self.origins.get(&origin)?.get(kind, key)
    }

    pub fn life(&self, origin: MemberId) -> Option<Life> {
        self.origins.get(&origin).map(|origin| origin.life)
    }

    /// The version that a further cell of this origin bears.
    pub fn next_version(&self, origin: MemberId) -> u64 {
        self.origins.get(&origin).map_or(1, |origin| origin.highest + 1)
    }

    /// Offers a cell. `now` in milliseconds; the cell's age counts from it.
    pub fn merge(&mut self, now: u64, cell: &Cell) -> Merged {
        if cell.age_at_least(self.bounds.age_of(cell.value.is_none())) {
            return Merged::Aged;
        }
        if !self.bounds.holds_one(cell) {
            return Merged::OverBounds;
        }
        if let Some(origin) = self.origins.get(&cell.place.origin) {
            if cell.life < origin.life {
                return Merged::Older;
            }
        } else if self.origins.len() >= self.bounds.origins && cell.place.origin != self.own {
            return Merged::OverBounds;
        }
        self.later_life(cell.place.origin, cell.life);
        let origin = self.origins.entry(cell.place.origin).or_insert_with(|| Origin::new(cell.life));
        let before = origin.bytes;
        let merged = origin.merge(now, cell, &self.bounds);
        self.bytes = self.bytes + origin.bytes - before;
        if merged != Merged::Newer {
            return merged;
        }
        self.make_room();
        let held = self.origins.get(&cell.place.origin).is_some_and(|origin| origin.holds(cell));
        if held {
            Merged::Newer
        } else {
            Merged::OverBounds
        }
    }

    /// Whether a cell of this member's own may be put, beside what it would replace.
    pub(crate) fn room_for(&self, cell: &Cell) -> Result<(), TableError> {
        let (entries, bytes) = self.origins.get(&self.own).map_or((0, 0), |own| own.without(&cell.place));
        self.bounds.room_for(cell, entries, bytes)
    }

    /// Drops what earlier lives of `origin` told, if it is known to live a later one. True if anything went.
    pub fn later_life(&mut self, origin: MemberId, life: Life) -> bool {
        match self.origins.get_mut(&origin) {
            Some(known) if known.life < life => {
                self.bytes -= known.bytes;
                *known = Origin::new(life);
                true
            }
            _ => false,
        }
    }

    /// While all is too much, the heaviest origin loses its oldest cell: one that floods loses its own.
    fn make_room(&mut self) {
        while self.bytes > self.bounds.bytes_total {
            let others = self.origins.iter_mut().filter(|(id, _)| **id != self.own);
            let Some((_, heaviest)) = others.max_by_key(|(_, origin)| origin.bytes) else { return };
            let before = heaviest.bytes;
            if !heaviest.drop_oldest() {
                return;
            }
            self.bytes -= before - heaviest.bytes;
        }
    }

    /// Drops what is too old, and origins of which nothing is left.
    pub fn age(&mut self, now: u64) {
        for origin in self.origins.values_mut() {
            let before = origin.bytes;
            origin.age(now, &self.bounds);
            self.bytes -= before - origin.bytes;
        }
        let own = self.own;
        self.origins.retain(|id, origin| origin.len() > 0 || *id == own);
    }

    /// One digest for each origin within `from..=to`, in order.
    pub fn digests(&self, from: MemberId, to: MemberId) -> Vec<Digest> {
        self.origins.range(from..=to).filter(|(_, origin)| origin.len() > 0).map(digest::of).collect()
    }

    pub fn digest(&self, origin: MemberId) -> Option<Digest> {
        self.origins.get_key_value(&origin).filter(|(_, origin)| origin.len() > 0).map(digest::of)
    }

    /// Cells of an origin with a version above `above`, oldest first, with their ages by now.
    pub fn above(&self, now: u64, origin: MemberId, above: u64) -> Vec<Cell> {
        self.origins.get(&origin).map_or(Vec::new(), |held| held.above(now, origin, above))
    }

    /// Whether there is a cell, taken back or not.
    pub fn holds(&self, place: &Place) -> bool {
        self.origins.get(&place.origin).is_some_and(|origin| origin.has(place))
    }

    /// One cell as it is told on.
    pub fn cell(&self, now: u64, place: &Place) -> Option<Cell> {
        self.origins.get(&place.origin)?.cell(now, place)
    }

    /// Values of `origin` that have lived `after` milliseconds: what their origin tells anew.
    pub fn lived(&self, now: u64, origin: MemberId, after: u64) -> Vec<Cell> {
        let mut cells = self.above(now, origin, 0);
        cells.retain(|cell| cell.value.is_some() && cell.age_at_least(after));
        cells
    }
}

#[cfg(test)]
mod tests;
