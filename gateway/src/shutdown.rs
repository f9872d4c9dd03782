//! Graceful shutdown: the phases of the process's shutdown, out-of-service state, and handover to a successor process.
//!
//! The durations in this module follow the platform's rules:
//!
//! - After SIGTERM new connections arrive for up to 0.4 s, so the gateway keeps accepting during [`Phase::Draining`].
//! - SIGKILL follows SIGTERM after the longest deadline (at most 3 s) plus 0.7 s, or later ([`kill_delay`]). A request that
//!   is unanswered by then is lost.
//! - A request that arrives completely more than 0.65 s after SIGTERM is rejected, because SIGKILL may follow from 0.7 s
//!   on. A request that still waits for its first token 0.4 s before SIGKILL is answered then ([`last_response_delay`]).
//! - A successor process, if there is one, accepts connections instead and receives the streams in flight
//!   ([`stream_handover_delay`]).
//!
//! [`Shutdown`] is the state that all fronts share; the daemon moves it through the phases. The clock is tokio's.
#![deny(missing_docs)]

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use crate::upgrade::transferred::{ConnectionGuard, OpenConnections, Successor};

/// Time after which a gateway that is out of service closes connections. Until then each response asks its client to close
/// the connection.
const OUT_OF_SERVICE_GRACE: Duration = Duration::from_millis(1_500);
/// Minimum time for which a newly accepted connection may still send its first request.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);
/// Time after which a gateway that is out of service rejects requests: they would still be open when all clients must have
/// disconnected.
const OUT_OF_SERVICE_REQUEST_CUTOFF: Duration = Duration::from_millis(1_800);

/// Time after SIGTERM from which requests are rejected: SIGKILL may follow from 0.7 s on, and an unanswered request would be
/// lost.
const REQUEST_CUTOFF_AFTER_SIGTERM: Duration = Duration::from_millis(650);

/// Maximum deadline that the platform takes into account for the time of SIGKILL.
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// Time from the longest deadline to SIGKILL.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Time before SIGKILL at which waiting requests are answered, so that the response still reaches the client.
const LAST_RESPONSE_BEFORE_KILL: Duration = Duration::from_millis(400);

/// Share of the time from SIGTERM to SIGKILL after which streams in flight are handed over to the successor.
const STREAM_HANDOVER_SHARE: f64 = 0.54;

/// Returns the time from SIGTERM to SIGKILL for a gateway with these deadlines.
pub fn kill_delay(deadlines: impl Iterator<Item = Duration>) -> Duration {
    let longest = deadlines.max().unwrap_or(MAX_DEADLINE_BEFORE_KILL);
    longest.min(MAX_DEADLINE_BEFORE_KILL) + KILL_GRACE
}

/// Returns the time from SIGTERM until requests without a first token are answered, because SIGKILL would lose them.
pub fn last_response_delay(kill: Duration) -> Duration {
    kill - LAST_RESPONSE_BEFORE_KILL
}

/// Returns the time from SIGTERM until streams in flight are handed over to the successor, if there is one.
pub fn stream_handover_delay(kill: Duration) -> Duration {
    kill.mul_f64(STREAM_HANDOVER_SHARE)
}

/// The phase of the process's life, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// From the start to SIGTERM.
    Serving,
    /// After SIGTERM: connections are still accepted and served.
    Draining,
    /// Connections are no longer accepted; open requests are completed.
    Closing,
}

/// The shutdown state of the process. Clones share the same state.
#[derive(Clone)]
pub struct Shutdown {
    /// The process that receives idle connections; `None` unless another process has taken over.
    successor: Rc<watch::Sender<Option<Successor>>>,
    /// When an operator took the gateway out of service; `None` while it is in service.
    out_of_service_since: Rc<watch::Sender<Option<Instant>>>,
    phase: Rc<watch::Sender<Phase>>,
    /// When the first phase after [`Phase::Serving`] was entered, on SIGTERM.
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
    /// Enters a phase. The first one after [`Phase::Serving`] starts the time to SIGKILL.
    pub fn enter(&self, phase: Phase) {
        if phase != Phase::Serving && self.signalled_at.get().is_none() {
            self.signalled_at.set(Some(Instant::now()));
        }
        self.phase.send_replace(phase);
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits for this phase or a later one.
    pub async fn wait_for_phase(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        // An error would mean that the sender was dropped, but `self` owns it.
        let _ = phases.wait_for(|current| *current >= phase).await;
    }

    /// Takes the gateway out of service, so that each response asks its client to close the connection. Idempotent.
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

    /// Whether a request that arrives now is rejected because it could not be completed in time.
    pub fn rejects_new_requests(&self) -> bool {
        let out_of_service = self
            .out_of_service_since
            .borrow()
            .is_some_and(|since| since.elapsed() > OUT_OF_SERVICE_REQUEST_CUTOFF);
        let is_past_cutoff =
            self.signalled_at.get().is_some_and(|at| at.elapsed() > REQUEST_CUTOFF_AFTER_SIGTERM);
        // A successor continues the open requests of this process.
        out_of_service || is_past_cutoff && !self.has_successor()
    }

    /// Whether each response must ask its client to close the connection.
    pub fn is_draining(&self) -> bool {
        self.is_out_of_service() || self.phase() != Phase::Serving && !self.has_successor()
    }

    /// Waits until a connection accepted at `accepted_at` must close as soon as it has no open request.
    pub async fn wait_until_connection_must_end(&self, accepted_at: Instant) {
        tokio::select! {
            () = self.closing(accepted_at) => {}
            () = self.out_of_service_grace_elapsed(accepted_at) => {}
        }
    }

    /// Waits for [`Phase::Closing`] and for the time in which a connection may send its first request: a connection closed
    /// just before that request would count as refused.
    async fn closing(&self, accepted_at: Instant) {
        self.wait_for_phase(Phase::Closing).await;
        sleep_until(accepted_at + FIRST_REQUEST_WAIT).await;
    }

    async fn out_of_service_grace_elapsed(&self, accepted_at: Instant) {
        let mut updates = self.out_of_service_since.subscribe();
        loop {
            let since = *updates.borrow_and_update();
            let due = async {
                match since {
                    Some(since) => {
                        sleep_until((since + OUT_OF_SERVICE_GRACE).max(accepted_at + FIRST_REQUEST_WAIT))
                            .await;
                    }
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => return,
                // An error would mean that the sender was dropped, but `self` owns it.
                _ = updates.changed() => {}
            }
        }
    }

    /// Sets the process that has taken over; `None` after it has ended.
    pub fn set_successor(&self, successor: Option<Successor>) {
        self.successor.send_replace(successor);
    }

    /// Whether another process has taken over.
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Subscribes to the successor and its changes.
    pub fn successor_updates(&self) -> watch::Receiver<Option<Successor>> {
        self.successor.subscribe()
    }

    /// Registers an open connection, for which [`Shutdown::drained`] waits until the guard is dropped.
    pub fn guard(&self) -> ConnectionGuard {
        self.open_connections.guard()
    }

    /// Waits until no connection is open.
    pub async fn drained(&self) {
        self.open_connections.drained().await;
    }
}
