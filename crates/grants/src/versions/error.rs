//! What can go wrong with versions.

use crate::document::DocumentError;
use crate::sections::SectionKey;

use super::version_vector::{Origin, Version};

/// A change that was not taken, or a store that was not. Nothing changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaError {
    /// No key: the document as a whole.
    #[error("{} is at version {current}, not at {expected}", subject(.key))]
    VersionMismatch { key: Option<SectionKey>, expected: Version, current: Version },
    #[error(transparent)]
    Document(#[from] DocumentError),
    #[error("the content is not of the form of {key}")]
    WrongSection { key: SectionKey },
    #[error("{key} would take {bytes} bytes, more than {max}")]
    TooLarge { key: SectionKey, bytes: usize, max: usize },
    #[error("there is no {key}")]
    Missing { key: SectionKey },
    #[error("life {} of member {:016x} has made changes before this start", .origin.incarnation, .origin.member)]
    IncarnationUsed { origin: Origin },
    #[error(transparent)]
    Entry(#[from] EntryError),
}

fn subject(key: &Option<SectionKey>) -> String {
    key.as_ref().map_or_else(|| "the document".to_owned(), SectionKey::to_string)
}

impl ReplicaError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            ReplicaError::VersionMismatch { .. } => {
                "read the present version, apply the change to it, and put that"
            }
            ReplicaError::Document(error) => error.advice(),
            ReplicaError::WrongSection { .. } => {
                "put a team's entry to a team, and a document to the document"
            }
            ReplicaError::TooLarge { .. } => "use groups and patterns in place of lists",
            ReplicaError::Missing { .. } => "correct the spelling; the document lists the teams",
            ReplicaError::IncarnationUsed { .. } => {
                "look for a second process under this name and for a clock set back, then start again"
            }
            ReplicaError::Entry(error) => error.advice(),
        }
    }
}

/// Bytes, of a store or from another member, that are no entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    #[error("an entry of format {format}, and this build reads {supported}")]
    UnsupportedFormat { format: u8, supported: u8 },
    #[error("{bytes} bytes of an entry are more than {max}")]
    TooLarge { bytes: usize, max: usize },
    #[error("the bytes of {key} are no entry")]
    Corrupt { key: SectionKey },
    #[error("bytes that are no key of an entry")]
    InvalidKey,
}

impl EntryError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            EntryError::UnsupportedFormat { .. } => "bring this member to the build of the others; until then it lacks the entry",
            EntryError::TooLarge { .. } => "look which member sends it; use groups and patterns in place of lists",
            EntryError::Corrupt { .. } | EntryError::InvalidKey => {
                "from a store: move it away and start empty, the others give it back; from a member: look at its build"
            }
        }
    }
}
