//! Where in a text a key stands. Looked up only once something is wrong, so that the document's types carry no
//! places and are the same in both forms.

use std::collections::HashMap;
use std::fmt;

use serde_json::value::RawValue;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A line and a column, both from 1; the column counts characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub line: usize,
    pub column: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "line {}, column {}", self.line, self.column)
    }
}

impl Place {
    /// The place of a byte of the text; the last place for one beyond it.
    pub fn of(text: &str, byte: usize) -> Place {
        let before = text.get(..byte.min(text.len())).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        Place { line, column }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    Named(String),
    /// Counted from 0.
    Index(usize),
}

/// The way to a value, such as `rule[2].teams[0]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyPath(pub Vec<Key>);

impl KeyPath {
    /// `list[index].field`, or `list[index]` alone where the field is empty.
    pub fn at(list: &str, index: usize, field: &str) -> KeyPath {
        let mut path = vec![Key::Named(list.to_owned()), Key::Index(index)];
        if !field.is_empty() {
            path.push(Key::Named(field.to_owned()));
        }
        KeyPath(path)
    }

    pub fn item(mut self, index: usize) -> KeyPath {
        self.0.push(Key::Index(index));
        self
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, key) in self.0.iter().enumerate() {
            match key {
                Key::Named(name) if at == 0 => write!(out, "{name}")?,
                Key::Named(name) => write!(out, ".{name}")?,
                Key::Index(index) => write!(out, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// Where the value stands in a TOML text, or the nearest one above it that is there.
pub fn in_toml(text: &str, path: &KeyPath) -> Option<Place> {
    let table = DeTable::parse(text).ok()?;
    let mut start = table.span().start;
    let mut value: Option<&Spanned<DeValue<'_>>> = None;
    for key in &path.0 {
        let next = match (value.map(Spanned::get_ref), key) {
            (None, Key::Named(name)) => table.get_ref().get(name.as_str()),
            (Some(DeValue::Table(table)), Key::Named(name)) => table.get(name.as_str()),
            (Some(DeValue::Array(list)), Key::Index(index)) => list.get(*index),
            _ => None,
        };
        let Some(next) = next else { break };
        start = next.span().start;
        value = Some(next);
    }
    Some(Place::of(text, start))
}

/// Where the value stands in a JSON text, or the nearest one above it that is there.
pub fn in_json(text: &str, path: &KeyPath) -> Option<Place> {
    let mut here = text.trim_start();
    for key in &path.0 {
        let next = match key {
            Key::Named(name) => serde_json::from_str::<HashMap<String, &RawValue>>(here)
                .ok()
                .and_then(|fields| fields.get(name).map(|value| value.get())),
            Key::Index(index) => serde_json::from_str::<Vec<&RawValue>>(here)
                .ok()
                .and_then(|items| items.get(*index).map(|value| value.get())),
        };
        let Some(next) = next else { break };
        here = next;
    }
    // A raw value is a part of the text itself, so its address says where it stands.
    let byte = (here.as_ptr() as usize).checked_sub(text.as_ptr() as usize)?;
    Some(Place::of(text, byte))
}
