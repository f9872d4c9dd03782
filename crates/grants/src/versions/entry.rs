//! Entries as bytes, for the store and the replicated table: a format version, then postcard.

use crate::sections::SectionKey;

use super::error::ByteError;
use super::versioned_section::Cell;

/// The format that is written, and the only one read.
pub const FORMAT: u8 = 1;
/// The longest entry, bytes. One beyond it is refused where it would be made.
pub const MOST_BYTES: usize = 4 << 20;

/// A part as the replicated table carries it. The table's own version of an entry is the driver's: it grows each
/// time an origin tells a key anew; what goes before what is decided by the content alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub key: Vec<u8>,
    pub value: Vec<u8>,
}

impl Entry {
    /// None where it would be longer than [`MOST_BYTES`].
    pub fn of(key: &SectionKey, cell: &Cell) -> Result<Entry, ByteError> {
        let damaged = |_| ByteError::Damaged { key: key.clone() };
        let value = postcard::to_extend(cell, vec![FORMAT]).map_err(damaged)?;
        check_length(&value)?;
        Ok(Entry { key: key_bytes(key), value })
    }

    pub fn read(&self) -> Result<(SectionKey, Cell), ByteError> {
        let key = key_of(&self.key)?;
        check_length(&self.value)?;
        let damaged = || ByteError::Damaged { key: key.clone() };
        let (&format, content) = self.value.split_first().ok_or_else(damaged)?;
        if format != FORMAT {
            return Err(ByteError::Format { format, ours: FORMAT });
        }
        let cell: Cell = postcard::from_bytes(content).map_err(|_| damaged())?;
        if !cell.sound(&key) {
            return Err(damaged());
        }
        Ok((key, cell))
    }
}

fn check_length(value: &[u8]) -> Result<(), ByteError> {
    match value.len() {
        bytes if bytes > MOST_BYTES => Err(ByteError::Large { bytes, most: MOST_BYTES }),
        _ => Ok(()),
    }
}

/// `c`, `s`, or `t` and the team's name.
pub(super) fn key_bytes(key: &SectionKey) -> Vec<u8> {
    match key {
        SectionKey::Catalogue => b"c".to_vec(),
        SectionKey::Shared => b"s".to_vec(),
        SectionKey::Team(name) => [b"t", name.as_bytes()].concat(),
    }
}

fn key_of(bytes: &[u8]) -> Result<SectionKey, ByteError> {
    match bytes.split_first() {
        Some((b'c', [])) => Ok(SectionKey::Catalogue),
        Some((b's', [])) => Ok(SectionKey::Shared),
        Some((b't', name)) => std::str::from_utf8(name)
            .map(|name| SectionKey::Team(name.to_owned()))
            .map_err(|_| ByteError::Key),
        _ => Err(ByteError::Key),
    }
}
