//! The one place where configuration is read, checked and given its defaults. Every error names the faulty key.

mod command;
mod front;
mod platform;

pub use command::{command, Command, Files, USAGE};
pub use front::{front, front_from, one_stage, Front, Pool, Server};
pub use platform::{platform, Bounds, Platform};

use std::fmt;
use std::path::Path;

/// What is wrong, and at which key.
#[derive(Debug, PartialEq)]
pub struct Error {
    pub key: String,
    pub what: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.what)
    }
}

fn error<T>(key: impl Into<String>, what: impl Into<String>) -> Result<T, Error> {
    Err(Error { key: key.into(), what: what.into() })
}

fn read(path: &Path, key: &str) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|e| Error { key: key.into(), what: format!("cannot be read: {e}") })
}
