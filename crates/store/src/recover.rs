//! Recovery of a folder, however the previous process ended: the result is a prefix of the accepted batches,
//! or an error that names the file and the offset.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::Arc;

use crate::disk::{read_all, Disk, DiskFile};
use crate::error::{Error, Result};
use crate::frame::{
    self, FileHeader, Frame, FrameError, HeaderError, MacKey, Op, FORMAT_VERSION, HEADER_BYTES,
};
use crate::packed::PackedWriter;
use crate::plan::FileUsage;
use crate::view::{file_name, Entry, Index};

/// What a recovery read, and what it cut or removed, or without a repair would have cut or removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    pub files: usize,
    pub keys: usize,
    /// Bytes of all files, without a torn end.
    pub bytes: u64,
    /// Sequence number of the last batch; 0 if there is none.
    pub last_sequence: u64,
    /// Torn end of the newest file, which a repair cuts: file, offset, and bytes. Offset 0 means that the
    /// header is torn, and the repair removes the file.
    pub truncated: Option<(String, u64, u64)>,
    /// Files that a compaction had replaced already, and temporary files that were not finished. A repair
    /// removes both.
    pub removed_files: Vec<String>,
}

/// One file of the log after it was read.
pub(crate) struct RecoveredFile<F> {
    pub file: Arc<F>,
    pub header: FileHeader,
    pub end: u64,
    pub usage: FileUsage,
}

pub(crate) struct Recovery<F> {
    pub files: BTreeMap<u64, RecoveredFile<F>>,
    pub index: Index,
    pub report: RecoveryReport,
}

/// Returns the bytes that a change adds to the [`FileUsage`] of its file.
pub(crate) fn accounted_bytes(key: &[u8], value: Option<&Vec<u8>>) -> u64 {
    (key.len() + value.map_or(0, Vec::len) + 24) as u64
}

/// Reads all files. With `repair`, a torn end is cut and remains of a compaction are removed; without it,
/// nothing is changed.
pub(crate) fn recover<D: Disk>(
    disk: &D, mac_key: Option<&MacKey>, repair: bool,
) -> Result<Recovery<D::File>> {
    let mut report = RecoveryReport::default();
    let mut numbers = Vec::new();
    for found in disk.list()? {
        match found.strip_suffix(".log").and_then(|n| u64::from_str_radix(n, 16).ok()) {
            Some(number) if found == file_name(number) => numbers.push(number),
            _ if found.ends_with(".tmp") => {
                if repair {
                    disk.remove(&found)?;
                }
                report.removed_files.push(found);
            }
            _ => return Err(Error::Foreign { file: found }),
        }
    }
    numbers.sort_unstable();
    let mut replay =
        Replay { index: Index::new(), usages: BTreeMap::new(), next_sequence: Some(1), covered_until: 0 };
    let mut files: BTreeMap<u64, RecoveredFile<D::File>> = BTreeMap::new();
    let newest = numbers.last().copied();
    for number in numbers {
        let (file, is_newest) = (disk.open(&file_name(number))?, Some(number) == newest);
        let bytes = read_all(&file)?;
        let header = match FileHeader::decode(&bytes) {
            Ok(header) if header.number != number => return Err(Error::Foreign { file: file_name(number) }),
            Ok(header) => header,
            Err(HeaderError::Version(version)) => {
                return Err(Error::Version { file: file_name(number), version, supported: FORMAT_VERSION })
            }
            Err(HeaderError::Foreign) => return Err(Error::Foreign { file: file_name(number) }),
            // The file was just created, so that nothing in it can have been durable.
            Err(HeaderError::Torn) if is_newest && bytes.len() <= HEADER_BYTES => {
                if repair {
                    disk.remove(&file_name(number))?;
                    disk.sync_folder()?;
                }
                report.truncated = Some((file_name(number), 0, bytes.len() as u64));
                continue;
            }
            Err(HeaderError::Torn) => {
                return Err(Error::Damaged {
                    file: file_name(number),
                    offset: 0,
                    what: "the header is incomplete or corrupt",
                });
            }
        };
        if header.keyed != mac_key.is_some() {
            return Err(Error::KeyMismatch { file: file_name(number) });
        }
        if header.first_sequence <= replay.covered_until {
            // A compaction was interrupted between the rename of its new file and the removal of the old
            // ones.
            if repair {
                disk.remove(&file_name(number))?;
            }
            report.removed_files.push(file_name(number));
            continue;
        }
        let end = replay.read_file(&bytes, &header, mac_key, is_newest)?;
        if end < bytes.len() as u64 {
            report.truncated = Some((file_name(number), end, bytes.len() as u64 - end));
            if repair {
                file.truncate(end)?;
            }
        }
        if repair && is_newest {
            // The previous process may have written batches without a sync. They must be durable before new
            // batches follow them.
            file.sync()?;
        }
        report.bytes += end;
        files
            .insert(number, RecoveredFile { file: Arc::new(file), header, end, usage: FileUsage::default() });
    }
    if repair && !(report.removed_files.is_empty() && report.truncated.is_none()) {
        disk.sync_folder()?;
    }
    for (number, file) in &mut files {
        file.usage = replay.usages.get(number).copied().unwrap_or_default();
    }
    report.files = files.len();
    report.keys = replay.index.len();
    report.last_sequence = replay.next_sequence.map_or(0, |next| next - 1);
    Ok(Recovery { files, index: replay.index, report })
}

struct Replay {
    index: Index,
    usages: BTreeMap<u64, FileUsage>,
    /// Sequence number that must come next; `None`: any.
    next_sequence: Option<u64>,
    /// Last sequence number that the compacted files read so far cover.
    covered_until: u64,
}

impl Replay {
    /// Reads one file and returns the offset at which its valid part ends.
    fn read_file(
        &mut self, bytes: &[u8], header: &FileHeader, mac_key: Option<&MacKey>, is_newest: bool,
    ) -> Result<u64> {
        let damaged = |offset: usize, what| Error::Damaged {
            file: file_name(header.number),
            offset: offset as u64,
            what,
        };
        if self.next_sequence.is_some_and(|next_sequence| header.first_sequence != next_sequence) {
            return Err(damaged(16, "batches before this file are missing"));
        }
        let mut next_sequence = header.first_sequence;
        let (mut offset, mut has_end_frame) = (HEADER_BYTES, false);
        loop {
            let Frame { sequence, payload, size, .. } = match frame::decode(&bytes[offset..], mac_key) {
                Ok(frame) => frame,
                Err(FrameError::End) => break,
                Err(FrameError::WrongMac) => return Err(damaged(offset, "written with another key")),
                Err(FrameError::Invalid(what)) => {
                    let lost_sequence = next_sequence;
                    if is_newest
                        && !header.compacted
                        && !is_synced_by_later_frame(&bytes[offset + 1..], lost_sequence, mac_key)
                    {
                        break;
                    }
                    return Err(damaged(offset, what));
                }
            };
            let in_order = if header.compacted {
                sequence >= next_sequence && sequence <= header.last_sequence
            } else {
                sequence == next_sequence
            };
            if !in_order {
                // The frame may be left over from batches that were cut earlier and are not part of this log.
                if is_newest
                    && !header.compacted
                    && !is_synced_by_later_frame(&bytes[offset..], next_sequence, mac_key)
                {
                    break;
                }
                return Err(damaged(offset, "a batch is out of order"));
            }
            let ops = frame::decode_ops(payload)
                .ok_or_else(|| damaged(offset, "the changes of a batch cannot be decoded"))?;
            has_end_frame = ops.is_empty() && sequence == header.last_sequence;
            self.apply(header.number, offset as u64, size as u32, ops);
            next_sequence = if header.compacted { sequence } else { sequence + 1 };
            offset += size;
        }
        if header.compacted {
            if !has_end_frame {
                return Err(damaged(offset, "the end of the compacted file is missing"));
            }
            self.covered_until = header.last_sequence;
            next_sequence = header.last_sequence + 1;
        }
        self.next_sequence = Some(next_sequence);
        Ok(offset as u64)
    }

    fn apply(&mut self, file: u64, offset: u64, size: u32, ops: Vec<Op>) {
        for (slot, op) in ops.into_iter().enumerate() {
            let accounted_bytes = accounted_bytes(&op.key, op.value.as_ref());
            let usage = self.usages.entry(file).or_default();
            usage.bytes += accounted_bytes;
            let superseded = match op.value {
                Some(_) => {
                    usage.live_bytes += accounted_bytes;
                    let (slot, version, expires_at) = (slot as u32, op.version, op.expires_at);
                    let accounted_bytes = accounted_bytes as u32;
                    self.index.insert(
                        op.key.into(),
                        Entry { file, offset, size, slot, version, expires_at, accounted_bytes },
                    )
                }
                None => {
                    usage.tombstone_bytes += accounted_bytes;
                    self.index.remove(&op.key[..])
                }
            };
            if let Some(superseded) = superseded {
                self.usages.entry(superseded.file).or_default().live_bytes -=
                    u64::from(superseded.accounted_bytes);
            }
        }
    }
}

/// Returns whether a later frame counts this sequence number as synced.
fn is_synced_by_later_frame(bytes: &[u8], sequence: u64, mac_key: Option<&MacKey>) -> bool {
    (0..bytes.len()).any(|offset| {
        // Decoding checks the length first and rejects nearly every offset by it, because the checksum is
        // expensive.
        let decoded = frame::decode(&bytes[offset..], mac_key);
        matches!(decoded, Ok(frame) if frame.sequence > sequence && frame.synced_sequence >= sequence)
    })
}

/// Reads a store that no process has open, without changing its data. The lock file is created if it does not
/// exist.
pub fn check<D: Disk>(mut disk: D, mac_key: Option<&MacKey>) -> Result<RecoveryReport> {
    map_lock_error(disk.lock())?;
    Ok(recover(&disk, mac_key, false)?.report)
}

pub(crate) fn map_lock_error(locked: std::io::Result<()>) -> Result<()> {
    locked.map_err(|e| match e.kind() {
        ErrorKind::WouldBlock => Error::Locked,
        _ => e.into(),
    })
}

/// A part of a file that a salvage could not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableRange {
    pub file: String,
    pub offset: u64,
    pub bytes: u64,
}

/// Number of keys that [`salvage`] wrote to the new folder, and what it could not read or find.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SalvageReport {
    pub keys: usize,
    pub unreadable: Vec<UnreadableRange>,
    /// Batches that no file holds: the first and the last sequence number.
    pub missing_batches: Vec<(u64, u64)>,
}

/// Writes the newest readable value of each key of a damaged store to another folder, which must be empty,
/// and reports what cannot be read.
pub fn salvage<D: Disk, E: Disk>(mut from: D, mut to: E, mac_key: Option<&MacKey>) -> Result<SalvageReport> {
    map_lock_error(from.lock())?;
    map_lock_error(to.lock())?;
    if !to.list()?.is_empty() {
        return Err(std::io::Error::from(ErrorKind::AlreadyExists).into());
    }
    let mut names: Vec<String> = from.list()?.into_iter().filter(|n| n.ends_with(".log")).collect();
    names.sort_unstable();
    let mut salvaged = SalvageReport::default();
    let mut newest_ops: BTreeMap<Vec<u8>, Op> = BTreeMap::new();
    let mut next_sequence: Option<u64> = None;
    for file in names {
        let bytes = read_all(&from.open(&file)?)?;
        let header = FileHeader::decode(&bytes).ok();
        let mut offset = if header.is_some() { HEADER_BYTES } else { 0 };
        let mut unreadable_bytes = 0;
        while offset < bytes.len() {
            let decoded = frame::decode(&bytes[offset..], mac_key).ok();
            let Some((frame, ops)) = decoded.and_then(|f| Some((f, frame::decode_ops(f.payload)?))) else {
                (offset, unreadable_bytes) = (offset + 1, unreadable_bytes + 1);
                continue;
            };
            if unreadable_bytes > 0 {
                salvaged.unreadable.push(UnreadableRange {
                    file: file.clone(),
                    offset: (offset - unreadable_bytes) as u64,
                    bytes: unreadable_bytes as u64,
                });
                unreadable_bytes = 0;
            }
            offset += frame.size;
            let compacted = header.is_some_and(|h| h.compacted);
            if let Some(next_sequence) =
                next_sequence.filter(|next_sequence| !compacted && frame.sequence > *next_sequence)
            {
                salvaged.missing_batches.push((next_sequence, frame.sequence - 1));
            }
            next_sequence = Some(frame.sequence + 1);
            for op in ops {
                // An older version never replaces a newer one, whatever order the files are in.
                if newest_ops.get(&op.key).is_none_or(|old| old.version <= op.version) {
                    newest_ops.insert(op.key.clone(), op);
                }
            }
        }
        if unreadable_bytes > 0 {
            salvaged.unreadable.push(UnreadableRange {
                file: file.clone(),
                offset: (offset - unreadable_bytes) as u64,
                bytes: unreadable_bytes as u64,
            });
        }
        if let Some(header) = header.filter(|h| h.compacted) {
            next_sequence = Some(header.last_sequence + 1);
        }
    }
    let mut ops: Vec<Op> = newest_ops.into_values().filter(|op| op.value.is_some()).collect();
    ops.sort_by_key(|op| op.version);
    salvaged.keys = ops.len();
    pack(&to, ops.into_iter().map(Ok), mac_key)?;
    Ok(salvaged)
}

/// Writes a whole store as one file to an empty folder. The changes must be in the order of their versions.
pub(crate) fn pack<D: Disk>(
    disk: &D, ops: impl Iterator<Item = Result<Op>>, mac_key: Option<&MacKey>,
) -> Result<()> {
    let ops = ops.collect::<Result<Vec<Op>>>()?;
    let last_sequence = ops.iter().map(|op| op.version).max().unwrap_or(0).max(1);
    let header =
        FileHeader { number: 1, first_sequence: 1, last_sequence, compacted: true, keyed: mac_key.is_some() };
    let mut writer = PackedWriter::new(disk.create("pack.tmp")?, header, mac_key.copied())?;
    for op in ops {
        writer.add(op)?;
    }
    writer.finish()?;
    disk.rename("pack.tmp", &file_name(1))?;
    Ok(disk.sync_folder()?)
}
