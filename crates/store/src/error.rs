//! What can go wrong, by name.

use std::io;
use std::sync::Arc;

use thiserror::Error;

#[derive(Clone, Debug, Error)]
pub enum Error {
    #[error("another process has this store")]
    Taken,
    #[error("{file}: format {version} is not known here (this program writes {ours})")]
    Version { file: String, version: u32, ours: u32 },
    #[error("{file}: no file of a store")]
    Foreign { file: String },
    #[error("{file}: sealed with a key, and none was given, or the other way round")]
    Key { file: String },
    #[error("{file}: damaged at byte {offset}: {what}")]
    Damaged { file: String, offset: u64, what: &'static str },
    #[error("a batch of {bytes} bytes is more than the {most} that a store takes")]
    TooLarge { bytes: usize, most: usize },
    #[error("too many writes wait already")]
    Busy,
    #[error("a value is not what the batch expected")]
    Conflict,
    #[error("the disk is full")]
    Full,
    #[error("the store takes no more writes: {0}")]
    Failed(Arc<io::Error>),
    #[error("the store is closed")]
    Closed,
    #[error("{0}")]
    Io(Arc<io::Error>),
    #[error("a key or value cannot be read: {0}")]
    Coding(String),
}

impl From<io::Error> for Error {
    fn from(e: io::Error) -> Self {
        match e.kind() {
            io::ErrorKind::StorageFull => Error::Full,
            _ => Error::Io(Arc::new(e)),
        }
    }
}

pub type Result<T> = std::result::Result<T, Error>;
