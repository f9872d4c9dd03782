//! Conversion of documents from and to text. A text with any error is rejected as a whole.

use serde::de::DeserializeOwned;
use serde_path_to_error::{Path, Segment};

use crate::sections::TeamSection;

use super::check::find_faults;
use super::error::{DocumentError, Fault};
use super::position::{locate_in_json, locate_in_toml, KeyPath, KeySegment, Position};
use super::Document;

/// Maximum length of a text that is parsed, in bytes.
pub const MAX_TEXT_BYTES: usize = 16 << 20;

impl Document {
    /// Parses and validates a TOML document, the format of operators' files.
    pub fn from_toml(text: &str) -> Result<Document, DocumentError> {
        check_length(text)?;
        let malformed = |key: KeyPath, error: toml::de::Error| DocumentError {
            position: error.span().map(|span| Position::at_byte(text, span.start)),
            key,
            fault: Fault::Malformed { message: error.message().to_owned() },
        };
        let deserializer =
            toml::Deserializer::parse(text).map_err(|error| malformed(KeyPath::default(), error))?;
        let document: Document = serde_path_to_error::deserialize(deserializer)
            .map_err(|error| malformed(key_path(error.path()), error.into_inner()))?;
        validated(document, |path| locate_in_toml(text, path))
    }

    /// Parses and validates a JSON document, the format on the network.
    pub fn from_json(text: &str) -> Result<Document, DocumentError> {
        let document = parse_json(text)?;
        validated(document, |path| locate_in_json(text, path))
    }

    /// Returns a TOML text that parses to this document.
    pub fn to_toml(&self) -> Result<String, DocumentError> {
        toml::to_string(self).map_err(unwritable)
    }

    pub fn to_json(&self) -> Result<String, DocumentError> {
        serde_json::to_string(self).map_err(unwritable)
    }
}

/// Parses JSON into a type. Checks only the length, the syntax and the types of values.
fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, DocumentError> {
    check_length(text)?;
    let malformed = |key: KeyPath, error: serde_json::Error| DocumentError {
        position: Some(Position { line: error.line().max(1), column: error.column().max(1) }),
        key,
        fault: Fault::Malformed { message: error.to_string() },
    };
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| malformed(key_path(error.path()), error.into_inner()))?;
    deserializer.end().map_err(|error| malformed(KeyPath::default(), error))?;
    Ok(value)
}

impl TeamSection {
    /// Parses the JSON entry of one team. A rule without `teams` is for this team. The names in it are
    /// checked when it is proposed ([`crate::versions::Replica::propose`]), because that needs the other
    /// sections.
    pub fn from_json(team: &str, text: &str) -> Result<TeamSection, DocumentError> {
        let mut section: TeamSection = parse_json(text)?;
        for rule in section.rules.iter_mut().filter(|rule| rule.teams.is_empty()) {
            rule.teams.push(team.to_owned());
        }
        Ok(section)
    }
}

/// Returns the error for a document that cannot be written. The only cause is a time outside the range of
/// TOML integers.
fn unwritable(error: impl std::fmt::Display) -> DocumentError {
    DocumentError {
        position: None,
        key: KeyPath::default(),
        fault: Fault::Malformed { message: error.to_string() },
    }
}

fn check_length(text: &str) -> Result<(), DocumentError> {
    if text.len() <= MAX_TEXT_BYTES {
        return Ok(());
    }
    let fault = Fault::LimitExceeded { what: "bytes", count: text.len(), limit: MAX_TEXT_BYTES };
    Err(DocumentError { position: None, key: KeyPath::default(), fault })
}

fn validated(
    document: Document, locate: impl Fn(&KeyPath) -> Option<Position>,
) -> Result<Document, DocumentError> {
    match find_faults(&document).into_iter().next() {
        None => Ok(document),
        Some((key, fault)) => Err(DocumentError { position: locate(&key), key, fault }),
    }
}

fn key_path(path: &Path) -> KeyPath {
    KeyPath(
        path.iter()
            .filter_map(|segment| match segment {
                Segment::Seq { index } => Some(KeySegment::Index(*index)),
                Segment::Map { key } => Some(KeySegment::Field(key.clone())),
                Segment::Enum { variant } => Some(KeySegment::Field(variant.clone())),
                Segment::Unknown => None,
            })
            .collect(),
    )
}
