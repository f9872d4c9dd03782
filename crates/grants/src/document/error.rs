//! What can be wrong with a document.

use std::fmt;

use super::position::{locate_in_json, KeyPath, Position};

/// A document that was not taken: where, under which key, and why. Nothing changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct DocumentError {
    /// Where in the text; none where there is no text (a change of one team, entries from another member).
    pub position: Option<Position>,
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
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        self.fault.advice()
    }

    /// The same with its place in the JSON text that it is about, for one that came without.
    pub fn with_position(self, text: &str) -> DocumentError {
        let position = self.position.or_else(|| locate_in_json(text, &self.key));
        DocumentError { position, ..self }
    }
}

/// What a name is a name of.
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
    /// Not the form, or a key or value that the form does not have.
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
    #[error("{count} of {what} are more than {limit}")]
    LimitExceeded { what: &'static str, count: usize, limit: usize },
    #[error("rule `{rule}` of team `{team}`'s entry is not for that team alone")]
    RuleForOtherTeams { rule: String, team: String },
}

impl Fault {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::Malformed { .. } => "correct the text at this place; docs/one-fleet.md shows the form",
            Fault::UnknownName { .. } => "correct the spelling, or add what is named to the document first",
            Fault::DuplicateName { .. } => {
                "rename or remove one; models, aliases and groups share one space of names"
            }
            Fault::Cycle { .. } => "take one of the named parents away",
            Fault::TooManyGenerations { .. } => "give the team a parent nearer to the top",
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
