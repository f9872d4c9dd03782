//! Dots, clocks, and versions made of them.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// One life of a member. The member is a hash of its name; lives grow and are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    pub member: u64,
    pub incarnation: u64,
}

/// One change: the nth that this life of a member took, from 1.
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

/// All changes of one part that are known: of each life all up to its highest count. Lives of one member stand
/// beside each other: a later one may have begun without its earlier ones' changes, and must not cover them.
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

    /// Whether it covers all of the other.
    pub fn covers_all(&self, other: &VersionVector) -> bool {
        other.dots().all(|dot| self.covers(&dot))
    }

    /// The highest dot of each life.
    pub fn dots(&self) -> impl Iterator<Item = Dot> + '_ {
        self.0.iter().map(|(&origin, &count)| Dot { origin, count })
    }
}

/// What a change is made against: a digest of the clock, of one part or of all. Two members that show the same
/// version show the same content. On the wire and in texts 32 hex digits.
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

/// A text that is no version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a version is 32 hex digits")]
pub struct ParseVersionError;

impl ParseVersionError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        "give the version as the last answer showed it"
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
