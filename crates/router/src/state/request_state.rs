//! State of a request in progress and of its attempts.

use super::{sanitize, Location, ServerRecord, Stage};
use crate::api::{Action, AttemptOutcome, AttemptStatus, Millis, Request, RequestClass, ServerId};

/// Attempt of a request.
#[derive(Clone, Copy, Default)]
pub struct Attempt {
    /// Destination of the attempt.
    pub server: ServerId,
    /// Stage that the attempt executes.
    pub stage: Stage,
    /// Time of the send.
    pub sent_at: Millis,
    /// Whether the attempt has not ended.
    pub in_flight: bool,
    /// Whether the attempt was cancelled; it may still be in flight.
    pub cancelled: bool,
    /// Time of the first token of the answer; `None` before it.
    pub first_token_at: Option<Millis>,
    /// Whether the attempt completed a prefill, so that its server may be used for this stage again.
    pub succeeded: bool,
    /// Prefill work of the request, in tokens.
    pub work_tokens: f64,
}

/// Recent requests including the current one, as multiples of a request with a prompt of mean length.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentRequests {
    /// Sum over all requests at this router.
    pub total: f64,
    /// Sum over the requests with the same prefix or, if the request has none, of the same session.
    pub same_prefix: f64,
}

/// First decode attempt that may have been executed by its server.
#[derive(Clone, Copy, Debug)]
pub struct PossibleExecution {
    /// Location of the server, which determines where an idempotency key is recognised.
    pub location: Location,
    /// Time of the send, from which the idempotency window runs.
    pub sent_at: Millis,
}

/// Probe that was sent on behalf of a request.
#[derive(Clone, Copy, Debug)]
pub struct SentProbe {
    /// Server that was probed.
    pub server: ServerId,
    /// Time of the send; moved back by the probe time-out once the probe has failed.
    pub sent_at: Millis,
}

/// State of a request from its arrival until its last attempt has ended.
#[derive(Default)]
pub struct RequestState {
    /// Request as it arrived, with its token counts and its time-out clamped to the valid range.
    pub request: Request,
    /// Recent requests at the time of arrival.
    pub recent_requests: RecentRequests,
    /// Settings of the request's class.
    pub class: RequestClass,
    /// Time of arrival.
    pub arrived_at: Millis,
    /// Time at which the client gives up.
    pub deadline: Millis,
    /// Attempts, indexed by their number.
    pub attempts: Vec<Attempt>,
    /// Prefill server that holds the state under a lease; `None` if there is no state.
    pub prefilled_on: Option<ServerId>,
    /// Time at which the last attempt ended, or the time of arrival.
    pub idle_since: Millis,
    /// Start time of the lease of the state. The lease continues to run during an attempt that is not known
    /// to have reached its server.
    pub lease_since: Millis,
    /// Whether the request exceeds its tenant's quota.
    pub over_quota: bool,
    /// First decode attempt that may have been executed; `None` if there is none.
    pub possible_execution: Option<PossibleExecution>,
    /// Whether the request was answered, rejected or failed, or its client disconnected.
    pub closed: bool,
    /// Probes that were sent on behalf of the request.
    pub probes: Vec<SentProbe>,
    /// Due time of the timer for the next step. No other step timer is set before that time.
    pub step_timer_due: Millis,
}

impl RequestState {
    /// Returns whether the request is open and its answer has not begun.
    pub fn awaits_first_token(&self) -> bool {
        !self.closed && !self.is_streaming()
    }

    /// Returns the expected number of tokens in the answer, from the expected duration or else as half of the
    /// maximum.
    pub fn expected_answer_tokens(&self) -> f64 {
        let per_token = self.class.inter_token_objective;
        let duration = self.request.expected_duration.filter(|ms| *ms > 0.0 && per_token > 0.0);
        duration.map_or(self.request.max_tokens / 2.0, |ms| ms / per_token)
    }

    /// Returns the share of a server's memory that the state will use at the end of the answer.
    pub fn memory_share(&self, server: &ServerRecord) -> f64 {
        (self.request.prompt_tokens + self.expected_answer_tokens()) / server.memory_tokens
    }

    /// Returns the objective for the time from arrival to the first token.
    pub fn first_token_objective(&self) -> Millis {
        self.class.latency_objective
            + self.class.latency_objective_per_1000_tokens * self.request.prompt_tokens / 1000.0
    }

    /// Returns whether any attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight)
    }

    /// Returns whether an attempt in flight has produced its first token.
    pub fn is_streaming(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight && a.first_token_at.is_some())
    }

    /// Records the send of an attempt.
    pub fn record_send(&mut self, server: ServerId, stage: Stage, work_tokens: f64, now: Millis) {
        let sent =
            Attempt { server, stage, sent_at: now, in_flight: true, work_tokens, ..Attempt::default() };
        self.attempts.push(sent);
    }

    /// Records the first token of an attempt. Returns the attempt, or `None` if it is not in flight.
    pub fn record_first_token(&mut self, attempt: u32, now: Millis) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(attempt as usize).filter(|a| a.in_flight)?;
        attempt.first_token_at = Some(now);
        self.prefilled_on = None;
        Some(*attempt)
    }

    /// Records the end of an attempt. Returns the attempt, or `None` if it is not in flight.
    pub fn record_outcome(&mut self, outcome: &AttemptOutcome, now: Millis) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(outcome.attempt as usize).filter(|a| a.in_flight)?;
        attempt.in_flight = false;
        attempt.succeeded = outcome.status == AttemptStatus::Prefilled;
        let ended = *attempt;
        self.idle_since = now;
        if outcome.delivered {
            self.lease_since = now;
        }
        self.closed |= outcome.closed;
        if outcome.status == AttemptStatus::Prefilled {
            self.prefilled_on = Some(ended.server);
        }
        // The attempt that may have been executed is identified by its send time. The record is removed if
        // the ended attempt is the same one and was provably not executed.
        let is_possible_execution = self.possible_execution.is_some_and(|e| e.sent_at == ended.sent_at);
        if outcome.status.proves_not_run() && is_possible_execution {
            self.possible_execution = None;
        }
        Some(ended)
    }

    /// Cancels every attempt in flight that has not produced its first token.
    pub fn cancel_attempts(&mut self, actions: &mut Vec<Action>) {
        let id = self.request.id;
        for (number, attempt) in self.attempts.iter_mut().enumerate() {
            if attempt.in_flight && !attempt.cancelled && attempt.first_token_at.is_none() {
                attempt.cancelled = true;
                actions.push(Action::Cancel { id, attempt: number as u32 });
            }
        }
    }

    /// Returns whether the prefill is running, or is complete and its state waits for a decode server.
    pub fn needs_decode_server(&self) -> bool {
        if !self.awaits_first_token() {
            return false;
        }
        let waits = self.prefilled_on.is_some() && !self.has_attempt_in_flight();
        waits || self.attempts.iter().any(|a| a.in_flight && a.stage == Stage::Prefill)
    }

    /// Returns whether an attempt of this stage at this server failed or has not succeeded yet.
    pub fn has_unsuccessful_attempt_on(&self, server: ServerId, stage: Stage) -> bool {
        self.attempts.iter().any(|a| a.server == server && a.stage == stage && !a.succeeded)
    }

    /// Returns the time at which a server was probed on behalf of the request, or `None` if it was not.
    pub fn probed_at(&self, server: ServerId) -> Option<Millis> {
        self.probes.iter().find(|probe| probe.server == server).map(|probe| probe.sent_at)
    }
}

impl Request {
    /// Clamps the token counts and the client time-out to the valid range. `expected_duration` is unchanged.
    pub(crate) fn sanitize(&mut self) {
        self.prompt_tokens = sanitize(self.prompt_tokens);
        self.prefix_tokens = sanitize(self.prefix_tokens);
        self.max_tokens = sanitize(self.max_tokens);
        self.client_timeout = sanitize(self.client_timeout);
    }

    /// Returns the key for the consistent hash, which is the prefix or, if there is none, the session.
    pub(crate) fn hash_key(&self) -> u64 {
        self.prefix.unwrap_or(self.session)
    }
}

impl AttemptStatus {
    /// Returns whether the status proves that a decode attempt was not executed.
    pub(crate) fn proves_not_run(self) -> bool {
        matches!(
            self,
            AttemptStatus::Rejected
                | AttemptStatus::ConnectFailed
                | AttemptStatus::NotSent
                | AttemptStatus::Prefilled
        )
    }
}
