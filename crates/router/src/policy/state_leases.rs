//! What is held for a request: until when, and letting go of it at the end.

use super::{request_steps::PLACEMENT_RETRY_INTERVAL, Router};
use crate::{api::*, state::*};

/// Share of the pin limit after which a held state is let go.
pub const LEASE_SHARE: f64 = 0.8;

impl Router {
    pub(super) fn reject_or_fail(&mut self, id: RequestId, reason: RejectReason, out: &mut Vec<Action>) {
        let retry = if self.settings.limits.retry_after { self.settings.limits.max_retry_after } else { 0.0 };
        let Some(job) = self.requests.get(&id).filter(|j| j.awaits_first_token()) else { return };
        out.push(if job.can_reject() {
            let retry_after = retry.min((job.deadline - self.now).max(0.0) / 4.0);
            Action::Reject { id, retry_after, reason }
        } else {
            Action::Fail { id, reason }
        });
        self.finish(id, out);
    }

    /// After the end: call back what is out, let go of what is held, forget the request when all is in.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let cancel = self.settings.limits.cancellation;
        let Some(job) = self.requests.get_mut(&id) else { return };
        job.closed = true;
        if cancel {
            job.cancel_attempts(out);
        }
        if !job.has_attempt_in_flight() {
            if job.prefilled_on.is_some() {
                out.push(Action::Release { id });
            }
            self.requests.remove(&id);
        }
    }

    /// Lets go of a state that found no writer to connect to in time, while there is time to read it anew.
    /// One for which there was no writer at all would find none the next time either.
    pub(super) fn release_late_lease(&self, job: &mut RequestState, out: &mut Vec<Action>) {
        let tried = job.prefilled_on.is_some() && job.idle_since > job.lease_since;
        if tried && !self.lease_outlasts_retry(job) {
            job.prefilled_on = None;
            out.push(Action::Release { id: job.request.id });
        }
    }

    /// Whether the state that is held for it, if any, may still be held when it looks again.
    pub(super) fn lease_outlasts_retry(&self, job: &RequestState) -> bool {
        let until = job.lease_since + LEASE_SHARE * self.settings.rules.lease_limit;
        job.prefilled_on.is_none() || self.now + PLACEMENT_RETRY_INTERVAL <= until
    }
}
