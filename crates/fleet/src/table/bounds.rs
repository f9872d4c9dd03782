//! Bounds of the table, and why a cell of this member's own does not fit. Constant after the start.

use super::Cell;
use crate::Settings;

/// Bounds of the table, from the [`Settings`]. Times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Age at which a value expires; a tombstone lives twice as long.
    pub max_value_age: u64,
    /// Longest key.
    pub max_key_bytes: usize,
    /// Longest value.
    pub max_value_bytes: usize,
    /// Cells of one origin.
    pub max_entries_per_origin: usize,
    /// Weight of the cells of one origin.
    pub max_bytes_per_origin: usize,
    /// Origins with cells.
    pub max_origins: usize,
    /// Weight of all cells.
    pub max_total_bytes: usize,
}

/// Why this member cannot write a cell. The table is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// The key is too long.
    #[error("a key of {bytes} bytes, kind {kind}, is over the bound of {max_bytes}")]
    Key {
        /// Kind of the cell.
        kind: u16,
        /// Bytes found.
        bytes: usize,
        /// The bound.
        max_bytes: usize,
    },
    /// The value is too long.
    #[error("a value of {bytes} bytes, kind {kind}, is over the bound of {max_bytes}")]
    Value {
        /// Kind of the cell.
        kind: u16,
        /// Bytes found.
        bytes: usize,
        /// The bound.
        max_bytes: usize,
    },
    /// This member has too many cells already.
    #[error("{entries} cells are held for this member already, as many as the bound allows; kind {kind} found no room")]
    Entries {
        /// Kind of the cell.
        kind: u16,
        /// Cells that are there already.
        entries: usize,
    },
    /// The cells of this member would weigh too much.
    #[error(
        "{bytes} bytes would be held for this member, over the bound of {max_bytes}; kind {kind} found no room"
    )]
    Bytes {
        /// Kind of the cell.
        kind: u16,
        /// Bytes found.
        bytes: usize,
        /// The bound.
        max_bytes: usize,
    },
    /// The kind is reserved for this crate.
    #[error("kind {kind} is kept for the fleet's own notes")]
    Reserved {
        /// Kind of the cell.
        kind: u16,
    },
}

impl TableError {
    /// What an operator can do about it.
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
    /// The part of the settings that bounds the table.
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

    /// Age at which a cell expires. A tombstone (no value) lives twice as long as a value, so that a delayed older
    /// value still meets it.
    pub(super) fn max_age(&self, value: Option<&[u8]>) -> u64 {
        match value {
            Some(_) => self.max_value_age,
            None => self.max_value_age * 2,
        }
    }

    /// Whether the cell fits next to `entries` other cells of its origin, which weigh `bytes`.
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

    /// Whether key and value of the cell are short enough.
    pub(super) fn within_length_limits(&self, cell: &Cell) -> bool {
        cell.id.key.len() <= self.max_key_bytes
            && cell.value.as_ref().map_or(0, Vec::len) <= self.max_value_bytes
    }
}
