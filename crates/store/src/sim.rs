//! Simulated disk with faults, for tests. A crash keeps any subset of the sector writes and truncations since
//! the last sync of a file. Of the changes to names since the last sync of the folder, it keeps the first
//! ones, up to any number. At a given call, the disk can be full, fail or stop. The same seed gives the same
//! result.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::disk::{Disk, DiskFile};

/// Unit in which a write reaches the disk, in bytes.
const SECTOR: u64 = 512;

/// Fault that occurs at one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The machine stops: this call and all later ones that change something fail.
    Crash,
    /// The disk is full. Half of a write is done.
    Full,
    Io,
}

#[derive(Clone, Debug)]
enum PendingChange {
    Write { offset: u64, bytes: Vec<u8> },
    Truncate(u64),
}

#[derive(Clone, Debug, Default)]
struct Content {
    durable: Vec<u8>,
    current: Vec<u8>,
    pending: Vec<PendingChange>,
}

#[derive(Clone, Debug)]
enum NameOp {
    Create(String, u64),
    Rename(String, String),
    Remove(String),
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<u64, Content>,
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    pending_names: Vec<NameOp>,
    next_id: u64,
    locked: bool,
    /// Number of calls so far that change something.
    calls: u64,
    fault: Option<(u64, Fault)>,
    stopped: bool,
    /// Whether a read returns at most half of the bytes that it could, rounded up.
    short_reads: bool,
}

/// A simulated folder. Clones refer to the same one.
#[derive(Clone, Debug, Default)]
pub struct SimDisk(Arc<Mutex<State>>);

#[derive(Clone, Debug)]
pub struct SimFile {
    disk: SimDisk,
    id: u64,
}

fn apply_change(content: &mut Vec<u8>, op: &PendingChange) {
    match op {
        PendingChange::Write { offset, bytes } => {
            let end = *offset as usize + bytes.len();
            if content.len() < end {
                content.resize(end, 0);
            }
            content[*offset as usize..end].copy_from_slice(bytes);
        }
        PendingChange::Truncate(len) => content.resize(*len as usize, 0),
    }
}

fn apply_name_op(names: &mut BTreeMap<String, u64>, op: &NameOp) {
    match op {
        NameOp::Create(name, id) => _ = names.insert(name.clone(), *id),
        NameOp::Remove(name) => _ = names.remove(name),
        NameOp::Rename(from, to) => {
            if let Some(id) = names.remove(from) {
                names.insert(to.clone(), id);
            }
        }
    }
}

impl SimDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the fault that occurs at call number `call`. Only calls that change something are counted, from
    /// 0.
    pub fn inject_fault(&self, call: u64, fault: Fault) {
        self.state().fault = Some((call, fault));
    }

    pub fn short_reads(&self) {
        self.state().short_reads = true;
    }

    /// Returns the number of calls so far that change something, including one that failed by the fault.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Returns the disk as it is after a crash of the machine, where the seed determines which unsynced
    /// changes are kept. With `process_only` only the process has ended, and nothing is lost.
    pub fn after_crash(&self, seed: u64, process_only: bool) -> SimDisk {
        let state = self.state();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut after = State { next_id: state.next_id, ..State::default() };
        if process_only {
            after.names = state.names.clone();
            for (id, content) in &state.files {
                let current = content.current.clone();
                after.files.insert(*id, Content { durable: current.clone(), current, pending: Vec::new() });
            }
        } else {
            after.names = state.durable_names.clone();
            let kept_names = rng.usize(0..=state.pending_names.len());
            state.pending_names[..kept_names].iter().for_each(|op| apply_name_op(&mut after.names, op));
            for (id, content) in &state.files {
                let mut survived = content.durable.clone();
                for op in &content.pending {
                    match op {
                        PendingChange::Truncate(_) if rng.bool() => apply_change(&mut survived, op),
                        PendingChange::Truncate(_) => {}
                        PendingChange::Write { offset, bytes } => {
                            sectors(*offset, bytes).for_each(|sector_write| {
                                if rng.bool() {
                                    apply_change(&mut survived, &sector_write);
                                }
                            })
                        }
                    }
                }
                after.files.insert(
                    *id,
                    Content { durable: survived.clone(), current: survived, pending: Vec::new() },
                );
            }
        }
        after.durable_names = after.names.clone();
        SimDisk(Arc::new(Mutex::new(after)))
    }

    /// Returns the contents of a file.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.state();
        state.names.get(name).and_then(|id| state.files.get(id)).map(|c| c.current.clone())
    }

    pub fn overwrite(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.state();
        let id = match state.names.get(name) {
            Some(id) => *id,
            None => {
                state.next_id += 1;
                let id = state.next_id;
                state.names.insert(name.into(), id);
                state.durable_names.insert(name.into(), id);
                id
            }
        };
        state.files.insert(id, Content { durable: bytes.clone(), current: bytes, pending: Vec::new() });
    }

    /// Returns another folder with the same files.
    pub fn copy(&self) -> SimDisk {
        self.after_crash(0, true)
    }
}

/// Splits a write into the parts that reach the disk separately.
fn sectors(offset: u64, bytes: &[u8]) -> impl Iterator<Item = PendingChange> + '_ {
    let mut from = 0;
    std::iter::from_fn(move || {
        if from == bytes.len() {
            return None;
        }
        let position = offset + from as u64;
        let to = (from + (SECTOR - position % SECTOR) as usize).min(bytes.len());
        let part = PendingChange::Write { offset: position, bytes: bytes[from..to].to_vec() };
        from = to;
        Some(part)
    })
}

impl State {
    /// Counts a call and returns the fault that occurs at it.
    fn record_call(&mut self) -> io::Result<()> {
        if self.stopped {
            return Err(io::Error::other("the simulated machine has stopped"));
        }
        let this_call = self.calls;
        self.calls += 1;
        match self.fault {
            Some((faulty_call, Fault::Crash)) if faulty_call == this_call => {
                self.stopped = true;
                Err(io::Error::other("the simulated machine stops"))
            }
            Some((faulty_call, Fault::Full)) if faulty_call == this_call => {
                Err(ErrorKind::StorageFull.into())
            }
            Some((faulty_call, Fault::Io)) if faulty_call == this_call => {
                Err(io::Error::other("the simulated disk fails"))
            }
            _ => Ok(()),
        }
    }
}

impl Disk for SimDisk {
    type File = SimFile;

    fn lock(&mut self) -> io::Result<()> {
        if std::mem::replace(&mut self.state().locked, true) {
            return Err(ErrorKind::WouldBlock.into());
        }
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn open(&self, name: &str) -> io::Result<SimFile> {
        let id = self.state().names.get(name).copied().ok_or(ErrorKind::NotFound)?;
        Ok(SimFile { disk: self.clone(), id })
    }

    fn create(&self, name: &str) -> io::Result<SimFile> {
        let mut state = self.state();
        state.record_call()?;
        if state.names.contains_key(name) {
            return Err(ErrorKind::AlreadyExists.into());
        }
        state.next_id += 1;
        let id = state.next_id;
        state.files.insert(id, Content::default());
        state.names.insert(name.into(), id);
        state.pending_names.push(NameOp::Create(name.into(), id));
        Ok(SimFile { disk: self.clone(), id })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.record_call()?;
        let op = NameOp::Rename(from.into(), to.into());
        apply_name_op(&mut state.names, &op);
        state.pending_names.push(op);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.record_call()?;
        state.names.remove(name).ok_or(ErrorKind::NotFound)?;
        state.pending_names.push(NameOp::Remove(name.into()));
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.state();
        state.record_call()?;
        state.durable_names = state.names.clone();
        state.pending_names.clear();
        Ok(())
    }
}

impl SimFile {
    fn with_content<T>(&self, f: impl FnOnce(&mut Content) -> T) -> io::Result<T> {
        self.disk.state().files.get_mut(&self.id).map(f).ok_or_else(|| ErrorKind::NotFound.into())
    }
}

impl DiskFile for SimFile {
    fn size(&self) -> io::Result<u64> {
        self.with_content(|c| c.current.len() as u64)
    }

    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        let short = self.disk.state().short_reads;
        self.with_content(|c| {
            let from = (offset as usize).min(c.current.len());
            let mut n = buffer.len().min(c.current.len() - from);
            if short && n > 1 {
                n = n.div_ceil(2);
            }
            buffer[..n].copy_from_slice(&c.current[from..from + n]);
            n
        })
    }

    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        let result = self.disk.state().record_call();
        // A call that fails may have done a part of its work.
        let done = if result.is_ok() { bytes } else { &bytes[..bytes.len() / 2] };
        self.with_content(|c| {
            let op = PendingChange::Write { offset, bytes: done.to_vec() };
            apply_change(&mut c.current, &op);
            c.pending.push(op);
        })?;
        result
    }

    fn truncate(&self, len: u64) -> io::Result<()> {
        self.disk.state().record_call()?;
        self.with_content(|c| {
            let op = PendingChange::Truncate(len);
            apply_change(&mut c.current, &op);
            c.pending.push(op);
        })
    }

    fn sync(&self) -> io::Result<()> {
        self.disk.state().record_call()?;
        self.with_content(|c| {
            c.durable = c.current.clone();
            c.pending.clear();
        })
    }
}
