//! Recovery of a folder, however the previous process ended: the result is a prefix of the accepted batches,
//! or an error that names the file and the offset.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::Arc;

use crate::disk::{read_all, Disk, DiskFile};
use crate::error::{Error, Result};
use crate::frame::{self, Bad, BadHead, Frame, Head, Op, Secret, HEAD, VERSION};
use crate::packed::Packed;
use crate::plan::File;
use crate::view::{name, Entry, Index};

/// Result of a recovery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    pub files: usize,
    pub keys: usize,
    pub bytes: u64,
    /// Sequence number of the last batch.
    pub sequence: u64,
    /// Torn end of the newest file that was cut: file, offset, and bytes.
    pub cut: Option<(String, u64, u64)>,
    /// Files that a compaction had replaced already, or had not finished.
    pub removed: Vec<String>,
}

/// One file of the log after it was read.
pub(crate) struct Read<F> {
    pub file: Arc<F>,
    pub head: Head,
    pub end: u64,
    pub size: File,
}

pub(crate) struct Found<F> {
    pub files: BTreeMap<u64, Read<F>>,
    pub index: Index,
    pub report: Recovered,
}

/// Returns the bytes that a change counts for in its file.
pub(crate) fn cost(key: &[u8], value: Option<&Vec<u8>>) -> u64 {
    (key.len() + value.map_or(0, Vec::len) + 24) as u64
}

/// Reads all files. With `repair`, a torn end is cut and remains of a compaction are removed; without it,
/// nothing is changed.
pub(crate) fn recover<D: Disk>(disk: &D, secret: Option<&Secret>, repair: bool) -> Result<Found<D::File>> {
    let mut report = Recovered::default();
    let mut numbers = Vec::new();
    for found in disk.list()? {
        match found.strip_suffix(".log").and_then(|n| u64::from_str_radix(n, 16).ok()) {
            Some(number) if found == name(number) => numbers.push(number),
            _ if found.ends_with(".tmp") => {
                if repair {
                    disk.remove(&found)?;
                }
                report.removed.push(found);
            }
            _ => return Err(Error::Foreign { file: found }),
        }
    }
    numbers.sort_unstable();
    let mut state = State { index: Index::new(), sizes: BTreeMap::new(), next: Some(1), stands_for: 0 };
    let mut files: BTreeMap<u64, Read<D::File>> = BTreeMap::new();
    let newest = numbers.last().copied();
    for number in numbers {
        let (file, last) = (disk.open(&name(number))?, Some(number) == newest);
        let bytes = read_all(&file)?;
        let head = match Head::decode(&bytes) {
            Ok(head) if head.number != number => return Err(Error::Foreign { file: name(number) }),
            Ok(head) => head,
            Err(BadHead::Version(version)) => {
                return Err(Error::Version { file: name(number), version, ours: VERSION })
            }
            Err(BadHead::Foreign) => return Err(Error::Foreign { file: name(number) }),
            // The file was just created, so that nothing in it can have been durable.
            Err(BadHead::Torn) if last && bytes.len() <= HEAD => {
                if repair {
                    disk.remove(&name(number))?;
                    disk.sync_folder()?;
                }
                report.cut = Some((name(number), 0, bytes.len() as u64));
                continue;
            }
            Err(BadHead::Torn) => {
                return Err(Error::Damaged {
                    file: name(number),
                    offset: 0,
                    what: "the header is incomplete or corrupt",
                });
            }
        };
        if head.keyed != secret.is_some() {
            return Err(Error::Key { file: name(number) });
        }
        if head.first <= state.stands_for {
            // A compaction was interrupted between the rename of its new file and the removal of the old
            // ones.
            if repair {
                disk.remove(&name(number))?;
            }
            report.removed.push(name(number));
            continue;
        }
        let end = state.read(&bytes, &head, secret, last)?;
        if end < bytes.len() as u64 {
            report.cut = Some((name(number), end, bytes.len() as u64 - end));
            if repair {
                file.truncate(end)?;
            }
        }
        if repair && last {
            // What the previous process wrote without a sync must be durable before anything builds on it.
            file.sync()?;
        }
        report.bytes += end;
        files.insert(number, Read { file: Arc::new(file), head, end, size: File::default() });
    }
    if repair && !(report.removed.is_empty() && report.cut.is_none()) {
        disk.sync_folder()?;
    }
    for (number, file) in &mut files {
        file.size = state.sizes.get(number).copied().unwrap_or_default();
    }
    report.files = files.len();
    report.keys = state.index.len();
    report.sequence = state.next.map_or(0, |next| next - 1);
    Ok(Found { files, index: state.index, report })
}

struct State {
    index: Index,
    sizes: BTreeMap<u64, File>,
    /// Sequence number that must come next; `None`: any.
    next: Option<u64>,
    /// Last sequence number that a compacted file covers.
    stands_for: u64,
}

impl State {
    /// Reads one file and returns the offset at which its valid part ends.
    fn read(&mut self, bytes: &[u8], head: &Head, secret: Option<&Secret>, last: bool) -> Result<u64> {
        let damaged =
            |offset: usize, what| Error::Damaged { file: name(head.number), offset: offset as u64, what };
        if self.next.is_some_and(|next| head.first != next) {
            return Err(damaged(16, "batches before this file are missing"));
        }
        let mut next = head.first;
        let (mut at, mut ends) = (HEAD, false);
        loop {
            let Frame { sequence, payload, size, .. } = match frame::decode(&bytes[at..], secret) {
                Ok(frame) => frame,
                Err(Bad::End) => break,
                Err(Bad::Forged) => return Err(damaged(at, "written with another key")),
                Err(Bad::Broken(what)) => {
                    let lost = next;
                    if last && !head.compacted && !counted(&bytes[at + 1..], lost, secret) {
                        break;
                    }
                    return Err(damaged(at, what));
                }
            };
            let fits =
                if head.compacted { sequence >= next && sequence <= head.last } else { sequence == next };
            if !fits {
                // A stale frame after the end was cut, which was never part of this log.
                if last && !head.compacted && !counted(&bytes[at..], next, secret) {
                    break;
                }
                return Err(damaged(at, "a batch is out of order"));
            }
            let ops =
                frame::ops(payload).ok_or_else(|| damaged(at, "the changes of a batch cannot be decoded"))?;
            ends = ops.is_empty() && sequence == head.last;
            self.apply(head.number, at as u64, size as u32, ops);
            next = if head.compacted { sequence } else { sequence + 1 };
            at += size;
        }
        if head.compacted {
            if !ends {
                return Err(damaged(at, "the end of the compacted file is missing"));
            }
            self.stands_for = head.last;
            next = head.last + 1;
        }
        self.next = Some(next);
        Ok(at as u64)
    }

    fn apply(&mut self, file: u64, at: u64, size: u32, ops: Vec<Op>) {
        for (slot, op) in ops.into_iter().enumerate() {
            let cost = cost(&op.key, op.value.as_ref());
            let sizes = self.sizes.entry(file).or_default();
            sizes.bytes += cost;
            let old = match op.value {
                Some(_) => {
                    sizes.live += cost;
                    let (slot, version, expires) = (slot as u32, op.version, op.expires);
                    let cost = cost as u32;
                    self.index.insert(op.key.into(), Entry { file, at, size, slot, version, expires, cost })
                }
                None => {
                    sizes.tombs += cost;
                    self.index.remove(&op.key[..])
                }
            };
            if let Some(old) = old {
                self.sizes.entry(old.file).or_default().live -= u64::from(old.cost);
            }
        }
    }
}

/// Returns whether a later frame counts this sequence number as synced.
fn counted(bytes: &[u8], sequence: u64, secret: Option<&Secret>) -> bool {
    (0..bytes.len()).any(|at| {
        // Decoding checks the length first and rejects nearly every offset by it, because the checksum is
        // expensive.
        let whole = frame::decode(&bytes[at..], secret);
        matches!(whole, Ok(frame) if frame.sequence > sequence && frame.synced >= sequence)
    })
}

/// Reads a store that no process has open, without changing it.
pub fn check<D: Disk>(mut disk: D, secret: Option<&Secret>) -> Result<Recovered> {
    taken(disk.lock())?;
    Ok(recover(&disk, secret, false)?.report)
}

pub(crate) fn taken(locked: std::io::Result<()>) -> Result<()> {
    locked.map_err(|e| match e.kind() {
        ErrorKind::WouldBlock => Error::Taken,
        _ => e.into(),
    })
}

/// A part of a file that a salvage could not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dropped {
    pub file: String,
    pub at: u64,
    pub bytes: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Salvaged {
    pub keys: usize,
    pub dropped: Vec<Dropped>,
    /// Batches that no file holds: the first and the last sequence number.
    pub missing: Vec<(u64, u64)>,
}

/// Writes everything that can be read of a damaged store to another folder, and reports what cannot.
pub fn salvage<D: Disk, E: Disk>(mut from: D, mut to: E, secret: Option<&Secret>) -> Result<Salvaged> {
    taken(from.lock())?;
    taken(to.lock())?;
    if !to.list()?.is_empty() {
        return Err(std::io::Error::from(ErrorKind::AlreadyExists).into());
    }
    let mut names: Vec<String> = from.list()?.into_iter().filter(|n| n.ends_with(".log")).collect();
    names.sort_unstable();
    let mut salvaged = Salvaged::default();
    let mut kept: BTreeMap<Vec<u8>, Op> = BTreeMap::new();
    let mut next: Option<u64> = None;
    for file in names {
        let bytes = read_all(&from.open(&file)?)?;
        let head = Head::decode(&bytes).ok();
        let mut at = if head.is_some() { HEAD } else { 0 };
        let mut bad = 0;
        while at < bytes.len() {
            let read = frame::decode(&bytes[at..], secret).ok();
            let Some((frame, ops)) = read.and_then(|f| Some((f, frame::ops(f.payload)?))) else {
                (at, bad) = (at + 1, bad + 1);
                continue;
            };
            if bad > 0 {
                salvaged.dropped.push(Dropped {
                    file: file.clone(),
                    at: (at - bad) as u64,
                    bytes: bad as u64,
                });
                bad = 0;
            }
            at += frame.size;
            let compacted = head.is_some_and(|h| h.compacted);
            if let Some(next) = next.filter(|next| !compacted && frame.sequence > *next) {
                salvaged.missing.push((next, frame.sequence - 1));
            }
            next = Some(frame.sequence + 1);
            for op in ops {
                // An older version never replaces a newer one, whatever order the files are in.
                if kept.get(&op.key).is_none_or(|old| old.version <= op.version) {
                    kept.insert(op.key.clone(), op);
                }
            }
        }
        if bad > 0 {
            salvaged.dropped.push(Dropped { file: file.clone(), at: (at - bad) as u64, bytes: bad as u64 });
        }
        if let Some(head) = head.filter(|h| h.compacted) {
            next = Some(head.last + 1);
        }
    }
    let mut ops: Vec<Op> = kept.into_values().filter(|op| op.value.is_some()).collect();
    ops.sort_by_key(|op| op.version);
    salvaged.keys = ops.len();
    pack(&to, ops.into_iter().map(Ok), secret)?;
    Ok(salvaged)
}

/// Writes a whole store as one file to an empty folder. The changes must be in the order of their versions.
pub(crate) fn pack<D: Disk>(
    disk: &D, ops: impl Iterator<Item = Result<Op>>, secret: Option<&Secret>,
) -> Result<()> {
    let ops = ops.collect::<Result<Vec<Op>>>()?;
    let last = ops.iter().map(|op| op.version).max().unwrap_or(0).max(1);
    let head = Head { number: 1, first: 1, last, compacted: true, keyed: secret.is_some() };
    let mut packed = Packed::new(disk.create("pack.tmp")?, head, secret.copied())?;
    for op in ops {
        packed.add(op)?;
    }
    packed.finish()?;
    disk.rename("pack.tmp", &name(1))?;
    Ok(disk.sync_folder()?)
}
