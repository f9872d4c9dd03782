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
use super::liveness::{VerificationError, ANSWER_TIMEOUT};
use super::server_request::RequestKind;
use super::stall_tolerance::timeout_allowing_stalls;
use super::Engine;
use crate::exchange::CancelToken;
use crate::upstream::{CallError, Reply};

/// Time for which a response is still awaited after a check has timed out. A server that stalled for a moment answers
/// late on each of its connections.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of recent checks stored per server. Attempts need only those from within the time limit of
/// a lease.
const MAX_CHECKS: usize = 32;

/// Time after which a pending call counts as timed out, even if its caller waits longer.
const OVERDUE_AFTER: Duration = ANSWER_TIMEOUT.saturating_mul(2);

/// State or result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckOutcome {
    Pending,
    /// No answer was received in time; a late one is possible.
    TimedOut,
    Answered,
    /// The connection has ended, which proves nothing about others.
    Broken,
}

/// A check of a connection.
#[derive(Clone)]
pub(super) struct Check {
    call: CheckCall<Instant>,
    outcome: watch::Receiver<CheckOutcome>,
}

impl Check {
    fn outcome(&self) -> CheckOutcome {
        match *self.outcome.borrow() {
            CheckOutcome::Pending if self.call.sent.elapsed() >= OVERDUE_AFTER => CheckOutcome::TimedOut,
            outcome => outcome,
        }
    }

    /// Waits until the check has an outcome or is overdue.
    async fn wait_for_outcome(mut self) {
        let overdue_at = self.call.sent + OVERDUE_AFTER;
        let outcome = self.outcome.wait_for(|outcome| *outcome != CheckOutcome::Pending);
        // The caller reads the outcome from the list of checks.
        let _ = timeout_at(overdue_at, outcome).await;
    }

    /// Waits for a late answer. Returns false once the check has ended without one.
    async fn answers_late(mut self) -> bool {
        self.outcome.wait_for(|outcome| *outcome == CheckOutcome::Answered).await.is_ok()
    }
}

/// A call that serves as a check, until its response has begun. If it is dropped before, it counts as timed out if it was
/// overdue, otherwise as broken.
pub(super) struct PendingCheck {
    sent: Instant,
    outcome: watch::Sender<CheckOutcome>,
}

impl PendingCheck {
    /// Records that the response to the call has begun.
    pub fn mark_answered(&self) {
        self.set_outcome(CheckOutcome::Answered);
    }

    /// Records that the connection has ended, which proves nothing about others.
    pub fn mark_broken(&self) {
        self.set_outcome(CheckOutcome::Broken);
    }

    fn set_outcome(&self, outcome: CheckOutcome) {
        self.outcome.send_replace(outcome);
    }
}

impl Drop for PendingCheck {
    fn drop(&mut self) {
        let is_overdue = self.sent.elapsed() >= OVERDUE_AFTER;
        self.outcome.send_if_modified(|outcome| {
            let is_pending = *outcome == CheckOutcome::Pending;
            if is_pending {
                *outcome = if is_overdue { CheckOutcome::TimedOut } else { CheckOutcome::Broken };
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
    fn find(&self, outcome: CheckOutcome, attempt: &WrittenAttempt<Instant>) -> Option<Check> {
        let is_evidence = |check: &&Check| match outcome {
            CheckOutcome::TimedOut => check.call.timeout_makes_delivery_doubtful(attempt),
            _ => check.call.response_confirms_delivery(attempt),
        };
        let with_outcome = self.0.iter().rev().filter(|check| check.outcome() == outcome);
        with_outcome.clone().find(is_evidence).cloned()
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
            if self.find_check(server, CheckOutcome::Answered, &attempt).is_some() {
                return Ok(Reply::DeliveryObserved(Observation::ResponseOnEarlierConnection));
            }
            if let Some(check) = self.find_check(server, CheckOutcome::Pending, &attempt) {
                check.wait_for_outcome().await;
                continue;
            }
            let Some(connection) = self.take_idle_opened_before(server, attempt.written) else { break };
            // The receiver is dropped, so the connection returns to the pool once it has answered.
            let _ = self.start_check(server, connection);
        }
        let overdue = self.find_check(server, CheckOutcome::TimedOut, &attempt);
        self.verify_reachable(server).await?;
        // That call may have used a connection that was open at the write and has returned to the pool since.
        let is_confirmed = self.find_check(server, CheckOutcome::Answered, &attempt).is_some();
        Ok(Reply::DeliveryObserved(match overdue {
            _ if is_confirmed => Observation::ResponseOnEarlierConnection,
            // A server that was only stalled answers late on all of its connections.
            Some(overdue) if overdue.clone().answers_late().await => Observation::ResponseOnEarlierConnection,
            Some(_) => Observation::TimeoutOnEarlierConnection,
            None => Observation::ResponseOnLaterConnection,
        }))
    }

    fn find_check(
        &self, server: ServerId, outcome: CheckOutcome, attempt: &WrittenAttempt<Instant>,
    ) -> Option<Check> {
        self.0.servers.borrow().get(server)?.checks.find(outcome, attempt)
    }

    /// Starts a check of an idle connection. The receiver gets the connection once it has answered; if the receiver was
    /// dropped, the connection returns to the pool.
    pub(super) fn start_check(
        &self, server: ServerId, connection: Connection,
    ) -> Result<oneshot::Receiver<Result<Connection, VerificationError>>, VerificationError> {
        let (_, request) = self.check_call().map_err(|_| VerificationError::Withheld)?;
        let (checked, receiver) = oneshot::channel();
        let call = self.register_check(server, &connection);
        spawn_local(self.clone().check(server, connection, request, call, checked));
        Ok(receiver)
    }

    /// Registers a call as a check of its connection. It must be one that a server answers immediately.
    pub(super) fn register_check(&self, server: ServerId, connection: &Connection) -> PendingCheck {
        let sent = Instant::now();
        let (connection_opened, last_answer) = (connection.opened, connection.last_answer);
        let (sender, outcome) = watch::channel(CheckOutcome::Pending);
        if let Some(record) = self.0.servers.borrow_mut().get_mut(server) {
            let call = CheckCall { connection_opened, last_answer, sent };
            record.checks.add(Check { call, outcome });
        }
        PendingCheck { sent, outcome: sender }
    }

    async fn check(
        self, server: ServerId, mut connection: Connection, request: Request<Bytes>, call: PendingCheck,
        checked: oneshot::Sender<Result<Connection, VerificationError>>,
    ) {
        let mut checked = Some(checked);
        let answered = {
            // The conditions of a probe apply even if the check is a release: a server that is no longer
            // listed at this address receives neither.
            let answer = self.send_check_call(server, &mut connection, RequestKind::Probe, request);
            tokio::pin!(answer);
            match timeout_allowing_stalls(ANSWER_TIMEOUT, &mut answer).await {
                Some(answered) => answered,
                None => {
                    self.record_unresponsive(server);
                    call.set_outcome(CheckOutcome::TimedOut);
                    if let Some(checked) = checked.take() {
                        let _ = checked.send(Err(VerificationError::Unresponsive));
                    }
                    timeout(LATE_ANSWER_TIMEOUT, answer).await.unwrap_or(Err(VerificationError::Unresponsive))
                }
            }
        };
        match answered {
            Ok(()) => {
                self.record_reachability(server, Reachability::answered);
                call.mark_answered();
                self.return_connection(server, connection, checked);
            }
            Err(error) => {
                if error != VerificationError::Unresponsive {
                    call.set_outcome(CheckOutcome::Broken);
                }
                if let Some(checked) = checked {
                    let _ = checked.send(Err(error));
                }
            }
        }
    }

    /// Returns a checked connection to the requester of the check or, if that no longer waits, to the pool.
    fn return_connection(
        &self, server: ServerId, connection: Connection,
        checked: Option<oneshot::Sender<Result<Connection, VerificationError>>>,
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
