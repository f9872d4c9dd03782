//! Documents from and to text. A text is taken whole or not at all.

use serde::de::DeserializeOwned;
use serde_path_to_error::{Path, Segment};

use crate::sections::TeamSection;

use super::check::faults;
use super::error::{DocumentError, Fault};
use super::position::{in_json, in_toml, Key, KeyPath, Place};
use super::Document;

/// The longest text that is read, bytes.
pub const LONGEST: usize = 16 << 20;

impl Document {
    /// Reads an operators' file.
    pub fn from_toml(text: &str) -> Result<Document, DocumentError> {
        within(text)?;
        let form = |key: KeyPath, error: toml::de::Error| DocumentError {
            place: error.span().map(|span| Place::of(text, span.start)),
            key,
            fault: Fault::Form { message: error.message().to_owned() },
        };
        let reader = toml::Deserializer::parse(text).map_err(|error| form(KeyPath::default(), error))?;
        let document: Document = serde_path_to_error::deserialize(reader)
            .map_err(|error| form(key_path(error.path()), error.into_inner()))?;
        checked(document, |path| in_toml(text, path))
    }

    /// Reads what came over the wire.
    pub fn from_json(text: &str) -> Result<Document, DocumentError> {
        let document = json(text)?;
        checked(document, |path| in_json(text, path))
    }

    /// The text of an operators' file that reads as this document.
    pub fn to_toml(&self) -> Result<String, DocumentError> {
        toml::to_string(self).map_err(unwritable)
    }

    pub fn to_json(&self) -> Result<String, DocumentError> {
        serde_json::to_string(self).map_err(unwritable)
    }
}

/// Any form of JSON, by its form alone.
fn json<T: DeserializeOwned>(text: &str) -> Result<T, DocumentError> {
    within(text)?;
    let form = |key: KeyPath, error: serde_json::Error| DocumentError {
        place: Some(Place { line: error.line().max(1), column: error.column().max(1) }),
        key,
        fault: Fault::Form { message: error.to_string() },
    };
    let mut reader = serde_json::Deserializer::from_str(text);
    let read = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| form(key_path(error.path()), error.into_inner()))?;
    reader.end().map_err(|error| form(KeyPath::default(), error))?;
    Ok(read)
}

impl TeamSection {
    /// Reads one team's entry as it came over the wire. A rule without `teams` is for this team. What it names
    /// is checked when it is proposed ([`crate::versions::Ledger::propose`]), for it needs the rest.
    pub fn from_json(team: &str, text: &str) -> Result<TeamSection, DocumentError> {
        let mut section: TeamSection = json(text)?;
        for rule in section.rules.iter_mut().filter(|rule| rule.teams.is_empty()) {
            rule.teams.push(team.to_owned());
        }
        Ok(section)
    }
}

/// A time beyond what TOML's integers hold is all that cannot be written.
fn unwritable(error: impl std::fmt::Display) -> DocumentError {
    DocumentError { place: None, key: KeyPath::default(), fault: Fault::Form { message: error.to_string() } }
}

fn within(text: &str) -> Result<(), DocumentError> {
    if text.len() <= LONGEST {
        return Ok(());
    }
    let fault = Fault::Many { what: "bytes", count: text.len(), limit: LONGEST };
    Err(DocumentError { place: None, key: KeyPath::default(), fault })
}

fn checked(document: Document, place: impl Fn(&KeyPath) -> Option<Place>) -> Result<Document, DocumentError> {
    match faults(&document).into_iter().next() {
        None => Ok(document),
        Some((key, fault)) => Err(DocumentError { place: place(&key), key, fault }),
    }
}

fn key_path(path: &Path) -> KeyPath {
    KeyPath(
        path.iter()
            .filter_map(|segment| match segment {
                Segment::Seq { index } => Some(Key::Index(*index)),
                Segment::Map { key } => Some(Key::Named(key.clone())),
                Segment::Enum { variant } => Some(Key::Named(variant.clone())),
                Segment::Unknown => None,
            })
            .collect(),
    )
}
