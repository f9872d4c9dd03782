//! Positions of keys in a document's text. They are looked up only when an error is reported, so the document
//! types hold no positions and are the same for TOML and JSON.

use std::collections::HashMap;
use std::fmt;

use serde_json::value::RawValue;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A line and a column, both counted from 1. The column counts characters, except for a malformed JSON text:
/// there it is the column of the JSON parser, which counts bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    pub line: usize,
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "line {}, column {}", self.line, self.column)
    }
}

impl Position {
    /// Returns the position of a byte offset in the text; the end of the text for an offset beyond
    /// it or inside a character.
    pub fn at_byte(text: &str, byte: usize) -> Position {
        let before = text.get(..byte.min(text.len())).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        Position { line, column }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySegment {
    Field(String),
    /// The index in a list, counted from 0.
    Index(usize),
}

/// The path of keys that leads to a value, such as `rule[2].teams[0]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyPath(pub Vec<KeySegment>);

impl KeyPath {
    /// Returns `list[index].field`, or `list[index]` alone if `field` is empty.
    pub fn list_item(list: &str, index: usize, field: &str) -> KeyPath {
        let mut path = vec![KeySegment::Field(list.to_owned()), KeySegment::Index(index)];
        if !field.is_empty() {
            path.push(KeySegment::Field(field.to_owned()));
        }
        KeyPath(path)
    }

    pub fn with_index(mut self, index: usize) -> KeyPath {
        self.0.push(KeySegment::Index(index));
        self
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (depth, segment) in self.0.iter().enumerate() {
            match segment {
                KeySegment::Field(name) if depth == 0 => write!(out, "{name}")?,
                KeySegment::Field(name) => write!(out, ".{name}")?,
                KeySegment::Index(index) => write!(out, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// Returns the position of the value in a TOML text, or of its nearest ancestor that exists. `None` if the
/// text is not TOML.
pub fn locate_in_toml(text: &str, path: &KeyPath) -> Option<Position> {
    let table = DeTable::parse(text).ok()?;
    let mut start = table.span().start;
    let mut value: Option<&Spanned<DeValue<'_>>> = None;
    for segment in &path.0 {
        let next = match (value.map(Spanned::get_ref), segment) {
            (None, KeySegment::Field(name)) => table.get_ref().get(name.as_str()),
            (Some(DeValue::Table(table)), KeySegment::Field(name)) => table.get(name.as_str()),
            (Some(DeValue::Array(list)), KeySegment::Index(index)) => list.get(*index),
            _ => None,
        };
        let Some(next) = next else { break };
        start = next.span().start;
        value = Some(next);
    }
    Some(Position::at_byte(text, start))
}

/// Returns the position of the value in a JSON text, or of its nearest ancestor that exists.
pub fn locate_in_json(text: &str, path: &KeyPath) -> Option<Position> {
    let mut current = text.trim_start();
    for segment in &path.0 {
        let next = match segment {
            KeySegment::Field(name) => serde_json::from_str::<HashMap<String, &RawValue>>(current)
                .ok()
                .and_then(|fields| fields.get(name).map(|value| value.get())),
            KeySegment::Index(index) => serde_json::from_str::<Vec<&RawValue>>(current)
                .ok()
                .and_then(|items| items.get(*index).map(|value| value.get())),
        };
        let Some(next) = next else { break };
        current = next;
    }
    // A raw value borrows from the text, so the difference of the addresses is its offset.
    let byte = (current.as_ptr() as usize).checked_sub(text.as_ptr() as usize)?;
    Some(Position::at_byte(text, byte))
}
