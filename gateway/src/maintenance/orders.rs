//! Maintenance orders on disk: one empty file for each server that is out of rotation.
//!
//! Creating and removing a file is atomic, so processes that share the directory need no merging. The file names are a
//! stored format that older builds read (`tests/fixtures/orders`).
#![deny(missing_docs)]

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::fs::{read_dir, remove_file, DirBuilder, File};
use std::io;
use std::os::unix::fs::DirBuilderExt;
use std::path::{Path, PathBuf};

use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};

/// Subdirectory of the state directory that contains the orders.
const DIRECTORY: &str = "offline";
/// Mode of the created directories: other users must be able neither to give orders nor to take over in an upgrade.
const DIRECTORY_MODE: u32 = 0o700;
/// Characters to escape in file names: all but ASCII letters, digits, `-` and `_`.
const ESCAPED_CHARACTERS: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_');

/// Store of a gateway's orders, shared by its processes.
#[derive(Clone, Debug)]
pub struct OrderStore {
    directory: PathBuf,
}

impl OrderStore {
    /// Opens the store in this state directory, and creates the directories if they do not exist.
    pub fn open(state: &Path) -> io::Result<Self> {
        let directory = state.join(DIRECTORY);
        DirBuilder::new().recursive(true).mode(DIRECTORY_MODE).create(&directory)?;
        Ok(OrderStore { directory })
    }

    fn file(&self, server: &str) -> PathBuf {
        self.directory.join(utf8_percent_encode(server, ESCAPED_CHARACTERS).to_string())
    }

    pub(super) fn add(&self, server: &str) -> io::Result<()> {
        File::create(self.file(server))?;
        Ok(())
    }

    /// Removes an order. A missing order is not an error.
    pub(super) fn remove(&self, server: &str) -> io::Result<()> {
        match remove_file(self.file(server)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            result => result,
        }
    }

    /// Returns the servers with a stored order. Files whose names are not valid for an order are ignored.
    pub(super) fn servers(&self) -> io::Result<BTreeSet<String>> {
        let mut servers = BTreeSet::new();
        for entry in read_dir(&self.directory)? {
            servers.extend(server_of(&entry?.file_name()));
        }
        Ok(servers)
    }
}

fn server_of(file_name: &OsString) -> Option<String> {
    let server = percent_decode_str(file_name.to_str()?).decode_utf8().ok()?;
    Some(server.into_owned())
}
