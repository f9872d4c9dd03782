//! Writer of a file that replaces one or several files of the log, or that holds a whole store.

use crate::disk::DiskFile;
use crate::error::Result;
use crate::frame::{self, FileHeader, MacKey, Op, HEADER_BYTES};
use crate::recover::accounted_bytes;
use crate::view::Entry;

/// Total size of pending changes at which they are written as a frame, in bytes.
const FRAME_PAYLOAD_BYTES: usize = 32 << 10;

pub(crate) struct PackedWriter<F> {
    file: F,
    pub header: FileHeader,
    mac_key: Option<MacKey>,
    ops: Vec<Op>,
    /// Approximate size of the changes that are not written yet, in bytes.
    pending_bytes: usize,
    pub end: u64,
    /// Locations of the changes, in the order in which they were added.
    pub entries: Vec<Entry>,
}

impl<F: DiskFile> PackedWriter<F> {
    pub fn new(file: F, header: FileHeader, mac_key: Option<MacKey>) -> Result<Self> {
        file.write_at(&header.encode(), 0)?;
        Ok(PackedWriter {
            file,
            header,
            mac_key,
            ops: Vec::new(),
            pending_bytes: 0,
            end: HEADER_BYTES as u64,
            entries: Vec::new(),
        })
    }

    pub fn add(&mut self, op: Op) -> Result<()> {
        self.pending_bytes += op.key.len() + op.value.as_ref().map_or(0, Vec::len) + 32;
        self.ops.push(op);
        if self.pending_bytes >= FRAME_PAYLOAD_BYTES {
            self.write_frame()?;
        }
        Ok(())
    }

    fn write_frame(&mut self) -> Result<()> {
        let Some(sequence) = self.ops.iter().map(|op| op.version).max() else { return Ok(()) };
        let payload = encode_ops(&self.ops)?;
        let mut out = Vec::with_capacity(payload.len() + 64);
        // The file is used only once all of it is durable, so each frame counts everything as synced.
        let size =
            frame::encode(sequence, self.header.last_sequence, &payload, self.mac_key.as_ref(), &mut out);
        self.file.write_at(&out, self.end)?;
        let (file, offset, size) = (self.header.number, self.end, size as u32);
        let entry = |(slot, op): (usize, &Op)| Entry {
            file,
            offset,
            size,
            slot: slot as u32,
            version: op.version,
            expires_at: op.expires_at,
            accounted_bytes: accounted_bytes(&op.key, op.value.as_ref()) as u32,
        };
        self.entries.extend(self.ops.iter().enumerate().map(entry));
        self.end += out.len() as u64;
        self.ops.clear();
        self.pending_bytes = 0;
        Ok(())
    }

    /// Writes the remaining changes and makes the file durable.
    pub fn finish(mut self) -> Result<(F, u64, Vec<Entry>)> {
        self.write_frame()?;
        // A frame without changes marks the end. Without it, a file that was cut between two frames would
        // look complete.
        let mut out = Vec::new();
        frame::encode(
            self.header.last_sequence,
            self.header.last_sequence,
            &encode_ops(&Vec::new())?,
            self.mac_key.as_ref(),
            &mut out,
        );
        self.file.write_at(&out, self.end)?;
        self.end += out.len() as u64;
        self.file.sync()?;
        Ok((self.file, self.end, self.entries))
    }
}

pub(crate) fn encode_ops(ops: &Vec<Op>) -> Result<Vec<u8>> {
    postcard::to_stdvec(ops).map_err(|e| crate::error::Error::Codec(e.to_string()))
}
