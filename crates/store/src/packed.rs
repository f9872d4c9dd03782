//! Writer of a file that replaces several files of the log, or that holds a whole store.

use crate::disk::DiskFile;
use crate::error::Result;
use crate::frame::{self, Head, Op, Secret, HEAD};
use crate::recover::cost;
use crate::view::Entry;

/// Size of the changes from which a frame is written, in bytes.
const PART: usize = 32 << 10;

pub(crate) struct Packed<F> {
    file: F,
    pub head: Head,
    secret: Option<Secret>,
    ops: Vec<Op>,
    /// Approximate size of the changes that are not written yet, in bytes.
    waiting: usize,
    pub end: u64,
    /// Locations of the changes, in the order in which they were added.
    pub entries: Vec<Entry>,
}

impl<F: DiskFile> Packed<F> {
    pub fn new(file: F, head: Head, secret: Option<Secret>) -> Result<Self> {
        file.write_at(&head.encode(), 0)?;
        Ok(Packed { file, head, secret, ops: Vec::new(), waiting: 0, end: HEAD as u64, entries: Vec::new() })
    }

    pub fn add(&mut self, op: Op) -> Result<()> {
        self.waiting += op.key.len() + op.value.as_ref().map_or(0, Vec::len) + 32;
        self.ops.push(op);
        if self.waiting >= PART {
            self.write()?;
        }
        Ok(())
    }

    fn write(&mut self) -> Result<()> {
        let Some(sequence) = self.ops.iter().map(|op| op.version).max() else { return Ok(()) };
        let payload = encode(&self.ops)?;
        let mut out = Vec::with_capacity(payload.len() + 64);
        // The file is used only once all of it is durable, so each frame counts everything as synced.
        let size = frame::encode(sequence, self.head.last, &payload, self.secret.as_ref(), &mut out);
        self.file.write_at(&out, self.end)?;
        let (file, at, size) = (self.head.number, self.end, size as u32);
        let entry = |(slot, op): (usize, &Op)| Entry {
            file,
            at,
            size,
            slot: slot as u32,
            version: op.version,
            expires: op.expires,
            cost: cost(&op.key, op.value.as_ref()) as u32,
        };
        self.entries.extend(self.ops.iter().enumerate().map(entry));
        self.end += out.len() as u64;
        self.ops.clear();
        self.waiting = 0;
        Ok(())
    }

    /// Writes the remaining changes and makes the file durable.
    pub fn finish(mut self) -> Result<(F, u64, Vec<Entry>)> {
        self.write()?;
        // A frame without changes marks the end. Without it, a file that was cut between two frames would
        // look complete.
        let mut out = Vec::new();
        frame::encode(self.head.last, self.head.last, &encode(&Vec::new())?, self.secret.as_ref(), &mut out);
        self.file.write_at(&out, self.end)?;
        self.end += out.len() as u64;
        self.file.sync()?;
        Ok((self.file, self.end, self.entries))
    }
}

pub(crate) fn encode(ops: &Vec<Op>) -> Result<Vec<u8>> {
    postcard::to_stdvec(ops).map_err(|e| crate::error::Error::Coding(e.to_string()))
}
