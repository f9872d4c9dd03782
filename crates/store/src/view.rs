//! The index, and views of the store. A view does not change while writers continue.

use std::sync::Arc;

use imbl::OrdMap;

use crate::disk::{read_exact, DiskFile};
use crate::error::{Error, Result};
use crate::frame::{self, MacKey};

/// Location of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    /// Number of the file.
    pub file: u64,
    /// Offset of the frame in the file.
    pub offset: u64,
    /// Size of the frame, in bytes.
    pub size: u32,
    /// Index of the change in the frame.
    pub slot: u32,
    pub version: u64,
    pub expires_at: Option<u64>,
    /// Bytes that the change adds to the [`crate::plan::FileUsage`] of its file.
    pub accounted_bytes: u32,
}

impl Entry {
    pub fn is_live(&self, now: u64) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }
}

/// A tree that shares unchanged parts, so that a view is cheap to take.
pub(crate) type Index = OrdMap<Box<[u8]>, Entry>;

/// A file to read from, on any disk.
pub(crate) trait Source: Send + Sync {
    fn read(&self, buffer: &mut [u8], offset: u64) -> std::io::Result<()>;
}

impl<F: DiskFile> Source for F {
    fn read(&self, buffer: &mut [u8], offset: u64) -> std::io::Result<()> {
        read_exact(self, buffer, offset)
    }
}

/// The store at one point in time.
#[derive(Clone)]
pub struct View {
    pub(crate) index: Index,
    /// Files stay readable for as long as a view holds them, even after their removal.
    pub(crate) sources: OrdMap<u64, Arc<dyn Source>>,
    pub(crate) mac_key: Option<MacKey>,
}

impl View {
    /// Returns the number of keys, expired ones that were not compacted yet included.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    pub(crate) fn get(&self, key: &[u8], now: u64) -> Result<Option<(Vec<u8>, u64)>> {
        let Some(entry) = self.index.get(key).filter(|e| e.is_live(now)) else { return Ok(None) };
        Ok(Some((self.read(key, entry)?, entry.version)))
    }

    pub(crate) fn scan<'a>(
        &'a self, prefix: &'a [u8], now: u64,
    ) -> impl Iterator<Item = Result<(Box<[u8]>, Vec<u8>)>> + 'a {
        let from_prefix = self.index.range::<_, Box<[u8]>>(Box::<[u8]>::from(prefix)..);
        let matching = from_prefix
            .take_while(move |(key, _)| key.starts_with(prefix))
            .filter(move |(_, e)| e.is_live(now));
        matching.map(|(key, entry)| Ok((key.clone(), self.read(key, entry)?)))
    }

    /// Returns every key that has not expired, with its value, expiry and version. A snapshot copies these.
    pub fn entries(&self, now: u64) -> impl Iterator<Item = Result<frame::Op>> + '_ {
        self.index.iter().filter(move |(_, e)| e.is_live(now)).map(|(key, entry)| {
            let (expires_at, version) = (entry.expires_at, entry.version);
            Ok(frame::Op { key: key.to_vec(), value: Some(self.read(key, entry)?), expires_at, version })
        })
    }

    fn read(&self, key: &[u8], entry: &Entry) -> Result<Vec<u8>> {
        let damaged = |what| Error::Damaged { file: file_name(entry.file), offset: entry.offset, what };
        let file = self.sources.get(&entry.file).ok_or_else(|| damaged("the file is missing"))?;
        let mut bytes = vec![0; entry.size as usize];
        file.read(&mut bytes, entry.offset)?;
        let read = frame::decode(&bytes, self.mac_key.as_ref())
            .map_err(|_| damaged("the frame has changed since it was written"))?;
        let ops = frame::decode_ops(read.payload)
            .ok_or_else(|| damaged("the changes of a frame cannot be decoded"))?;
        let op = ops.into_iter().nth(entry.slot as usize).filter(|op| op.key == key);
        op.and_then(|op| op.value).ok_or_else(|| damaged("the entry belongs to another key"))
    }
}

/// Returns the name of a file of the log.
pub(crate) fn file_name(number: u64) -> String {
    format!("{number:016x}.log")
}
