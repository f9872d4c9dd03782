//! The access-log record of one request: every attempt, its outcome and its server's report.
//!
//! The record carries the request's id, so a request can be traced through every gateway that handled it. It is written once
//! nothing of the request is in flight except confirmations of closed connections.

use glenrail_access_log::{AttemptRecord, Release, RequestOutcome, RequestRecord, Stage as RecordStage};
use glenrail_request_lifecycle::request::{
    AttemptState, FinalResponse, Request as Machine, ResponseState, Stage, Status,
};
use glenrail_router::{AttemptOutcome, Idempotency, Millis, RejectReason, Request, Settings};

/// Builds the record of one open request. All times are in milliseconds of the core's clock.
#[derive(Clone)]
pub(super) struct RecordBuilder {
    record: RequestRecord,
    arrived: Millis,
}

/// The fields of an attempt that are known when it starts.
pub(super) struct AttemptStart {
    pub server: u64,
    pub stage: Stage,
    /// The server's zone and its cell in that zone; `None` if the server is not listed.
    pub location: Option<(u32, u32)>,
    /// Whether the server is in its slow-start window.
    pub is_slow_start: bool,
    pub at: Millis,
}

impl RecordBuilder {
    /// Creates the record of a request that arrived at `arrived`; `arrived_unix_ms` is the same moment in Unix milliseconds.
    pub fn new(
        request: &Request, name: &str, settings: &Settings, arrived: Millis, arrived_unix_ms: Millis,
    ) -> Self {
        let class = settings.classes.get(request.class as usize).cloned().unwrap_or_default();
        let record = RequestRecord {
            id: name.into(),
            class: request.class,
            at_most_once: class.idempotency != Idempotency::Idempotent,
            tenant: request.tenant,
            session: request.session,
            prefix: request.prefix,
            prompt_tokens: request.prompt_tokens,
            prefix_tokens: request.prefix_tokens,
            arrived_unix_ms: arrived_unix_ms.round(),
            latency_objective_ms: class.latency_objective
                + class.latency_objective_per_1000_tokens * request.prompt_tokens / 1000.0,
            priority_weight: class.priority_weight,
            ..RequestRecord::default()
        };
        RecordBuilder { record, arrived }
    }

    /// Appends an attempt to the record.
    pub fn attempt_started(&mut self, start: AttemptStart) {
        let stage = if start.stage == Stage::Prefill { RecordStage::Prefill } else { RecordStage::Execute };
        self.record.attempts.push(AttemptRecord {
            server: format!("{:x}", start.server),
            stage,
            location: start.location,
            sent_ms: start.at - self.arrived,
            slow_start: start.is_slow_start,
            ..AttemptRecord::default()
        });
    }

    /// Records the arrival of the first event of an attempt's response.
    pub fn first_token(&mut self, attempt: usize, now: Millis) {
        if let Some(attempt) = self.record.attempts.get_mut(attempt) {
            attempt.first_token_ms = Some(now - self.arrived);
        }
    }

    /// Records the outcome of an attempt and its server's load report.
    pub fn attempt_ended(&mut self, outcome: &AttemptOutcome, now: Millis) {
        let Some(attempt) = self.record.attempts.get_mut(outcome.attempt as usize) else { return };
        attempt.ended_ms = now - self.arrived;
        attempt.outcome = outcome.status.log_label().to_string();
        attempt.cached_tokens = outcome.status_detail;
        attempt.in_flight = outcome.report.and_then(|report| report.in_flight);
        attempt.memory_share = outcome.report.and_then(|report| report.memory_share);
    }

    /// Records when the first byte of an attempt was written.
    pub fn first_byte_written(&mut self, attempt: usize, at: Millis) {
        if let Some(attempt) = self.record.attempts.get_mut(attempt) {
            attempt.written_ms = Some(at - self.arrived);
        }
    }

    /// Records when the delivery of an attempt was confirmed.
    pub fn delivered(&mut self, attempt: usize, now: Millis) {
        if let Some(attempt) = self.record.attempts.get_mut(attempt) {
            attempt.delivered_ms = Some(now - self.arrived);
        }
    }

    /// Records the start of the release of a lease that no attempt has claimed since `unclaimed_since`.
    pub fn release_started(&mut self, unclaimed_since: Millis, now: Millis) {
        let (unclaimed, ordered_ms) = (unclaimed_since - self.arrived, now - self.arrived);
        self.record.releases.push(Release { unclaimed_since_ms: unclaimed, ordered_ms, done_ms: None });
    }

    /// Records the end of the release that was started last.
    pub fn release_finished(&mut self, now: Millis) {
        if let Some(release) = self.record.releases.last_mut() {
            release.done_ms = Some(now - self.arrived);
        }
    }

    /// Records why the router rejects or fails the request; only the first reason is kept.
    pub fn reject_reason(&mut self, reason: RejectReason) {
        if self.record.reject_reason.is_empty() {
            self.record.reject_reason = reason.log_label().to_string();
        }
    }

    /// Records when the client's response ended; only the first call has an effect.
    pub fn client_answered(&mut self, now: Millis) {
        if self.record.duration_ms == 0.0 {
            self.record.duration_ms = now - self.arrived;
        }
    }

    /// Returns the complete record of a request that has finished or only awaits close confirmations.
    pub fn finish(mut self, machine: &Machine, now: Millis) -> RequestRecord {
        self.client_answered(now);
        self.record.outcome = outcome(machine);
        self.record
    }
}

/// Returns the outcome of a request as its client saw it.
fn outcome(machine: &Machine) -> RequestOutcome {
    let is_served =
        || machine.attempts().iter().any(|attempt| attempt.state == AttemptState::Ended(Status::Served));
    match machine.response() {
        ResponseState::Final(FinalResponse::Rejected) => RequestOutcome::Rejected,
        ResponseState::Final(_) => RequestOutcome::Failed,
        ResponseState::Abandoned => RequestOutcome::ClientDisconnected,
        ResponseState::StreamEnded | ResponseState::Pending | ResponseState::Streaming if is_served() => {
            RequestOutcome::Served
        }
        ResponseState::StreamEnded | ResponseState::Pending | ResponseState::Streaming => {
            RequestOutcome::StreamBroken
        }
    }
}
