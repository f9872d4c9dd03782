//! All file access, behind one small trait: the machine's disk, and in [`crate::sim`] one that lies.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use rustix::fs::{flock, FlockOperation};

/// A folder of files, one process at a time. Names have no separators.
pub trait Disk: Send + 'static {
    type File: DiskFile;

    /// Takes the folder for this process, until this is dropped. [`ErrorKind::WouldBlock`]: another has it.
    fn lock(&mut self) -> io::Result<()>;
    /// Names of all files, in no order.
    fn list(&self) -> io::Result<Vec<String>>;
    /// An existing file, to be read and written.
    fn open(&self, name: &str) -> io::Result<Self::File>;
    /// A new, empty file; one of this name is an error.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes what was created, renamed and removed last.
    fn sync_folder(&self) -> io::Result<()>;
}

/// One file.
pub trait DiskFile: Send + Sync + 'static {
    fn size(&self) -> io::Result<u64>;
    /// Fills as much of the buffer as the file has from there on, at least one byte unless it ends there.
    fn read_at(&self, buffer: &mut [u8], at: u64) -> io::Result<usize>;
    /// Writes all of it. After an error any part of it may be there.
    fn write_at(&self, bytes: &[u8], at: u64) -> io::Result<()>;
    fn truncate(&self, len: u64) -> io::Result<()>;
    /// Makes what was written last. After an error nothing is known of what was written since the last success.
    fn sync(&self) -> io::Result<()>;
}

/// Reads exactly so much; the file's end before that is an error.
pub fn read_exact(file: &impl DiskFile, mut buffer: &mut [u8], mut at: u64) -> io::Result<()> {
    while !buffer.is_empty() {
        match file.read_at(buffer, at) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(n) => {
                buffer = &mut buffer[n..];
                at += n as u64;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// All of a file.
pub fn read_all(file: &impl DiskFile) -> io::Result<Vec<u8>> {
    let mut all = vec![0; file.size()? as usize];
    read_exact(file, &mut all, 0)?;
    Ok(all)
}

/// A folder on the machine's disk.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    lock: Option<File>,
}

/// The file whose lock says that the folder is taken. It is empty and never removed.
pub const LOCK: &str = "lock";

impl Folder {
    /// Makes the folder if there is none.
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
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(self.path.join(LOCK))?;
        // The machine lets go of it when the process ends, however it does.
        flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        self.lock = Some(file);
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let names =
            fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()));
        names.filter(|name| !matches!(name, Ok(name) if name == LOCK)).collect()
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
    fn read_at(&self, buffer: &mut [u8], at: u64) -> io::Result<usize> {
        FileExt::read_at(self, buffer, at)
    }
    fn write_at(&self, bytes: &[u8], at: u64) -> io::Result<()> {
        self.write_all_at(bytes, at)
    }
    fn truncate(&self, len: u64) -> io::Result<()> {
        self.set_len(len)
    }
    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}
