//! Retry policy and retry budget: decide whether another attempt may follow one that ended.
//!
//! The state is the attempts in [`RequestState`] and the retry budget of the router. The policy repeats a
//! request that may have been executed only if that is harmless. The budget limits the load that retries add
//! to an overloaded or failing fleet.

use super::Router;
use crate::api::{
    Action, AttemptOutcome, AttemptStatus, DeduplicationScope, Idempotency, Millis, RejectReason, RequestId,
    ServerEntry,
};
use crate::state::{sanitize, RequestState};

/// Number of retries that each request adds to the budget.
pub(super) const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum budget of all routers together, in retries. Each router has an equal part, but at least 1.
pub(super) const MAX_RETRY_BUDGET: f64 = 30.0;
/// Minimum cost of a retry that is not free; the maximum is 1.
const MIN_RETRY_COST: f64 = 0.1;
/// Minimum time before the deadline at which a retry is sent, in clock ticks.
const MIN_TICKS_LEFT: f64 = 3.0;

impl RequestState {
    /// Returns whether the request may be rejected. A rejection promises the client that a retry is harmless.
    pub(super) fn can_reject(&self) -> bool {
        let never_ran = self.possible_execution.is_none() && !self.has_attempt_in_flight();
        match self.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey => {
                self.class.deduplication_scope == DeduplicationScope::All || never_ran
            }
            Idempotency::NonIdempotent => never_ran,
        }
    }

    /// Returns whether another attempt may be sent, to any server.
    pub(super) fn can_retry(&self, now: Millis) -> bool {
        let Some(execution) = self.possible_execution else { return true };
        match self.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey => now < execution.sent_at + self.class.idempotency_window,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Returns whether another attempt may be sent to this server.
    pub(super) fn can_send_to(&self, server: &ServerEntry, now: Millis) -> bool {
        if !self.can_retry(now) {
            return false;
        }
        let scope = self.class.deduplication_scope;
        let recognises_key = match self.possible_execution {
            Some(execution) => scope.covers(execution.location, server.location()),
            None => true,
        };
        self.class.idempotency == Idempotency::Idempotent || recognises_key
    }
}

impl Router {
    /// Handles the end of an attempt, and advances or closes the request.
    pub(super) fn on_outcome(&mut self, outcome: AttemptOutcome, actions: &mut Vec<Action>) {
        self.record_load_report(outcome.server, outcome.report);
        let Some(request) = self.requests.get_mut(&outcome.id) else { return };
        let Some(attempt) = request.record_outcome(&outcome, self.now) else { return };
        let work_tokens = request.prefill_work(sanitize(outcome.status_detail));
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.record_attempt_end(outcome.id);
        }
        self.record_attempt_health(&outcome, &attempt, work_tokens, actions);
        if outcome.status == AttemptStatus::Prefilled {
            self.record_completion(attempt.server);
            self.record_affinity(outcome.id, attempt.server);
        }
        self.release_lost_state(&outcome, actions);
        self.retry_or_finish(outcome.id, outcome.status, actions);
    }

    /// Advances, retries, rejects or closes a request after the end of an attempt.
    fn retry_or_finish(&mut self, id: RequestId, status: AttemptStatus, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.closed {
            return self.finish(id, actions);
        }
        if request.has_attempt_in_flight() {
            return;
        }
        if status == AttemptStatus::Prefilled {
            return self.advance(id, actions);
        }
        let cost = self.retry_cost(request, status);
        if let Some(reason) = self.retry_denial_reason(request, cost) {
            return self.reject_or_fail(id, reason, actions);
        }
        self.retry_budget -= cost;
        self.advance(id, actions);
    }

    /// Returns the cost of a retry. It is the duration of the failed attempt as a share of the objective, so
    /// that quick errors do not exhaust a budget to which only a few requests contribute. A retry is free if
    /// nothing was sent, or if the attempt was cancelled before the objective had passed.
    fn retry_cost(&self, request: &RequestState, status: AttemptStatus) -> f64 {
        let objective = request.first_token_objective();
        let is_late = self.now > request.arrived_at + objective;
        match status {
            AttemptStatus::ConnectFailed | AttemptStatus::NotSent => 0.0,
            AttemptStatus::Cancelled if !is_late => 0.0,
            _ => {
                let lost_time = request.attempts.last().map_or(0.0, |attempt| self.now - attempt.sent_at);
                (lost_time / objective.max(1.0)).clamp(MIN_RETRY_COST, 1.0)
            }
        }
    }

    /// Returns the reason for which no retry may follow, or `None` if a retry is permitted.
    fn retry_denial_reason(&self, request: &RequestState, cost: f64) -> Option<RejectReason> {
        if !request.can_retry(self.now) {
            return Some(RejectReason::MayHaveRun);
        }
        if request.deadline - self.now <= MIN_TICKS_LEFT * self.settings.tick_interval {
            return Some(RejectReason::DeadlineExceeded);
        }
        (self.retry_budget < cost).then_some(RejectReason::RetryBudgetExhausted)
    }
}
