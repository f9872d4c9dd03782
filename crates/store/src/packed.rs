//! Writing a file of the log that stands for several, or for a whole store.

use crate::disk::DiskFile;
use crate::error::Result;
use crate::frame::{self, Head, Op, Secret, HEAD};
use crate::recover::cost;
use crate::view::Entry;

/// Payload of one frame, before the next is begun.
const PART: usize = 32 << 10;

pub(crate) struct Packed<F> {
    file: F,
    pub head: Head,
    secret: Option<Secret>,
    ops: Vec<Op>,
    /// Bytes of the changes that wait.
    waiting: usize,
    pub end: u64,
    /// Where each change went, in the order in which it was added.
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
        // All of it is on the disk for good before it counts.
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

    /// Has all of it on the disk for good.
    pub fn finish(mut self) -> Result<(F, u64, Vec<Entry>)> {
        self.write()?;
        // A frame without changes ends it: one that was cut between two frames would look whole.
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
