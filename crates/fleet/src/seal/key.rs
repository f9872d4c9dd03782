//! The fleet's keys: one signs, at most two verify.

use crate::seal::TAG;

const CONTEXT: &str = "glenrail fleet 2026 seal of datagrams and frames";

/// A key as it is used, derived from what the file says and the fleet's name: two fleets that share a file by
/// mistake still do not hear each other.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("FleetKey(..)")
    }
}

/// What is wrong with a key file's text. Never says any of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    #[error("the key file holds no key")]
    None,
    #[error("the key file holds {found} keys, and at most two can be valid at a time")]
    TooMany { found: usize },
    #[error("line {line} of the key file is not 64 hexadecimal digits")]
    NotAKey { line: usize },
    #[error("a key of {bytes} bytes is too short: 32 are needed")]
    Short { bytes: usize },
}

impl KeyError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            KeyError::None | KeyError::NotAKey { .. } | KeyError::Short { .. } => {
                "write one line of 64 hexadecimal digits, as `openssl rand -hex 32` gives it"
            }
            KeyError::TooMany { .. } => {
                "keep the key that signs first, one more that verifies below, no other"
            }
        }
    }
}

impl FleetKey {
    /// `material`: at least 32 bytes that nobody can guess.
    pub fn derive(material: &[u8], fleet: &str) -> Result<FleetKey, KeyError> {
        if material.len() < 32 {
            return Err(KeyError::Short { bytes: material.len() });
        }
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        hasher.update(&(fleet.len() as u64).to_le_bytes()).update(fleet.as_bytes()).update(material);
        Ok(FleetKey(*hasher.finalize().as_bytes()))
    }

    pub(super) fn tag(&self, signed: &[u8]) -> [u8; TAG] {
        let mut tag = [0; TAG];
        tag.copy_from_slice(&blake3::keyed_hash(&self.0, signed).as_bytes()[..TAG]);
        tag
    }
}

/// The first key signs, both verify. A turn-over: add the new one second everywhere, then put it first
/// everywhere, then take the old one out.
#[derive(Clone, Debug)]
pub struct Keyring {
    first: FleetKey,
    second: Option<FleetKey>,
}

impl Keyring {
    pub fn new(first: FleetKey, second: Option<FleetKey>) -> Keyring {
        Keyring { first, second }
    }

    /// A key file's text: one key of 64 hexadecimal digits a line, the one that signs first; `#` begins a comment.
    pub fn parse(text: &str, fleet: &str) -> Result<Keyring, KeyError> {
        let mut keys = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("").trim();
            if !line.is_empty() {
                let material = hexadecimal(line).ok_or(KeyError::NotAKey { line: index + 1 })?;
                keys.push(FleetKey::derive(&material, fleet)?);
            }
        }
        let found = keys.len();
        let mut keys = keys.into_iter();
        match (keys.next(), keys.next(), keys.next()) {
            (None, ..) => Err(KeyError::None),
            (.., Some(_)) => Err(KeyError::TooMany { found }),
            (Some(first), second, None) => Ok(Keyring { first, second }),
        }
    }

    pub(super) fn signing(&self) -> &FleetKey {
        &self.first
    }

    /// Which key made the tag: 0 the first, 1 the second. Compared in constant time.
    pub(super) fn which(&self, signed: &[u8], tag: &[u8; TAG]) -> Option<usize> {
        [Some(&self.first), self.second.as_ref()]
            .into_iter()
            .flatten()
            .position(|key| constant_time_eq::constant_time_eq_16(&key.tag(signed), tag))
    }
}

fn hexadecimal(line: &str) -> Option<[u8; 32]> {
    if line.len() != 64 || !line.is_ascii() {
        return None;
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let pair = &line[index * 2..index * 2 + 2];
        if !pair.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return None;
        }
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(bytes)
}

#[cfg(test)]
mod tests;
