//! Configuration: read, checked and given its defaults here and nowhere else.
//!
//! `command` is the command line, `platform` what the platform gives, `front` the second front's file and `one_stage` the
//! router's settings for that file's pools. Nothing is stored here. Every error names the faulty key.
#![deny(missing_docs)]

mod command;
mod front;
mod one_stage;
mod platform;

use std::path::Path;

pub use self::command::{command, Command, Files, USAGE};
pub use self::front::{front, front_from, InferenceFrontConfig, PoolConfig, ServerConfig};
pub use self::one_stage::one_stage;
pub use self::platform::{platform, Bounds, Platform};

/// What is wrong, and at which key.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("configuration: {key}: {what}")]
pub struct ConfigError {
    /// The faulty key, option, variable or line.
    pub key: String,
    /// What is wrong with it.
    pub what: String,
}

fn error<T>(key: impl Into<String>, what: impl Into<String>) -> Result<T, ConfigError> {
    Err(ConfigError { key: key.into(), what: what.into() })
}

/// The line, from 1, of a TOML text at which it could not be parsed.
pub(crate) fn error_line(text: &str, error: &toml::de::Error) -> usize {
    let start = error.span().map_or(0, |span| span.start);
    text.bytes().take(start).filter(|byte| *byte == b'\n').count() + 1
}

fn read(path: &Path, key: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).or_else(|e| error(key, format!("cannot be read: {e}")))
}
