//! Bounds of the table, constant after the start, and the errors of writes that exceed them.

use super::Cell;
use crate::Settings;

/// Bounds of the table, taken from the [`Settings`].
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Age in milliseconds at which a value expires. A tombstone expires at twice this age.
    pub max_value_age: u64,
    /// Maximum length of a key.
    pub max_key_bytes: usize,
    /// Maximum length of a value.
    pub max_value_bytes: usize,
    /// Maximum number of cells of one origin.
    pub max_entries_per_origin: usize,
    /// Maximum weight of the cells of one origin; see [`Cell::weight`].
    pub max_bytes_per_origin: usize,
    /// Maximum number of known origins; this member is added even if it is reached.
    pub max_origins: usize,
    /// Maximum weight of all cells.
    pub max_total_bytes: usize,
}

/// Why this member cannot write a cell. The table is unchanged after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// The key exceeds its maximum length.
    #[error("key of {bytes} bytes in a cell of kind {kind} exceeds the maximum of {max_bytes}")]
    Key {
        /// Kind of the cell.
        kind: u16,
        /// Length of the key.
        bytes: usize,
        /// Maximum length.
        max_bytes: usize,
    },
    /// The value exceeds its maximum length.
    #[error("value of {bytes} bytes in a cell of kind {kind} exceeds the maximum of {max_bytes}")]
    Value {
        /// Kind of the cell.
        kind: u16,
        /// Length of the value.
        bytes: usize,
        /// Maximum length.
        max_bytes: usize,
    },
    /// This member already has the maximum number of cells.
    #[error("cannot add a cell of kind {kind}: this member already has the maximum of {entries} cells")]
    Entries {
        /// Kind of the cell.
        kind: u16,
        /// Number of existing cells.
        entries: usize,
    },
    /// The cells of this member would exceed their maximum weight.
    #[error(
        "cannot write a cell of kind {kind}: {bytes} bytes of cells would exceed this member's maximum of {max_bytes}"
    )]
    Bytes {
        /// Kind of the cell.
        kind: u16,
        /// Weight of this member's cells after the write.
        bytes: usize,
        /// Maximum weight.
        max_bytes: usize,
    },
    /// The kind is reserved for this crate.
    #[error("cell kind {kind} is reserved for the fleet's own use")]
    Reserved {
        /// Kind of the cell.
        kind: u16,
    },
}

impl TableError {
    /// Advice to the operator.
    pub fn advice(&self) -> &'static str {
        match self {
            TableError::Key { .. } | TableError::Value { .. } => {
                "raise key_bytes or value_bytes in [fleet] at every member, or name fewer teams and models"
            }
            TableError::Entries { .. } | TableError::Bytes { .. } => {
                "raise entries_per_origin or bytes_per_origin in [fleet] at every member, or turn a part off"
            }
            TableError::Reserved { .. } => "nothing: this is a fault of the program, report it",
        }
    }
}

impl Bounds {
    /// Copies the table's bounds from the settings.
    pub(crate) fn from_settings(settings: &Settings) -> Bounds {
        Bounds {
            max_value_age: settings.entry_age,
            max_key_bytes: settings.key_bytes,
            max_value_bytes: settings.value_bytes,
            max_entries_per_origin: settings.entries_per_origin,
            max_bytes_per_origin: settings.bytes_per_origin,
            max_origins: settings.origins,
            max_total_bytes: settings.bytes_total,
        }
    }

    /// Returns the age in milliseconds at which a cell expires. A tombstone (no value) is retained twice as long as a
    /// value, so that a delayed older value is still recognized as stale.
    pub(super) fn max_age(&self, value: Option<&[u8]>) -> u64 {
        match value {
            Some(_) => self.max_value_age,
            None => self.max_value_age * 2,
        }
    }

    /// Checks that the cell fits next to `entries` other cells of its origin with a total weight of `bytes`.
    pub(super) fn check_room(&self, cell: &Cell, entries: usize, bytes: usize) -> Result<(), TableError> {
        let kind = cell.id.kind;
        let (key, value) = (cell.id.key.len(), cell.value.as_ref().map_or(0, Vec::len));
        if key > self.max_key_bytes {
            return Err(TableError::Key { kind, bytes: key, max_bytes: self.max_key_bytes });
        }
        if value > self.max_value_bytes {
            return Err(TableError::Value { kind, bytes: value, max_bytes: self.max_value_bytes });
        }
        if entries >= self.max_entries_per_origin {
            return Err(TableError::Entries { kind, entries });
        }
        let bytes = bytes + cell.weight();
        if bytes > self.max_bytes_per_origin {
            return Err(TableError::Bytes { kind, bytes, max_bytes: self.max_bytes_per_origin });
        }
        Ok(())
    }

    /// Whether the key and the value of the cell are within their maximum lengths.
    pub(super) fn within_length_limits(&self, cell: &Cell) -> bool {
        cell.id.key.len() <= self.max_key_bytes
            && cell.value.as_ref().map_or(0, Vec::len) <= self.max_value_bytes
    }
}
