//! Retries: whether another attempt may follow (rule 2), and the budget that it is paid from.

use super::Router;
use crate::{api::*, state::*};

/// Retries earned by a request, the most that may be saved up, and the least that one costs.
pub const RETRY_EARN: f64 = 0.1;
pub const RETRY_SAVED: f64 = 30.0;
const RETRY_LEAST: f64 = 0.1;

impl Job {
    /// Rule 2: a refusal says that trying again is harmless.
    pub fn may_refuse(&self) -> bool {
        let never_ran = self.ran.is_none() && !self.any_out();
        match self.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey => {
                self.class.deduplication_scope == DeduplicationScope::All || never_ran
            }
            Idempotency::NonIdempotent => never_ran,
        }
    }
    /// Rule 2: whether another attempt may go anywhere.
    pub fn may_repeat(&self, now: Millis) -> bool {
        let within = |(_, _, sent)| {
            self.class.idempotency == Idempotency::IdempotencyKey
                && now < sent + self.class.idempotency_window
        };
        self.class.idempotency == Idempotency::Idempotent || self.ran.is_none_or(within)
    }
    /// Rule 2: whether another attempt may go to this server.
    pub fn may_send(&self, to: &ServerEntry, now: Millis) -> bool {
        let in_group =
            |(zone, cell, _)| self.class.deduplication_scope.holds((zone, cell), (to.zone, to.cell));
        self.may_repeat(now)
            && (self.class.idempotency == Idempotency::Idempotent || self.ran.is_none_or(in_group))
    }
}

impl Router {
    pub(super) fn on_outcome(&mut self, o: AttemptOutcome, out: &mut Vec<Action>) {
        self.learn_report(o.server, o.report);
        let Some(job) = self.jobs.get_mut(&o.id) else { return };
        let Some(Attempt { server, stage, sent, .. }) = job.end(&o, self.now) else { return };
        let work = job.work(sane(o.note));
        if let Some(s) = self.servers.get_mut(&server) {
            s.let_go(o.id);
        }
        self.judge(&o, stage, sent, work, out);
        if o.status == AttemptStatus::Prefilled {
            self.note_success(server);
            self.learn(o.id, server);
        }
        // The writer found no state, or has spent it; its reader may only be cut off: let go in any case.
        let no_state = o.status == AttemptStatus::Rejected && o.note >= 1.0;
        let gone =
            no_state || matches!(o.status, AttemptStatus::MalformedResponse | AttemptStatus::Undelivered);
        if gone && self.jobs.get_mut(&o.id).is_some_and(|j| j.state_at.take().is_some()) {
            out.push(Action::Release { id: o.id });
        }
        self.after_outcome(o.id, o.status, out);
    }

    fn after_outcome(&mut self, id: RequestId, status: AttemptStatus, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.closed {
            return self.settle(id, out);
        }
        if job.any_out() {
            return;
        }
        if status == AttemptStatus::Prefilled {
            return self.advance(id, out);
        }
        let late = self.now > job.arrived + job.aim();
        // A retry costs what the lost attempt took: quick errors may not use up what few requests earn.
        let took = job.attempts.last().map_or(0.0, |a| self.now - a.sent);
        let cost = match status {
            AttemptStatus::ConnectFailed | AttemptStatus::NotSent => 0.0,
            AttemptStatus::Cancelled if !late => 0.0,
            _ => (took / job.aim().max(1.0)).clamp(RETRY_LEAST, 1.0),
        };
        let too_late = job.deadline - self.now <= 3.0 * self.settings.tick_interval;
        let hindrance = match () {
            _ if !job.may_repeat(self.now) => Some(RejectReason::MayHaveRun),
            _ if too_late => Some(RejectReason::DeadlineExceeded),
            _ if self.retries < cost => Some(RejectReason::RetryBudgetExhausted),
            _ => None,
        };
        if let Some(reason) = hindrance {
            return self.give_up(id, reason, out);
        }
        self.retries -= cost;
        self.advance(id, out);
    }
}
