//! Errors of replicas and their entries, with advice for operators.

use crate::document::DocumentError;
use crate::sections::SectionKey;

use super::version_vector::{Origin, Version};

/// The reason why a change was rejected or a store was not restored. No section of the replica is changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaError {
    /// The change is based on an outdated version. `key` is `None` if the change was to the document as a
    /// whole.
    #[error("{} is at version {current}, not at {expected}", subject(.key))]
    VersionMismatch { key: Option<SectionKey>, expected: Version, current: Version },
    #[error(transparent)]
    Document(#[from] DocumentError),
    #[error("the content does not have the form of {key}")]
    WrongSection { key: SectionKey },
    #[error("{key} would take {bytes} bytes, more than {max}")]
    TooLarge { key: SectionKey, bytes: usize, max: usize },
    #[error("there is no {key}")]
    Missing { key: SectionKey },
    #[error("incarnation {} of member {:016x} was already used for changes before this start", .origin.incarnation, .origin.member)]
    IncarnationUsed { origin: Origin },
    #[error(transparent)]
    Entry(#[from] EntryError),
}

fn subject(key: &Option<SectionKey>) -> String {
    key.as_ref().map_or_else(|| "the document".to_owned(), SectionKey::to_string)
}

impl ReplicaError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            ReplicaError::VersionMismatch { .. } => {
                "read the current version, apply the change to it, and submit that"
            }
            ReplicaError::Document(error) => error.advice(),
            ReplicaError::WrongSection { .. } => {
                "submit a team's entry for a team, and a document for the document"
            }
            ReplicaError::TooLarge { .. } => "use groups and patterns in place of lists",
            ReplicaError::Missing { .. } => "correct the spelling; the document lists the teams",
            ReplicaError::IncarnationUsed { .. } => {
                "check for a second process with this name and for a clock that was set back, then start again"
            }
            ReplicaError::Entry(error) => error.advice(),
        }
    }
}

/// The error for bytes from the store or from another member that are not a valid entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    #[error("the entry has format {format}; this build reads format {supported}")]
    UnsupportedFormat { format: u8, supported: u8 },
    #[error("the entry has {bytes} bytes, more than {max}")]
    TooLarge { bytes: usize, max: usize },
    #[error("the bytes of {key} are not a valid entry")]
    Corrupt { key: SectionKey },
    #[error("the bytes are not a valid entry key")]
    InvalidKey,
}

impl EntryError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            EntryError::UnsupportedFormat { .. } => {
                "upgrade this member to the build of the others; until then it lacks the entry"
            }
            EntryError::TooLarge { .. } => {
                "find the member that sends it; use groups and patterns in place of lists"
            }
            EntryError::Corrupt { .. } | EntryError::InvalidKey => {
                "from the store: move it away and start empty, the other members send the data again; from a member: check its build"
            }
        }
    }
}
