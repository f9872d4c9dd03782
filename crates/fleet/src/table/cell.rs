//! A cell of the table, as members send it to each other. Plain data. A cell contains its age instead of a timestamp,
//! so that members' clocks need not agree.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, MemberId};

/// Unit of a cell's age on the wire, in milliseconds. Ages are rounded up, so that rounding never makes a
/// cell appear younger.
const AGE_UNIT_MS: u64 = 100;
/// Part of a cell's weight that does not depend on its key and value, in bytes.
pub(crate) const CELL_OVERHEAD_BYTES: usize = 64;

/// Id of a cell. Serialized in this order of fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// The only member that writes the cell.
    pub origin: MemberId,
    /// Namespace of the key, used by one part of the program. Cells of an unknown kind are replicated as well.
    pub kind: u16,
    /// Key, unique within the origin and kind.
    pub key: Vec<u8>,
}

/// A versioned key-value entry of one origin. Serialized in this order of fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Identifies the cell across all its versions.
    pub id: CellId,
    /// Incarnation of the origin that wrote it.
    pub incarnation: Incarnation,
    /// Number of this write among all writes of the origin in this incarnation, counted from 1 over all its cells.
    pub version: u64,
    /// Time since the origin wrote the cell, in units of [`AGE_UNIT_MS`], excluding the time in transit.
    age: u32,
    /// `None` is a tombstone: the origin deleted the cell.
    pub value: Option<Vec<u8>>,
}

/// A borrowed view of a cell that is not a tombstone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellValue<'a> {
    /// The member that wrote the cell.
    pub origin: MemberId,
    /// Incarnation of the origin that wrote it.
    pub incarnation: Incarnation,
    /// Key within the kind.
    pub key: &'a [u8],
    /// See [`Cell::version`].
    pub version: u64,
    /// Content of the cell, without its metadata.
    pub value: &'a [u8],
}

impl Cell {
    /// Creates a cell of this age in milliseconds, rounded up to the unit of ages on the wire (100 ms).
    pub fn new(id: CellId, incarnation: Incarnation, version: u64, age: u64, value: Option<Vec<u8>>) -> Cell {
        let age = u32::try_from(age.div_ceil(AGE_UNIT_MS)).unwrap_or(u32::MAX);
        Cell { id, incarnation, version, age, value }
    }

    /// Age in milliseconds.
    pub fn age(&self) -> u64 {
        u64::from(self.age) * AGE_UNIT_MS
    }

    /// Whether the cell is at least `age` milliseconds old.
    pub(crate) fn age_at_least(&self, age: u64) -> bool {
        self.age() >= age
    }

    /// Number of bytes that the cell counts for in the table's bounds: those of key and value, plus a constant for the
    /// metadata.
    pub fn weight(&self) -> usize {
        weight(&self.id.key, self.value.as_deref())
    }
}

/// See [`Cell::weight`].
pub(super) fn weight(key: &[u8], value: Option<&[u8]>) -> usize {
    CELL_OVERHEAD_BYTES + key.len() + value.map_or(0, <[u8]>::len)
}
