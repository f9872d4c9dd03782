//! What is held for a request: until when, and letting go of it at the end.

use super::{request_steps::LOOK_AGAIN, Router};
use crate::{api::*, state::*};

/// Share of the pin limit after which a held state is let go.
pub const PIN_USED: f64 = 0.8;

impl Router {
    pub(super) fn give_up(&mut self, id: RequestId, reason: RejectReason, out: &mut Vec<Action>) {
        let retry = if self.settings.limits.retry_after { self.settings.limits.max_retry_after } else { 0.0 };
        let Some(job) = self.jobs.get(&id).filter(|j| j.open()) else { return };
        out.push(if job.may_refuse() {
            let retry_after = retry.min((job.deadline - self.now).max(0.0) / 4.0);
            Action::Reject { id, retry_after, reason }
        } else {
            Action::Fail { id, reason }
        });
        self.settle(id, out);
    }

    /// After the end: call back what is out, let go of what is held, forget the request when all is in.
    pub(super) fn settle(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let cancel = self.settings.limits.cancellation;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.closed = true;
        if cancel {
            job.call_back(out);
        }
        if !job.any_out() {
            if job.state_at.is_some() {
                out.push(Action::Release { id });
            }
            self.jobs.remove(&id);
        }
    }

    /// Lets go of a state that found no writer to connect to in time, while there is time to read it anew.
    /// One for which there was no writer at all would find none the next time either.
    pub(super) fn let_go_late(&self, job: &mut Job, out: &mut Vec<Action>) {
        let tried = job.state_at.is_some() && job.idle_since > job.held_since;
        if tried && !self.may_hold(job) {
            job.state_at = None;
            out.push(Action::Release { id: job.ask.id });
        }
    }

    /// Whether the state that is held for it, if any, may still be held when it looks again.
    pub(super) fn may_hold(&self, job: &Job) -> bool {
        let until = job.held_since + PIN_USED * self.settings.rules.lease_limit;
        job.state_at.is_none() || self.now + LOOK_AGAIN <= until
    }
}
