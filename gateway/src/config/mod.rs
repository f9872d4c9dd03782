//! Configuration: the only place where settings are read, validated and given defaults.
//!
//! `command` parses the command line, `platform` reads the platform's settings, `front` reads the second front's file,
//! and `mixed_pool` builds the router settings of that file's pools. The module has no state. Every error names the
//! faulty key.
#![deny(missing_docs)]

mod command;
mod front;
mod mixed_pool;
mod platform;

use std::path::Path;

pub use self::command::{command, Command, Files, USAGE};
pub use self::front::{front, parse_front, InferenceFrontConfig, PoolConfig, ServerConfig};
pub use self::mixed_pool::mixed_pool_settings;
pub use self::platform::{platform, Bounds, Platform};

/// Error in the configuration, with the key at which it was found.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("configuration: {key}: {what}")]
pub struct ConfigError {
    /// Key, command-line option, environment variable or line with the error.
    pub key: String,
    /// Description of the error.
    pub what: String,
}

fn error<T>(key: impl Into<String>, what: impl Into<String>) -> Result<T, ConfigError> {
    Err(ConfigError { key: key.into(), what: what.into() })
}

/// Returns the line, counted from 1, at which parsing of a TOML text failed.
pub(crate) fn error_line(text: &str, error: &toml::de::Error) -> usize {
    let start = error.span().map_or(0, |span| span.start);
    text.bytes().take(start).filter(|byte| *byte == b'\n').count() + 1
}

fn read(path: &Path, key: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).or_else(|e| error(key, format!("cannot be read: {e}")))
}
