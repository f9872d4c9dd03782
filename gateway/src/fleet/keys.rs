//! The key file: only its owner may use it.

use std::fs::OpenOptions;
use std::io::Read;
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::Path;

use glenrail_fleet::Keyring;
use rustix::fs::OFlags;

use super::error::KeyFileError;

/// Two keys and a page of comments fit.
const MOST: usize = 8 * 1024;
/// Rights of the group and of all others.
const OTHERS: u32 = 0o077;

/// Reads the keys of the fleet named `fleet`. What is checked is what is read: the file stays open between.
pub fn read(file: &Path, fleet: &str) -> Result<Keyring, KeyFileError> {
    // A pipe without a writer would be waited for.
    let flags = OFlags::NONBLOCK.bits() as i32;
    let open = OpenOptions::new().read(true).custom_flags(flags).open(file)?;
    let about = open.metadata()?;
    if !about.is_file() {
        return Err(KeyFileError::NotAFile);
    }
    let mode = about.mode() & 0o777;
    if mode & OTHERS != 0 {
        return Err(KeyFileError::Open { mode });
    }
    let mut bytes = Vec::new();
    open.take(MOST as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > MOST {
        return Err(KeyFileError::Long { most: MOST });
    }
    let text = String::from_utf8(bytes).map_err(|_| KeyFileError::NotText)?;
    Ok(Keyring::parse(&text, fleet)?)
}

#[cfg(test)]
mod tests;
