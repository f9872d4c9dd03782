//! What the table may hold.

use super::Cell;
use crate::Settings;

/// Times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub age: u64,
    pub key_bytes: usize,
    pub value_bytes: usize,
    pub entries_per_origin: usize,
    pub bytes_per_origin: usize,
    pub origins: usize,
    pub bytes_total: usize,
}

/// Why this member cannot put a cell. Nothing was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    #[error("a key of {bytes} bytes, kind {kind}, is over the bound of {most}")]
    Key { kind: u16, bytes: usize, most: usize },
    #[error("a value of {bytes} bytes, kind {kind}, is over the bound of {most}")]
    Value { kind: u16, bytes: usize, most: usize },
    #[error("{entries} cells are held for this member already, as many as the bound allows; kind {kind} found no room")]
    Entries { kind: u16, entries: usize },
    #[error(
        "{bytes} bytes would be held for this member, over the bound of {most}; kind {kind} found no room"
    )]
    Bytes { kind: u16, bytes: usize, most: usize },
    #[error("kind {kind} is kept for the fleet's own notes")]
    Reserved { kind: u16 },
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
    pub(crate) fn of(settings: &Settings) -> Bounds {
        Bounds {
            age: settings.entry_age,
            key_bytes: settings.key_bytes,
            value_bytes: settings.value_bytes,
            entries_per_origin: settings.entries_per_origin,
            bytes_per_origin: settings.bytes_per_origin,
            origins: settings.origins,
            bytes_total: settings.bytes_total,
        }
    }

    /// What was taken back is remembered twice as long as a value, so that a value late on its way finds it.
    pub(super) fn age_of(&self, taken_back: bool) -> u64 {
        if taken_back {
            self.age * 2
        } else {
            self.age
        }
    }

    /// `entries` and `bytes`: what the origin holds beside.
    pub(super) fn room_for(&self, cell: &Cell, entries: usize, bytes: usize) -> Result<(), TableError> {
        let kind = cell.place.kind;
        let (key, value) = (cell.place.key.len(), cell.value.as_ref().map_or(0, Vec::len));
        if key > self.key_bytes {
            return Err(TableError::Key { kind, bytes: key, most: self.key_bytes });
        }
        if value > self.value_bytes {
            return Err(TableError::Value { kind, bytes: value, most: self.value_bytes });
        }
        if entries >= self.entries_per_origin {
            return Err(TableError::Entries { kind, entries });
        }
        let bytes = bytes + cell.weight();
        if bytes > self.bytes_per_origin {
            return Err(TableError::Bytes { kind, bytes, most: self.bytes_per_origin });
        }
        Ok(())
    }

    pub(super) fn holds_one(&self, cell: &Cell) -> bool {
        cell.place.key.len() <= self.key_bytes && cell.value.as_ref().map_or(0, Vec::len) <= self.value_bytes
    }
}
