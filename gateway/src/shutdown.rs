//! Graceful shutdown: the phases of the process's end, taking the gateway out of service, and its successor.
//!
//! The platform's times, which the figures here follow:
//!
//! - After SIGTERM new connections still come for up to 0.4 s, so the gateway accepts on through [`Phase::Draining`].
//! - SIGKILL follows no sooner than the longest deadline, counted as 3 s at the most, and 0.7 s after SIGTERM
//!   ([`kill_delay`]). A request that is unanswered by then is lost.
//! - What arrives complete more than 0.65 s after SIGTERM is rejected, since it may be lost from 0.7 s on; what still waits
//!   for its first token 0.4 s before the kill is answered then ([`last_response_delay`]).
//! - Where a successor serves, it accepts instead, and receives the streams in flight ([`stream_handover_delay`]).
//!
//! [`Shutdown`] is the state that all fronts share; the daemon moves it through the phases. The clock is tokio's.
#![deny(missing_docs)]

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use crate::upgrade::transferred::{ConnectionGuard, OpenConnections, Successor};

/// Out of service, the gateway closes connections after this time. Until then clients may leave by themselves, as each
/// response tells them to.
const OUT_OF_SERVICE_GRACE: Duration = Duration::from_millis(1_500);
/// A connection that is accepted late may still send a request within this time.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);
/// Out of service, a request that arrives later than this is rejected: it would still be open when the clients must have
/// left.
const OUT_OF_SERVICE_LAST_REQUEST: Duration = Duration::from_millis(1_800);

/// A request that arrives complete later than this after SIGTERM is rejected: from 0.7 s on the kill may find it
/// unanswered, which loses it.
const LAST_REQUEST_AFTER_SIGTERM: Duration = Duration::from_millis(650);

/// The platform's kill waits for the longest deadline, but counts it as this much at the most.
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// Time from that deadline to the kill.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// What still waits is answered this long before the kill, so that the answer reaches its client.
const LAST_RESPONSE_BEFORE_KILL: Duration = Duration::from_millis(400);

/// Part of the time until the kill after which streams in flight go over to the successor.
const STREAM_HANDOVER_SHARE: f64 = 0.54;

/// Time from SIGTERM to the platform's kill, for a gateway with these deadlines.
pub fn kill_delay(deadlines: impl Iterator<Item = Duration>) -> Duration {
    let longest = deadlines.max().unwrap_or(MAX_DEADLINE_BEFORE_KILL);
    longest.min(MAX_DEADLINE_BEFORE_KILL) + KILL_GRACE
}

/// Time from SIGTERM until requests that still wait for their first token are answered: the kill would lose them.
pub fn last_response_delay(kill: Duration) -> Duration {
    kill - LAST_RESPONSE_BEFORE_KILL
}

/// Time from SIGTERM until streams in flight go over to the successor, where there is one.
pub fn stream_handover_delay(kill: Duration) -> Duration {
    kill.mul_f64(STREAM_HANDOVER_SHARE)
}

/// Where the process is on its way to the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// From the start to SIGTERM.
    Serving,
    /// After SIGTERM: connections still come and are served.
    Draining,
    /// Accepting has ended; open requests are finished.
    Closing,
}

/// The state of the process's end, shared by all that act on it.
#[derive(Clone)]
pub struct Shutdown {
    /// Where idle connections go, once another process has taken over.
    successor: Rc<watch::Sender<Option<Successor>>>,
    /// Since when operators have the gateway out of service.
    out_of_service_since: Rc<watch::Sender<Option<Instant>>>,
    phase: Rc<watch::Sender<Phase>>,
    /// When SIGTERM came.
    signalled_at: Rc<Cell<Option<Instant>>>,
    open_connections: OpenConnections,
}

impl Default for Shutdown {
    fn default() -> Self {
        Shutdown {
            successor: Rc::new(watch::Sender::new(None)),
            out_of_service_since: Rc::new(watch::Sender::new(None)),
            phase: Rc::new(watch::Sender::new(Phase::Serving)),
            signalled_at: Rc::default(),
            open_connections: OpenConnections::default(),
        }
    }
}

impl Shutdown {
    /// Goes on to this phase. The first one after [`Phase::Serving`] starts the platform's times.
    pub fn enter(&self, phase: Phase) {
        if phase != Phase::Serving && self.signalled_at.get().is_none() {
            self.signalled_at.set(Some(Instant::now()));
        }
        self.phase.send_replace(phase);
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits for this phase or a later one.
    pub async fn reached(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        // An error would be the sender's end, and `self` has the sender.
        let _ = phases.wait_for(|current| *current >= phase).await;
    }

    /// Takes the gateway out of service: each response asks its client to leave. Idempotent.
    pub fn take_out_of_service(&self) {
        self.out_of_service_since
            .send_if_modified(|since| since.replace(since.unwrap_or_else(Instant::now)).is_none());
    }

    /// Puts the gateway back in service.
    pub fn return_to_service(&self) {
        self.out_of_service_since.send_replace(None);
    }

    fn is_out_of_service(&self) -> bool {
        self.out_of_service_since.borrow().is_some()
    }

    /// Whether a request that arrives now is too late to be accepted.
    pub fn rejects_new_requests(&self) -> bool {
        let out_of_service = self
            .out_of_service_since
            .borrow()
            .is_some_and(|since| since.elapsed() > OUT_OF_SERVICE_LAST_REQUEST);
        let ends = self.signalled_at.get().is_some_and(|at| at.elapsed() > LAST_REQUEST_AFTER_SIGTERM);
        // A successor goes on with what is open here.
        out_of_service || ends && !self.has_successor()
    }

    /// Whether each response should tell its client that the connection closes.
    pub fn is_draining(&self) -> bool {
        self.is_out_of_service() || self.phase() != Phase::Serving && !self.has_successor()
    }

    /// Waits until a connection accepted at this time has to close as soon as its open request has ended.
    pub async fn connection_must_end(&self, began: Instant) {
        tokio::select! {
            () = self.closing(began) => {}
            () = self.out_of_service_grace_over(began) => {}
        }
    }

    /// The last connections to be accepted are about to bring a request, which would count as refused if they closed
    /// unanswered.
    async fn closing(&self, began: Instant) {
        self.reached(Phase::Closing).await;
        sleep_until(began + FIRST_REQUEST_WAIT).await;
    }

    async fn out_of_service_grace_over(&self, began: Instant) {
        let mut updates = self.out_of_service_since.subscribe();
        loop {
            let since = *updates.borrow_and_update();
            let due = async {
                match since {
                    Some(since) => {
                        sleep_until((since + OUT_OF_SERVICE_GRACE).max(began + FIRST_REQUEST_WAIT)).await;
                    }
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => return,
                // An error would be the sender's end, and `self` has the sender.
                _ = updates.changed() => {}
            }
        }
    }

    /// Notes the process that has taken over, or that it has ended.
    pub fn set_successor(&self, successor: Option<Successor>) {
        self.successor.send_replace(successor);
    }

    /// Whether another process has taken over.
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// The successor, and each change of it.
    pub fn successor_updates(&self) -> watch::Receiver<Option<Successor>> {
        self.successor.subscribe()
    }

    /// Counts one more connection that the process waits for before it ends.
    pub fn guard(&self) -> ConnectionGuard {
        self.open_connections.guard()
    }

    /// Waits until no connection is open.
    pub async fn drained(&self) {
        self.open_connections.drained().await;
    }
}
