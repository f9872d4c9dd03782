//! Scheduling delays of a run: delays of a thread, of the runtime's timers, of gateways that wait for a processor, and of
//! process starts. They bound the accuracy of the recorded times.
//!
//! Two periodic ticks run during each run: one on a separate thread, which measures the delay of the machine, and one on the
//! runtime of the clients, links and kills, which adds the delay of that runtime. The thread also samples how long each gateway
//! waited for a processor while it was runnable, which distinguishes a gateway that blocked from one that the machine did not
//! schedule.

use std::fmt;
use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::clock::{self, Micros, MILLISECOND};

/// Interval of both ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(1);
/// Ticks of the thread between two samples of the gateways.
const TICKS_PER_SAMPLE: u64 = 10;
/// Minimum lateness of a sample that is stored with its time.
const NOTABLE_LATENESS: Micros = 10 * MILLISECOND;

/// What a sample of lateness was measured on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LatenessSource {
    /// Thread that only sleeps and samples the gateways.
    Thread,
    /// Timer of the runtime.
    Timer,
    /// Gateway of this name, which was runnable and had no processor.
    Gateway(String),
    /// Start of a process of this name, which holds duplicates of the run's sockets until it has started.
    Start(String),
}

/// Sample of lateness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LatenessSample {
    pub source: LatenessSource,
    /// When it was measured.
    pub at: Micros,
    pub late_by: Micros,
}

/// Scheduling delays of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lateness {
    /// Maximum time that the thread slept beyond its interval.
    pub thread_stall: Micros,
    /// Maximum lateness of the timer.
    pub timer_lateness: Micros,
    /// Maximum time that a gateway waited for a processor between two samples.
    pub gateway_wait: Micros,
    /// Maximum time to start a process.
    pub process_start: Micros,
    /// All samples of at least `NOTABLE_LATENESS`, in the order of their times.
    pub late_samples: Vec<LatenessSample>,
}

impl Lateness {
    /// Adds a sample.
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

    /// Returns the stored samples whose delay overlaps the period from `from` until `until`.
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
            LatenessSource::Thread => write!(f, "the thread was delayed by {late_by} ms until {at} us"),
            LatenessSource::Timer => write!(f, "the timer was {late_by} ms late at {at} us"),
            LatenessSource::Gateway(name) => {
                write!(f, "{name} waited {late_by} ms for a processor, sampled at {at} us")
            }
            LatenessSource::Start(name) => write!(f, "{name} took {late_by} ms to start, until {at} us"),
        }
    }
}

impl fmt::Display for Lateness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "thread at most {} ms, timer at most {} ms, wait of a gateway for a processor at most {} ms, start of a process at \
             most {} ms; {} delays of {} ms or more",
            self.thread_stall / MILLISECOND,
            self.timer_lateness / MILLISECOND,
            self.gateway_wait / MILLISECOND,
            self.process_start / MILLISECOND,
            self.late_samples.len(),
            NOTABLE_LATENESS / MILLISECOND
        )
    }
}

/// Gateway's process, and its total wait for a processor at the last sample.
#[derive(Debug)]
struct WatchedGateway {
    name: String,
    pid: u32,
    total_wait: Micros,
}

/// Monitor that measures the scheduling delays of a run until it is dropped.
#[derive(Debug)]
pub struct LatenessMonitor {
    lateness: Arc<Mutex<Lateness>>,
    gateways: Arc<Mutex<Vec<WatchedGateway>>>,
    is_stopped: Arc<AtomicBool>,
    timer: JoinHandle<()>,
}

impl LatenessMonitor {
    /// Starts both ticks. Must be called within a Tokio runtime.
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

    /// Adds a process of a gateway, which is sampled until it has exited.
    pub fn watch_gateway(&self, name: &str, pid: u32) {
        let gateway = WatchedGateway { name: name.to_string(), pid, total_wait: 0 };
        lock(&self.gateways).push(gateway);
    }

    /// Records that a process has started now whose start was requested at `requested_at`.
    pub fn note_start(&self, name: &str, requested_at: Micros) {
        let at = clock::now();
        let source = LatenessSource::Start(name.to_string());
        lock(&self.lateness).note(LatenessSample { source, at, late_by: at.saturating_sub(requested_at) });
    }

    /// Returns the delays so far.
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

/// Runs the tick of the thread, and samples the gateways, until it is stopped.
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

/// Records the end of a tick whose sleep began at `began`.
fn note_tick(lateness: &Mutex<Lateness>, source: LatenessSource, began: Micros) {
    let at = clock::now();
    let late_by = at.saturating_sub(began + TICK_INTERVAL.as_micros() as Micros);
    lock(lateness).note(LatenessSample { source, at, late_by });
}

/// Records how long a gateway has waited for a processor since the last sample. Returns whether its process still exists.
fn sample_gateway(gateway: &mut WatchedGateway, lateness: &Mutex<Lateness>) -> bool {
    let Some(waited) = processor_wait(gateway.pid) else { return false };
    let late_by = waited.saturating_sub(gateway.total_wait);
    gateway.total_wait = waited;
    let source = LatenessSource::Gateway(gateway.name.clone());
    lock(lateness).note(LatenessSample { source, at: clock::now(), late_by });
    true
}

/// Returns how long a single-threaded process has waited for a processor while it was runnable, in total.
fn processor_wait(pid: u32) -> Option<Micros> {
    // The fields are the time on a processor and the time of waiting for one, in nanoseconds, and the number of time slices.
    let schedstat = fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    let wait_ns: u64 = schedstat.split_whitespace().nth(1)?.parse().ok()?;
    Some(wait_ns / 1_000)
}
