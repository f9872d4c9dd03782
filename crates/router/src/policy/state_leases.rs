//! State leases: how long a prefill server holds a request's state, and its release.
//!
//! State: `prefilled_on` and `lease_since` in [`RequestState`]; the prefill server enforces the lease by its
//! own clock. Guards the lease limit, and that each state is released exactly when nothing can fetch it any
//! more.

use super::request_steps::PLACEMENT_RETRY_INTERVAL;
use super::Router;
use crate::api::{Action, AttemptOutcome, AttemptStatus, Millis, RejectReason, RequestId};
use crate::state::RequestState;

/// Share of the lease limit that is used; the rest covers the differences between the clocks.
const USED_LEASE_SHARE: f64 = 0.8;
/// A rejection asks for a retry after at most this part of the time left to the deadline.
const RETRY_AFTER_DIVISOR: f64 = 4.0;
/// [`AttemptOutcome::note`] of a rejection from this on: the decode server found no state to fetch.
pub(super) const NOTE_NO_STATE: f64 = 1.0;

impl Router {
    /// Gives the final answer to a request that awaits its first token, and ends it.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, reason: RejectReason, actions: &mut Vec<Action>) {
        let limits = &self.settings.limits;
        let max_retry_after = if limits.retry_after { limits.max_retry_after } else { 0.0 };
        let Some(request) = self.requests.get(&id).filter(|request| request.awaits_first_token()) else {
            return;
        };
        actions.push(if request.can_reject() {
            let time_left = (request.deadline - self.now).max(0.0);
            let retry_after = max_retry_after.min(time_left / RETRY_AFTER_DIVISOR);
            Action::Reject { id, retry_after, reason }
        } else {
            Action::Fail { id, reason }
        });
        self.finish(id, actions);
    }

    /// Closes a request: cancels what is in flight and, once nothing is, releases its state and forgets it.
    pub(super) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.closed = true;
        if self.settings.limits.cancellation {
            request.cancel_attempts(actions);
        }
        if request.has_attempt_in_flight() {
            return;
        }
        if request.prefilled_on.is_some() {
            actions.push(Action::Release { id });
        }
        self.requests.remove(&id);
    }

    /// Releases a state that a decode attempt has lost or used up. The prefill server may only be cut off
    /// from the decode server, so the release is sent in any case.
    pub(super) fn release_lost_state(&mut self, outcome: &AttemptOutcome, actions: &mut Vec<Action>) {
        let is_lost = match outcome.status {
            AttemptStatus::Rejected => outcome.note >= NOTE_NO_STATE,
            AttemptStatus::MalformedResponse | AttemptStatus::Undelivered => true,
            _ => false,
        };
        if !is_lost {
            return;
        }
        let Some(request) = self.requests.get_mut(&outcome.id) else { return };
        if request.prefilled_on.take().is_some() {
            actions.push(Action::Release { id: outcome.id });
        }
    }

    /// Releases a state whose decode servers could not be reached before its lease ran out, while there is
    /// time for a new prefill. A state for which there was no decode server at all is left: a new one would
    /// fare no better.
    pub(super) fn release_late_lease(&self, request: &mut RequestState, actions: &mut Vec<Action>) {
        let was_tried = request.prefilled_on.is_some() && request.idle_since > request.lease_since;
        if was_tried && !self.lease_outlasts_retry(request) {
            request.prefilled_on = None;
            actions.push(Action::Release { id: request.request.id });
        }
    }

    /// How long a prefilled state is kept for a decode server.
    pub(super) fn used_lease_time(&self) -> Millis {
        USED_LEASE_SHARE * self.settings.rules.lease_limit
    }

    /// Whether the lease of its state, if it has one, still lasts when the request tries again.
    pub(super) fn lease_outlasts_retry(&self, request: &RequestState) -> bool {
        let lease_end = request.lease_since + self.used_lease_time();
        request.prefilled_on.is_none() || self.now + PLACEMENT_RETRY_INTERVAL <= lease_end
    }
}
