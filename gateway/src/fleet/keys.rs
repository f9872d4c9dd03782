//! Reader of the key file, which only its owner may access. It is read at the start and at each reload.

use std::fs::OpenOptions;
use std::io::Read;
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::Path;

use glenrail_fleet::Keyring;
use rustix::fs::OFlags;

use super::error::KeyFileError;

/// Maximum size of a key file, in bytes; enough for two keys and a page of comments.
const MAX_FILE_BYTES: usize = 8 * 1024;
/// Permission bits of the group and of other users.
const GROUP_AND_OTHERS_BITS: u32 = 0o077;

/// Reads the keys of the fleet named `fleet`. The checks and the read use the same open file, so that it cannot be
/// replaced between them.
pub fn read(file: &Path, fleet: &str) -> Result<Keyring, KeyFileError> {
    // Opening a pipe without a writer would block.
    let flags = OFlags::NONBLOCK.bits() as i32;
    let opened = OpenOptions::new().read(true).custom_flags(flags).open(file)?;
    let metadata = opened.metadata()?;
    if !metadata.is_file() {
        return Err(KeyFileError::NotAFile);
    }
    let mode = metadata.mode() & 0o777;
    if mode & GROUP_AND_OTHERS_BITS != 0 {
        return Err(KeyFileError::TooPermissive { mode });
    }
    let mut bytes = Vec::new();
    opened.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > MAX_FILE_BYTES {
        return Err(KeyFileError::TooLong { max_bytes: MAX_FILE_BYTES });
    }
    let text = String::from_utf8(bytes).map_err(|_| KeyFileError::NotText)?;
    Ok(Keyring::parse(&text, fleet)?)
}

#[cfg(test)]
mod tests;
