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
use crate::recover::{pack, Recovered};
use crate::view::View;

/// When a write is acknowledged, and thus what it survives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Durability {
    /// Accepted in order; lost if the process ends.
    Buffered,
    /// Passed to the operating system; survives the end of the process.
    Flushed,
    /// Durable on the disk; survives a crash of the machine.
    Synced,
}

/// Maximum number of batches in a group.
const GROUP: usize = 1_024;
/// Size from which a group accepts no more batches, in bytes.
const GROUP_BYTES: usize = 1 << 20;
/// Bytes that a step of compaction reads while no command waits, and at least after a group.
const STEP: u64 = 256 << 10;
/// Bytes that compaction reads after a group for each byte of the group, if there is something to compact.
const AHEAD: u64 = 4;
/// Interval at which an idle store checks whether there is something to compact.
const LOOK: Duration = Duration::from_millis(200);

type Done = Box<dyn FnOnce(Result<u64>) + Send>;
type Copying = Box<dyn FnOnce(&View) -> Result<()> + Send>;
type Clock = Arc<dyn Fn() -> u64 + Send + Sync>;

enum Command {
    Write(Batch, Durability, Done),
    Snapshot(Copying, SyncSender<Result<()>>),
    Close,
}

/// Counters of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Accepted batches.
    pub batches: u64,
    /// Groups in which the batches were written.
    pub groups: u64,
    pub syncs: u64,
    /// Bytes written for callers.
    pub written: u64,
    /// Bytes copied by compaction.
    pub copied: u64,
    /// Bytes in all files.
    pub bytes: u64,
    /// Bytes of these that are current.
    pub live: u64,
}

#[derive(Default)]
struct Counts {
    batches: AtomicU64,
    groups: AtomicU64,
    syncs: AtomicU64,
    written: AtomicU64,
    copied: AtomicU64,
    bytes: AtomicU64,
    live: AtomicU64,
}

/// State that the thread publishes to all handles. The thread itself holds no handle: dropping the last one
/// joins the thread, which must not happen on the thread.
struct Shown {
    view: RwLock<View>,
    counts: Counts,
}

struct Shared {
    shown: Arc<Shown>,
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
    pub fn open<D: Disk>(disk: D, options: Options) -> Result<(Store, Recovered)> {
        let clock = || {
            let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            unix.map_or(0, |d| d.as_millis() as u64)
        };
        Store::open_with(disk, options, clock)
    }

    /// Like [`Store::open`], with the caller's clock (ms).
    pub fn open_with<D: Disk>(
        disk: D, options: Options, clock: impl Fn() -> u64 + Send + Sync + 'static,
    ) -> Result<(Store, Recovered)> {
        let (log, recovered) = Log::open(disk, options.clone())?;
        let (commands, inbox) = mpsc::sync_channel(options.queue.max(1));
        let shown = Arc::new(Shown { view: RwLock::new(log.view()), counts: Counts::default() });
        let clock: Clock = Arc::new(clock);
        let writer = {
            let shown = shown.clone();
            move || {
                let mut log = log;
                run(&mut log, &inbox, &clock, |log, group| shown.publish(log, group));
            }
        };
        let thread = std::thread::Builder::new().name("store".into()).spawn(writer)?;
        let shared = Shared { shown, commands, thread: Mutex::new(Some(thread)) };
        Ok((Store(Arc::new(shared)), recovered))
    }

    /// Returns a view of the store as it is now.
    pub fn view(&self) -> View {
        self.0.shown.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Queues a batch and returns at once. The store's thread calls `done` with the version of the batch, so
    /// `done` must not block. [`Error::Busy`]: too many writes are waiting, and the batch was not accepted.
    pub fn submit(
        &self, batch: Batch, durability: Durability, done: impl FnOnce(Result<u64>) + Send + 'static,
    ) -> Result<()> {
        match self.0.commands.try_send(Command::Write(batch, durability, Box::new(done))) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => Err(Error::Busy),
            Err(TrySendError::Disconnected(_)) => Err(Error::Closed),
        }
    }

    /// Writes a batch and waits until it has this durability.
    pub fn write(&self, batch: Batch, durability: Durability) -> Result<u64> {
        let (tell, told) = mpsc::sync_channel(1);
        self.submit(batch, durability, move |result| _ = tell.send(result))?;
        told.recv().unwrap_or(Err(Error::Closed))
    }

    /// Writes a consistent copy to an empty folder, which can be opened as a store.
    pub fn snapshot<E: Disk>(&self, to: E, now: u64) -> Result<()> {
        let (tell, told) = mpsc::sync_channel(1);
        let copy = move |view: &View| {
            let mut ops = view.all(now).collect::<Result<Vec<_>>>()?;
            ops.sort_by_key(|op| op.version);
            pack(&to, ops.into_iter().map(Ok), view.secret.as_ref())
        };
        self.0.commands.send(Command::Snapshot(Box::new(copy), tell)).map_err(|_| Error::Closed)?;
        told.recv().unwrap_or(Err(Error::Closed))
    }

    pub fn figures(&self) -> Figures {
        let c = &self.0.shown.counts;
        let get = |n: &AtomicU64| n.load(Ordering::Relaxed);
        Figures {
            batches: get(&c.batches),
            groups: get(&c.groups),
            syncs: get(&c.syncs),
            written: get(&c.written),
            copied: get(&c.copied),
            bytes: get(&c.bytes),
            live: get(&c.live),
        }
    }
}

impl Shown {
    fn publish<D: Disk>(&self, log: &Log<D>, group: Option<(u64, bool)>) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = log.view();
        if let Some((batches, synced)) = group {
            self.counts.batches.fetch_add(batches, Ordering::Relaxed);
            self.counts.groups.fetch_add(1, Ordering::Relaxed);
            self.counts.syncs.fetch_add(u64::from(synced), Ordering::Relaxed);
        }
        let (bytes, live) = log.space();
        let set = |n: &AtomicU64, to| n.store(to, Ordering::Relaxed);
        set(&self.counts.written, log.written);
        set(&self.counts.copied, log.copied);
        set(&self.counts.bytes, bytes);
        set(&self.counts.live, live);
    }
}

/// Main loop of the store's thread: writes batches in groups, and compacts after each group and while no
/// command waits.
fn run<D: Disk>(
    log: &mut Log<D>, inbox: &Receiver<Command>, clock: &Clock,
    publish: impl Fn(&Log<D>, Option<(u64, bool)>),
) {
    let mut compacting = true;
    loop {
        let first = match if compacting { inbox.try_recv().map_err(|_| ()) } else { wait(inbox) } {
            Ok(command) => command,
            Err(()) => {
                // No command waits. A compaction that fails, for example on a full disk, is retried later.
                compacting = matches!(log.compact(clock(), STEP), Ok(true));
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
                Command::Snapshot(copy, tell) => {
                    commit(log, std::mem::take(&mut group), &publish);
                    let _ = tell.send(copy(&log.view()));
                }
                Command::Close => {
                    commit(log, group, &publish);
                    let _ = log.sync();
                    return;
                }
            }
            if group.len() < GROUP && bytes < GROUP_BYTES {
                next = inbox.try_recv().ok();
            }
        }
        commit(log, group, &publish);
        // If writers never pause, compaction must progress faster than they do, or the space would not be
        // bounded.
        compacting = !matches!(log.compact(clock(), STEP.max(AHEAD * bytes as u64)), Ok(false));
        publish(log, None);
    }
}

/// Waits for the next command; an error is a timeout.
fn wait(inbox: &Receiver<Command>) -> std::result::Result<Command, ()> {
    match inbox.recv_timeout(LOOK) {
        Ok(command) => Ok(command),
        Err(RecvTimeoutError::Timeout) => Err(()),
        // The last handle sends `Close` before it disconnects.
        Err(RecvTimeoutError::Disconnected) => Ok(Command::Close),
    }
}

/// Writes a group, syncs it if one of its batches requires that, and acknowledges its batches.
fn commit<D: Disk>(
    log: &mut Log<D>, group: Vec<(u64, Durability, Option<Done>)>,
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
