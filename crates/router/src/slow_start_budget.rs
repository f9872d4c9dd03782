//! Slow-start budget: bounds the total traffic of all routers to a server in slow start, without
//! communication between the routers.
//!
//! A router that receives a large share of the traffic uses a credit that grows with its own share of the
//! server's capacity. In a fleet of a hundred routers the credit alone is not sufficient: each router would
//! gain a whole send only once per minute, mostly for servers that its few requests do not need, while the
//! warmed-up servers are overloaded. In such a fleet a fresh load report of the server represents the traffic
//! of all routers.
//!
//! All functions are pure functions of [`ServerRecord`]; the router owns the state, and the caller owns the
//! clock.

use crate::api::{Millis, Rules};
use crate::state::{RoleThroughput, ServerRecord};

/// Decay time of the number of completions (ms).
const COMPLETIONS_DECAY: Millis = 10_000.0;
/// Decay time of the highest completion rate (ms).
const PEAK_RATE_DECAY: Millis = 60_000.0;
/// Growth rate of the credit, as a share of the rate that overloads a server. The remaining share is
/// available to routers that rely on the server's load report.
const CREDIT_RATE_SHARE: f64 = 0.5;
/// Number of groups of routers that rely on the same load report at the same time: those for which the server
/// is the preferred server, and those that divert to it. Each group may use an equal part of the sends that
/// the credit leaves below the overload bound.
const REPORT_USER_GROUPS: f64 = 2.0;
/// Minimum growth rate of the credit for a server, in sends per second over all routers.
const MIN_FLEET_RATE: f64 = 0.5;
/// Time after its receipt for which a load report represents the traffic of all routers (ms). It is short
/// because a report is already old when it is received.
pub const FLEET_REPORT_TTL: Millis = 250.0;
/// Lower bound of the credit above which a router may rely on a load report, in sends. Routers with less
/// credit send to other servers, because otherwise all routers would act on the same outdated report.
const MIN_REPORT_THRESHOLD: f64 = 0.4;
/// Minimum share of its capacity with which a server starts, regardless of the settings.
const MIN_CAPACITY_SHARE: f64 = 0.05;
/// Whole sends of credit that all routers may accumulate for a server, as a multiple of (sqrt(n) + 1), where
/// n is the overload bound. The slow-start rule tolerates 2 * sqrt(n) + 2 sends above n as random variation.
const ACCUMULATED_CREDIT_FACTOR: f64 = 1.0;
/// Maximum number of routers at which the tolerance of 2 * sqrt(n) + 2 sends covers one accumulated send of
/// every router.
const SMALL_FLEET: f64 = 4.0;
/// Minimum weight of a server in calculations.
const MIN_WEIGHT: f64 = 0.01;

/// Returns the share of its capacity, from 0 to 1, that a server started at `since` may receive. `None` means
/// that slow start is over.
pub fn capacity_share(rules: &Rules, since: Option<Millis>, now: Millis) -> f64 {
    match since {
        Some(started) if now < started + rules.slow_start_window => {
            let initial = rules.slow_start_initial_share.clamp(MIN_CAPACITY_SHARE, 1.0);
            let elapsed_share = ((now - started) / rules.slow_start_window.max(1.0)).clamp(0.0, 1.0);
            initial + (1.0 - initial) * elapsed_share
        }
        _ => 1.0,
    }
}

/// Returns the current capacity of a server relative to other servers of its role.
pub fn capacity_units(server: &ServerRecord, capacity_share: f64) -> f64 {
    server.entry.weight.max(MIN_WEIGHT) * capacity_share
}

/// Returns the credit of this router at `now`, in sends, for a server in slow start with `units` of capacity.
///
/// The credit grows at half of the rate that overloads the server. That rate is estimated from the requests
/// that a unit of capacity has completed for this router. Each router counts only its own share and starts
/// with a random credit below one send. The sum over all routers therefore stays within the overload bound,
/// although no router knows the total capacity. The growth since the last update is calculated with the mean
/// capacity over that time.
pub fn send_credit(
    server: &ServerRecord, units: f64, throughput: &RoleThroughput, rules: &Rules, routers: f64, now: Millis,
) -> f64 {
    let share_at = |when| capacity_share(rules, server.slow_start_since, when);
    let mean_units = units * (share_at(server.credit_updated_at) / share_at(now)).min(1.0).midpoint(1.0);
    let overload_rate = |units: f64| rules.overload_multiple * units * throughput.peak_rate;
    let growth_rate = (overload_rate(mean_units) * CREDIT_RATE_SHARE).max(MIN_FLEET_RATE / routers);
    let credit = server.send_credit + growth_rate * (now - server.credit_updated_at) / 1000.0;
    if credit < 1.0 || routers <= SMALL_FLEET {
        return credit.min(1.0);
    }
    // If many routers accumulated a whole send, they could use all of them in one burst. Therefore a whole
    // send expires once the credit has grown by `time_to_live` beyond it. The unexpired sends of all routers
    // then stay within `ACCUMULATED_CREDIT_FACTOR * (sqrt(fleet_bound) + 1)` on average.
    let fleet_bound = overload_rate(units) * routers * rules.overload_window / 1000.0;
    let time_to_live = (ACCUMULATED_CREDIT_FACTOR * (fleet_bound.sqrt() + 1.0) / routers).min(1.0);
    let has_whole_send = credit.fract() <= time_to_live;
    credit.fract() + f64::from(u8::from(has_whole_send))
}

/// Adds a completion to the throughput of a role. `units` is the total capacity of the servers of the role,
/// and `router_age` the time since the start of the router.
pub fn record_completion(throughput: &mut RoleThroughput, units: f64, router_age: Millis, now: Millis) {
    let elapsed = now - throughput.updated_at;
    let age = router_age.max(COMPLETIONS_DECAY / 2.0);
    let decay = (-elapsed / COMPLETIONS_DECAY).exp();
    throughput.completions = 1.0 + throughput.completions * decay;
    // The capacity of servers that left the list decays slowly, because they completed part of the counted
    // requests.
    throughput.capacity_units = units.max(throughput.capacity_units * decay).max(MIN_WEIGHT);
    // A router that started recently has not counted for the whole decay time.
    let counted_time = COMPLETIONS_DECAY * (1.0 - (-age / COMPLETIONS_DECAY).exp());
    let rate = 1000.0 * throughput.completions / counted_time;
    let earlier_peak = throughput.peak_rate * (-elapsed / PEAK_RATE_DECAY).exp();
    throughput.peak_rate = (rate / throughput.capacity_units).max(earlier_peak);
    throughput.updated_at = now;
}

/// Returns a load scaled to full capacity. A server in slow start is slower in proportion to its capacity
/// share, so the same load counts for more.
pub fn normalized_load(load: f64, capacity_share: f64) -> f64 {
    load / capacity_share.max(MIN_CAPACITY_SHARE)
}

/// Returns the credit, as a fraction of one send, above which a router may rely on the load report of a
/// server in slow start. `demand_units` is the capacity that the requests for the prefix keep busy, over all
/// routers.
///
/// The age of a report is unknown, and until the next report all routers have the same information about free
/// capacity. Without the threshold, the first preferred server that is not overloaded would receive the
/// requests for a popular prefix from all routers. The threshold limits the share of routers that rely on the
/// report. Together they may send half of the overload bound that the credit does not use, and the other half
/// is left to routers that divert to the server.
pub fn report_threshold(rules: &Rules, units: f64, demand_units: f64) -> f64 {
    let bound = (1.0 - CREDIT_RATE_SHARE) / REPORT_USER_GROUPS * rules.overload_multiple * units;
    (1.0 - bound / demand_units.max(MIN_WEIGHT)).max(MIN_REPORT_THRESHOLD)
}

/// Limit on the sends of a router to a server on behalf of a request.
pub struct Allowance {
    /// Share of its capacity that the server may receive, from 0 to 1; 1 outside slow start.
    pub capacity_share: f64,
    /// Slow-start credit of the router, in sends.
    pub send_credit: f64,
    /// Credit above which the router relies on the server's load report; `None` if routers do not probe
    /// before a send.
    pub report_threshold: Option<f64>,
}

impl Allowance {
    /// Returns whether a request may be sent. This is always the case outside slow start. In slow start it
    /// requires a whole send of credit, or a fresh load report on which the router may rely. In the latter
    /// case the caller compares the load with that of other servers.
    pub fn permits_send(&self, server: &ServerRecord, now: Millis) -> bool {
        if !self.is_slow_start() || self.send_credit >= 1.0 {
            return true;
        }
        self.may_use_report() && server.current_load(now, FLEET_REPORT_TTL).is_some()
    }

    /// Returns the number of requests that this router may send to the server, which is at most 1, or `None`
    /// outside slow start, where there is no limit.
    pub fn remaining_sends(&self) -> Option<usize> {
        self.is_slow_start().then(|| usize::from(self.may_use_report()))
    }

    /// Returns whether the router may rely on the server's load report. In slow start this requires a credit
    /// above the threshold, so a report allows the router to exceed its credit by less than one send. Without
    /// this limit, all routers would send their many requests for a popular prefix before the report changes.
    pub fn may_use_report(&self) -> bool {
        !self.is_slow_start() || self.report_threshold.is_some_and(|threshold| self.send_credit > threshold)
    }

    fn is_slow_start(&self) -> bool {
        self.capacity_share < 1.0
    }
}

#[cfg(test)]
mod tests;
