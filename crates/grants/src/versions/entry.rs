//! Entries: versioned sections in bytes, for the store and the replicated table. The value is a format number
//! followed by postcard.

use crate::sections::SectionKey;

use super::error::EntryError;
use super::versioned_section::VersionedSection;

/// The entry format that is written, and the only one that is read.
pub const ENTRY_FORMAT: u8 = 1;
/// Maximum length of an entry's value, in bytes. A longer one is rejected when it is created and when it is
/// read.
pub const MAX_ENTRY_BYTES: usize = 4 << 20;

/// A section in the form in which the replicated table holds it. The table also has a version number for each
/// entry, which the caller increases each time an origin sends a key again. That number does not decide which
/// content replaces which: the version vectors in the value do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub key: Vec<u8>,
    pub value: Vec<u8>,
}

impl Entry {
    /// Encodes a section. Fails if the value would exceed [`MAX_ENTRY_BYTES`].
    pub fn encode(key: &SectionKey, content: &VersionedSection) -> Result<Entry, EntryError> {
        let corrupt = |_| EntryError::Corrupt { key: key.clone() };
        let value = postcard::to_extend(content, vec![ENTRY_FORMAT]).map_err(corrupt)?;
        check_length(&value)?;
        Ok(Entry { key: key_bytes(key), value })
    }

    pub fn decode(&self) -> Result<(SectionKey, VersionedSection), EntryError> {
        let key = parse_key(&self.key)?;
        check_length(&self.value)?;
        let corrupt = || EntryError::Corrupt { key: key.clone() };
        let (&format, encoded) = self.value.split_first().ok_or_else(corrupt)?;
        if format != ENTRY_FORMAT {
            return Err(EntryError::UnsupportedFormat { format, supported: ENTRY_FORMAT });
        }
        let content: VersionedSection = postcard::from_bytes(encoded).map_err(|_| corrupt())?;
        if !content.is_valid(&key) {
            return Err(corrupt());
        }
        Ok((key, content))
    }
}

fn check_length(value: &[u8]) -> Result<(), EntryError> {
    match value.len() {
        bytes if bytes > MAX_ENTRY_BYTES => Err(EntryError::TooLarge { bytes, max: MAX_ENTRY_BYTES }),
        _ => Ok(()),
    }
}

/// Encodes a key as `c` (catalogue), `s` (shared rules), or `t` followed by the team's name.
pub(super) fn key_bytes(key: &SectionKey) -> Vec<u8> {
    match key {
        SectionKey::Catalogue => b"c".to_vec(),
        SectionKey::Shared => b"s".to_vec(),
        SectionKey::Team(name) => [b"t", name.as_bytes()].concat(),
    }
}

fn parse_key(bytes: &[u8]) -> Result<SectionKey, EntryError> {
    match bytes.split_first() {
        Some((b'c', [])) => Ok(SectionKey::Catalogue),
        Some((b's', [])) => Ok(SectionKey::Shared),
        Some((b't', name)) => std::str::from_utf8(name)
            .map(|name| SectionKey::Team(name.to_owned()))
            .map_err(|_| EntryError::InvalidKey),
        _ => Err(EntryError::InvalidKey),
    }
}
