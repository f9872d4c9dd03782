//! The log: one owner stages, writes and syncs batches, and runs compaction in steps between them. It starts
//! no thread.

use std::collections::{BTreeMap, HashSet};
use std::io;
use std::sync::Arc;

use crate::batch::Batch;
use crate::disk::{read_exact, Disk, DiskFile};
use crate::error::{Error, Result};
use crate::frame::{self, FileHeader, FrameError, MacKey, Op, HEADER_BYTES};
use crate::packed::{encode_ops, PackedWriter};
use crate::plan::{self, CompactionLimits};
use crate::recover::{accounted_bytes, map_lock_error, recover, RecoveryReport};
use crate::view::{file_name, Entry, Index, Source, View};

/// Settings of a store.
#[derive(Clone, Debug)]
pub struct Options {
    /// Size from which a file of the log is sealed, in bytes. The last group may make a file larger.
    pub segment_bytes: u64,
    /// Key that authenticates each batch, so that a file changed on purpose is distinguished from a torn one.
    pub mac_key: Option<MacKey>,
    pub compaction: CompactionLimits,
    /// Maximum number of writes that wait for the store's thread.
    pub max_waiting_writes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            segment_bytes: 8 << 20,
            mac_key: None,
            compaction: CompactionLimits::default(),
            max_waiting_writes: 4_096,
        }
    }
}

struct Segment<F> {
    file: Arc<F>,
    header: FileHeader,
    bytes: u64,
    usage: plan::FileUsage,
}

/// A compaction in progress, which reads a run of sealed files and writes their current entries to one new
/// file.
struct Compaction<F> {
    files: Vec<u64>,
    /// Files of the run with nothing to keep when the run began. They are not read.
    skipped_files: HashSet<u64>,
    /// Next position to read: the index in `files`, and the offset in that file.
    next_index: usize,
    next_offset: u64,
    /// Index when the run began. All of its entries are durable.
    index: Index,
    now: u64,
    /// Whether no file is older than the run, so that deletions need not be kept.
    includes_oldest: bool,
    /// Keys whose deletion has been copied already.
    kept_deletions: HashSet<Box<[u8]>>,
    writer: PackedWriter<F>,
    /// The entries of the new file, in order: the key and its previous location, or `None` for a deletion.
    copied_entries: Vec<(Box<[u8]>, Option<Entry>)>,
}

const COMPACTION_FILE: &str = "compact.tmp";

/// A store with a single owner. Readers take [`View`]s.
pub struct Log<D: Disk> {
    disk: D,
    options: Options,
    segments: BTreeMap<u64, Segment<D::File>>,
    sources: imbl::OrdMap<u64, Arc<dyn Source>>,
    /// Index that readers see.
    index: Index,
    /// The same index with the staged changes.
    staged_index: Index,
    buffer: Vec<u8>,
    /// Space that the staged changes take.
    staged_usage: plan::FileUsage,
    next_sequence: u64,
    /// Sequence number after the last batch that readers see.
    next_visible: u64,
    synced_sequence: u64,
    failure: Option<Arc<io::Error>>,
    compaction: Option<Compaction<D::File>>,
    /// Bytes written for callers.
    pub written_bytes: u64,
    /// Bytes copied by compaction.
    pub copied_bytes: u64,
}

impl<D: Disk> Log<D> {
    /// Recovers the store. The folder is locked for as long as the log exists.
    pub fn open(mut disk: D, options: Options) -> Result<(Self, RecoveryReport)> {
        map_lock_error(disk.lock())?;
        let recovery = recover(&disk, options.mac_key.as_ref(), true)?;
        let next_sequence = recovery.report.last_sequence + 1;
        let mut log = Log {
            disk,
            options,
            segments: BTreeMap::new(),
            sources: imbl::OrdMap::new(),
            staged_index: recovery.index.clone(),
            index: recovery.index,
            buffer: Vec::new(),
            staged_usage: plan::FileUsage::default(),
            next_sequence,
            next_visible: next_sequence,
            synced_sequence: next_sequence - 1,
            failure: None,
            compaction: None,
            written_bytes: 0,
            copied_bytes: 0,
        };
        for (number, recovered) in recovery.files {
            log.sources.insert(number, recovered.file.clone());
            let segment = Segment {
                file: recovered.file,
                header: recovered.header,
                bytes: recovered.end,
                usage: recovered.usage,
            };
            log.segments.insert(number, segment);
        }
        Ok((log, recovery.report))
    }

    /// Returns a view of everything that was flushed, synced or not.
    pub fn view(&self) -> View {
        View { index: self.index.clone(), sources: self.sources.clone(), mac_key: self.options.mac_key }
    }

    /// Returns the sequence numbers of the last accepted batch and of the last durable one.
    pub fn sequences(&self) -> (u64, u64) {
        (self.next_sequence - 1, self.synced_sequence)
    }

    /// Returns the bytes in all files, and how many of them are current.
    pub fn space(&self) -> (u64, u64) {
        self.segments
            .values()
            .fold((0, 0), |(total, live_bytes), s| (total + s.bytes, live_bytes + s.usage.live_bytes))
    }

    pub fn file_count(&self) -> usize {
        self.segments.len()
    }

    /// Returns the error after which the store accepts no more writes, if there was one.
    pub fn failure(&self) -> Option<Error> {
        self.failure.clone().map(Error::Failed)
    }

    fn record_failure(&mut self, e: io::Error) -> Error {
        let e = Arc::new(e);
        self.failure = Some(e.clone());
        Error::Failed(e)
    }

    /// Accepts a batch, which the next [`Log::flush`] writes, and returns its version. Later batches see its
    /// changes.
    pub fn stage(&mut self, batch: &Batch) -> Result<u64> {
        if let Some(e) = self.failure() {
            return Err(e);
        }
        let current_version = |key: &[u8]| self.staged_index.get(key).map(|e| e.version);
        if batch.expected.iter().any(|(key, version)| current_version(key) != *version) {
            return Err(Error::VersionConflict);
        }
        let version = self.next_sequence;
        let op = |c: &crate::batch::Change| Op {
            key: c.key.clone(),
            value: c.value.clone(),
            expires_at: c.expires_at,
            version,
        };
        let ops: Vec<Op> = batch.changes.iter().map(op).collect();
        let payload = encode_ops(&ops)?;
        if payload.len() > frame::MAX_BATCH_BYTES {
            return Err(Error::TooLarge { bytes: payload.len(), limit: frame::MAX_BATCH_BYTES });
        }
        let (file, end) = self.active_segment()?;
        let offset = end + self.buffer.len() as u64;
        let size = frame::encode(
            version,
            self.synced_sequence,
            &payload,
            self.options.mac_key.as_ref(),
            &mut self.buffer,
        );
        for (slot, op) in ops.into_iter().enumerate() {
            let accounted_bytes = accounted_bytes(&op.key, op.value.as_ref()) as u32;
            let entry = Entry {
                file,
                offset,
                size: size as u32,
                slot: slot as u32,
                version,
                expires_at: op.expires_at,
                accounted_bytes,
            };
            self.staged_usage.bytes += u64::from(accounted_bytes);
            self.staged_usage.tombstone_bytes +=
                if op.value.is_none() { u64::from(accounted_bytes) } else { 0 };
            match op.value {
                Some(_) => _ = self.staged_index.insert(op.key.into(), entry),
                None => _ = self.staged_index.remove(&op.key[..]),
            }
        }
        self.next_sequence += 1;
        Ok(version)
    }

    /// Returns the file to write to and its end. A full file is sealed and the next one is begun, but never
    /// within a group of batches that are flushed together.
    fn active_segment(&mut self) -> Result<(u64, u64)> {
        if let Some((number, last)) = self.segments.last_key_value() {
            let full = self.buffer.is_empty() && last.bytes >= self.options.segment_bytes;
            if !last.header.compacted && !full {
                return Ok((*number, last.bytes));
            }
            // A file is synced before it is sealed, so that a gap between two files is always damage.
            self.sync()?;
        }
        let number = self.segments.last_key_value().map_or(1, |last| last.0 + 1);
        let keyed = self.options.mac_key.is_some();
        let header = FileHeader {
            number,
            first_sequence: self.next_sequence,
            last_sequence: 0,
            compacted: false,
            keyed,
        };
        let file = self.disk.create(&file_name(number))?;
        let created = file
            .write_at(&header.encode(), 0)
            .and_then(|()| file.sync())
            .and_then(|()| self.disk.sync_folder());
        if let Err(e) = created {
            // Without the new file the log is unchanged. If the file cannot be removed either, the log needs
            // a recovery.
            return match self.disk.remove(&file_name(number)).and_then(|()| self.disk.sync_folder()) {
                Ok(()) if e.kind() == io::ErrorKind::StorageFull => Err(Error::DiskFull),
                _ => Err(self.record_failure(e)),
            };
        }
        let file = Arc::new(file);
        self.sources.insert(number, file.clone());
        self.segments.insert(
            number,
            Segment { file, header, bytes: HEADER_BYTES as u64, usage: plan::FileUsage::default() },
        );
        Ok((number, HEADER_BYTES as u64))
    }

    /// Passes the staged batches to the operating system and shows them to readers. After
    /// [`Error::DiskFull`] none of them was written, and all of them are discarded.
    pub fn flush(&mut self) -> Result<()> {
        if let Some(e) = self.failure() {
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
            let truncated = segment.file.truncate(segment.bytes).and_then(|()| segment.file.sync());
            self.discard_staged();
            return match truncated {
                Ok(()) if e.kind() == io::ErrorKind::StorageFull => Err(Error::DiskFull),
                _ => Err(self.record_failure(e)),
            };
        }
        segment.bytes += buffer.len() as u64;
        let staged_usage = std::mem::take(&mut self.staged_usage);
        segment.usage.bytes += staged_usage.bytes;
        segment.usage.tombstone_bytes += staged_usage.tombstone_bytes;
        self.written_bytes += buffer.len() as u64;
        self.publish_staged();
        Ok(())
    }

    /// Discards staged batches that could not be written.
    fn discard_staged(&mut self) {
        self.staged_index = self.index.clone();
        self.next_sequence = self.next_visible;
        self.staged_usage = plan::FileUsage::default();
    }

    /// Updates the live bytes of the files and shows the staged changes to readers.
    fn publish_staged(&mut self) {
        for change in self.index.diff(&self.staged_index) {
            let (old, new) = match change {
                imbl::ordmap::DiffItem::Add(_, new) => (None, Some(*new)),
                imbl::ordmap::DiffItem::Update { old, new } => (Some(*old.1), Some(*new.1)),
                imbl::ordmap::DiffItem::Remove(_, old) => (Some(*old), None),
            };
            for (entry, is_added) in [(old, false), (new, true)] {
                if let Some((entry, segment)) = entry.and_then(|e| Some((e, self.segments.get_mut(&e.file)?)))
                {
                    let accounted_bytes = u64::from(entry.accounted_bytes);
                    let live_bytes = &mut segment.usage.live_bytes;
                    *live_bytes = if is_added {
                        *live_bytes + accounted_bytes
                    } else {
                        live_bytes.saturating_sub(accounted_bytes)
                    };
                }
            }
        }
        self.index = self.staged_index.clone();
        self.next_visible = self.next_sequence;
    }

    /// Makes everything that was flushed durable.
    pub fn sync(&mut self) -> Result<()> {
        if let Some(e) = self.failure() {
            return Err(e);
        }
        if self.synced_sequence == self.next_visible - 1 {
            return Ok(());
        }
        if let Some((_, last)) = self.segments.last_key_value() {
            if let Err(e) = last.file.sync() {
                // The operating system may have dropped what it could not write, and a second sync would
                // succeed without it.
                return Err(self.record_failure(e));
            }
        }
        self.synced_sequence = self.next_visible - 1;
        Ok(())
    }

    /// Runs one step of compaction, which reads at most about `budget` bytes. Returns whether there is more
    /// to do.
    pub fn compact(&mut self, now: u64, budget: u64) -> Result<bool> {
        if let Some(e) = self.failure() {
            return Err(e);
        }
        let mut compaction = match self.compaction.take() {
            Some(compaction) => compaction,
            None => match self.begin_compaction(now)? {
                Some(compaction) => compaction,
                None => return Ok(false),
            },
        };
        match self.compaction_step(&mut compaction, budget) {
            Ok(true) => self.finish_compaction(compaction).map(|()| true),
            Ok(false) => {
                self.compaction = Some(compaction);
                Ok(true)
            }
            Err(e) => {
                // The old files are unchanged.
                let _ = self.disk.remove(COMPACTION_FILE);
                Err(e)
            }
        }
    }

    fn begin_compaction(&mut self, now: u64) -> Result<Option<Compaction<D::File>>> {
        let active = self.segments.last_key_value().filter(|(_, s)| !s.header.compacted).map(|(n, _)| *n);
        let sealed: Vec<u64> = self.segments.keys().copied().filter(|n| Some(*n) != active).collect();
        let usages: Vec<plan::FileUsage> =
            sealed.iter().filter_map(|n| self.segments.get(n)).map(|s| s.usage).collect();
        let Some((first, last)) = plan::choose(&usages, &self.options.compaction) else { return Ok(None) };
        // Whatever supersedes a record must be durable before the record is dropped.
        self.flush()?;
        self.sync()?;
        let files = sealed[first..=last].to_vec();
        let (Some(first_segment), Some(last_segment)) =
            (self.segments.get(&sealed[first]), self.segments.get(&sealed[last]))
        else {
            return Ok(None);
        };
        let next_first_sequence = self
            .segments
            .range(sealed[last] + 1..)
            .next()
            .map_or(self.next_sequence, |(_, s)| s.header.first_sequence);
        let covered_until = if last_segment.header.compacted {
            last_segment.header.last_sequence
        } else {
            next_first_sequence - 1
        };
        let includes_oldest = first == 0;
        let has_nothing_to_keep = |n: &u64| {
            self.segments
                .get(n)
                .is_some_and(|s| s.usage.live_bytes == 0 && (includes_oldest || s.usage.tombstone_bytes == 0))
        };
        let skipped_files = files.iter().copied().filter(has_nothing_to_keep).collect();
        let keyed = self.options.mac_key.is_some();
        let header = FileHeader {
            number: sealed[first],
            first_sequence: first_segment.header.first_sequence,
            last_sequence: covered_until,
            compacted: true,
            keyed,
        };
        if self.disk.list()?.iter().any(|n| n == COMPACTION_FILE) {
            self.disk.remove(COMPACTION_FILE)?;
        }
        let writer = PackedWriter::new(self.disk.create(COMPACTION_FILE)?, header, self.options.mac_key)?;
        Ok(Some(Compaction {
            files,
            next_index: 0,
            next_offset: HEADER_BYTES as u64,
            index: self.index.clone(),
            now,
            skipped_files,
            includes_oldest,
            kept_deletions: HashSet::new(),
            writer,
            copied_entries: Vec::new(),
        }))
    }

    /// Copies about `budget` bytes more. Returns whether everything has been copied.
    fn compaction_step(&mut self, compaction: &mut Compaction<D::File>, budget: u64) -> Result<bool> {
        let mut remaining = budget.max(1);
        while let Some(number) = compaction.files.get(compaction.next_index).copied() {
            let Some(segment) = self.segments.get(&number) else { return Err(Error::Closed) };
            if compaction.next_offset >= segment.bytes || compaction.skipped_files.contains(&number) {
                (compaction.next_index, compaction.next_offset) =
                    (compaction.next_index + 1, HEADER_BYTES as u64);
                continue;
            }
            if remaining == 0 {
                return Ok(false);
            }
            let (ops, size) = read_frame(
                &*segment.file,
                number,
                compaction.next_offset,
                segment.bytes,
                self.options.mac_key.as_ref(),
            )?;
            for (slot, op) in ops.into_iter().enumerate() {
                keep_if_needed(compaction, number, slot as u32, op)?;
            }
            compaction.next_offset += size;
            remaining = remaining.saturating_sub(size);
        }
        Ok(true)
    }

    /// Replaces the old files by the new one.
    fn finish_compaction(&mut self, compaction: Compaction<D::File>) -> Result<()> {
        let first = compaction.files[0];
        let header = compaction.writer.header;
        let (file, bytes, entries) = match compaction.writer.finish() {
            Ok(done) => done,
            Err(e) => {
                let _ = self.disk.remove(COMPACTION_FILE);
                return Err(e);
            }
        };
        let renamed =
            self.disk.rename(COMPACTION_FILE, &file_name(first)).and_then(|()| self.disk.sync_folder());
        if let Err(e) = renamed {
            // It is unknown which of the two files has the name now. Each is complete, and a recovery reads
            // the one it finds.
            return Err(self.record_failure(e));
        }
        let file = Arc::new(file);
        let mut usage = plan::FileUsage::default();
        for ((key, previous), entry) in compaction.copied_entries.into_iter().zip(entries) {
            usage.bytes += u64::from(entry.accounted_bytes);
            usage.tombstone_bytes += if previous.is_none() { u64::from(entry.accounted_bytes) } else { 0 };
            // Only a value that is still current moves in the index, not a deletion nor a value that was
            // superseded meanwhile.
            if let Some(previous) = previous.filter(|previous| self.index.get(&key) == Some(previous)) {
                usage.live_bytes += u64::from(entry.accounted_bytes);
                self.index.insert(key.clone(), entry);
                if self.staged_index.get(&key) == Some(&previous) {
                    self.staged_index.insert(key, entry);
                }
            }
        }
        let expired: Vec<Box<[u8]>> = compaction
            .index
            .iter()
            .filter(|(_, e)| !e.is_live(compaction.now) && compaction.files.contains(&e.file))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            let previous = compaction.index.get(&key).copied();
            if self.index.get(&key).copied() == previous {
                self.index.remove(&key);
            }
            if self.staged_index.get(&key).copied() == previous {
                self.staged_index.remove(&key);
            }
        }
        for number in &compaction.files[1..] {
            self.segments.remove(number);
            self.sources.remove(number);
            // The new file covers this old one, which a recovery removes if this call fails.
            let _ = self.disk.remove(&file_name(*number));
        }
        self.sources.insert(first, file.clone());
        self.segments.insert(first, Segment { file, header, bytes, usage });
        self.copied_bytes += bytes;
        Ok(())
    }
}

/// Copies a change to the compacted file if anything depends on it.
fn keep_if_needed<F: DiskFile>(compaction: &mut Compaction<F>, file: u64, slot: u32, op: Op) -> Result<()> {
    let current = compaction.index.get(&op.key[..]).copied();
    let (offset, now) = (compaction.next_offset, compaction.now);
    let is_this = |e: &Entry| (e.file, e.offset, e.slot) == (file, offset, slot);
    let key: Box<[u8]> = op.key.clone().into();
    match current {
        Some(entry) if op.value.is_some() && is_this(&entry) && entry.is_live(now) => {
            compaction.writer.add(op)?;
            compaction.copied_entries.push((key, Some(entry)));
        }
        // A newer value supersedes this change, and is durable.
        Some(entry) if entry.is_live(now) || !compaction.files.contains(&entry.file) => {}
        // The key was deleted or has expired. An older file may still hold a value, which must not reappear.
        _ if !compaction.includes_oldest && compaction.kept_deletions.insert(key.clone()) => {
            compaction.writer.add(Op { value: None, expires_at: None, ..op })?;
            compaction.copied_entries.push((key, None));
        }
        _ => {}
    }
    Ok(())
}

/// Reads one frame of a sealed file.
fn read_frame<F: DiskFile>(
    file: &F, number: u64, frame_offset: u64, end: u64, mac_key: Option<&MacKey>,
) -> Result<(Vec<Op>, u64)> {
    let damaged = |what| Error::Damaged { file: file_name(number), offset: frame_offset, what };
    let mut max_bytes = 64 << 10;
    loop {
        let mut bytes = vec![0; max_bytes.min((end - frame_offset) as usize)];
        read_exact(file, &mut bytes, frame_offset)?;
        match frame::decode(&bytes, mac_key) {
            Ok(frame) => {
                let ops = frame::decode_ops(frame.payload)
                    .ok_or_else(|| damaged("the changes of a batch cannot be decoded"))?;
                return Ok((ops, frame.size as u64));
            }
            // The frame may be valid, but larger than the part that was read.
            Err(FrameError::Invalid(_)) if (bytes.len() as u64) < end - frame_offset => max_bytes *= 4,
            Err(FrameError::Invalid(what)) => return Err(damaged(what)),
            Err(_) => return Err(damaged("written with another key")),
        }
    }
}
