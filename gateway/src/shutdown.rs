//! The end of the process, in steps: serving, leaving (still accepting), closing (no new connections).

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use crate::upgrade::transferred::{ConnectionGuard, OpenConnections, Successor};

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
pub fn kill_delay(deadlines: impl Iterator<Item = Duration>) -> Duration {
    deadlines.max().unwrap_or(MOST_DEADLINE).min(MOST_DEADLINE) + GRACE
}

/// When it answers what still waits for its first token: the kill would leave it with none.
pub fn last_response_delay(kill: Duration) -> Duration {
    kill - BEFORE_KILL
}

/// How long it goes on with the streams under way where another process serves; then the other one does.
pub fn stream_handover_delay(kill: Duration) -> Duration {
    kill.mul_f64(LAST_WORDS)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// Told to end; connections still come and are served.
    Draining,
    /// Accepting has ended; what was taken is finished.
    Closing,
}

#[derive(Clone)]
pub struct Shutdown {
    /// Where connections at rest go, once another process has taken over.
    successor: Rc<watch::Sender<Option<Successor>>>,
    /// Since when the gateway is out of service, if operators took it out.
    out_of_service_since: Rc<watch::Sender<Option<Instant>>>,
    phase: Rc<watch::Sender<Phase>>,
    /// When the process was told to end.
    signalled_at: Rc<Cell<Option<Instant>>>,
    open_connections: OpenConnections,
}

impl Default for Shutdown {
    fn default() -> Self {
        let phase = Rc::new(watch::Sender::new(Phase::Serving));
        let away = Rc::new(watch::Sender::new(None));
        let heir = Rc::new(watch::Sender::new(None));
        Shutdown {
            successor: heir,
            out_of_service_since: away,
            phase,
            signalled_at: Rc::default(),
            open_connections: OpenConnections::default(),
        }
    }
}

impl Shutdown {
    pub fn enter(&self, phase: Phase) {
        if phase != Phase::Serving && self.signalled_at.get().is_none() {
            self.signalled_at.set(Some(Instant::now()));
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
    pub fn take_out_of_service(&self) {
        self.out_of_service_since
            .send_if_modified(|since| since.replace(since.unwrap_or_else(Instant::now)).is_none());
    }
    /// In service again.
    pub fn return_to_service(&self) {
        self.out_of_service_since.send_replace(None);
    }
    pub fn out_of_service_since(&self) -> bool {
        self.out_of_service_since.borrow().is_some()
    }
    /// Whether a request that has come now is too late to be taken.
    pub fn rejects_new_requests(&self) -> bool {
        let away = self.out_of_service_since.borrow().is_some_and(|since| since.elapsed() > LAST_REQUEST);
        // Where another process has taken over, it goes on with what is open here.
        let ends =
            self.signalled_at.get().is_some_and(|at| at.elapsed() > LAST_TAKEN) && !self.has_successor();
        away || ends
    }
    /// Whether each answer should tell its client that the connection ends.
    pub fn is_draining(&self) -> bool {
        self.out_of_service_since() || self.phase() != Phase::Serving && !self.has_successor()
    }
    /// Until a connection that began at this time has to end, once its open request has.
    pub async fn connection_must_end(&self, began: Instant) {
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
        let mut away = self.out_of_service_since.subscribe();
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
    pub fn set_successor(&self, heir: Option<Successor>) {
        self.successor.send_replace(heir);
    }
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }
    pub fn successor_updates(&self) -> watch::Receiver<Option<Successor>> {
        self.successor.subscribe()
    }
    pub fn guard(&self) -> ConnectionGuard {
        self.open_connections.guard()
    }
    /// Until no connection is left.
    pub async fn drained(&self) {
        self.open_connections.drained().await;
    }
}
