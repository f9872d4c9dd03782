//! The store as processes use it: one thread writes for all callers, in groups, and [`Store::submit`] never
//! waits for the disk.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::batch::Batch;
use crate::disk::Disk;
use crate::error::{Error, Result};
use crate::log::{Log, Options};
use crate::recover::{pack, RecoveryReport};
use crate::view::View;

/// When a write is acknowledged, and thus what it survives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Durability {
    /// Accepted in order, but not written yet; lost if the process ends before the write, if the write fails,
    /// or if the machine crashes before a sync.
    Buffered,
    /// Passed to the operating system; survives the end of the process.
    Flushed,
    /// Durable on the disk; survives a crash of the machine.
    Synced,
}

/// Maximum number of batches in a group.
const MAX_GROUP_BATCHES: usize = 1_024;
/// Size from which a group accepts no more batches, in bytes.
const MAX_GROUP_BYTES: usize = 1 << 20;
/// Bytes that a step of compaction reads while no command waits; also the minimum for the step after a group.
const COMPACTION_STEP_BYTES: u64 = 256 << 10;
/// Bytes that compaction reads after a group for each byte of the group, if there is something to compact.
const COMPACTION_READ_FACTOR: u64 = 4;
/// Interval at which an idle store checks whether there is something to compact.
const COMPACTION_CHECK_INTERVAL: Duration = Duration::from_millis(200);

type Completion = Box<dyn FnOnce(Result<u64>) + Send>;
type SnapshotCopy = Box<dyn FnOnce(&View) -> Result<()> + Send>;
type Clock = Arc<dyn Fn() -> u64 + Send + Sync>;

enum Command {
    Write(Batch, Durability, Completion),
    Snapshot(SnapshotCopy, SyncSender<Result<()>>),
    Close,
}

/// Counters of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Accepted batches, including those whose group could not be written.
    pub batches: u64,
    /// Groups of batches, including those that could not be written.
    pub groups: u64,
    /// Groups that required a sync.
    pub syncs: u64,
    /// Bytes written for callers.
    pub written_bytes: u64,
    /// Bytes copied by compaction.
    pub copied_bytes: u64,
    /// Bytes in all files.
    pub total_bytes: u64,
    /// Bytes in all files that belong to current values.
    pub live_bytes: u64,
}

#[derive(Default)]
struct Counters {
    batches: AtomicU64,
    groups: AtomicU64,
    syncs: AtomicU64,
    written_bytes: AtomicU64,
    copied_bytes: AtomicU64,
    total_bytes: AtomicU64,
    live_bytes: AtomicU64,
}

/// State that the thread publishes to all handles. The thread itself holds no handle: dropping the last one
/// joins the thread, which must not happen on the thread.
struct Published {
    view: RwLock<View>,
    counters: Counters,
}

struct Shared {
    published: Arc<Published>,
    commands: SyncSender<Command>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

/// Handle of an open store. Clones refer to the same store, and dropping the last one closes it.
#[derive(Clone)]
pub struct Store(Arc<Shared>);

impl Drop for Shared {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Close);
        let thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(thread) = thread {
            let _ = thread.join();
        }
    }
}

impl Store {
    /// Recovers the store and starts its thread. Compaction removes expired values by the system's clock.
    pub fn open<D: Disk>(disk: D, options: Options) -> Result<(Store, RecoveryReport)> {
        let clock = || {
            let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            unix.map_or(0, |d| d.as_millis() as u64)
        };
        Store::open_with(disk, options, clock)
    }

    /// Like [`Store::open`], with the caller's clock (ms).
    pub fn open_with<D: Disk>(
        disk: D, options: Options, clock: impl Fn() -> u64 + Send + Sync + 'static,
    ) -> Result<(Store, RecoveryReport)> {
        let (log, recovered) = Log::open(disk, options.clone())?;
        let (commands, inbox) = mpsc::sync_channel(options.max_waiting_writes.max(1));
        let published = Arc::new(Published { view: RwLock::new(log.view()), counters: Counters::default() });
        let clock: Clock = Arc::new(clock);
        let writer = {
            let published = published.clone();
            move || {
                let mut log = log;
                run_writer(&mut log, &inbox, &clock, |log, group| published.publish(log, group));
            }
        };
        let thread = std::thread::Builder::new().name("store".into()).spawn(writer)?;
        let shared = Shared { published, commands, thread: Mutex::new(Some(thread)) };
        Ok((Store(Arc::new(shared)), recovered))
    }

    /// Returns a view of the store as it is now.
    pub fn view(&self) -> View {
        self.0.published.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Queues a batch and returns at once. The store's thread calls `done` with the version of the batch or
    /// the error, so `done` must not block. [`Error::QueueFull`]: too many writes are waiting, and the batch
    /// was not accepted.
    pub fn submit(
        &self, batch: Batch, durability: Durability, done: impl FnOnce(Result<u64>) + Send + 'static,
    ) -> Result<()> {
        match self.0.commands.try_send(Command::Write(batch, durability, Box::new(done))) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => Err(Error::QueueFull),
            Err(TrySendError::Disconnected(_)) => Err(Error::Closed),
        }
    }

    /// Writes a batch, waits until it has this durability, and returns its version.
    pub fn write(&self, batch: Batch, durability: Durability) -> Result<u64> {
        let (sender, receiver) = mpsc::sync_channel(1);
        self.submit(batch, durability, move |result| _ = sender.send(result))?;
        receiver.recv().unwrap_or(Err(Error::Closed))
    }

    /// Writes a consistent copy without expired values to an empty folder, which can then be opened as a
    /// store. The store's thread makes the copy, so writes wait until it is done.
    pub fn snapshot<E: Disk>(&self, to: E, now: u64) -> Result<()> {
        let (sender, receiver) = mpsc::sync_channel(1);
        let copy = move |view: &View| {
            let mut ops = view.entries(now).collect::<Result<Vec<_>>>()?;
            ops.sort_by_key(|op| op.version);
            pack(&to, ops.into_iter().map(Ok), view.mac_key.as_ref())
        };
        self.0.commands.send(Command::Snapshot(Box::new(copy), sender)).map_err(|_| Error::Closed)?;
        receiver.recv().unwrap_or(Err(Error::Closed))
    }

    pub fn stats(&self) -> Stats {
        let counters = &self.0.published.counters;
        let counter_value = |n: &AtomicU64| n.load(Ordering::Relaxed);
        Stats {
            batches: counter_value(&counters.batches),
            groups: counter_value(&counters.groups),
            syncs: counter_value(&counters.syncs),
            written_bytes: counter_value(&counters.written_bytes),
            copied_bytes: counter_value(&counters.copied_bytes),
            total_bytes: counter_value(&counters.total_bytes),
            live_bytes: counter_value(&counters.live_bytes),
        }
    }
}

impl Published {
    fn publish<D: Disk>(&self, log: &Log<D>, group: Option<(u64, bool)>) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = log.view();
        if let Some((batches, synced)) = group {
            self.counters.batches.fetch_add(batches, Ordering::Relaxed);
            self.counters.groups.fetch_add(1, Ordering::Relaxed);
            self.counters.syncs.fetch_add(u64::from(synced), Ordering::Relaxed);
        }
        let (total_bytes, live_bytes) = log.space();
        let set = |n: &AtomicU64, to| n.store(to, Ordering::Relaxed);
        set(&self.counters.written_bytes, log.written_bytes);
        set(&self.counters.copied_bytes, log.copied_bytes);
        set(&self.counters.total_bytes, total_bytes);
        set(&self.counters.live_bytes, live_bytes);
    }
}

/// Main loop of the store's thread: writes batches in groups, and compacts after each group and while no
/// command waits.
fn run_writer<D: Disk>(
    log: &mut Log<D>, inbox: &Receiver<Command>, clock: &Clock,
    publish: impl Fn(&Log<D>, Option<(u64, bool)>),
) {
    let mut compaction_pending = true;
    loop {
        let first =
            match if compaction_pending { inbox.try_recv().map_err(|_| ()) } else { next_command(inbox) } {
                Ok(command) => command,
                Err(()) => {
                    // No command waits. A compaction that fails, for example on a full disk, is retried later.
                    compaction_pending = matches!(log.compact(clock(), COMPACTION_STEP_BYTES), Ok(true));
                    publish(log, None);
                    continue;
                }
            };
        let mut group = Vec::new();
        let mut bytes = 0;
        let mut next = Some(first);
        while let Some(command) = next.take() {
            match command {
                Command::Write(batch, durability, done) => {
                    bytes += batch
                        .changes
                        .iter()
                        .map(|c| c.key.len() + c.value.as_ref().map_or(0, Vec::len))
                        .sum::<usize>();
                    match log.stage(&batch) {
                        Ok(version) if durability == Durability::Buffered => {
                            done(Ok(version));
                            group.push((version, durability, None));
                        }
                        Ok(version) => group.push((version, durability, Some(done))),
                        Err(e) => done(Err(e)),
                    }
                }
                Command::Snapshot(copy, sender) => {
                    commit(log, std::mem::take(&mut group), &publish);
                    let _ = sender.send(copy(&log.view()));
                }
                Command::Close => {
                    commit(log, group, &publish);
                    let _ = log.sync();
                    return;
                }
            }
            if group.len() < MAX_GROUP_BATCHES && bytes < MAX_GROUP_BYTES {
                next = inbox.try_recv().ok();
            }
        }
        commit(log, group, &publish);
        // If writers never pause, compaction must progress faster than they do, or the space would not be
        // bounded.
        compaction_pending = !matches!(
            log.compact(clock(), COMPACTION_STEP_BYTES.max(COMPACTION_READ_FACTOR * bytes as u64)),
            Ok(false)
        );
        publish(log, None);
    }
}

/// Waits for the next command; an error is a timeout.
fn next_command(inbox: &Receiver<Command>) -> std::result::Result<Command, ()> {
    match inbox.recv_timeout(COMPACTION_CHECK_INTERVAL) {
        Ok(command) => Ok(command),
        Err(RecvTimeoutError::Timeout) => Err(()),
        // The last handle sends `Close` before it disconnects.
        Err(RecvTimeoutError::Disconnected) => Ok(Command::Close),
    }
}

/// Writes a group, syncs it if one of its batches requires that, and acknowledges its batches.
fn commit<D: Disk>(
    log: &mut Log<D>, group: Vec<(u64, Durability, Option<Completion>)>,
    publish: &impl Fn(&Log<D>, Option<(u64, bool)>),
) {
    if group.is_empty() {
        return;
    }
    let sync = group.iter().any(|g| g.1 == Durability::Synced);
    let flushed = log.flush();
    let synced = if sync && flushed.is_ok() { log.sync() } else { Ok(()) };
    publish(log, Some((group.len() as u64, sync)));
    for (version, durability, done) in group {
        let Some(done) = done else { continue };
        done(match (&flushed, &synced) {
            (Err(e), _) => Err(e.clone()),
            (_, Err(e)) if durability == Durability::Synced => Err(e.clone()),
            _ => Ok(version),
        });
    }
}
