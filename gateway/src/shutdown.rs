//! The end of the process, in steps: serving, leaving (still accepting), closing (no new connections).

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use crate::upgrade::transferred::{Guard, Heir, Open};

/// Told to send its clients away, the gateway ends their connections after this time: until then they may move by
/// themselves, as each answer tells them to.
const STAY: Duration = Duration::from_millis(1_500);
/// A connection that comes later may still ask, within this time.
const ASK: Duration = Duration::from_millis(300);
/// What comes later than this would still be open when the clients must have gone.
const LAST_REQUEST: Duration = Duration::from_millis(1_800);

/// What is whole later than this after the process was told to end is refused: the platform's kill may find it
/// unanswered, which loses it from 0.7 s on.
const LAST_TAKEN: Duration = Duration::from_millis(650);

/// The platform kills a process that was told to end no sooner than the longest deadline, counted as so much at the most, and a
/// grace after it told so.
const MOST_DEADLINE: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_millis(700);
/// What still waits is answered so long before, with time to reach its client.
const BEFORE_KILL: Duration = Duration::from_millis(400);

/// Beside another process, the streams under way go over to it after this part of the time until the kill.
const LAST_WORDS: f64 = 0.54;

/// When a gateway with these deadlines is killed, from the word to end on.
pub fn kill(deadlines: impl Iterator<Item = Duration>) -> Duration {
    deadlines.max().unwrap_or(MOST_DEADLINE).min(MOST_DEADLINE) + GRACE
}

/// When it answers what still waits for its first token: the kill would leave it with none.
pub fn last_answer(kill: Duration) -> Duration {
    kill - BEFORE_KILL
}

/// How long it goes on with the streams under way where another process serves; then the other one does.
pub fn last_words(kill: Duration) -> Duration {
    kill.mul_f64(LAST_WORDS)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// Told to end; connections still come and are served.
    Leaving,
    /// Accepting has ended; what was taken is finished.
    Closing,
}

#[derive(Clone)]
pub struct Shutdown {
    /// Where connections at rest go, once another process has taken over.
    heir: Rc<watch::Sender<Option<Heir>>>,
    /// Since when the gateway is out of service, if operators took it out.
    away: Rc<watch::Sender<Option<Instant>>>,
    phase: Rc<watch::Sender<Phase>>,
    /// When the process was told to end.
    told: Rc<Cell<Option<Instant>>>,
    open: Open,
}

impl Default for Shutdown {
    fn default() -> Self {
        let phase = Rc::new(watch::Sender::new(Phase::Serving));
        let away = Rc::new(watch::Sender::new(None));
        let heir = Rc::new(watch::Sender::new(None));
        Shutdown { heir, away, phase, told: Rc::default(), open: Open::default() }
    }
}

impl Shutdown {
    pub fn enter(&self, phase: Phase) {
        if phase != Phase::Serving && self.told.get().is_none() {
            self.told.set(Some(Instant::now()));
        }
        self.phase.send_replace(phase);
    }
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }
    pub async fn reached(&self, phase: Phase) {
        let mut seen = self.phase.subscribe();
        // The sender lives as long as `self` does.
        let _ = seen.wait_for(|p| *p >= phase).await;
    }
    /// Out of service: clients are sent away. Twice is as good as once.
    pub fn send_away(&self) {
        self.away.send_if_modified(|since| since.replace(since.unwrap_or_else(Instant::now)).is_none());
    }
    /// In service again.
    pub fn take_back(&self) {
        self.away.send_replace(None);
    }
    pub fn away(&self) -> bool {
        self.away.borrow().is_some()
    }
    /// Whether a request that has come now is too late to be taken.
    pub fn too_late(&self) -> bool {
        let away = self.away.borrow().is_some_and(|since| since.elapsed() > LAST_REQUEST);
        // Where another process has taken over, it goes on with what is open here.
        let ends = self.told.get().is_some_and(|at| at.elapsed() > LAST_TAKEN) && !self.superseded();
        away || ends
    }
    /// Whether each answer should tell its client that the connection ends.
    pub fn leaving(&self) -> bool {
        self.away() || self.phase() != Phase::Serving && !self.superseded()
    }
    /// Until a connection that began at this time has to end, once its open request has.
    pub async fn over(&self, began: Instant) {
        tokio::select! {
            () = self.closing(began) => {}
            () = self.sent_away(began) => {}
        }
    }
    /// Whoever came in last is on its way with a request: closed without an answer, that one counts as refused.
    async fn closing(&self, began: Instant) {
        self.reached(Phase::Closing).await;
        sleep_until(began + ASK).await;
    }
    async fn sent_away(&self, began: Instant) {
        let mut away = self.away.subscribe();
        loop {
            let since = *away.borrow_and_update();
            let due = async {
                match since {
                    Some(since) => sleep_until((since + STAY).max(began + ASK)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => return,
                // The sender lives as long as `self` does.
                _ = away.changed() => {}
            }
        }
    }
    /// Another process has taken over, or is gone again.
    pub fn succeed(&self, heir: Option<Heir>) {
        self.heir.send_replace(heir);
    }
    pub fn superseded(&self) -> bool {
        self.heir.borrow().is_some()
    }
    pub fn heirs(&self) -> watch::Receiver<Option<Heir>> {
        self.heir.subscribe()
    }
    pub fn guard(&self) -> Guard {
        self.open.guard()
    }
    /// Until no connection is left.
    pub async fn emptied(&self) {
        self.open.emptied().await;
    }
}
