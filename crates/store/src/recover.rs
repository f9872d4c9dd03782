//! What a folder holds after any end of the process before: a prefix of what it had taken, or an error that names
//! the file and the byte.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::Arc;

use crate::disk::{read_all, Disk, DiskFile};
use crate::error::{Error, Result};
use crate::frame::{self, Bad, BadHead, Frame, Head, Op, Secret, HEAD, VERSION};
use crate::packed::Packed;
use crate::plan::File;
use crate::view::{name, Entry, Index};

/// What a recovery found, for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    pub files: usize,
    pub keys: usize,
    pub bytes: u64,
    /// The last batch that is there.
    pub sequence: u64,
    /// The torn end that was cut: file, place, bytes.
    pub cut: Option<(String, u64, u64)>,
    /// Files that a compaction had replaced already, or not finished.
    pub removed: Vec<String>,
}

/// One file as it was read.
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

/// What a change counts for in the space of its file.
pub(crate) fn cost(key: &[u8], value: Option<&Vec<u8>>) -> u64 {
    (key.len() + value.map_or(0, Vec::len) + 24) as u64
}

/// Reads everything. `repair`: the torn end is cut, and what a compaction left is removed; without it nothing changes.
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
            // Just created: nothing in it can have been on the disk for good.
            Err(BadHead::Torn) if last && bytes.len() <= HEAD => {
                if repair {
                    disk.remove(&name(number))?;
                    disk.sync_folder()?;
                }
                report.cut = Some((name(number), 0, bytes.len() as u64));
                continue;
            }
            Err(BadHead::Torn) => {
                return Err(Error::Damaged { file: name(number), offset: 0, what: "its head" });
            }
        };
        if head.keyed != secret.is_some() {
            return Err(Error::Key { file: name(number) });
        }
        if head.first <= state.stands_for {
            // A compaction was cut off between its new file and the removal of the old ones.
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
            // What a process before may have left to the machine is on the disk for good before anything builds on it.
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
    /// The sequence number that must come next; any at first.
    next: Option<u64>,
    /// The last that a compacted file stands for.
    stands_for: u64,
}

impl State {
    /// Takes in one file and returns where what is good of it ends.
    fn read(&mut self, bytes: &[u8], head: &Head, secret: Option<&Secret>, last: bool) -> Result<u64> {
        let damaged =
            |offset: usize, what| Error::Damaged { file: name(head.number), offset: offset as u64, what };
        if self.next.is_some_and(|next| head.first != next) {
            return Err(damaged(16, "batches before it are missing"));
        }
        let mut next = head.first;
        let (mut at, mut ends) = (HEAD, false);
        loop {
            let Frame { sequence, payload, size, .. } = match frame::decode(&bytes[at..], secret) {
                Ok(frame) => frame,
                Err(Bad::End) => break,
                Err(Bad::Forged) => return Err(damaged(at, "sealed with another key")),
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
                // An old frame where a cut end was: never part of this log.
                if last && !head.compacted && !counted(&bytes[at..], next, secret) {
                    break;
                }
                return Err(damaged(at, "a batch out of order"));
            }
            let ops = frame::ops(payload).ok_or_else(|| damaged(at, "a batch's changes cannot be read"))?;
            ends = ops.is_empty() && sequence == head.last;
            self.apply(head.number, at as u64, size as u32, ops);
            next = if head.compacted { sequence } else { sequence + 1 };
            at += size;
        }
        if head.compacted {
            if !ends {
                return Err(damaged(at, "its end is missing"));
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

/// Whether a later frame says that this one was on the disk for good.
fn counted(bytes: &[u8], sequence: u64, secret: Option<&Secret>) -> bool {
    (0..bytes.len()).any(|at| {
        // The length first: nearly every place fails by it, and the checksum is dear.
        let whole = frame::decode(&bytes[at..], secret);
        matches!(whole, Ok(frame) if frame.sequence > sequence && frame.synced >= sequence)
    })
}

/// Looks at a store that no process has, and changes nothing.
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

/// What a salvage could not read.
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
    /// Batches that are nowhere: from, to.
    pub missing: Vec<(u64, u64)>,
}

/// Writes what can be read of a damaged store into another folder, and says exactly what cannot.
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
                // Never an older one over a newer one, whatever order the files are in.
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

/// A whole store as one file in an empty folder. The changes come in the order of their versions.
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
