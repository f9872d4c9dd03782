//! Slow start: limits the traffic from this router to a server that has just started.
//!
//! The state is `slow_start_since` and the send credit in each [`ServerRecord`]. This module enforces the
//! overload bound that applies to all routers together. `slow_start_budget` contains the calculation.

use super::Router;
use crate::api::{Millis, ServerId};
use crate::slow_start_budget::{self, Allowance};
use crate::state::ServerRecord;

/// Demand for an allowance that does not concern a specific prefix, in units of capacity.
pub(super) const NO_PREFIX_DEMAND: f64 = 0.0;

impl Router {
    /// Returns the share of its capacity, from 0 to 1, that a server may receive at present.
    pub(super) fn capacity_share(&self, server: &ServerRecord) -> f64 {
        slow_start_budget::capacity_share(&self.settings.rules, server.slow_start_since, self.now)
    }

    /// Returns the credit of this router, in sends, for a server in slow start at time `when`, provided that
    /// the router sends nothing to the server before.
    pub(super) fn send_credit(&self, server: &ServerRecord, when: Millis) -> f64 {
        let units = slow_start_budget::capacity_units(server, self.capacity_share(server));
        let throughput = self.statistics.throughput(server.role);
        let rules = &self.settings.rules;
        slow_start_budget::send_credit(server, units, throughput, rules, self.router_count(), when)
    }

    /// Returns the allowance of this router for a server at time `when`, for a prefix whose requests keep
    /// `demand_units` of capacity busy.
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

    /// Adds a completion at a server to the throughput of its role, which determines the growth of the
    /// credit.
    pub(super) fn record_completion(&mut self, id: ServerId) {
        let Some(role) = self.servers.get(&id).map(|server| server.role) else { return };
        let same_role = self.servers.values().filter(|server| server.role == role);
        let units =
            same_role.map(|s| slow_start_budget::capacity_units(s, self.capacity_share(s))).sum::<f64>();
        let age = self.now - self.started_at.unwrap_or(self.now);
        slow_start_budget::record_completion(self.statistics.throughput_mut(role), units, age, self.now);
    }
}
