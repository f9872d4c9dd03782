//! Maintenance orders on disk: one empty file for each server that is out of rotation.
//!
//! A file is created or removed in one step, so processes that share the directory have nothing to merge. The names of
//! the files are a stored form that older builds read (`tests/fixtures/orders`).
#![deny(missing_docs)]

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::fs::{read_dir, remove_file, DirBuilder, File};
use std::io;
use std::os::unix::fs::DirBuilderExt;
use std::path::{Path, PathBuf};

use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};

/// Directory of the orders, below the state directory.
const DIRECTORY: &str = "offline";
/// Nobody else may give orders there, nor take over.
const DIRECTORY_MODE: u32 = 0o700;
/// Besides letters and digits, these characters of a server's name stand as they are in its file's name.
const UNESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_');

/// The orders of one gateway, shared by its processes.
#[derive(Clone, Debug)]
pub struct OrderStore {
    directory: PathBuf,
}

impl OrderStore {
    /// Opens the orders of this state directory, which is created if need be.
    pub fn open(state: &Path) -> io::Result<Self> {
        let directory = state.join(DIRECTORY);
        DirBuilder::new().recursive(true).mode(DIRECTORY_MODE).create(&directory)?;
        Ok(OrderStore { directory })
    }

    fn file(&self, server: &str) -> PathBuf {
        self.directory.join(utf8_percent_encode(server, UNESCAPED).to_string())
    }

    pub(super) fn add(&self, server: &str) -> io::Result<()> {
        File::create(self.file(server))?;
        Ok(())
    }

    /// Removes an order. One that does not stand is no error.
    pub(super) fn remove(&self, server: &str) -> io::Result<()> {
        match remove_file(self.file(server)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            result => result,
        }
    }

    /// The servers that orders stand for. Files whose names no order can have are passed over.
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
