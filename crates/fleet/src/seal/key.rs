//! Keys of the fleet: the first one signs, and at most two verify.

use crate::seal::TAG_BYTES;

/// Context of the BLAKE3 key derivation, for domain separation. A change of this text changes all keys.
const KEY_DERIVATION_CONTEXT: &str = "glenrail fleet 2026 seal of datagrams and frames";

/// A key derived from the material in the key file and the fleet's name. Two fleets that share a key file by mistake
/// therefore reject each other's messages.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("FleetKey(..)")
    }
}

/// Why the text of a key file is invalid. Never contains any of the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// No line contains a key.
    #[error("the key file contains no key")]
    None,
    /// There are more than two keys.
    #[error("the key file contains {found} keys, but at most two are allowed")]
    TooMany {
        /// Number of keys in the file.
        found: usize,
    },
    /// A line is not a key.
    #[error("line {line} of the key file is not 64 hexadecimal digits")]
    NotAKey {
        /// Number of the line, counted from 1.
        line: usize,
    },
    /// The key material has fewer than 32 bytes.
    #[error("key of {bytes} bytes is too short: at least 32 bytes are required")]
    TooShort {
        /// Length of the material.
        bytes: usize,
    },
}

impl KeyError {
    /// Advice to the operator.
    pub fn advice(&self) -> &'static str {
        match self {
            KeyError::None | KeyError::NotAKey { .. } | KeyError::TooShort { .. } => {
                "write one line of 64 hexadecimal digits, as `openssl rand -hex 32` gives it"
            }
            KeyError::TooMany { .. } => {
                "keep the key that signs first, one more that verifies below, no other"
            }
        }
    }
}

impl FleetKey {
    /// Derives the key of `fleet` from at least 32 bytes of secret material.
    pub fn derive(material: &[u8], fleet: &str) -> Result<FleetKey, KeyError> {
        if material.len() < 32 {
            return Err(KeyError::TooShort { bytes: material.len() });
        }
        let mut hasher = blake3::Hasher::new_derive_key(KEY_DERIVATION_CONTEXT);
        hasher.update(&(fleet.len() as u64).to_le_bytes()).update(fleet.as_bytes()).update(material);
        Ok(FleetKey(*hasher.finalize().as_bytes()))
    }

    /// Returns the tag of a message.
    pub(super) fn tag(&self, signed: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&blake3::keyed_hash(&self.0, signed).as_bytes()[..TAG_BYTES]);
        tag
    }
}

/// The keys of a member: the first one signs, both verify.
///
/// A key rotation takes three steps: add the new key as the second one at every member, make it the first one at every
/// member, and remove the old one.
#[derive(Clone, Debug)]
pub struct Keyring {
    first: FleetKey,
    second: Option<FleetKey>,
}

impl Keyring {
    /// Creates a keyring. `second` only verifies; without it, messages signed with any key but `first` are rejected.
    pub fn new(first: FleetKey, second: Option<FleetKey>) -> Keyring {
        Keyring { first, second }
    }

    /// Parses the text of a key file. Each line contains at most one key of 64 hexadecimal digits; the first
    /// key signs. A `#` starts a comment. `fleet` is the fleet's name.
    pub fn parse(text: &str, fleet: &str) -> Result<Keyring, KeyError> {
        let mut keys = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("").trim();
            if !line.is_empty() {
                let material = decode_hex_key(line).ok_or(KeyError::NotAKey { line: index + 1 })?;
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

    /// The key that signs.
    pub(super) fn signing_key(&self) -> &FleetKey {
        &self.first
    }

    /// Returns the index of the key that made the tag: 0 for the first, 1 for the second. Tags are compared in constant
    /// time.
    pub(super) fn matching_key(&self, signed: &[u8], tag: &[u8; TAG_BYTES]) -> Option<usize> {
        [Some(&self.first), self.second.as_ref()]
            .into_iter()
            .flatten()
            .position(|key| constant_time_eq::constant_time_eq_16(&key.tag(signed), tag))
    }
}

fn decode_hex_key(line: &str) -> Option<[u8; 32]> {
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
