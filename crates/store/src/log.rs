//! The log: one owner stages, writes and syncs batches, and runs compaction in steps between them. It starts
//! no thread.

use std::collections::{BTreeMap, HashSet};
use std::io;
use std::sync::Arc;

use crate::batch::Batch;
use crate::disk::{read_exact, Disk, DiskFile};
use crate::error::{Error, Result};
use crate::frame::{self, Bad, Head, Op, Secret, HEAD};
use crate::packed::{encode, Packed};
use crate::plan::{self, Limits};
use crate::recover::{cost, recover, taken, Recovered};
use crate::view::{name, Entry, Index, Source, View};

#[derive(Clone, Debug)]
pub struct Options {
    /// Size from which a file of the log is sealed, in bytes. A single batch may make a file larger.
    pub segment: u64,
    /// Key that authenticates each batch, so that a file changed on purpose is not taken for a torn one.
    pub secret: Option<Secret>,
    pub compaction: Limits,
    /// Maximum number of writes that wait for the store's thread.
    pub queue: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options { segment: 8 << 20, secret: None, compaction: Limits::default(), queue: 4_096 }
    }
}

struct Segment<F> {
    file: Arc<F>,
    head: Head,
    bytes: u64,
    size: plan::File,
}

/// A compaction in progress, which reads a run of sealed files and writes their current entries to one new
/// file.
struct Run<F> {
    files: Vec<u64>,
    /// Files of the run with nothing to keep when the run began. They are not read.
    dead: HashSet<u64>,
    /// Next position to read: the index in `files`, and the offset in that file.
    file: usize,
    at: u64,
    /// Index when the run began. All of its entries are durable.
    index: Index,
    now: u64,
    /// No file is older than the run, so that deletions need not be kept.
    oldest: bool,
    /// Deleted keys whose deletion has been kept already.
    gone: HashSet<Box<[u8]>>,
    packed: Packed<F>,
    /// The entries of the new file, in order: the key and its previous location, or `None` for a deletion.
    moved: Vec<(Box<[u8]>, Option<Entry>)>,
}

const COMPACTED: &str = "compact.tmp";

/// A store with a single owner. Readers take [`View`]s.
pub struct Log<D: Disk> {
    disk: D,
    options: Options,
    segments: BTreeMap<u64, Segment<D::File>>,
    files: imbl::OrdMap<u64, Arc<dyn Source>>,
    /// Index that readers see.
    index: Index,
    /// The same index with the staged changes.
    staged: Index,
    buffer: Vec<u8>,
    /// Space that the staged changes take.
    waiting: plan::File,
    next: u64,
    /// Sequence number after the last batch that readers see.
    shown: u64,
    synced: u64,
    failed: Option<Arc<io::Error>>,
    run: Option<Run<D::File>>,
    /// Bytes written for callers.
    pub written: u64,
    /// Bytes copied by compaction.
    pub copied: u64,
}

impl<D: Disk> Log<D> {
    /// Recovers the store. The folder is locked for as long as the log exists.
    pub fn open(mut disk: D, options: Options) -> Result<(Self, Recovered)> {
        taken(disk.lock())?;
        let found = recover(&disk, options.secret.as_ref(), true)?;
        let next = found.report.sequence + 1;
        let mut log = Log {
            disk,
            options,
            segments: BTreeMap::new(),
            files: imbl::OrdMap::new(),
            staged: found.index.clone(),
            index: found.index,
            buffer: Vec::new(),
            waiting: plan::File::default(),
            next,
            shown: next,
            synced: next - 1,
            failed: None,
            run: None,
            written: 0,
            copied: 0,
        };
        for (number, read) in found.files {
            log.files.insert(number, read.file.clone());
            let segment = Segment { file: read.file, head: read.head, bytes: read.end, size: read.size };
            log.segments.insert(number, segment);
        }
        Ok((log, found.report))
    }

    /// Returns a view of everything that was flushed, synced or not.
    pub fn view(&self) -> View {
        View { index: self.index.clone(), files: self.files.clone(), secret: self.options.secret }
    }

    /// Returns the sequence numbers of the last accepted batch and of the last durable one.
    pub fn sequence(&self) -> (u64, u64) {
        (self.next - 1, self.synced)
    }

    /// Returns the bytes in all files, and how many of them are current.
    pub fn space(&self) -> (u64, u64) {
        self.segments.values().fold((0, 0), |(all, live), s| (all + s.bytes, live + s.size.live))
    }

    pub fn files(&self) -> usize {
        self.segments.len()
    }

    /// Returns the error after which the store accepts no more writes, if there was one.
    pub fn failed(&self) -> Option<Error> {
        self.failed.clone().map(Error::Failed)
    }

    fn fail(&mut self, e: io::Error) -> Error {
        let e = Arc::new(e);
        self.failed = Some(e.clone());
        Error::Failed(e)
    }

    /// Accepts a batch, which the next [`Log::flush`] writes, and returns its version. Later batches see its
    /// changes.
    pub fn stage(&mut self, batch: &Batch) -> Result<u64> {
        if let Some(e) = self.failed() {
            return Err(e);
        }
        let has = |key: &[u8]| self.staged.get(key).map(|e| e.version);
        if batch.expected.iter().any(|(key, version)| has(key) != *version) {
            return Err(Error::Conflict);
        }
        let version = self.next;
        let op = |c: &crate::batch::Change| Op {
            key: c.key.clone(),
            value: c.value.clone(),
            expires: c.expires,
            version,
        };
        let ops: Vec<Op> = batch.changes.iter().map(op).collect();
        let payload = encode(&ops)?;
        if payload.len() > frame::MOST {
            return Err(Error::TooLarge { bytes: payload.len(), most: frame::MOST });
        }
        let (file, end) = self.active()?;
        let at = end + self.buffer.len() as u64;
        let size =
            frame::encode(version, self.synced, &payload, self.options.secret.as_ref(), &mut self.buffer);
        for (slot, op) in ops.into_iter().enumerate() {
            let cost = cost(&op.key, op.value.as_ref()) as u32;
            let entry =
                Entry { file, at, size: size as u32, slot: slot as u32, version, expires: op.expires, cost };
            self.waiting.bytes += u64::from(cost);
            self.waiting.tombs += if op.value.is_none() { u64::from(cost) } else { 0 };
            match op.value {
                Some(_) => _ = self.staged.insert(op.key.into(), entry),
                None => _ = self.staged.remove(&op.key[..]),
            }
        }
        self.next += 1;
        Ok(version)
    }

    /// Returns the file to write to and its end. A full file is sealed and the next one is begun, but never
    /// within a group of batches that are flushed together.
    fn active(&mut self) -> Result<(u64, u64)> {
        if let Some((number, last)) = self.segments.last_key_value() {
            let full = self.buffer.is_empty() && last.bytes >= self.options.segment;
            if !last.head.compacted && !full {
                return Ok((*number, last.bytes));
            }
            // A file is synced before it is sealed, so that a gap between two files is always damage.
            self.sync()?;
        }
        let number = self.segments.last_key_value().map_or(1, |last| last.0 + 1);
        let keyed = self.options.secret.is_some();
        let head = Head { number, first: self.next, last: 0, compacted: false, keyed };
        let file = self.disk.create(&name(number))?;
        let begun = file
            .write_at(&head.encode(), 0)
            .and_then(|()| file.sync())
            .and_then(|()| self.disk.sync_folder());
        if let Err(e) = begun {
            // Without the new file the log is unchanged. If the file cannot be removed either, the log needs
            // a recovery.
            return match self.disk.remove(&name(number)).and_then(|()| self.disk.sync_folder()) {
                Ok(()) if e.kind() == io::ErrorKind::StorageFull => Err(Error::Full),
                _ => Err(self.fail(e)),
            };
        }
        let file = Arc::new(file);
        self.files.insert(number, file.clone());
        self.segments.insert(number, Segment { file, head, bytes: HEAD as u64, size: plan::File::default() });
        Ok((number, HEAD as u64))
    }

    /// Passes the staged batches to the operating system and shows them to readers. After [`Error::Full`]
    /// none of them was written.
    pub fn flush(&mut self) -> Result<()> {
        if let Some(e) = self.failed() {
            return Err(e);
        }
        if self.buffer.is_empty() {
            return Ok(());
        }
        let Some(mut last) = self.segments.last_entry() else { return Ok(()) };
        let segment = last.get_mut();
        let buffer = std::mem::take(&mut self.buffer);
        if let Err(e) = segment.file.write_at(&buffer, segment.bytes) {
            // A part of the bytes may have been written. It must be removed before anything is written in its
            // place.
            let cut = segment.file.truncate(segment.bytes).and_then(|()| segment.file.sync());
            self.unstage();
            return match cut {
                Ok(()) if e.kind() == io::ErrorKind::StorageFull => Err(Error::Full),
                _ => Err(self.fail(e)),
            };
        }
        segment.bytes += buffer.len() as u64;
        let waiting = std::mem::take(&mut self.waiting);
        segment.size.bytes += waiting.bytes;
        segment.size.tombs += waiting.tombs;
        self.written += buffer.len() as u64;
        self.account();
        Ok(())
    }

    /// Discards staged batches that could not be written.
    fn unstage(&mut self) {
        self.staged = self.index.clone();
        self.next = self.shown;
        self.waiting = plan::File::default();
    }

    /// Updates the live bytes of the files and shows the staged changes to readers.
    fn account(&mut self) {
        for change in self.index.diff(&self.staged) {
            let (old, new) = match change {
                imbl::ordmap::DiffItem::Add(_, new) => (None, Some(*new)),
                imbl::ordmap::DiffItem::Update { old, new } => (Some(*old.1), Some(*new.1)),
                imbl::ordmap::DiffItem::Remove(_, old) => (Some(*old), None),
            };
            for (entry, sign) in [(old, false), (new, true)] {
                if let Some((entry, segment)) = entry.and_then(|e| Some((e, self.segments.get_mut(&e.file)?)))
                {
                    let cost = u64::from(entry.cost);
                    let live = &mut segment.size.live;
                    *live = if sign { *live + cost } else { live.saturating_sub(cost) };
                }
            }
        }
        self.index = self.staged.clone();
        self.shown = self.next;
    }

    /// Makes everything that was flushed durable.
    pub fn sync(&mut self) -> Result<()> {
        if let Some(e) = self.failed() {
            return Err(e);
        }
        if self.synced == self.shown - 1 {
            return Ok(());
        }
        if let Some((_, last)) = self.segments.last_key_value() {
            if let Err(e) = last.file.sync() {
                // The operating system may have dropped what it could not write, and a second sync would
                // succeed without it.
                return Err(self.fail(e));
            }
        }
        self.synced = self.shown - 1;
        Ok(())
    }

    /// Runs one step of compaction, which reads at most about `budget` bytes. Returns whether there is more
    /// to do.
    pub fn compact(&mut self, now: u64, budget: u64) -> Result<bool> {
        if let Some(e) = self.failed() {
            return Err(e);
        }
        let mut run = match self.run.take() {
            Some(run) => run,
            None => match self.begin(now)? {
                Some(run) => run,
                None => return Ok(false),
            },
        };
        match self.step(&mut run, budget) {
            Ok(true) => self.finish(run).map(|()| true),
            Ok(false) => {
                self.run = Some(run);
                Ok(true)
            }
            Err(e) => {
                // The old files are unchanged.
                let _ = self.disk.remove(COMPACTED);
                Err(e)
            }
        }
    }

    fn begin(&mut self, now: u64) -> Result<Option<Run<D::File>>> {
        let active = self.segments.last_key_value().filter(|(_, s)| !s.head.compacted).map(|(n, _)| *n);
        let sealed: Vec<u64> = self.segments.keys().copied().filter(|n| Some(*n) != active).collect();
        let sizes: Vec<plan::File> =
            sealed.iter().filter_map(|n| self.segments.get(n)).map(|s| s.size).collect();
        let Some((first, last)) = plan::choose(&sizes, &self.options.compaction) else { return Ok(None) };
        // Whatever supersedes a record must be durable before the record is dropped.
        self.flush()?;
        self.sync()?;
        let files = sealed[first..=last].to_vec();
        let (Some(from), Some(to)) = (self.segments.get(&sealed[first]), self.segments.get(&sealed[last]))
        else {
            return Ok(None);
        };
        let next = self.segments.range(sealed[last] + 1..).next().map_or(self.next, |(_, s)| s.head.first);
        let end = if to.head.compacted { to.head.last } else { next - 1 };
        let oldest = first == 0;
        let nothing =
            |n: &u64| self.segments.get(n).is_some_and(|s| s.size.live == 0 && (oldest || s.size.tombs == 0));
        let dead = files.iter().copied().filter(nothing).collect();
        let keyed = self.options.secret.is_some();
        let head = Head { number: sealed[first], first: from.head.first, last: end, compacted: true, keyed };
        if self.disk.list()?.iter().any(|n| n == COMPACTED) {
            self.disk.remove(COMPACTED)?;
        }
        let packed = Packed::new(self.disk.create(COMPACTED)?, head, self.options.secret)?;
        Ok(Some(Run {
            files,
            file: 0,
            at: HEAD as u64,
            index: self.index.clone(),
            now,
            dead,
            oldest,
            gone: HashSet::new(),
            packed,
            moved: Vec::new(),
        }))
    }

    /// Copies about `budget` bytes more. Returns whether everything has been copied.
    fn step(&mut self, run: &mut Run<D::File>, budget: u64) -> Result<bool> {
        let mut left = budget.max(1);
        while let Some(number) = run.files.get(run.file).copied() {
            let Some(segment) = self.segments.get(&number) else { return Err(Error::Closed) };
            if run.at >= segment.bytes || run.dead.contains(&number) {
                (run.file, run.at) = (run.file + 1, HEAD as u64);
                continue;
            }
            if left == 0 {
                return Ok(false);
            }
            let (ops, size) =
                read_frame(&*segment.file, number, run.at, segment.bytes, self.options.secret.as_ref())?;
            for (slot, op) in ops.into_iter().enumerate() {
                keep(run, number, slot as u32, op)?;
            }
            run.at += size;
            left = left.saturating_sub(size);
        }
        Ok(true)
    }

    /// Replaces the old files by the new one.
    fn finish(&mut self, run: Run<D::File>) -> Result<()> {
        let first = run.files[0];
        let head = run.packed.head;
        let (file, bytes, entries) = match run.packed.finish() {
            Ok(done) => done,
            Err(e) => {
                let _ = self.disk.remove(COMPACTED);
                return Err(e);
            }
        };
        let swapped = self.disk.rename(COMPACTED, &name(first)).and_then(|()| self.disk.sync_folder());
        if let Err(e) = swapped {
            // It is unknown which of the two files has the name now. Each is complete, and a recovery reads
            // the one it finds.
            return Err(self.fail(e));
        }
        let file = Arc::new(file);
        let mut size = plan::File::default();
        for ((key, was), entry) in run.moved.into_iter().zip(entries) {
            size.bytes += u64::from(entry.cost);
            size.tombs += if was.is_none() { u64::from(entry.cost) } else { 0 };
            // Only a value that is still current moves in the index, not a deletion nor a value that was
            // superseded meanwhile.
            if let Some(was) = was.filter(|was| self.index.get(&key) == Some(was)) {
                size.live += u64::from(entry.cost);
                self.index.insert(key.clone(), entry);
                if self.staged.get(&key) == Some(&was) {
                    self.staged.insert(key, entry);
                }
            }
        }
        let expired: Vec<Box<[u8]>> = run
            .index
            .iter()
            .filter(|(_, e)| !e.lives(run.now) && run.files.contains(&e.file))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            let was = run.index.get(&key).copied();
            if self.index.get(&key).copied() == was {
                self.index.remove(&key);
            }
            if self.staged.get(&key).copied() == was {
                self.staged.remove(&key);
            }
        }
        for number in &run.files[1..] {
            self.segments.remove(number);
            self.files.remove(number);
            // The new file covers this one. A recovery removes it if this call does not.
            let _ = self.disk.remove(&name(*number));
        }
        self.files.insert(first, file.clone());
        self.segments.insert(first, Segment { file, head, bytes, size });
        self.copied += bytes;
        Ok(())
    }
}

/// Copies a change to the compacted file if anything depends on it.
fn keep<F: DiskFile>(run: &mut Run<F>, file: u64, slot: u32, op: Op) -> Result<()> {
    let current = run.index.get(&op.key[..]).copied();
    let (at, now) = (run.at, run.now);
    let is_this = |e: &Entry| (e.file, e.at, e.slot) == (file, at, slot);
    let key: Box<[u8]> = op.key.clone().into();
    match current {
        Some(entry) if op.value.is_some() && is_this(&entry) && entry.lives(now) => {
            run.packed.add(op)?;
            run.moved.push((key, Some(entry)));
        }
        // A newer value supersedes this change, and is durable.
        Some(entry) if entry.lives(now) || !run.files.contains(&entry.file) => {}
        // The key was deleted or has expired. An older file may still hold a value, which must not reappear.
        _ if !run.oldest && run.gone.insert(key.clone()) => {
            run.packed.add(Op { value: None, expires: None, ..op })?;
            run.moved.push((key, None));
        }
        _ => {}
    }
    Ok(())
}

/// Reads one frame of a sealed file.
fn read_frame<F: DiskFile>(
    file: &F, number: u64, at: u64, end: u64, secret: Option<&Secret>,
) -> Result<(Vec<Op>, u64)> {
    let damaged = |what| Error::Damaged { file: name(number), offset: at, what };
    let mut most = 64 << 10;
    loop {
        let mut bytes = vec![0; most.min((end - at) as usize)];
        read_exact(file, &mut bytes, at)?;
        match frame::decode(&bytes, secret) {
            Ok(frame) => {
                let ops = frame::ops(frame.payload)
                    .ok_or_else(|| damaged("the changes of a batch cannot be decoded"))?;
                return Ok((ops, frame.size as u64));
            }
            // The frame may only be larger than the part that was read.
            Err(Bad::Broken(_)) if (bytes.len() as u64) < end - at => most *= 4,
            Err(Bad::Broken(what)) => return Err(damaged(what)),
            Err(_) => return Err(damaged("written with another key")),
        }
    }
}
