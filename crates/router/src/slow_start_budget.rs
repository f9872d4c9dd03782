//! Slow-start budget: what all routers together may send to a server that has just started, though none of
//! them sees the others.
//!
//! A router that sees a good part of the traffic spends a credit, which grows with its own part of the
//! server's capacity. In a fleet of a hundred routers that alone would not do: each would earn a whole send
//! only once in a minute, mostly for servers that its few requests do not need, while the warmed-up servers
//! are overloaded. There a fresh load report of the server stands for the traffic of all routers.
//!
//! Pure functions over [`ServerRecord`]; the router owns the state, and the caller owns the clock.

use crate::api::{Millis, Rules};
use crate::state::{RoleThroughput, ServerRecord};

/// Decay times of the count of completions and of their highest rate (ms).
const COMPLETIONS_DECAY: Millis = 10_000.0;
const PEAK_RATE_DECAY: Millis = 60_000.0;
/// Credit grows at this part of the rate that overloads a server. The rest is left to the routers that go by
/// its load report.
const CREDIT_RATE_SHARE: f64 = 0.5;
/// Routers for which it is the preferred server and routers that divert to it go by its report at the same
/// time, so each of these two groups gets half of that rest.
const REPORT_USER_GROUPS: f64 = 2.0;
/// Least rate at which credit for a server grows, in sends a second of all routers together.
const MIN_FLEET_RATE: f64 = 0.5;
/// Time for which a load report stands for the traffic of all routers (ms). Reports are already old when they
/// arrive.
pub const FLEET_REPORT_TTL: Millis = 250.0;
/// A report that is equally old at all routers counts only for those with more credit than this, in sends;
/// the others send elsewhere.
const MIN_REPORT_THRESHOLD: f64 = 0.4;
/// Least share of its capacity that a server is taken to start with, whatever the settings say.
const MIN_CAPACITY_SHARE: f64 = 0.05;
/// The rule leaves 2 * sqrt(n) + 2 sends beyond the overload bound n for chance. This times (sqrt(n) + 1) may
/// be saved up as whole sends of credit.
const SAVED_SLACK: f64 = 1.0;
/// Up to this many routers that slack has room for a whole send of each.
const SMALL_FLEET: f64 = 4.0;
/// Least weight that a server is taken to have.
const MIN_WEIGHT: f64 = 0.01;

/// Share of its capacity, from 0 to 1, that a server started at `since` can be sent (`None`: long ago).
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

/// Capacity of a server at present, relative to other servers of its role.
pub fn capacity_units(server: &ServerRecord, capacity_share: f64) -> f64 {
    server.entry.weight.max(MIN_WEIGHT) * capacity_share
}

/// Sends that this router may make at `now` to a server in slow start with so many units of capacity.
///
/// The credit grows at half of the rate that overloads the server, estimated from what a unit of capacity has
/// completed for this router. Each router counts its own part and starts anywhere below one send, so the sum
/// stays within the overload bound although nobody knows the capacity. The growth since the last update is
/// reckoned at the mean capacity over that time.
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
    // Whole sends that many routers have saved up would all come in one burst. So a whole send expires: at
    // any time no more of them stand, at all routers together, than the part of the rule's slack that may be
    // saved.
    let fleet_bound = overload_rate(units) * routers * rules.overload_window / 1000.0;
    let time_to_live = (SAVED_SLACK * (fleet_bound.sqrt() + 1.0) / routers).min(1.0);
    let has_whole_send = credit.fract() <= time_to_live;
    credit.fract() + f64::from(u8::from(has_whole_send))
}

/// Counts a completion by servers that have so many units of capacity together, for a router of this age.
pub fn record_completion(throughput: &mut RoleThroughput, units: f64, router_age: Millis, now: Millis) {
    let elapsed = now - throughput.updated_at;
    let age = router_age.max(COMPLETIONS_DECAY / 2.0);
    let decay = (-elapsed / COMPLETIONS_DECAY).exp();
    throughput.completions = 1.0 + throughput.completions * decay;
    // Servers that have just left the list still count: they completed part of what is counted.
    throughput.capacity_units = units.max(throughput.capacity_units * decay).max(MIN_WEIGHT);
    // A young router has not counted for the whole decay time.
    let counted_time = COMPLETIONS_DECAY * (1.0 - (-age / COMPLETIONS_DECAY).exp());
    let rate = 1000.0 * throughput.completions / counted_time;
    let earlier_peak = throughput.peak_rate * (-elapsed / PEAK_RATE_DECAY).exp();
    throughput.peak_rate = (rate / throughput.capacity_units).max(earlier_peak);
    throughput.updated_at = now;
}

/// A load as it would be at full capacity: a server in slow start works through the same load so much more
/// slowly.
pub fn normalized_load(load: f64, capacity_share: f64) -> f64 {
    load / capacity_share.max(MIN_CAPACITY_SHARE)
}

/// Credit, as a part of one send, from which a router may go by the load report of a server in slow start.
/// `demand_units` is the capacity that the requests of the prefix keep busy, over all routers.
///
/// The age of a report is unknown, and until the next one all routers see the same free capacity. The first
/// preferred server that is not overloaded would get the requests of a popular prefix from all of them. So
/// the share of routers that go by the report is bounded: together they may send half of what the credit
/// leaves of the overload bound, and the other half is for the routers that divert there.
pub fn report_threshold(rules: &Rules, units: f64, demand_units: f64) -> f64 {
    let bound = (1.0 - CREDIT_RATE_SHARE) / REPORT_USER_GROUPS * rules.overload_multiple * units;
    (1.0 - bound / demand_units.max(MIN_WEIGHT)).max(MIN_REPORT_THRESHOLD)
}

/// What a router may send to a server on behalf of a request.
pub struct Allowance {
    /// Share of its capacity that the server can be sent, from 0 to 1; 1 outside slow start.
    pub capacity_share: f64,
    /// Whole sends that the router has in credit.
    pub send_credit: f64,
    /// Credit from which the server's load report counts; `None` where routers do not probe before a send.
    pub report_threshold: Option<f64>,
}

impl Allowance {
    /// Whether a request may be sent: always outside slow start, else from a whole send of credit, or where a
    /// fresh load report counts. The caller then compares its load with that of other servers.
    pub fn permits_send(&self, server: &ServerRecord, now: Millis) -> bool {
        if !self.is_slow_start() || self.send_credit >= 1.0 {
            return true;
        }
        self.trusts_report() && server.current_load(now, FLEET_REPORT_TTL).is_some()
    }

    /// Requests that the server will take from this router; `None` outside slow start, where there is no
    /// limit.
    pub fn sends_left(&self) -> Option<usize> {
        self.is_slow_start().then(|| usize::from(self.trusts_report()))
    }

    /// Whether the server's load report counts. It lets the router run ahead of its credit by less than one
    /// send: of a popular prefix all routers have many requests and would send them all before the report
    /// changes.
    pub fn trusts_report(&self) -> bool {
        !self.is_slow_start() || self.report_threshold.is_some_and(|threshold| self.send_credit > threshold)
    }

    fn is_slow_start(&self) -> bool {
        self.capacity_share < 1.0
    }
}

#[cfg(test)]
mod tests;
