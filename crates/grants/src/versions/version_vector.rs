//! Dots, version vectors, and the version digests computed from them.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// An incarnation of a member. The member is identified by a hash of its name. Incarnations increase and are
/// never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    pub member: u64,
    pub incarnation: u64,
}

/// The identifier of a change: the origin that accepted it, and the change's number there, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Dot {
    pub origin: Origin,
    pub count: u64,
}

impl fmt::Display for Dot {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}.{}.{}", self.origin.member, self.origin.incarnation, self.count)
    }
}

/// All known changes of one section: for each origin, all changes up to its highest count. The incarnations
/// of a member are independent of each other: a later one may have started without the changes of earlier
/// ones and must not cover them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionVector(BTreeMap<Origin, u64>);

impl VersionVector {
    pub fn covers(&self, dot: &Dot) -> bool {
        self.0.get(&dot.origin).is_some_and(|&count| dot.count <= count)
    }

    pub fn add(&mut self, dot: &Dot) {
        let count = self.0.entry(dot.origin).or_default();
        *count = dot.count.max(*count);
    }

    pub fn merge(&mut self, other: &VersionVector) {
        other.dots().for_each(|dot| self.add(&dot));
    }

    /// Returns whether this vector covers every change that `other` covers.
    pub fn covers_all(&self, other: &VersionVector) -> bool {
        other.dots().all(|dot| self.covers(&dot))
    }

    /// Returns the highest dot of each origin.
    pub fn dots(&self) -> impl Iterator<Item = Dot> + '_ {
        self.0.iter().map(|(&origin, &count)| Dot { origin, count })
    }
}

/// The version that a change is based on: a digest of the version vector of one section, or of all. Members
/// with the same version have the same content, provided that no incarnation was used twice. Written as 32
/// hex digits, also in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Version([u8; 16]);

impl Version {
    pub(super) fn from_hasher(hash: &blake3::Hasher) -> Version {
        let mut version = [0; 16];
        version.copy_from_slice(&hash.finalize().as_bytes()[..16]);
        Version(version)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(out, "{byte:02x}"))
    }
}

impl From<Version> for String {
    fn from(version: Version) -> String {
        version.to_string()
    }
}

/// The error for a text that is not a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a version is 32 hex digits")]
pub struct ParseVersionError;

impl ParseVersionError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        "send the version as it was in the last response"
    }
}

impl FromStr for Version {
    type Err = ParseVersionError;

    fn from_str(text: &str) -> Result<Version, ParseVersionError> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseVersionError);
        }
        let mut version = [0; 16];
        for (at, byte) in version.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).map_err(|_| ParseVersionError)?;
        }
        Ok(Version(version))
    }
}

impl TryFrom<String> for Version {
    type Error = ParseVersionError;

    fn try_from(text: String) -> Result<Version, ParseVersionError> {
        text.parse()
    }
}
