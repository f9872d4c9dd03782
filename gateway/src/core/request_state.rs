//! What the core stores of one request and of its attempts besides the request's state machine.

use std::rc::Rc;
use std::time::Duration;

use glenrail_request_lifecycle::request::{Attempt, Request as Machine};
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

/// The call of one attempt, from the router's order on; attempts that the machine never starts have one too.
pub(super) struct AttemptCall {
    /// When the router ordered it.
    pub ordered_at: Instant,
    /// When it times out.
    pub deadline: Instant,
    /// Says when its first byte was written.
    pub cancel_token: CancelToken,
    /// Dropping this cancels the attempt.
    pub cancel: Option<oneshot::Sender<()>>,
    /// What its server reported besides the reply.
    pub report: ServerReport,
}

/// What a server reported besides its reply.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServerReport {
    /// The [`status_detail`](glenrail_router::AttemptOutcome::status_detail) of the attempt's outcome: tokens found in the
    /// cache, or 1.0 if the server rejected an attempt since the state that it claimed is not there.
    pub note: f64,
    pub load: Option<LoadReport>,
}

impl AttemptCall {
    pub fn new(ordered_at: Instant, deadline: Instant) -> Self {
        let (cancel_token, report) = (CancelToken::default(), ServerReport::default());
        AttemptCall { ordered_at, deadline, cancel_token, cancel: None, report }
    }

    /// Milliseconds since the router ordered the attempt.
    pub fn elapsed(&self) -> Millis {
        millis(self.ordered_at.elapsed())
    }
}

/// What the core stores of one request besides its machine.
pub(super) struct RequestState {
    pub machine: Machine,
    pub payload: Rc<Payload>,
    /// The way to the client; `None` once the client is owed nothing more.
    pub response: Option<mpsc::Sender<ResponsePart>>,
    /// Waits for the client's disconnection.
    pub disconnect_watch: AbortHandle,
    pub deadline: Instant,
    /// One for each attempt of the machine, in the same order.
    pub calls: Vec<AttemptCall>,
    /// Since when the request's lease waits for an attempt to claim it; an attempt that is not known to have been delivered
    /// does not stop that time.
    pub unclaimed_since: Instant,
    /// The call that asks for a slot, while it is in flight.
    pub slot_request: Option<AbortHandle>,
    /// The Retry-After of a rejection.
    pub retry_after: Duration,
    /// For so long after the first attempt that may have run the request may be retried; `None`: without limit, or never.
    pub idempotency_window: Option<Duration>,
    /// Whether retrying is harmless whatever became of the request.
    pub is_idempotent: bool,
    /// The armed timers that belong to the request.
    pub timers: Vec<(TimerPurpose, Key)>,
    pub record: RecordBuilder,
    /// Whether its line in the access log is written.
    pub is_recorded: bool,
}

impl RequestState {
    /// Whether the request may be rejected, which tells the client that trying again is harmless.
    pub fn may_reject(&self) -> bool {
        self.is_idempotent || !self.machine.may_have_run()
    }

    /// Writes the request's line to the access log.
    pub fn write_record(&self, now: Millis) {
        let record = self.record.clone().finish(&self.machine, now);
        log!("{}{record}", glenrail_access_log::LINE_PREFIX);
    }

    /// Forgets what only a further attempt would send.
    pub fn forget_content(&mut self) {
        let request_id = self.payload.request_id.clone();
        self.payload = Rc::new(Payload { request_id, ..Payload::default() });
    }

    /// Until when a further attempt may be written, once one may have run.
    pub fn retry_deadline(&self) -> Option<Instant> {
        let first = self.machine.attempts().iter().position(Attempt::may_have_run)?;
        Some(self.calls[first].ordered_at + self.idempotency_window?)
    }

    /// When the delivery of an attempt that was written at `written` is first checked; a lease may not wait for long.
    pub fn delivery_check_at(&self, written: Instant, lease_limit: Duration) -> Instant {
        let usual = written + lease_limit.mul_f64(DELIVERY_CHECK_SHARE);
        let latest = self.unclaimed_since + lease_limit.mul_f64(LATEST_DELIVERY_CHECK_SHARE);
        usual.min(latest).max(written)
    }

    /// By when an attempt that claims a lease must be written, so that there is time to check its delivery; `None` without
    /// a lease.
    pub fn lease_write_deadline(&self, lease_limit: Duration) -> Option<Instant> {
        self.machine.has_reservation().then(|| self.unclaimed_since + lease_limit.mul_f64(LATEST_WRITE_SHARE))
    }
}
