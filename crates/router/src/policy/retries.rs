//! Retries: whether another attempt may follow (rule 2), and the budget that it is paid from.

use super::Router;
use crate::{api::*, state::*};

/// Retries earned by a request, the most that may be saved up, and the least that one costs.
pub const RETRIES_PER_REQUEST: f64 = 0.1;
pub const MAX_RETRY_BUDGET: f64 = 30.0;
const RETRY_LEAST: f64 = 0.1;

impl RequestState {
    /// Rule 2: a refusal says that trying again is harmless.
    pub fn can_reject(&self) -> bool {
        let never_ran = self.possible_execution.is_none() && !self.has_attempt_in_flight();
        match self.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey => {
                self.class.deduplication_scope == DeduplicationScope::All || never_ran
            }
            Idempotency::NonIdempotent => never_ran,
        }
    }
    /// Rule 2: whether another attempt may go anywhere.
    pub fn can_retry(&self, now: Millis) -> bool {
        let within = |(_, _, sent)| {
            self.class.idempotency == Idempotency::IdempotencyKey
                && now < sent + self.class.idempotency_window
        };
        self.class.idempotency == Idempotency::Idempotent || self.possible_execution.is_none_or(within)
    }
    /// Rule 2: whether another attempt may go to this server.
    pub fn can_send_to(&self, to: &ServerEntry, now: Millis) -> bool {
        let in_group =
            |(zone, cell, _)| self.class.deduplication_scope.covers((zone, cell), (to.zone, to.cell));
        self.can_retry(now)
            && (self.class.idempotency == Idempotency::Idempotent
                || self.possible_execution.is_none_or(in_group))
    }
}

impl Router {
    pub(super) fn on_outcome(&mut self, o: AttemptOutcome, out: &mut Vec<Action>) {
        self.record_load_report(o.server, o.report);
        let Some(job) = self.requests.get_mut(&o.id) else { return };
        let Some(Attempt { server, stage, sent_at: sent, .. }) = job.record_outcome(&o, self.now) else {
            return;
        };
        let work = job.prefill_work(sanitize(o.note));
        if let Some(s) = self.servers.get_mut(&server) {
            s.record_attempt_end(o.id);
        }
        self.record_attempt_health(&o, stage, sent, work, out);
        if o.status == AttemptStatus::Prefilled {
            self.record_completion(server);
            self.record_affinity(o.id, server);
        }
        // The writer found no state, or has spent it; its reader may only be cut off: let go in any case.
        let no_state = o.status == AttemptStatus::Rejected && o.note >= 1.0;
        let gone =
            no_state || matches!(o.status, AttemptStatus::MalformedResponse | AttemptStatus::Undelivered);
        if gone && self.requests.get_mut(&o.id).is_some_and(|j| j.prefilled_on.take().is_some()) {
            out.push(Action::Release { id: o.id });
        }
        self.retry_or_finish(o.id, o.status, out);
    }

    fn retry_or_finish(&mut self, id: RequestId, status: AttemptStatus, out: &mut Vec<Action>) {
        let Some(job) = self.requests.get(&id) else { return };
        if job.closed {
            return self.finish(id, out);
        }
        if job.has_attempt_in_flight() {
            return;
        }
        if status == AttemptStatus::Prefilled {
            return self.advance(id, out);
        }
        let late = self.now > job.arrived_at + job.first_token_objective();
        // A retry costs what the lost attempt took: quick errors may not use up what few requests earn.
        let took = job.attempts.last().map_or(0.0, |a| self.now - a.sent_at);
        let cost = match status {
            AttemptStatus::ConnectFailed | AttemptStatus::NotSent => 0.0,
            AttemptStatus::Cancelled if !late => 0.0,
            _ => (took / job.first_token_objective().max(1.0)).clamp(RETRY_LEAST, 1.0),
        };
        let too_late = job.deadline - self.now <= 3.0 * self.settings.tick_interval;
        let hindrance = match () {
            _ if !job.can_retry(self.now) => Some(RejectReason::MayHaveRun),
            _ if too_late => Some(RejectReason::DeadlineExceeded),
            _ if self.retry_budget < cost => Some(RejectReason::RetryBudgetExhausted),
            _ => None,
        };
        if let Some(reason) = hindrance {
            return self.reject_or_fail(id, reason, out);
        }
        self.retry_budget -= cost;
        self.advance(id, out);
    }
}
