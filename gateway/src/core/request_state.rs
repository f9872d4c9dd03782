//! State of one request and of its attempts, kept by the core beside the request's state machine.

use std::rc::Rc;
use std::time::Duration;

use glenrail_request_lifecycle::request::{Attempt, Request as Machine, ResponseState, RetrySafety};
use glenrail_router::{LoadReport, Millis};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::time::delay_queue::Key;

use super::clock::millis;
use super::request_record::RecordBuilder;
use super::timers::TimerPurpose;
use super::timing::{DELIVERY_CHECK_SHARE, LATEST_DELIVERY_CHECK_SHARE, LATEST_WRITE_SHARE};
use crate::exchange::{CancelToken, Payload, ResponsePart};
use crate::log;
use crate::request_ids::RequestIdHold;

/// The call of one attempt, created when the router orders the attempt, even if the state machine never starts it.
pub(super) struct AttemptCall {
    /// When the router ordered the attempt.
    pub ordered_at: Instant,
    /// When the attempt times out.
    pub deadline: Instant,
    /// Token shared with the connection, which records in it when the first byte was written and whether the
    /// server has stopped working on the attempt.
    pub cancel_token: CancelToken,
    /// Cancels the attempt when dropped; `None` before the attempt starts and after it was cancelled.
    pub cancel: Option<oneshot::Sender<()>>,
    /// The server's report, sent with its reply.
    pub report: ServerReport,
}

/// Figures that a server reports with its reply.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServerReport {
    /// The [`status_detail`](glenrail_router::AttemptOutcome::status_detail) of the attempt's outcome: the number of prompt
    /// tokens found in the cache, or 1.0 if the server rejected an attempt because it does not have the state to be claimed.
    pub status_detail: f64,
    pub load: Option<LoadReport>,
}

impl AttemptCall {
    pub fn new(ordered_at: Instant, deadline: Instant) -> Self {
        let (cancel_token, report) = (CancelToken::default(), ServerReport::default());
        AttemptCall { ordered_at, deadline, cancel_token, cancel: None, report }
    }

    /// Returns the milliseconds since the router ordered the attempt.
    pub fn elapsed(&self) -> Millis {
        millis(self.ordered_at.elapsed())
    }
}

/// A request's state machine and everything else that the core stores for the request.
pub(super) struct RequestState {
    pub machine: Machine,
    pub payload: Rc<Payload>,
    /// Keeps the request's id in use until the request has finished.
    pub id_hold: RequestIdHold,
    /// The channel to the client; `None` once the response has ended.
    pub response: Option<mpsc::Sender<ResponsePart>>,
    /// The task that waits for the client to disconnect.
    pub disconnect_watch: AbortHandle,
    pub deadline: Instant,
    /// One call for each attempt of the state machine, in the same order.
    pub calls: Vec<AttemptCall>,
    /// When the request's lease became unclaimed; before there is a lease, when the request arrived. An
    /// attempt claims the lease only once its delivery is confirmed.
    pub unclaimed_since: Instant,
    /// The task that requests a slot reservation; `None` while no such call is in flight.
    pub slot_request: Option<AbortHandle>,
    /// `Retry-After` of a rejection, set by the router.
    pub retry_after: Duration,
    /// Time for which the request may be retried, counted from when the router ordered the first attempt that
    /// may have run; `None` for a class without idempotency keys.
    pub idempotency_window: Option<Duration>,
    /// Whether a retry is safe even if the request has already run.
    pub is_idempotent: bool,
    /// Armed timers that belong to the request, each with its key in the queue.
    pub timers: Vec<(TimerPurpose, Key)>,
    pub record: RecordBuilder,
    /// Whether the access-log line of the request has been written.
    pub is_recorded: bool,
}

impl RequestState {
    /// Whether the request may be rejected. A rejection states to the client that a retry is safe.
    pub fn may_reject(&self) -> bool {
        self.is_idempotent || !self.machine.may_have_run()
    }

    /// Whether the client has left without a complete response to a request that may not be repeated and that a server has
    /// received in part or completely.
    pub fn may_run_again_unnoticed(&self) -> bool {
        let is_at_most_once = self.machine.policy().retry_safety == RetrySafety::AtMostOnce;
        let is_sent = self.calls.iter().any(|call| call.cancel_token.is_written());
        is_at_most_once && is_sent && self.machine.response() == ResponseState::Abandoned
    }

    /// Writes the request's line to the access log.
    pub fn write_record(&self, now: Millis) {
        let record = self.record.clone().finish(&self.machine, now);
        log!("{}{record}", glenrail_access_log::LINE_PREFIX);
    }

    /// Drops the part of the payload that only a further attempt would send; the request id stays, as releases need it.
    pub fn discard_content(&mut self) {
        let request_id = self.payload.request_id.clone();
        self.payload = Rc::new(Payload { request_id, ..Payload::default() });
    }

    /// Returns the latest time at which a retry may be written; `None` if no attempt may have run yet or no window is set.
    pub fn retry_deadline(&self) -> Option<Instant> {
        let first = self.machine.attempts().iter().position(Attempt::may_have_run)?;
        Some(self.calls[first].ordered_at + self.idempotency_window?)
    }

    /// Returns when to check the delivery of an attempt written at `written` for the first time. The check comes earlier if
    /// the request's lease has already been unclaimed for some time.
    pub fn delivery_check_at(&self, written: Instant, lease_limit: Duration) -> Instant {
        let usual = written + lease_limit.mul_f64(DELIVERY_CHECK_SHARE);
        let latest = self.unclaimed_since + lease_limit.mul_f64(LATEST_DELIVERY_CHECK_SHARE);
        usual.min(latest).max(written)
    }

    /// Returns the latest time at which an attempt that claims a lease may be written, which leaves time to confirm its
    /// delivery; `None` without a lease.
    pub fn lease_write_deadline(&self, lease_limit: Duration) -> Option<Instant> {
        self.machine.has_reservation().then(|| self.unclaimed_since + lease_limit.mul_f64(LATEST_WRITE_SHARE))
    }
}
