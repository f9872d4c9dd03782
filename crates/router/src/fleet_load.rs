//! Load estimates for a fleet of many routers, none of which observes the traffic of the others.
//!
//! In a small fleet, a router's own counts are representative of all routers. In a large fleet they are not,
//! so servers are probed for their load. This module determines the number of preferred servers of a prefix,
//! the servers to probe, and the probed server that receives a request. All functions are pure; the router
//! owns the state, and the caller owns the clock.

use crate::api::{Millis, ServerId};
use crate::slow_start_budget;
use crate::state::{median, RecentRequests, ServerRecord, LOAD_REPORT_TTL};

/// Maximum number of routers at which a router's own counts are representative of all routers. The in-flight
/// floor of the overload diversion, divided by the number of routers, is then still at least one request.
const SMALL_FLEET: f64 = 4.0;
/// Large fleet: number of requests, each with a different prefix, that are added to a router's own count. A
/// prefix that occurs once among a few requests is thereby estimated as one of many prefixes.
const PRIOR_REQUESTS: f64 = 30.0;
/// Large fleet: minimum number of preferred servers of a prefix. The second one has the prefix cached when
/// the first one is overloaded.
const MIN_PREFERRED_SERVERS: usize = 2;
/// A server is overloaded if its requests in flight exceed the typical load by more than this factor and by
/// more than [`OVERLOAD_FLOOR`].
const OVERLOAD_FACTOR: f64 = 2.0;
/// Minimum difference between the load of an overloaded server and the typical load, in requests in flight.
const OVERLOAD_FLOOR: f64 = 4.0;
/// Minimum number of loads in the median for the typical load. Missing loads are replaced by the default
/// load.
const MIN_LOAD_SAMPLES: usize = 12;
/// Load that is assumed for a server without a known load, in requests in flight.
const DEFAULT_LOAD: f64 = 1.0;
/// Number of candidates, in order of preference, that are probed for a request before a fallback server.
pub const MAX_PROBED_CANDIDATES: usize = 3;
/// Time-out of a probe (ms). A server that does not answer within this time is treated as overloaded.
pub const PROBE_TIMEOUT: Millis = 120.0;
/// Large fleet: minimum number of samples with which a service time is used in estimates.
const MIN_SERVICE_TIME_SAMPLES: u32 = 5;
/// Maximum number of probes that a request can use.
const MAX_PROBES_PER_REQUEST: f64 = 4.0;
/// Maximum cost of the probes for a prefill server, as a share of the value of the request. Without probes,
/// the total value of a workload drops by 0.3 if it has a popular prefix, and by about 0.01 otherwise.
const PROBE_COST_LIMIT: f64 = 0.012;
/// Share of all tokens that stay in their cell because of the first probe of a decode server near a prefill.
/// 0.96 of the tokens leave their cell without probes, 0.48 with one and 0.34 with two (docs/fleet.md).
const FIRST_PROBE_SAVING: f64 = 0.48;
/// Saving of each further probe, relative to the previous one.
const FURTHER_PROBE_FACTOR: f64 = 0.29;
/// Maximum number of decode servers that are probed at a time.
pub const MAX_PROBED_DECODE_SERVERS: usize = 4;
/// Difference up to which two loads are considered equal, in requests in flight.
const LOAD_TOLERANCE: f64 = 0.5;
/// Decay time of the confidence in a load report (ms).
const LOAD_REPORT_DECAY: Millis = 3_000.0;

/// Returns whether a router's own counts are too small to represent the traffic of all routers.
pub fn is_large_fleet(routers: f64) -> bool {
    routers > SMALL_FLEET
}

/// Returns the minimum number of samples with which a service time indicates the speed of a server regardless
/// of its queue. One sample is enough in a small fleet, because further samples follow soon.
pub fn min_service_time_samples(routers: f64) -> u32 {
    if is_large_fleet(routers) {
        MIN_SERVICE_TIME_SAMPLES
    } else {
        1
    }
}

/// Returns the number of probes that a request adds to the budget. `probe_price` is the cost of a probe as a
/// share of the value of the request.
pub fn probes_per_request(probe_price: f64) -> f64 {
    (PROBE_COST_LIMIT / probe_price.max(1e-9)).min(MAX_PROBES_PER_REQUEST)
}

/// Returns the number of decode servers near a prefill to probe while it runs, such that each probe saves
/// more transfer cost than it costs. `transfer_price` is the cost of transferring all tokens out of their
/// cell.
pub fn decode_servers_to_probe(probe_price: f64, transfer_price: f64) -> usize {
    let saving = |index: usize| transfer_price * FIRST_PROBE_SAVING * FURTHER_PROBE_FACTOR.powi(index as i32);
    (0..MAX_PROBED_DECODE_SERVERS).take_while(|index| saving(*index) > probe_price).count()
}

/// Returns the number of preferred servers of a prefix among `servers` prefill servers. It is the share of
/// the prefix in all requests divided by the share that one preferred server receives, which is
/// `load_per_server` times the share of an average server.
///
/// In a large fleet a count of one or two is not significant. Therefore [`PRIOR_REQUESTS`] are added to the
/// total; their weight decreases as the router receives more requests.
pub fn preferred_servers(
    recent: RecentRequests, servers: usize, routers: f64, load_per_server: f64,
) -> usize {
    let max_count = servers.max(1);
    if !is_large_fleet(routers) {
        // The count includes the current request, which does not indicate the rate of other requests.
        let share = (recent.same_prefix - 1.0) / recent.total.max(1.0);
        return ((share * servers as f64 / load_per_server).round() as usize).clamp(1, max_count);
    }
    let share = prefix_share(recent.same_prefix, recent.total);
    let count = (share * servers as f64 / load_per_server).ceil() as usize;
    count.max(MIN_PREFERRED_SERVERS).clamp(1, max_count)
}

/// Returns the estimated share of a prefix in all requests, for a router of a large fleet.
fn prefix_share(same_prefix: f64, total: f64) -> f64 {
    same_prefix / (total + PRIOR_REQUESTS)
}

/// Capacity that the requests for a prefix from all routers keep busy, and the preferred server of the
/// prefix.
pub struct PrefixDemand {
    units: f64,
    preferred: Option<ServerId>,
}

impl PrefixDemand {
    /// Estimates the demand of a prefix from its recent requests and the capacity of the prefill servers.
    pub fn new<'a>(
        recent: RecentRequests, servers: impl Iterator<Item = &'a ServerRecord>, preferred: Option<&ServerId>,
    ) -> PrefixDemand {
        // The count includes the current request, which does not indicate the rate of other requests.
        let others = (recent.same_prefix - 1.0).max(0.0);
        let total_units = servers.map(|server| slow_start_budget::capacity_units(server, 1.0)).sum::<f64>();
        let units = prefix_share(others, recent.total) * total_units;
        PrefixDemand { units, preferred: preferred.copied() }
    }

    /// Returns the part of the demand that a server may receive, in units of capacity. The preferred server
    /// receives at most its own capacity, because a prefix with more demand has several preferred servers.
    /// Any other server may receive the whole demand, because all routers divert to the first server that is
    /// not overloaded.
    pub fn at_server(&self, server: &ServerRecord) -> f64 {
        if self.preferred == Some(server.entry.server) {
            self.units.min(slow_start_budget::capacity_units(server, 1.0))
        } else {
            self.units
        }
    }
}

/// Returns the typical load of a server, which is the median of the known loads. If only a few loads are
/// known, the median could be the load of an overloaded server, so default loads are added up to
/// [`MIN_LOAD_SAMPLES`].
pub fn typical_load(mut loads: Vec<f64>) -> f64 {
    loads.resize(loads.len().max(MIN_LOAD_SAMPLES), DEFAULT_LOAD);
    median(loads)
}

/// Returns whether a load is far above the typical load.
pub fn is_overloaded(load: f64, typical: f64) -> bool {
    load > (OVERLOAD_FACTOR * typical).max(typical + OVERLOAD_FLOOR)
}

/// Start phase of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The server is in slow start.
    SlowStart,
    /// The server has its full capacity.
    WarmedUp,
}

/// Returns the estimated load of a server that is not probed. The estimate decays from the reported load to
/// the typical load. A server in slow start without a report is treated as idle: each router may send it only
/// a few requests, and otherwise hardly any request would be sent there.
pub fn estimated_load(server: &ServerRecord, now: Millis, typical: f64, phase: Phase) -> f64 {
    let unreported = typical.max(DEFAULT_LOAD);
    match (server.reported_load, phase) {
        (None, Phase::SlowStart) => 0.0,
        (None, Phase::WarmedUp) => unreported,
        (Some(report), _) => {
            let confidence = ((report.reported_at - now) / LOAD_REPORT_DECAY).exp();
            let reported = report.in_flight + server.sent_since_report;
            reported * confidence + unreported * (1.0 - confidence)
        }
    }
}

/// Returns one of the servers with the lowest estimated load. `draw`, a random number in [0, 1), selects
/// among them, so that routers with the same information do not all choose the same server.
pub fn least_loaded(estimates: &[(f64, ServerId)], draw: f64) -> Option<ServerId> {
    let lowest = estimates.iter().map(|(load, _)| *load).fold(f64::MAX, f64::min);
    let is_low = |estimate: &&(f64, ServerId)| estimate.0 <= lowest + LOAD_TOLERANCE;
    let low: Vec<ServerId> = estimates.iter().filter(is_low).map(|(_, id)| *id).collect();
    low.get((draw * low.len() as f64) as usize).copied()
}

/// Returns the time (ms) that a server needs for the requests in flight according to a fresh load report,
/// each with `work_tokens` of work. Returns 0 without such a report, and in a small fleet, where the router
/// measures the wait with its own requests.
pub fn reported_wait(
    server: &ServerRecord, routers: f64, now: Millis, time_per_token: Millis, work_tokens: f64,
) -> Millis {
    if !is_large_fleet(routers) {
        return 0.0;
    }
    let load = server.current_load(now, LOAD_REPORT_TTL);
    load.map_or(0.0, |load| load * work_tokens * time_per_token)
}

/// State of the information about the load of a candidate server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadStatus {
    /// There is a fresh load report.
    Reported {
        /// Requests in flight, scaled to full capacity.
        load: f64,
        /// Whether the load is far above the typical load.
        is_overloaded: bool,
    },
    /// There is no fresh report, and no probe has been sent.
    Unknown,
    /// A probe is in flight.
    Probing,
    /// A probe failed or timed out, or the load report may not be used.
    Unavailable,
}

impl LoadStatus {
    /// Returns whether a load report is present, or can be obtained within the probe budget.
    pub fn is_obtainable(self, budget: ProbeBudget) -> bool {
        match self {
            LoadStatus::Reported { .. } | LoadStatus::Probing => true,
            LoadStatus::Unknown => budget == ProbeBudget::Available,
            LoadStatus::Unavailable => false,
        }
    }
}

/// Returns the load information about a server for a request. `probed_at` is the time at which the server was
/// probed on behalf of the request, and `capacity_share` the server's current share of its capacity.
pub fn load_status(
    server: &ServerRecord, probed_at: Option<Millis>, now: Millis, typical: f64, capacity_share: f64,
) -> LoadStatus {
    if let Some(in_flight) = server.current_load(now, LOAD_REPORT_TTL) {
        let load = slow_start_budget::normalized_load(in_flight, capacity_share);
        return LoadStatus::Reported { load, is_overloaded: is_overloaded(load, typical) };
    }
    match probed_at {
        None => LoadStatus::Unknown,
        Some(sent_at) if now < sent_at + PROBE_TIMEOUT => LoadStatus::Probing,
        Some(_) => LoadStatus::Unavailable,
    }
}

/// State of the probe budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeBudget {
    /// The budget covers at least one probe.
    Available,
    /// The budget covers no probe.
    Exhausted,
}

/// Next step of a request after an evaluation of its candidates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The request is sent to the candidate with this index.
    Send(usize),
    /// The candidates with these indices are probed.
    Probe(Vec<usize>),
    /// The request waits for the answer to a probe.
    Wait,
}

/// Returns the next step of a request. All routers have the candidates in the same order.
///
/// The first candidate that is not overloaded receives the request. Requests for an overloaded preferred
/// server are thereby diverted to the same next server by every router, based on the reported load instead of
/// a router's own few requests. The first candidate is probed alone, then all others without a report at
/// once. If the probe budget is exhausted, a candidate without a report is treated as not overloaded. If all
/// candidates are overloaded, the least loaded one receives the request. If none answers, the last candidate
/// receives it, which is normally the fallback server.
pub fn next_step(candidates: &[LoadStatus], budget: ProbeBudget) -> NextStep {
    for (index, status) in candidates.iter().enumerate() {
        match status {
            LoadStatus::Reported { is_overloaded: false, .. } => return NextStep::Send(index),
            LoadStatus::Reported { is_overloaded: true, .. } | LoadStatus::Unavailable => {}
            LoadStatus::Probing => return NextStep::Wait,
            LoadStatus::Unknown if budget == ProbeBudget::Exhausted => return NextStep::Send(index),
            LoadStatus::Unknown => {
                let end = if index == 0 { 1 } else { candidates.len() };
                let is_unknown = |index: &usize| candidates[*index] == LoadStatus::Unknown;
                return NextStep::Probe((index..end).filter(is_unknown).collect());
            }
        }
    }
    let load = |(index, status): (usize, &LoadStatus)| match status {
        LoadStatus::Reported { load, .. } => Some((index, *load)),
        _ => None,
    };
    let reported = candidates.iter().enumerate().filter_map(load);
    let least = reported.min_by(|a, b| a.1.total_cmp(&b.1));
    NextStep::Send(least.map_or(candidates.len().saturating_sub(1), |(index, _)| index))
}

#[cfg(test)]
mod tests;
