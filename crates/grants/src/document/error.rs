//! Errors in documents, with their position in the text and advice for operators.

use std::fmt;

use super::position::{locate_in_json, KeyPath, Position};

/// The reason why a document was rejected, with its position and key. A rejected document changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct DocumentError {
    /// Position in the text; `None` if there is no text (a change of one team, entries from another member)
    /// or the fault has no place in it (a text that is too long).
    pub position: Option<Position>,
    /// Empty if the error is not about one key.
    pub key: KeyPath,
    pub fault: Fault,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(position) = self.position {
            write!(out, "{position}: ")?;
        }
        if !self.key.0.is_empty() {
            write!(out, "{}: ", self.key)?;
        }
        write!(out, "{}", self.fault)
    }
}

impl DocumentError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        self.fault.advice()
    }

    /// Adds the position in the JSON text that the error is about, if the error has no position yet.
    pub fn with_position(self, text: &str) -> DocumentError {
        let position = self.position.or_else(|| locate_in_json(text, &self.key));
        DocumentError { position, ..self }
    }
}

/// The kind of object that a name refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameKind {
    Team,
    /// A model, an alias or a group.
    Model,
    Group,
    Rule,
}

impl fmt::Display for NameKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            NameKind::Team => "team",
            NameKind::Model => "model, alias or group",
            NameKind::Group => "group",
            NameKind::Rule => "rule",
        })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The text is not valid TOML or JSON, has an unknown key or a value of the wrong type, or cannot be
    /// written.
    #[error("{message}")]
    Malformed { message: String },
    #[error("there is no {kind} `{name}`")]
    UnknownName { kind: NameKind, name: String },
    #[error("there are two of {kind} `{name}`")]
    DuplicateName { kind: NameKind, name: String },
    #[error("{kind} `{}` is its own parent by way of {}", .names[0], .names[1..].join(", "))]
    Cycle { kind: NameKind, names: Vec<String> },
    #[error("team `{name}` has more than {limit} generations above it")]
    TooManyGenerations { name: String, limit: usize },
    #[error("`{name}` cannot be a name: 1 to {limit} bytes, no `*`, no control characters")]
    InvalidName { name: String, limit: usize },
    #[error("the rule names nothing here, so it could never hold")]
    EmptyList,
    #[error("the rule ends at {until} ms, not after it begins at {from} ms")]
    EmptyWindow { from: u64, until: u64 },
    #[error("{what}: {count} exceeds the limit of {limit}")]
    LimitExceeded { what: &'static str, count: usize, limit: usize },
    #[error("rule `{rule}` of team `{team}`'s entry is not for that team alone")]
    RuleForOtherTeams { rule: String, team: String },
}

impl Fault {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::Malformed { .. } => {
                "correct the text at this position; docs/one-fleet.md describes the format"
            }
            Fault::UnknownName { .. } => {
                "correct the spelling, or add the missing name to the document first"
            }
            Fault::DuplicateName { .. } => {
                "rename or remove one; models, aliases and groups share one namespace"
            }
            Fault::Cycle { .. } => "remove one of the named parents",
            Fault::TooManyGenerations { .. } => "choose a parent with fewer generations above it",
            Fault::InvalidName { .. } => "choose another name",
            Fault::EmptyList => "name at least one, or `*` for all",
            Fault::EmptyWindow { .. } => "set `until` after `from`; both are Unix time in ms",
            Fault::LimitExceeded { .. } => "split the document, or use groups and patterns in place of lists",
            Fault::RuleForOtherTeams { .. } => {
                "put rules for several teams into the document, not into one team's entry"
            }
        }
    }
}
