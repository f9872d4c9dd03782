//! Checks of connections, and their results for attempts that were written earlier to the same server.
//!
//! Each check is a call without side effects. Its result applies to its own connection. If that connection was already
//! open when an attempt was written, the result applies to the attempt as well, because a failure that breaks connections
//! without an error affects all that are open at that time. [`evidence`](glenrail_request_lifecycle::evidence) decides
//! what a check proves about an attempt.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use glenrail_request_lifecycle::evidence::{CheckCall, Observation, WrittenAttempt};
use glenrail_request_lifecycle::reachability::Reachability;
use glenrail_router::ServerId;
use http::Request;
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at, Instant};

use super::connection::Connection;
use super::liveness::{Unverified, ANSWER_TIMEOUT};
use super::server_request::RequestKind;
use super::stall_tolerance::within;
use super::Engine;
use crate::exchange::CancelToken;
use crate::upstream::{CallError, Reply};

/// Time for which a response is still awaited after a check has timed out. A server that stalled for a moment answers
/// late on each of its connections.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of recent checks stored per server. Attempts look them up within the lease limit.
const MAX_CHECKS: usize = 32;

/// Time after which a pending call counts as timed out, even if its caller waits longer.
const OVERDUE_AFTER: Duration = ANSWER_TIMEOUT.saturating_mul(2);

/// Outcome of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Pending,
    /// No answer was received in time; a late one is possible.
    Silent,
    Answered,
    /// The connection has ended, which proves nothing about others.
    Broken,
}

/// A check of a connection.
#[derive(Clone)]
pub(super) struct Check {
    call: CheckCall<Instant>,
    outcome: watch::Receiver<Outcome>,
}

impl Check {
    fn outcome(&self) -> Outcome {
        match *self.outcome.borrow() {
            Outcome::Pending if self.call.sent.elapsed() >= OVERDUE_AFTER => Outcome::Silent,
            outcome => outcome,
        }
    }

    /// Waits until the check has an outcome or is overdue.
    async fn settled(mut self) {
        let overdue_at = self.call.sent + OVERDUE_AFTER;
        let outcome = self.outcome.wait_for(|outcome| *outcome != Outcome::Pending);
        // The caller reads the outcome from the list of checks.
        let _ = timeout_at(overdue_at, outcome).await;
    }

    /// Waits for a late answer. Returns false once the check has ended without one.
    async fn answers_late(mut self) -> bool {
        self.outcome.wait_for(|outcome| *outcome == Outcome::Answered).await.is_ok()
    }
}

/// A call that serves as a check, until its response has begun. If it is dropped before, it counts as timed out if it was
/// overdue, otherwise as broken.
pub(super) struct CallInFlight {
    sent: Instant,
    outcome: watch::Sender<Outcome>,
}

impl CallInFlight {
    /// Records that the response to the call has begun.
    pub fn answered(&self) {
        self.settle(Outcome::Answered);
    }

    /// Records that the connection has ended, which proves nothing about others.
    pub fn broken(&self) {
        self.settle(Outcome::Broken);
    }

    fn settle(&self, outcome: Outcome) {
        self.outcome.send_replace(outcome);
    }
}

impl Drop for CallInFlight {
    fn drop(&mut self) {
        let is_silent = self.sent.elapsed() >= OVERDUE_AFTER;
        self.outcome.send_if_modified(|outcome| {
            let is_pending = *outcome == Outcome::Pending;
            if is_pending {
                *outcome = if is_silent { Outcome::Silent } else { Outcome::Broken };
            }
            is_pending
        });
    }
}

/// Recent checks of one server's connections, the oldest first.
#[derive(Default)]
pub(super) struct RecentChecks(VecDeque<Check>);

impl RecentChecks {
    fn add(&mut self, check: Check) {
        if self.0.len() == MAX_CHECKS {
            self.0.pop_front();
        }
        self.0.push_back(check);
    }

    /// Returns the latest check with this outcome that is evidence about the attempt.
    fn find(&self, outcome: Outcome, attempt: &WrittenAttempt<Instant>) -> Option<Check> {
        let speaks_for_attempt = |check: &&Check| match outcome {
            Outcome::Silent => check.call.timeout_makes_delivery_doubtful(attempt),
            _ => check.call.response_confirms_delivery(attempt),
        };
        let with_outcome = self.0.iter().rev().filter(|check| check.outcome() == outcome);
        with_outcome.clone().find(speaks_for_attempt).cloned()
    }
}

impl Engine {
    /// Seeks confirmation that an attempt was delivered. The check uses a connection that was open when the attempt was
    /// written; if there is none, or it does not answer in time, a call on any connection verifies the server.
    pub(super) async fn confirm_delivery(
        &self, server: ServerId, cancel_token: &CancelToken,
    ) -> Result<Reply, CallError> {
        let attempt = cancel_token.written_attempt().ok_or(CallError::NotSent)?;
        loop {
            if self.find_check(server, Outcome::Answered, &attempt).is_some() {
                return Ok(Reply::Observed(Observation::ResponseOnEarlierConnection));
            }
            if let Some(check) = self.find_check(server, Outcome::Pending, &attempt) {
                check.settled().await;
                continue;
            }
            let Some(connection) = self.take_standing(server, attempt.written) else { break };
            // The receiver is dropped, so the connection returns to the pool once it has answered.
            let _ = self.start_check(server, connection);
        }
        let silent = self.find_check(server, Outcome::Silent, &attempt);
        self.verify_reachable(server).await?;
        // That call may have used a connection that was open at the write and has returned to the pool since.
        let is_shown = self.find_check(server, Outcome::Answered, &attempt).is_some();
        Ok(Reply::Observed(match silent {
            _ if is_shown => Observation::ResponseOnEarlierConnection,
            // A server that was only stalled answers late on all of its connections.
            Some(silent) if silent.clone().answers_late().await => Observation::ResponseOnEarlierConnection,
            Some(_) => Observation::TimeoutOnEarlierConnection,
            None => Observation::ResponseOnLaterConnection,
        }))
    }

    fn find_check(
        &self, server: ServerId, outcome: Outcome, attempt: &WrittenAttempt<Instant>,
    ) -> Option<Check> {
        self.0.servers.borrow().get(server)?.checks.find(outcome, attempt)
    }

    /// Starts a check of an idle connection. The receiver gets the connection once it has answered; if the receiver was
    /// dropped, the connection returns to the pool.
    pub(super) fn start_check(
        &self, server: ServerId, connection: Connection,
    ) -> Result<oneshot::Receiver<Result<Connection, Unverified>>, Unverified> {
        let (_, request) = self.check_call().map_err(|_| Unverified::Withheld)?;
        let (checked, receiver) = oneshot::channel();
        let call = self.add_check(server, &connection);
        spawn_local(self.clone().check(server, connection, request, call, checked));
        Ok(receiver)
    }

    /// Registers a call as a check of its connection. It must be one that a server answers immediately.
    pub(super) fn add_check(&self, server: ServerId, connection: &Connection) -> CallInFlight {
        let sent = Instant::now();
        let (connection_opened, last_answer) = (connection.opened, connection.last_answer);
        let (sender, outcome) = watch::channel(Outcome::Pending);
        if let Some(record) = self.0.servers.borrow_mut().get_mut(server) {
            let call = CheckCall { connection_opened, last_answer, sent };
            record.checks.add(Check { call, outcome });
        }
        CallInFlight { sent, outcome: sender }
    }

    async fn check(
        self, server: ServerId, mut connection: Connection, request: Request<Bytes>, call: CallInFlight,
        checked: oneshot::Sender<Result<Connection, Unverified>>,
    ) {
        let mut checked = Some(checked);
        let answered = {
            // The check counts as a probe here even if it is a release: a server that may not be probed gets neither.
            let answer = self.answered_on(server, &mut connection, RequestKind::Probe, request);
            tokio::pin!(answer);
            match within(ANSWER_TIMEOUT, &mut answer).await {
                Some(answered) => answered,
                None => {
                    self.record_unresponsive(server);
                    call.settle(Outcome::Silent);
                    if let Some(checked) = checked.take() {
                        let _ = checked.send(Err(Unverified::Unresponsive));
                    }
                    timeout(LATE_ANSWER_TIMEOUT, answer).await.unwrap_or(Err(Unverified::Unresponsive))
                }
            }
        };
        match answered {
            Ok(()) => {
                self.record(server, Reachability::answered);
                call.answered();
                self.give_back(server, connection, checked);
            }
            Err(unverified) => {
                if unverified != Unverified::Unresponsive {
                    call.settle(Outcome::Broken);
                }
                if let Some(checked) = checked {
                    let _ = checked.send(Err(unverified));
                }
            }
        }
    }

    /// Returns a checked connection to the requester of the check or, if that no longer waits, to the pool.
    fn give_back(
        &self, server: ServerId, connection: Connection,
        checked: Option<oneshot::Sender<Result<Connection, Unverified>>>,
    ) {
        let not_taken = match checked {
            Some(checked) => checked.send(Ok(connection)).err(),
            None => Some(Ok(connection)),
        };
        if let Some(Ok(connection)) = not_taken {
            self.add_idle(server, connection);
        }
    }
}
