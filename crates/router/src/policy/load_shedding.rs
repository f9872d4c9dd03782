//! Load shedding: what can hardly be in time is refused at once, over-share tenants first.

use super::{state_leases::LEASE_SHARE, Router};
use crate::{api::*, state::*, wait_estimate};

/// Share of the aim after which a first token must be expected; for a tenant over its share.
const LATEST: f64 = 0.7;
const LATEST_OVER_SHARE: f64 = 0.35;

impl RequestState {
    /// Work of taking in the prompt where so much of it is kept.
    pub fn prefill_work(&self, kept: f64) -> f64 {
        (self.request.prompt_tokens - kept).max(0.0) + wait_estimate::FIXED_WORK
    }
}

impl Router {
    /// Whether a request that would be read there, where so much of it is kept, is refused at once.
    pub(super) fn should_shed(&mut self, job: &RequestState, reader: ServerId, kept: f64) -> bool {
        let writers =
            self.servers.values().filter(|s| s.role == Role::Decode && !s.health.is_ejected(self.now));
        let write = writers.map(|s| self.expected_time(s.entry.server, 0.0)).fold(f64::MAX, f64::min);
        let whole = self.servers.get(&reader).is_some_and(|s| s.role != Role::Prefill) || write == f64::MAX;
        let first = self.expected_time(reader, job.prefill_work(kept)) + if whole { 0.0 } else { write };
        let part = first
            / (job.first_token_objective() * if job.over_quota { LATEST_OVER_SHARE } else { LATEST })
                .max(1.0);
        // In vain: what no writer may take before it is let go of, beside those that are read already.
        let end = self.now + first + LEASE_SHARE * self.settings.rules.lease_limit;
        let takes = |s: &ServerRecord, at| self.slow_start_allowance(s, 0.0, at).sends_left();
        let writers = self.servers.values().filter(|s| s.role != Role::Prefill && s.is_reachable(self.now));
        let sends = || writers.map(|s| Some(takes(s, self.now)?.max(takes(s, end)?))).sum::<Option<usize>>();
        let before = || self.requests.values().filter(|j| j.needs_decode_server()).count();
        let in_vain = self.probes_before_send() && sends().is_some_and(|sends| sends <= before());
        let late = part > 1.0 && self.random.next_unit() < (3.0 * (part - 1.0)).min(0.95);
        (in_vain || late) && self.shedding_trials.should_reject(self.now)
    }

    /// When a read of this much work would end at a reader, or a stream begin at a writer or a mixed
    /// server, if sent now.
    pub(super) fn expected_time(&self, id: ServerId, work: f64) -> Millis {
        let s = self.servers.get(&id);
        s.map_or(0.0, |s| {
            wait_estimate::time_to_serve(s, &self.statistics, self.router_count(), self.now, work)
        })
    }
}
