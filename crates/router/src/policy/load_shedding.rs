//! Load shedding: rejects requests immediately if they will probably be late, and first those of tenants that
//! exceed their quota.
//!
//! This module has no state of its own. It uses the wait estimates and slow-start allowances, and
//! `shedding_trials` counts the rejections. Load shedding avoids a useless wait for clients, and avoids
//! prefills whose state no decode server could fetch in time.

use super::slow_start::NO_PREFIX_DEMAND;
use super::Router;
use crate::api::{Millis, Role, ServerId};
use crate::state::{Placement, RequestState, ServerRecord};
use crate::wait_estimate;

/// Share of the objective after which an expected first token counts as late.
const OBJECTIVE_SHARE: f64 = 0.7;
/// The same share for a request that exceeds its tenant's quota.
const OVER_QUOTA_OBJECTIVE_SHARE: f64 = 0.35;
/// Increase of the rejection probability per unit of lateness above 1. The lateness is the expected time to
/// the first token divided by the time after which it counts as late.
const REJECT_SLOPE: f64 = 3.0;
/// Maximum rejection probability of a late request.
const MAX_REJECT_PROBABILITY: f64 = 0.95;

impl RequestState {
    /// Returns the work of the prefill, in tokens, if `cached_tokens` of the prompt are cached.
    pub(super) fn prefill_work(&self, cached_tokens: f64) -> f64 {
        (self.request.prompt_tokens - cached_tokens).max(0.0) + wait_estimate::FIXED_WORK
    }
}

impl Router {
    /// Returns whether a request is rejected instead of being sent to this placement as its first attempt.
    pub(super) fn should_shed(&mut self, request: &RequestState, placement: Placement) -> bool {
        let first_token = self.expected_first_token(request, placement);
        let lacks_decode_capacity = self.lacks_decode_capacity(first_token);
        let is_late = self.should_reject_late(request, first_token);
        (lacks_decode_capacity || is_late) && self.shedding_trials.should_reject(self.now)
    }

    /// Returns the expected time until the first token of a request that is sent to this placement now.
    fn expected_first_token(&self, request: &RequestState, placement: Placement) -> Millis {
        let decode_servers =
            self.servers.values().filter(|s| s.role == Role::Decode && !s.health.is_ejected(self.now));
        let shortest_decode_wait =
            decode_servers.map(|s| self.expected_time(s.entry.server, 0.0)).fold(f64::MAX, f64::min);
        let prefill = self.expected_time(placement.server, request.prefill_work(placement.cached_tokens));
        let decodes_in_place = self.servers.get(&placement.server).is_some_and(|s| s.role != Role::Prefill);
        if decodes_in_place || shortest_decode_wait == f64::MAX {
            prefill
        } else {
            prefill + shortest_decode_wait
        }
    }

    /// Returns whether no decode capacity remains for a new prefill. This is the case if the other requests
    /// need all sends that slow start permits to the reachable decode and mixed servers, now or at the end of
    /// the lease of the new prefill. Returns `false` if routers do not probe, or if one of these servers is
    /// outside slow start and therefore has no such limit.
    fn lacks_decode_capacity(&self, prefill_time: Millis) -> bool {
        if !self.probes_before_send() {
            return false;
        }
        let lease_end = self.now + prefill_time + self.used_lease_time();
        let remaining_sends = |server: &ServerRecord| {
            let now = self.slow_start_allowance(server, NO_PREFIX_DEMAND, self.now).remaining_sends()?;
            let later = self.slow_start_allowance(server, NO_PREFIX_DEMAND, lease_end).remaining_sends()?;
            Some(now.max(later))
        };
        let servers = self.servers.values().filter(|s| s.role != Role::Prefill && s.is_reachable(self.now));
        let Some(capacity) = servers.map(remaining_sends).sum::<Option<usize>>() else { return false };
        let needed = self.requests.values().filter(|request| request.needs_decode_server()).count();
        capacity <= needed
    }

    /// Returns whether a request is rejected as late. The decision is random, so that routers with the same
    /// information do not all reject at the same time.
    fn should_reject_late(&mut self, request: &RequestState, first_token: Millis) -> bool {
        let share = if request.over_quota { OVER_QUOTA_OBJECTIVE_SHARE } else { OBJECTIVE_SHARE };
        let lateness = first_token / (request.first_token_objective() * share).max(1.0);
        let probability = (REJECT_SLOPE * (lateness - 1.0)).min(MAX_REJECT_PROBABILITY);
        lateness > 1.0 && self.random.next_unit() < probability
    }

    /// Returns the expected time until a request that is sent now would complete its prefill, or would begin
    /// its stream at a decode or mixed server.
    pub(super) fn expected_time(&self, id: ServerId, work_tokens: f64) -> Millis {
        let Some(server) = self.servers.get(&id) else { return 0.0 };
        wait_estimate::time_to_serve(server, &self.statistics, self.router_count(), self.now, work_tokens)
    }
}
