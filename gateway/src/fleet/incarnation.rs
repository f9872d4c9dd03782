//! The life of this run: from the clock, and above the last one that is known.

use std::fs::{DirBuilder, File};
use std::io::{self, Write};
use std::os::unix::fs::DirBuilderExt;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use glenrail_fleet::Incarnation;

use super::error::LifeError;

/// Milliseconds since 1970; 0 where the clock stands before it.
pub fn clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |duration| duration.as_millis() as u64)
}

/// A life later than any that `file` remembers, which remembers this one too before it is used. Guards against a
/// clock that went back over a restart: the others would refuse all that the new run says.
pub fn next(clock: u64, file: Option<&Path>) -> Result<Incarnation, LifeError> {
    let Some(file) = file else { return Ok(Incarnation(clock)) };
    let last = match std::fs::read_to_string(file) {
        Ok(text) => text.trim().parse::<u64>().map_err(|_| LifeError::NotANumber)?,
        Err(error) if error.kind() == io::ErrorKind::NotFound => 0,
        Err(error) => return Err(LifeError::Unreadable(error)),
    };
    let incarnation = clock.max(last.checked_add(1).ok_or(LifeError::NotANumber)?);
    store(incarnation, file).map_err(LifeError::Unwritable)?;
    Ok(Incarnation(incarnation))
}

/// Written beside and renamed, so that no end of the process leaves half a number.
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
