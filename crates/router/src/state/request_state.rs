//! A request in progress and its attempts.

use super::{sanitize, Location, ServerRecord, Stage};
use crate::api::{Action, AttemptOutcome, AttemptStatus, Millis, Request, RequestClass, ServerId};

/// One attempt of a request.
#[derive(Clone, Copy, Default)]
pub struct Attempt {
    /// The server that it was sent to.
    pub server: ServerId,
    /// What it is to do there.
    pub stage: Stage,
    /// When it was sent.
    pub sent_at: Millis,
    /// It has not come to its end.
    pub in_flight: bool,
    /// It has been cancelled, and may still be in flight.
    pub cancelled: bool,
    /// When the first token of its answer came.
    pub first_token_at: Option<Millis>,
    /// It ended as intended, so that its server may be used for the same stage again.
    pub succeeded: bool,
    /// Its work, in tokens.
    pub work_tokens: f64,
}

/// How many requests of late, this one included, in usual requests of the mean prompt length.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentRequests {
    /// All requests of this router.
    pub total: f64,
    /// Those with the same prefix, or else of the same session.
    pub same_prefix: f64,
}

/// The first attempt that may have taken effect at a decode server.
#[derive(Clone, Copy, Debug)]
pub struct PossibleExecution {
    /// Where its server stands, for the scope of idempotency keys.
    pub location: Location,
    /// When it was sent, for the time to live of idempotency keys.
    pub sent_at: Millis,
}

/// A probe that was sent on behalf of a request.
#[derive(Clone, Copy, Debug)]
pub struct SentProbe {
    /// The server that was probed.
    pub server: ServerId,
    /// When; moved back past the time-out once the probe has failed.
    pub sent_at: Millis,
}

/// A request from its arrival until its last attempt has ended.
#[derive(Default)]
pub struct RequestState {
    /// The request as it came, with its figures sanitized.
    pub request: Request,
    /// How many requests had come of late when it arrived.
    pub recent_requests: RecentRequests,
    /// Its class.
    pub class: RequestClass,
    /// When it arrived.
    pub arrived_at: Millis,
    /// When its client gives up.
    pub deadline: Millis,
    /// Its attempts, by number.
    pub attempts: Vec<Attempt>,
    /// The prefill server that holds its state under a lease.
    pub prefilled_on: Option<ServerId>,
    /// When its last attempt ended, or when it arrived.
    pub idle_since: Millis,
    /// Since when the lease of its state has run. It also runs during an attempt that is not known to have
    /// reached its server.
    pub lease_since: Millis,
    /// It is beyond its tenant's quota.
    pub over_quota: bool,
    /// The first attempt that may have had an effect.
    pub possible_execution: Option<PossibleExecution>,
    /// It has been answered, rejected or abandoned.
    pub closed: bool,
    /// Probes sent on its behalf.
    pub probes: Vec<SentProbe>,
    /// When the timer for its next step is due. No second one is set before.
    pub step_timer_due: Millis,
}

impl RequestState {
    /// Whether its answer has not begun and can still come.
    pub fn awaits_first_token(&self) -> bool {
        !self.closed && !self.is_streaming()
    }

    /// Length that its answer is expected to have, in tokens: by the expected duration, or else half of the
    /// most.
    pub fn expected_answer_tokens(&self) -> f64 {
        let per_token = self.class.inter_token_objective;
        let duration = self.request.expected_duration.filter(|ms| *ms > 0.0 && per_token > 0.0);
        duration.map_or(self.request.max_tokens / 2.0, |ms| ms / per_token)
    }

    /// Share of a server's memory that its state will use at the end of its answer.
    pub fn memory_share(&self, server: &ServerRecord) -> f64 {
        (self.request.prompt_tokens + self.expected_answer_tokens()) / server.memory_tokens
    }

    /// Objective for the time from its arrival to the first token.
    pub fn first_token_objective(&self) -> Millis {
        self.class.latency_objective
            + self.class.latency_objective_per_1000_tokens * self.request.prompt_tokens / 1000.0
    }

    /// Whether any attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight)
    }

    /// Whether the answer of an attempt in flight has begun.
    pub fn is_streaming(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight && a.first_token_at.is_some())
    }

    /// Notes that an attempt is sent.
    pub fn record_send(&mut self, server: ServerId, stage: Stage, work_tokens: f64, now: Millis) {
        let sent =
            Attempt { server, stage, sent_at: now, in_flight: true, work_tokens, ..Attempt::default() };
        self.attempts.push(sent);
    }

    /// Notes the first token of an attempt. Returns the attempt, unless there is no such one in flight.
    pub fn record_first_token(&mut self, attempt: u32, now: Millis) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(attempt as usize).filter(|a| a.in_flight)?;
        attempt.first_token_at = Some(now);
        self.prefilled_on = None;
        Some(*attempt)
    }

    /// Notes the end of an attempt. Returns the attempt, unless there is no such one in flight.
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
        // The send time tells which attempt may have had the effect. One that provably did not run had none.
        let is_possible_execution = self.possible_execution.is_some_and(|e| e.sent_at == ended.sent_at);
        if outcome.status.proves_not_run() && is_possible_execution {
            self.possible_execution = None;
        }
        Some(ended)
    }

    /// Cancels every attempt in flight whose answer has not begun.
    pub fn cancel_attempts(&mut self, actions: &mut Vec<Action>) {
        let id = self.request.id;
        for (number, attempt) in self.attempts.iter_mut().enumerate() {
            if attempt.in_flight && !attempt.cancelled && attempt.first_token_at.is_none() {
                attempt.cancelled = true;
                actions.push(Action::Cancel { id, attempt: number as u32 });
            }
        }
    }

    /// Whether its prefill runs, or is done and waits for a decode server.
    pub fn needs_decode_server(&self) -> bool {
        if !self.awaits_first_token() {
            return false;
        }
        let waits = self.prefilled_on.is_some() && !self.has_attempt_in_flight();
        waits || self.attempts.iter().any(|a| a.in_flight && a.stage == Stage::Prefill)
    }

    /// Whether an attempt of this stage at this server has not succeeded, or not yet.
    pub fn has_failed_on(&self, server: ServerId, stage: Stage) -> bool {
        self.attempts.iter().any(|a| a.server == server && a.stage == stage && !a.succeeded)
    }

    /// When a server was probed on its behalf.
    pub fn probed_at(&self, server: ServerId) -> Option<Millis> {
        self.probes.iter().find(|probe| probe.server == server).map(|probe| probe.sent_at)
    }
}

impl Request {
    /// Forces its figures into the range in which they can mean something.
    pub(crate) fn sanitize(&mut self) {
        self.prompt_tokens = sanitize(self.prompt_tokens);
        self.prefix_tokens = sanitize(self.prefix_tokens);
        self.max_tokens = sanitize(self.max_tokens);
        self.client_timeout = sanitize(self.client_timeout);
    }

    /// What it is hashed by when the prefix table knows no server for it: its prefix, or else its session.
    pub(crate) fn hash_key(&self) -> u64 {
        self.prefix.unwrap_or(self.session)
    }
}

impl AttemptStatus {
    /// Whether it proves that a decode attempt had no effect.
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
