//! How late a run is by itself: how long its threads stood still, its timers were late and its gateways had no processor.
//!
//! What a run records is only as exact as this. Two clocks tick through each run, one on a thread of its own, which shows
//! the machine's lateness, and one on the runtime of clients, links and kills, which shows that runtime's too. The thread
//! also asks how long each gateway waited for a processor while it could have run, which tells a gateway that stood still by
//! itself from one that the machine left standing.

use std::fmt;
use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::clock::{self, Micros, MILLISECOND};

/// How often either clock ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(1);
/// Ticks of the thread between two looks at the gateways.
const TICKS_PER_SAMPLE: u64 = 10;
/// Lateness from which on a tick is kept with its time.
const NOTABLE_LATENESS: Micros = 10 * MILLISECOND;

/// What was late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LatenessSource {
    /// A thread that only sleeps.
    Thread,
    /// A timer of the runtime.
    Timer,
    /// A gateway of this name, which could have run and had no processor.
    Gateway(String),
    /// The start of a process of this name; until it has begun it holds copies of the run's sockets.
    Start(String),
}

/// Something that came late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LatenessSample {
    pub source: LatenessSource,
    /// When it came, or was looked at.
    pub at: Micros,
    pub late_by: Micros,
}

/// How late a run was.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lateness {
    /// The longest that a thread stood still, beyond its sleep.
    pub thread_stall: Micros,
    /// The most that a timer was late.
    pub timer_lateness: Micros,
    /// The longest that a gateway waited for a processor between two looks.
    pub gateway_wait: Micros,
    /// The longest that a process took to begin.
    pub process_start: Micros,
    /// All ticks that were notably late, in order.
    pub late_samples: Vec<LatenessSample>,
}

impl Lateness {
    /// Notes a tick that came then, so much later than it was due.
    pub fn note(&mut self, sample: LatenessSample) {
        let worst = match sample.source {
            LatenessSource::Thread => &mut self.thread_stall,
            LatenessSource::Timer => &mut self.timer_lateness,
            LatenessSource::Gateway(_) => &mut self.gateway_wait,
            LatenessSource::Start(_) => &mut self.process_start,
        };
        *worst = sample.late_by.max(*worst);
        if sample.late_by >= NOTABLE_LATENESS {
            self.late_samples.push(sample);
        }
    }

    /// Notably late ticks whose lateness falls between two moments.
    pub fn between(&self, from: Micros, until: Micros) -> Vec<LatenessSample> {
        let overlaps =
            |sample: &&LatenessSample| sample.at >= from && sample.at.saturating_sub(sample.late_by) <= until;
        self.late_samples.iter().filter(overlaps).cloned().collect()
    }
}

impl fmt::Display for LatenessSample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (late_by, at) = (self.late_by / MILLISECOND, self.at);
        match &self.source {
            LatenessSource::Thread => write!(f, "a thread stood still for {late_by} ms up to {at} us"),
            LatenessSource::Timer => write!(f, "a timer was late for {late_by} ms up to {at} us"),
            LatenessSource::Gateway(name) => {
                write!(f, "{name} waited for a processor for {late_by} ms, seen at {at} us")
            }
            LatenessSource::Start(name) => write!(f, "{name} took {late_by} ms to begin, up to {at} us"),
        }
    }
}

impl fmt::Display for Lateness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a thread stood still for {} ms at most, a timer was {} ms late at most, a gateway waited for a processor for \
             {} ms at most, a process took {} ms to begin at most; {} times it was {} ms or more",
            self.thread_stall / MILLISECOND,
            self.timer_lateness / MILLISECOND,
            self.gateway_wait / MILLISECOND,
            self.process_start / MILLISECOND,
            self.late_samples.len(),
            NOTABLE_LATENESS / MILLISECOND
        )
    }
}

/// A gateway's process, and how long it had waited for a processor by the last look.
#[derive(Debug)]
struct WatchedGateway {
    name: String,
    pid: u32,
    total_wait: Micros,
}

/// Measures lateness until it is dropped.
#[derive(Debug)]
pub struct LatenessMonitor {
    lateness: Arc<Mutex<Lateness>>,
    gateways: Arc<Mutex<Vec<WatchedGateway>>>,
    is_stopped: Arc<AtomicBool>,
    timer: JoinHandle<()>,
}

impl LatenessMonitor {
    /// Starts both clocks; needs a tokio runtime.
    pub fn start() -> LatenessMonitor {
        let lateness = Arc::<Mutex<Lateness>>::default();
        let gateways = Arc::<Mutex<Vec<WatchedGateway>>>::default();
        let is_stopped = Arc::<AtomicBool>::default();
        let (measured, watched, stopped) = (lateness.clone(), gateways.clone(), is_stopped.clone());
        thread::spawn(move || tick_and_sample(&measured, &watched, &stopped));
        let measured = lateness.clone();
        let timer = tokio::spawn(async move {
            loop {
                let began = clock::now();
                tokio::time::sleep(TICK_INTERVAL).await;
                note_tick(&measured, LatenessSource::Timer, began);
            }
        });
        LatenessMonitor { lateness, gateways, is_stopped, timer }
    }

    /// Looks at this process of a gateway, too, until it has ended.
    pub fn watch_gateway(&self, name: &str, pid: u32) {
        let gateway = WatchedGateway { name: name.to_string(), pid, total_wait: 0 };
        lock(&self.gateways).push(gateway);
    }

    /// Notes that a process has begun now whose start was asked for then.
    pub fn note_start(&self, name: &str, requested_at: Micros) {
        let at = clock::now();
        let source = LatenessSource::Start(name.to_string());
        lock(&self.lateness).note(LatenessSample { source, at, late_by: at.saturating_sub(requested_at) });
    }

    /// How late it has been so far.
    pub fn snapshot(&self) -> Lateness {
        lock(&self.lateness).clone()
    }
}

impl Drop for LatenessMonitor {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.timer.abort();
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the thread does until it is stopped.
fn tick_and_sample(
    lateness: &Mutex<Lateness>, gateways: &Mutex<Vec<WatchedGateway>>, is_stopped: &AtomicBool,
) {
    let mut ticks = 0;
    while !is_stopped.load(Ordering::Relaxed) {
        let began = clock::now();
        thread::sleep(TICK_INTERVAL);
        note_tick(lateness, LatenessSource::Thread, began);
        ticks += 1;
        if ticks % TICKS_PER_SAMPLE == 0 {
            lock(gateways).retain_mut(|gateway| sample_gateway(gateway, lateness));
        }
    }
}

/// Notes a tick that comes now, of a sleep that began then.
fn note_tick(lateness: &Mutex<Lateness>, source: LatenessSource, began: Micros) {
    let at = clock::now();
    let late_by = at.saturating_sub(began + TICK_INTERVAL.as_micros() as Micros);
    lock(lateness).note(LatenessSample { source, at, late_by });
}

/// Notes how long a gateway has waited for a processor since the last look; says whether its process is still there.
fn sample_gateway(gateway: &mut WatchedGateway, lateness: &Mutex<Lateness>) -> bool {
    let Some(waited) = processor_wait(gateway.pid) else { return false };
    let late_by = waited.saturating_sub(gateway.total_wait);
    gateway.total_wait = waited;
    let source = LatenessSource::Gateway(gateway.name.clone());
    lock(lateness).note(LatenessSample { source, at: clock::now(), late_by });
    true
}

/// How long a process of one thread has waited for a processor while it could have run.
fn processor_wait(pid: u32) -> Option<Micros> {
    // The kernel writes the time on a processor, the time of waiting for one, both in nanoseconds, and how often it ran.
    let schedstat = fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    let wait_ns: u64 = schedstat.split_whitespace().nth(1)?.parse().ok()?;
    Some(wait_ns / 1_000)
}
