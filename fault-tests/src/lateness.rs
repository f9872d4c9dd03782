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
const TICK: Duration = Duration::from_millis(1);
/// Ticks of the thread between two looks at the gateways.
const TICKS_PER_LOOK: u64 = 10;
/// Lateness from which on a tick is kept with its time.
const NOTABLE: Micros = 10 * MILLISECOND;

/// What was late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ticker {
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
pub struct LateTick {
    pub ticker: Ticker,
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
    pub late_ticks: Vec<LateTick>,
}

impl Lateness {
    /// Notes a tick that came then, so much later than it was due.
    pub fn note(&mut self, tick: LateTick) {
        let worst = match tick.ticker {
            Ticker::Thread => &mut self.thread_stall,
            Ticker::Timer => &mut self.timer_lateness,
            Ticker::Gateway(_) => &mut self.gateway_wait,
            Ticker::Start(_) => &mut self.process_start,
        };
        *worst = tick.late_by.max(*worst);
        if tick.late_by >= NOTABLE {
            self.late_ticks.push(tick);
        }
    }

    /// Notably late ticks whose lateness falls between two moments.
    pub fn between(&self, from: Micros, until: Micros) -> Vec<LateTick> {
        let overlaps = |tick: &&LateTick| tick.at >= from && tick.at.saturating_sub(tick.late_by) <= until;
        self.late_ticks.iter().filter(overlaps).cloned().collect()
    }
}

impl fmt::Display for LateTick {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (late_by, at) = (self.late_by / MILLISECOND, self.at);
        match &self.ticker {
            Ticker::Thread => write!(f, "a thread stood still for {late_by} ms up to {at} us"),
            Ticker::Timer => write!(f, "a timer was late for {late_by} ms up to {at} us"),
            Ticker::Gateway(name) => {
                write!(f, "{name} waited for a processor for {late_by} ms, seen at {at} us")
            }
            Ticker::Start(name) => write!(f, "{name} took {late_by} ms to begin, up to {at} us"),
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
            self.late_ticks.len(),
            NOTABLE / MILLISECOND
        )
    }
}

/// A gateway's process, and how long it had waited for a processor by the last look.
#[derive(Debug)]
struct WatchedGateway {
    name: String,
    process: u32,
    waited: Micros,
}

/// Measures lateness until it is dropped.
#[derive(Debug)]
pub struct LatenessWatch {
    lateness: Arc<Mutex<Lateness>>,
    gateways: Arc<Mutex<Vec<WatchedGateway>>>,
    is_stopped: Arc<AtomicBool>,
    timer: JoinHandle<()>,
}

impl LatenessWatch {
    /// Starts both clocks; needs a tokio runtime.
    pub fn start() -> LatenessWatch {
        let lateness = Arc::<Mutex<Lateness>>::default();
        let gateways = Arc::<Mutex<Vec<WatchedGateway>>>::default();
        let is_stopped = Arc::<AtomicBool>::default();
        let (noted, watched, stopped) = (lateness.clone(), gateways.clone(), is_stopped.clone());
        thread::spawn(move || tick_and_look(&noted, &watched, &stopped));
        let noted = lateness.clone();
        let timer = tokio::spawn(async move {
            loop {
                let began = clock::now();
                tokio::time::sleep(TICK).await;
                note_tick(&noted, Ticker::Timer, began);
            }
        });
        LatenessWatch { lateness, gateways, is_stopped, timer }
    }

    /// Looks at this process of a gateway, too, until it has ended.
    pub fn watch_gateway(&self, name: &str, process: u32) {
        let gateway = WatchedGateway { name: name.to_string(), process, waited: 0 };
        lock(&self.gateways).push(gateway);
    }

    /// Notes that a process has begun now whose start was asked for then.
    pub fn note_start(&self, name: &str, asked_at: Micros) {
        let at = clock::now();
        let ticker = Ticker::Start(name.to_string());
        lock(&self.lateness).note(LateTick { ticker, at, late_by: at.saturating_sub(asked_at) });
    }

    /// How late it has been so far.
    pub fn so_far(&self) -> Lateness {
        lock(&self.lateness).clone()
    }
}

impl Drop for LatenessWatch {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.timer.abort();
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the thread does until it is stopped.
fn tick_and_look(lateness: &Mutex<Lateness>, gateways: &Mutex<Vec<WatchedGateway>>, is_stopped: &AtomicBool) {
    let mut ticks = 0;
    while !is_stopped.load(Ordering::Relaxed) {
        let began = clock::now();
        thread::sleep(TICK);
        note_tick(lateness, Ticker::Thread, began);
        ticks += 1;
        if ticks % TICKS_PER_LOOK == 0 {
            lock(gateways).retain_mut(|gateway| look_at(gateway, lateness));
        }
    }
}

/// Notes a tick that comes now, of a sleep that began then.
fn note_tick(lateness: &Mutex<Lateness>, ticker: Ticker, began: Micros) {
    let at = clock::now();
    let late_by = at.saturating_sub(began + TICK.as_micros() as Micros);
    lock(lateness).note(LateTick { ticker, at, late_by });
}

/// Notes how long a gateway has waited for a processor since the last look; says whether its process is still there.
fn look_at(gateway: &mut WatchedGateway, lateness: &Mutex<Lateness>) -> bool {
    let Some(waited) = processor_wait(gateway.process) else { return false };
    let late_by = waited.saturating_sub(gateway.waited);
    gateway.waited = waited;
    let ticker = Ticker::Gateway(gateway.name.clone());
    lock(lateness).note(LateTick { ticker, at: clock::now(), late_by });
    true
}

/// How long a process of one thread has waited for a processor while it could have run.
fn processor_wait(process: u32) -> Option<Micros> {
    // The kernel writes the time on a processor, the time of waiting for one, both in nanoseconds, and how often it ran.
    let figures = fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    let waited: u64 = figures.split_whitespace().nth(1)?.parse().ok()?;
    Some(waited / 1_000)
}
