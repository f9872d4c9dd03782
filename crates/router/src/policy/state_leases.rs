//! State leases: the time for which a prefill server holds the state of a request, and the release of the
//! state.
//!
//! The fields are `prefilled_on` and `lease_since` in [`RequestState`]. The prefill server enforces the lease
//! by its own clock, so this module uses only a share of the lease limit. It releases a state that was lost,
//! whose lease is about to expire after a failed fetch, or whose request is closed.

use super::request_steps::PLACEMENT_RETRY_INTERVAL;
use super::Router;
use crate::api::{Action, AttemptOutcome, AttemptStatus, Millis, RejectReason, RequestId};
use crate::state::RequestState;

/// Share of the lease limit that is used. The rest allows for differences between the clocks.
const USED_LEASE_SHARE: f64 = 0.8;
/// The suggested retry time of a rejection is at most the time until the deadline divided by this number.
const RETRY_AFTER_DIVISOR: f64 = 4.0;
/// Minimum [`AttemptOutcome::status_detail`] of a rejection by a decode server that found no state to fetch.
pub(super) const DETAIL_STATE_MISSING: f64 = 1.0;

impl Router {
    /// Rejects or fails a request that has not produced its first token, and closes it.
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

    /// Closes a request, and cancels its attempts in flight that have not produced a first token. Once no
    /// attempt is in flight, releases its state and removes the request.
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

    /// Releases a state that was lost or consumed by a decode attempt. The release is always sent, because
    /// the prefill server may still hold the state and only be unreachable from the decode server.
    pub(super) fn release_lost_state(&mut self, outcome: &AttemptOutcome, actions: &mut Vec<Action>) {
        let is_lost = match outcome.status {
            AttemptStatus::Rejected => outcome.status_detail >= DETAIL_STATE_MISSING,
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

    /// Releases a state whose lease is about to expire if a decode attempt was sent for it but is not known
    /// to have reached its server. The prompt can then be prefilled again. If no decode attempt could be
    /// sent, the state is kept, because there would be no decode server for a new state either.
    pub(super) fn release_expiring_state(&self, request: &mut RequestState, actions: &mut Vec<Action>) {
        let was_tried = request.prefilled_on.is_some() && request.idle_since > request.lease_since;
        if was_tried && !self.lease_outlasts_retry(request) {
            request.prefilled_on = None;
            actions.push(Action::Release { id: request.request.id });
        }
    }

    /// Returns the time for which a prefilled state is kept for a decode server.
    pub(super) fn used_lease_time(&self) -> Millis {
        USED_LEASE_SHARE * self.settings.rules.lease_limit
    }

    /// Returns whether the lease of the request's state lasts until the next placement, or there is no state.
    pub(super) fn lease_outlasts_retry(&self, request: &RequestState) -> bool {
        let lease_end = request.lease_since + self.used_lease_time();
        request.prefilled_on.is_none() || self.now + PLACEMENT_RETRY_INTERVAL <= lease_end
    }
}
