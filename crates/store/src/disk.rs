//! All file access, behind one small trait: a folder of the operating system here, and a simulated disk with
//! faults in [`crate::sim`].

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use rustix::fs::{flock, FlockOperation};

/// A folder of files that one process uses at a time. Names contain no separators.
pub trait Disk: Send + 'static {
    type File: DiskFile;

    /// Locks the folder for this process until the value is dropped. [`ErrorKind::WouldBlock`]: another
    /// process holds the lock.
    fn lock(&mut self) -> io::Result<()>;
    /// Returns the names of all files except the lock file, in no particular order.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Opens an existing file for reading and writing.
    fn open(&self, name: &str) -> io::Result<Self::File>;
    /// Creates an empty file. It is an error if a file of this name exists.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes earlier creations, renames and removals durable.
    fn sync_folder(&self) -> io::Result<()>;
}

/// One file of a [`Disk`].
pub trait DiskFile: Send + Sync + 'static {
    fn size(&self) -> io::Result<u64>;
    /// Fills as much of the buffer as the file holds from `offset` on: at least one byte, except at the end of
    /// the file.
    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize>;
    /// Writes all bytes. After an error, any part of them may have been written.
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()>;
    fn truncate(&self, len: u64) -> io::Result<()>;
    /// Makes earlier writes durable. After an error, the state of everything written since the last success
    /// is unknown.
    fn sync(&self) -> io::Result<()>;
}

/// Fills the whole buffer. An end of the file before that is an error.
pub fn read_exact(file: &impl DiskFile, mut buffer: &mut [u8], mut offset: u64) -> io::Result<()> {
    while !buffer.is_empty() {
        match file.read_at(buffer, offset) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(n) => {
                buffer = &mut buffer[n..];
                offset += n as u64;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Reads a whole file.
pub fn read_all(file: &impl DiskFile) -> io::Result<Vec<u8>> {
    let mut all = vec![0; file.size()? as usize];
    read_exact(file, &mut all, 0)?;
    Ok(all)
}

/// A folder in the operating system's file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    lock: Option<File>,
}

/// Name of the file whose lock marks the folder as in use. It is empty and never removed.
pub const LOCK_FILE: &str = "lock";

impl Folder {
    /// Creates the folder if it does not exist.
    pub fn new(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        Ok(Folder { path, lock: None })
    }

    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Disk for Folder {
    type File = File;

    fn lock(&mut self) -> io::Result<()> {
        let file =
            OpenOptions::new().write(true).create(true).truncate(false).open(self.path.join(LOCK_FILE))?;
        // The operating system releases the lock when the process ends, however it ends.
        flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        self.lock = Some(file);
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let names =
            fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()));
        names.filter(|name| !matches!(name, Ok(name) if name == LOCK_FILE)).collect()
    }

    fn open(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).open(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create_new(true).open(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl DiskFile for File {
    fn size(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }
    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        FileExt::read_at(self, buffer, offset)
    }
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        self.write_all_at(bytes, offset)
    }
    fn truncate(&self, len: u64) -> io::Result<()> {
        self.set_len(len)
    }
    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}
