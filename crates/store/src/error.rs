//! Errors of the store.

use std::io;
use std::sync::Arc;

use thiserror::Error;

#[derive(Clone, Debug, Error)]
pub enum Error {
    #[error("another process has this store open")]
    Locked,
    #[error("{file}: unknown format version {version} (this program writes version {supported})")]
    Version { file: String, version: u32, supported: u32 },
    #[error("{file}: not a file of a store")]
    Foreign { file: String },
    #[error("{file}: written with a key, and none was given, or written without a key, and one was given")]
    KeyMismatch { file: String },
    #[error("{file}: damaged at byte {offset}: {what}")]
    Damaged { file: String, offset: u64, what: &'static str },
    #[error("a batch of {bytes} bytes exceeds the limit of {limit} bytes")]
    TooLarge { bytes: usize, limit: usize },
    #[error("too many writes are waiting")]
    QueueFull,
    #[error("a key does not have the version that the batch expects")]
    VersionConflict,
    #[error("the disk is full")]
    DiskFull,
    #[error("the store accepts no more writes: {0}")]
    Failed(Arc<io::Error>),
    #[error("the store is closed")]
    Closed,
    #[error("{0}")]
    Io(Arc<io::Error>),
    #[error("a key or value cannot be encoded or decoded: {0}")]
    Codec(String),
}

impl From<io::Error> for Error {
    fn from(e: io::Error) -> Self {
        match e.kind() {
            io::ErrorKind::StorageFull => Error::DiskFull,
            _ => Error::Io(Arc::new(e)),
        }
    }
}

pub type Result<T> = std::result::Result<T, Error>;
