//! A cell of the table, as members send it to each other. Plain data; its age travels with it, so that no clocks are
//! compared.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, MemberId};

/// Milliseconds in a unit of a cell's age. Rounded up: a cell may look older than it is, never younger.
const AGE_UNIT_MS: u64 = 100;
/// What a cell counts for beside its key and its value, in bytes.
pub(crate) const CELL_OVERHEAD_BYTES: usize = 64;

/// Id of a cell. Serialized in this order of fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// The member that writes the cell.
    pub origin: MemberId,
    /// Kind of the cell, owned by the part of the program that writes it. Cells of an unknown kind are replicated too.
    pub kind: u16,
    /// Key within the kind.
    pub key: Vec<u8>,
}

/// A cell: the `version`th write of its origin in this incarnation. Serialized in this order of fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Which cell.
    pub id: CellId,
    /// Incarnation of the origin that wrote it.
    pub incarnation: Incarnation,
    /// Counts the writes of the origin in this incarnation, over all its cells.
    pub version: u64,
    /// Time since the origin wrote it, in [`AGE_UNIT_MS`], without the time in transit.
    age: u32,
    /// The value; `None` is a tombstone: the origin deleted the cell.
    pub value: Option<Vec<u8>>,
}

/// A borrowed cell that is not a tombstone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellValue<'a> {
    /// The member that wrote it.
    pub origin: MemberId,
    /// Incarnation of the origin that wrote it.
    pub incarnation: Incarnation,
    /// Key within the kind.
    pub key: &'a [u8],
    /// See [`Cell::version`].
    pub version: u64,
    /// The value.
    pub value: &'a [u8],
}

impl Cell {
    /// A cell of this age in milliseconds.
    pub fn new(id: CellId, incarnation: Incarnation, version: u64, age: u64, value: Option<Vec<u8>>) -> Cell {
        let age = u32::try_from(age.div_ceil(AGE_UNIT_MS)).unwrap_or(u32::MAX);
        Cell { id, incarnation, version, age, value }
    }

    /// Age in milliseconds.
    pub fn age(&self) -> u64 {
        u64::from(self.age) * AGE_UNIT_MS
    }

    /// Whether it is `age` milliseconds old or older.
    pub(crate) fn age_at_least(&self, age: u64) -> bool {
        self.age() >= age
    }

    /// What the cell counts for under the bounds: the bytes of key and value, and a constant for the rest.
    pub fn weight(&self) -> usize {
        weight(&self.id.key, self.value.as_deref())
    }
}

/// See [`Cell::weight`].
pub(super) fn weight(key: &[u8], value: Option<&[u8]>) -> usize {
    CELL_OVERHEAD_BYTES + key.len() + value.map_or(0, <[u8]>::len)
}
