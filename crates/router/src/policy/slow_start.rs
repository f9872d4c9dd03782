//! Slow start: how much traffic a server that has just started may receive from this router.
//!
//! State: `slow_start_since` and the send credit in each [`ServerRecord`]. Guards the overload bound that all
//! routers must keep together; `slow_start_budget` has the calculation.

use super::Router;
use crate::api::{Millis, ServerId};
use crate::slow_start_budget::{self, Allowance};
use crate::state::ServerRecord;

/// Demand where the requests of no prefix in particular are concerned, in units of capacity.
pub(super) const NO_PREFIX_DEMAND: f64 = 0.0;

impl Router {
    /// Share of its capacity, from 0 to 1, that a server can be sent at present.
    pub(super) fn capacity_share(&self, server: &ServerRecord) -> f64 {
        slow_start_budget::capacity_share(&self.settings.rules, server.slow_start_since, self.now)
    }

    /// Sends that this router may make to a server in slow start at time `when`, if it makes none before.
    pub(super) fn send_credit(&self, server: &ServerRecord, when: Millis) -> f64 {
        let units = slow_start_budget::capacity_units(server, self.capacity_share(server));
        let throughput = self.statistics.throughput(server.role);
        let rules = &self.settings.rules;
        slow_start_budget::send_credit(server, units, throughput, rules, self.router_count(), when)
    }

    /// What this router may send to a server at time `when`, for a prefix that keeps `demand_units` of
    /// capacity busy.
    pub(super) fn slow_start_allowance(
        &self, server: &ServerRecord, demand_units: f64, when: Millis,
    ) -> Allowance {
        let capacity_share = self.capacity_share(server);
        let send_credit = self.send_credit(server, when);
        let report_threshold = self.probes_before_send().then(|| {
            let units = slow_start_budget::capacity_units(server, capacity_share);
            slow_start_budget::report_threshold(&self.settings.rules, units, demand_units)
        });
        Allowance { capacity_share, send_credit, report_threshold }
    }

    /// Counts a completion at a server towards the throughput of its role, from which the credit grows.
    pub(super) fn record_completion(&mut self, id: ServerId) {
        let Some(role) = self.servers.get(&id).map(|server| server.role) else { return };
        let same_role = self.servers.values().filter(|server| server.role == role);
        let units =
            same_role.map(|s| slow_start_budget::capacity_units(s, self.capacity_share(s))).sum::<f64>();
        let age = self.now - self.started_at.unwrap_or(self.now);
        slow_start_budget::record_completion(self.statistics.throughput_mut(role), units, age, self.now);
    }
}
