//! What can go wrong with versions.

use crate::document::DocumentError;
use crate::sections::SectionKey;

use super::version_vector::{Origin, Version};

/// A change that was not taken, or a store that was not. Nothing changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// No key: the document as a whole.
    #[error("{} is at version {present}, not at {expected}", whole(.key))]
    Conflict { key: Option<SectionKey>, expected: Version, present: Version },
    #[error(transparent)]
    Document(#[from] DocumentError),
    #[error("the content is not of the form of {key}")]
    Form { key: SectionKey },
    #[error("{key} would take {bytes} bytes, more than {most}")]
    Large { key: SectionKey, bytes: usize, most: usize },
    #[error("there is no {key}")]
    Missing { key: SectionKey },
    #[error("life {} of member {:016x} has made changes before this start", .origin.life, .origin.member)]
    LifeUsed { origin: Origin },
    #[error(transparent)]
    Bytes(#[from] ByteError),
}

fn whole(key: &Option<SectionKey>) -> String {
    key.as_ref().map_or_else(|| "the document".to_owned(), SectionKey::to_string)
}

impl LedgerError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            LedgerError::Conflict { .. } => "read the present version, apply the change to it, and put that",
            LedgerError::Document(error) => error.advice(),
            LedgerError::Form { .. } => "put a team's entry to a team, and a document to the document",
            LedgerError::Large { .. } => "use groups and patterns in place of lists",
            LedgerError::Missing { .. } => "correct the spelling; the document lists the teams",
            LedgerError::LifeUsed { .. } => {
                "look for a second process under this name and for a clock set back, then start again"
            }
            LedgerError::Bytes(error) => error.advice(),
        }
    }
}

/// Bytes, of a store or from another member, that are no entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ByteError {
    #[error("an entry of format {format}, and this build reads {ours}")]
    Format { format: u8, ours: u8 },
    #[error("{bytes} bytes of an entry are more than {most}")]
    Large { bytes: usize, most: usize },
    #[error("the bytes of {key} are no entry")]
    Damaged { key: SectionKey },
    #[error("bytes that are no key of an entry")]
    Key,
}

impl ByteError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            ByteError::Format { .. } => "bring this member to the build of the others; until then it lacks the entry",
            ByteError::Large { .. } => "look which member sends it; use groups and patterns in place of lists",
            ByteError::Damaged { .. } | ByteError::Key => {
                "from a store: move it away and start empty, the others give it back; from a member: look at its build"
            }
        }
    }
}
