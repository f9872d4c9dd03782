//! What can be wrong with a document.

use std::fmt;

use super::position::{in_json, KeyPath, Place};

/// A document that was not taken: where, under which key, and why. Nothing changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct DocumentError {
    /// Where in the text; none where there is no text (a change of one team, entries from another member).
    pub place: Option<Place>,
    pub key: KeyPath,
    pub fault: Fault,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(place) = self.place {
            write!(out, "{place}: ")?;
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
    pub fn placed(self, text: &str) -> DocumentError {
        let place = self.place.or_else(|| in_json(text, &self.key));
        DocumentError { place, ..self }
    }
}

/// What a name is a name of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Team,
    /// A model, an alias or a group.
    Model,
    Group,
    Rule,
}

impl fmt::Display for Kind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Kind::Team => "team",
            Kind::Model => "model, alias or group",
            Kind::Group => "group",
            Kind::Rule => "rule",
        })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Not the form, or a key or value that the form does not have.
    #[error("{message}")]
    Form { message: String },
    #[error("there is no {kind} `{name}`")]
    Unknown { kind: Kind, name: String },
    #[error("there are two of {kind} `{name}`")]
    Twice { kind: Kind, name: String },
    #[error("{kind} `{}` is its own parent by way of {}", .names[0], .names[1..].join(", "))]
    Circle { kind: Kind, names: Vec<String> },
    #[error("team `{name}` has more than {limit} generations above it")]
    Deep { name: String, limit: usize },
    #[error("`{name}` cannot be a name: 1 to {limit} bytes, no `*`, no control characters")]
    Name { name: String, limit: usize },
    #[error("the rule names nothing here, so it could never hold")]
    Nothing,
    #[error("the rule ends at {until} ms, not after it begins at {from} ms")]
    Window { from: u64, until: u64 },
    #[error("{count} of {what} are more than {limit}")]
    Many { what: &'static str, count: usize, limit: usize },
    #[error("rule `{rule}` of team `{team}`'s entry is not for that team alone")]
    Elsewhere { rule: String, team: String },
}

impl Fault {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::Form { .. } => "correct the text at this place; docs/one-fleet.md shows the form",
            Fault::Unknown { .. } => "correct the spelling, or add what is named to the document first",
            Fault::Twice { .. } => {
                "rename or remove one; models, aliases and groups share one space of names"
            }
            Fault::Circle { .. } => "take one of the named parents away",
            Fault::Deep { .. } => "give the team a parent nearer to the top",
            Fault::Name { .. } => "choose another name",
            Fault::Nothing => "name at least one, or `*` for all",
            Fault::Window { .. } => "set `until` after `from`; both are Unix time in ms",
            Fault::Many { .. } => "split the document, or use groups and patterns in place of lists",
            Fault::Elsewhere { .. } => {
                "put rules for several teams into the document, not into one team's entry"
            }
        }
    }
}
