//! How late a run is by itself: how long its threads stood still and its timers were late.
//!
//! What a run records is only as exact as this. Two clocks tick through each run, one on a thread of its own, which shows
//! the machine's lateness, and one on the runtime of clients, links and kills, which shows that runtime's too.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::clock::{self, Micros, MILLISECOND};

/// How often either clock ticks.
const TICK: Duration = Duration::from_millis(1);
/// Lateness from which on a tick is kept with its time.
const NOTABLE: Micros = 10 * MILLISECOND;

/// Which clock ticked late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ticker {
    /// A thread that only sleeps.
    Thread,
    /// A timer of the runtime.
    Timer,
}

/// A tick that came late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateTick {
    pub ticker: Ticker,
    /// When it came.
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
    /// All ticks that were notably late, in order.
    pub late_ticks: Vec<LateTick>,
}

impl Lateness {
    /// Notes a tick that came then, so much later than it was due.
    pub fn note(&mut self, tick: LateTick) {
        let worst = match tick.ticker {
            Ticker::Thread => &mut self.thread_stall,
            Ticker::Timer => &mut self.timer_lateness,
        };
        *worst = tick.late_by.max(*worst);
        if tick.late_by >= NOTABLE {
            self.late_ticks.push(tick);
        }
    }

    /// Notably late ticks whose lateness falls between two moments.
    pub fn between(&self, from: Micros, until: Micros) -> Vec<LateTick> {
        let overlaps = |tick: &&LateTick| tick.at >= from && tick.at.saturating_sub(tick.late_by) <= until;
        self.late_ticks.iter().filter(overlaps).copied().collect()
    }
}

impl fmt::Display for LateTick {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.ticker {
            Ticker::Thread => "a thread stood still",
            Ticker::Timer => "a timer was late",
        };
        write!(f, "{what} for {} ms up to {} us", self.late_by / MILLISECOND, self.at)
    }
}

impl fmt::Display for Lateness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a thread stood still for {} ms at most, a timer was {} ms late at most, {} ticks were {} ms late or more",
            self.thread_stall / MILLISECOND,
            self.timer_lateness / MILLISECOND,
            self.late_ticks.len(),
            NOTABLE / MILLISECOND
        )
    }
}

/// Measures lateness until it is stopped.
#[derive(Debug)]
pub struct LatenessWatch {
    lateness: Arc<Mutex<Lateness>>,
    is_stopped: Arc<AtomicBool>,
    timer: JoinHandle<()>,
}

impl LatenessWatch {
    /// Starts both clocks; needs a tokio runtime.
    pub fn start() -> LatenessWatch {
        let lateness = Arc::<Mutex<Lateness>>::default();
        let is_stopped = Arc::<AtomicBool>::default();
        let (noted, stopped) = (lateness.clone(), is_stopped.clone());
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let began = clock::now();
                thread::sleep(TICK);
                note_tick(&noted, Ticker::Thread, began);
            }
        });
        let noted = lateness.clone();
        let timer = tokio::spawn(async move {
            loop {
                let began = clock::now();
                tokio::time::sleep(TICK).await;
                note_tick(&noted, Ticker::Timer, began);
            }
        });
        LatenessWatch { lateness, is_stopped, timer }
    }

    /// How late it has been so far.
    pub fn so_far(&self) -> Lateness {
        self.lateness.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for LatenessWatch {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.timer.abort();
    }
}

/// Notes a tick that comes now, of a sleep that began then.
fn note_tick(lateness: &Mutex<Lateness>, ticker: Ticker, began: Micros) {
    let at = clock::now();
    let late_by = at.saturating_sub(began + TICK.as_micros() as Micros);
    lateness.lock().unwrap_or_else(PoisonError::into_inner).note(LateTick { ticker, at, late_by });
}
