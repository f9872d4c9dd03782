//! Slow start: what a cold server may get from this router; the figures are in `warm.rs`.

use super::Router;
use crate::{api::*, slow_start_budget, state::*};

impl Router {
    /// Slow start: the share of its capacity that a server can be trusted with at present.
    pub(super) fn capacity_share(&self, s: &ServerRecord) -> f64 {
        slow_start_budget::capacity_share(&self.settings.rules, s.slow_start_since, self.now)
    }

    /// Slow start: sends that a cold server has left from this router at a moment, if none goes there before.
    pub(super) fn send_credit(&self, s: &ServerRecord, at: Millis) -> f64 {
        let units = slow_start_budget::capacity_units(s, self.capacity_share(s));
        let (carried, rules) = (&self.statistics.throughput_by_role[s.role as usize], &self.settings.rules);
        slow_start_budget::send_credit(s, units, carried, rules, self.router_count(), at)
    }

    /// Slow start: what this server is trusted with then, for a beginning that keeps so many units busy.
    pub(super) fn slow_start_allowance(
        &self, s: &ServerRecord, asked: f64, at: Millis,
    ) -> slow_start_budget::Allowance {
        let warmth = self.capacity_share(s);
        let ahead = || {
            slow_start_budget::report_threshold(
                &self.settings.rules,
                slow_start_budget::capacity_units(s, warmth),
                asked,
            )
        };
        slow_start_budget::Allowance {
            capacity_share: warmth,
            send_credit: self.send_credit(s, at),
            report_threshold: self.probes_before_send().then(ahead),
        }
    }

    /// The most that this role has carried a second for this router, by unit of warm weight.
    pub(super) fn record_completion(&mut self, id: ServerId) {
        let Some(role) = self.servers.get(&id).map(|s| s.role) else { return };
        let like = self.servers.values().filter(|s| s.role == role);
        let units = like.map(|s| slow_start_budget::capacity_units(s, self.capacity_share(s))).sum();
        let age = self.now - self.started_at.unwrap_or(self.now);
        slow_start_budget::record_completion(
            &mut self.statistics.throughput_by_role[role as usize],
            units,
            age,
            self.now,
        );
    }
}
