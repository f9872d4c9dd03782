//! Choice of a new incarnation: the clock, or the successor of the stored one if that is later. This module owns the
//! file.

use std::fs::{DirBuilder, File};
use std::io::{self, Write};
use std::os::unix::fs::DirBuilderExt;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use glenrail_fleet::Incarnation;

use super::error::IncarnationError;

/// Returns the Unix time in milliseconds; 0 if the clock is before 1970.
pub fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |duration| duration.as_millis() as u64)
}

/// Returns an incarnation later than the one in `file`, after storing it there. Otherwise the other members would
/// reject all messages of this run if the clock had gone back since the previous one.
pub fn next(clock: u64, file: Option<&Path>) -> Result<Incarnation, IncarnationError> {
    let Some(file) = file else { return Ok(Incarnation(clock)) };
    let last = match std::fs::read_to_string(file) {
        Ok(text) => text.trim().parse::<u64>().map_err(|_| IncarnationError::NotANumber)?,
        Err(error) if error.kind() == io::ErrorKind::NotFound => 0,
        Err(error) => return Err(IncarnationError::Unreadable(error)),
    };
    let incarnation = clock.max(last.checked_add(1).ok_or(IncarnationError::NotANumber)?);
    store(incarnation, file).map_err(IncarnationError::Unwritable)?;
    Ok(Incarnation(incarnation))
}

/// Writes a temporary file and renames it, so that a crash never leaves an incomplete number.
fn store(incarnation: u64, file: &Path) -> io::Result<()> {
    if let Some(directory) = file.parent().filter(|parent| !parent.as_os_str().is_empty()) {
        DirBuilder::new().recursive(true).mode(0o700).create(directory)?;
    }
    let temporary = file.with_extension("new");
    let mut new = File::create(&temporary)?;
    new.write_all(format!("{incarnation}\n").as_bytes())?;
    new.sync_all()?;
    std::fs::rename(temporary, file)
}

#[cfg(test)]
mod tests;
