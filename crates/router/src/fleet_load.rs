//! Load estimate where many routers share the fleet and none sees the others' traffic.
//!
//! In a small fleet a router's own counts stand for all. In a large one they say too little, so servers are
//! probed for their load: this module decides how many preferred servers a prefix gets, which servers to
//! probe, and which of them gets a request. Pure functions; the router owns the state, and the caller owns
//! the clock.

use crate::api::{Millis, ServerId};
use crate::slow_start_budget;
use crate::state::{median, RecentRequests, ServerRecord, LOAD_REPORT_TTL};

/// Up to this many routers a router's own counts stand for all: the floor of diversion, divided among the
/// routers, is then still a request or more.
const SMALL_FLEET: f64 = 4.0;
/// Large fleet: requests that are added to a router's own count, as if each were for another prefix. A prefix
/// that came once among few requests is so taken for one of many alike.
const PRIOR_REQUESTS: f64 = 30.0;
/// Large fleet: least number of preferred servers of a prefix. The second has it cached when the first is
/// overloaded.
const MIN_PREFERRED_SERVERS: usize = 2;
/// A server is overloaded when its requests in flight exceed the typical load by this factor and by this
/// many.
const OVERLOAD_FACTOR: f64 = 2.0;
const OVERLOAD_FLOOR: f64 = 4.0;
/// Servers whose loads make a median. Those not heard from count as having the default load.
const MIN_LOAD_SAMPLES: usize = 12;
const DEFAULT_LOAD: f64 = 1.0;
/// Candidates, in order, that are probed for a request before one elsewhere.
pub const MAX_PROBED_CANDIDATES: usize = 3;
/// Time within which a probe must be answered (ms). A server that is slower counts as overloaded.
pub const PROBE_TIMEOUT: Millis = 120.0;
/// Large fleet: samples from which a service time is used.
const MIN_SERVICE_TIME_SAMPLES: u32 = 5;
/// Most probes that a request can use, and the part of its value that probes for its prefill server may cost.
/// Measured: without any, a day with a popular prefix loses 0.3 of its result, a day without one some 0.01.
const MAX_PROBES_PER_REQUEST: f64 = 4.0;
const PROBE_COST_LIMIT: f64 = 0.012;
/// The first probe of a decode server near a prefill saves this share of the tokens that would leave their
/// cell, and each further one this part of what the one before saved. Measured: 0.96 of the tokens leave with
/// none, 0.48 with one, 0.34 with two (docs/fleet.md).
const FIRST_PROBE_SAVING: f64 = 0.48;
const FURTHER_PROBE_FACTOR: f64 = 0.29;
/// Most decode servers that are probed at a time.
pub const MAX_PROBED_DECODE_SERVERS: usize = 4;
/// Loads that differ by no more than this count as equal.
const LOAD_TOLERANCE: f64 = 0.5;
/// Decay time of the confidence in a load report (ms).
const LOAD_REPORT_DECAY: Millis = 3_000.0;

/// Whether each router's own counts are too few to show what all routers do together.
pub fn is_large_fleet(routers: f64) -> bool {
    routers > SMALL_FLEET
}

/// Samples from which a service time shows a server's own speed whatever its queue. A router that sees much
/// of the traffic has more of them the next moment.
pub fn min_service_time_samples(routers: f64) -> u32 {
    if is_large_fleet(routers) {
        MIN_SERVICE_TIME_SAMPLES
    } else {
        1
    }
}

/// Probes that a request earns where each costs this part of its value.
pub fn probes_earned(probe_price: f64) -> f64 {
    (PROBE_COST_LIMIT / probe_price.max(1e-9)).min(MAX_PROBES_PER_REQUEST)
}

/// How many decode servers near a prefill to probe while it runs: as many as save more, by what they keep in
/// its cell, than they cost. `transfer_price` is what the transfer of all tokens out of their cell costs.
pub fn decode_servers_to_probe(probe_price: f64, transfer_price: f64) -> usize {
    let saving = |index: usize| transfer_price * FIRST_PROBE_SAVING * FURTHER_PROBE_FACTOR.powi(index as i32);
    (0..MAX_PROBED_DECODE_SERVERS).take_while(|index| saving(*index) > probe_price).count()
}

/// How many of so many prefill servers a prefix prefers: its share of all requests, in units of
/// `load_per_server` average servers.
///
/// In a large fleet a count of one or two says little, so it is weighed against what one of many alike would
/// show; the more a router has seen, the more its own count says.
pub fn preferred_servers(
    recent: RecentRequests, servers: usize, routers: f64, load_per_server: f64,
) -> usize {
    let max_count = servers.max(1);
    if !is_large_fleet(routers) {
        // The request itself is counted already and does not show how often others come.
        let share = (recent.same_prefix - 1.0) / recent.total.max(1.0);
        return ((share * servers as f64 / load_per_server).round() as usize).clamp(1, max_count);
    }
    let share = prefix_share(recent.same_prefix, recent.total);
    let count = (share * servers as f64 / load_per_server).ceil() as usize;
    count.max(MIN_PREFERRED_SERVERS).clamp(1, max_count)
}

/// A prefix's share of all requests, as one router of a large fleet estimates it.
fn prefix_share(same_prefix: f64, total: f64) -> f64 {
    same_prefix / (total + PRIOR_REQUESTS)
}

/// Capacity that the requests for a prefix keep busy, over all routers.
pub struct PrefixDemand {
    units: f64,
    preferred: Option<ServerId>,
}

impl PrefixDemand {
    /// The demand of a prefix with so many requests of late, at these prefill servers, of which one is
    /// preferred.
    pub fn new<'a>(
        recent: RecentRequests, servers: impl Iterator<Item = &'a ServerRecord>, preferred: Option<&ServerId>,
    ) -> PrefixDemand {
        // The request itself is counted already and does not show how often others come.
        let others = (recent.same_prefix - 1.0).max(0.0);
        let total_units = servers.map(|server| slow_start_budget::capacity_units(server, 1.0)).sum::<f64>();
        let units = prefix_share(others, recent.total) * total_units;
        PrefixDemand { units, preferred: preferred.copied() }
    }

    /// The part of it that may come to a server, in units of capacity: to the preferred one no more than its
    /// own capacity, as there is a preferred server for each such part; to any other all of it, since all
    /// routers send what overflows to the first that is not overloaded.
    pub fn at_server(&self, server: &ServerRecord) -> f64 {
        if self.preferred == Some(server.entry.server) {
            self.units.min(slow_start_budget::capacity_units(server, 1.0))
        } else {
            self.units
        }
    }
}

/// Typical load of a server: the median of those known. Of too few, an overloaded one would be the median
/// itself, so they are filled up with the default load.
pub fn typical_load(mut loads: Vec<f64>) -> f64 {
    loads.resize(loads.len().max(MIN_LOAD_SAMPLES), DEFAULT_LOAD);
    median(loads)
}

/// Whether a load is clearly above the typical one.
pub fn is_overloaded(load: f64, typical: f64) -> bool {
    load > (OVERLOAD_FACTOR * typical).max(typical + OVERLOAD_FLOOR)
}

/// Whether a server has just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// In slow start.
    SlowStart,
    /// At full capacity.
    WarmedUp,
}

/// Load of a server that is not probed: its report fades into the typical load. One in slow start without a
/// report counts as empty: each router may send it little, and few requests would get there otherwise.
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

/// One of the servers with the least estimated load, by a draw in [0, 1): routers that know the same must not
/// all choose the same.
pub fn least_loaded(estimates: &[(f64, ServerId)], draw: f64) -> Option<ServerId> {
    let lowest = estimates.iter().map(|(load, _)| *load).fold(f64::MAX, f64::min);
    let is_low = |estimate: &&(f64, ServerId)| estimate.0 <= lowest + LOAD_TOLERANCE;
    let low: Vec<ServerId> = estimates.iter().filter(is_low).map(|(_, id)| *id).collect();
    low.get((draw * low.len() as f64) as usize).copied()
}

/// Time (ms) that a server needs for what it has in flight by a fresh load report, with so much work each. 0
/// in a small fleet, where a router knows the wait from its own requests.
pub fn reported_wait(
    server: &ServerRecord, routers: f64, now: Millis, time_per_token: Millis, work_tokens: f64,
) -> Millis {
    if !is_large_fleet(routers) {
        return 0.0;
    }
    let load = server.current_load(now, LOAD_REPORT_TTL);
    load.map_or(0.0, |load| load * work_tokens * time_per_token)
}

/// What is known of the load of a server that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadKnowledge {
    /// It has reported.
    Reported {
        /// Requests in flight, as they would be at full capacity.
        load: f64,
        /// Whether that is clearly above the typical load.
        is_overloaded: bool,
    },
    /// There is no fresh report, and no probe has been sent.
    Unknown,
    /// A probe has been sent, and its answer may still come.
    Probing,
    /// A probe has failed or was not answered in time.
    NoAnswer,
}

impl LoadKnowledge {
    /// Whether a report is there or can still come.
    pub fn can_be_known(self, budget: ProbeBudget) -> bool {
        match self {
            LoadKnowledge::Reported { .. } | LoadKnowledge::Probing => true,
            LoadKnowledge::Unknown => budget == ProbeBudget::Available,
            LoadKnowledge::NoAnswer => false,
        }
    }
}

/// What a request knows of a server with this share of its capacity, for which it last sent a probe at
/// `probed_at`.
pub fn load_knowledge(
    server: &ServerRecord, probed_at: Option<Millis>, now: Millis, typical: f64, capacity_share: f64,
) -> LoadKnowledge {
    if let Some(in_flight) = server.current_load(now, LOAD_REPORT_TTL) {
        let load = slow_start_budget::normalized_load(in_flight, capacity_share);
        return LoadKnowledge::Reported { load, is_overloaded: is_overloaded(load, typical) };
    }
    match probed_at {
        None => LoadKnowledge::Unknown,
        Some(sent_at) if now < sent_at + PROBE_TIMEOUT => LoadKnowledge::Probing,
        Some(_) => LoadKnowledge::NoAnswer,
    }
}

/// Whether a probe can be paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeBudget {
    /// At least one.
    Available,
    /// None.
    Exhausted,
}

/// What a request whose candidates have been looked over does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// It is sent to the candidate with this index.
    Send(usize),
    /// The candidates with these indices are probed.
    Probe(Vec<usize>),
    /// It waits for the answer to a probe.
    Wait,
}

/// The next step of a request whose candidates stand in the order in which all routers try them.
///
/// The first that is not overloaded gets it. So an overloaded preferred server overflows to the same next one
/// from every router, and its load is reported by the server, not guessed from a router's own few requests.
/// The first is probed alone, then all others at once. If none will do, the least loaded of them gets it; if
/// none answers, the last, which is the one elsewhere.
pub fn next_step(candidates: &[LoadKnowledge], budget: ProbeBudget) -> NextStep {
    for (index, knowledge) in candidates.iter().enumerate() {
        match knowledge {
            LoadKnowledge::Reported { is_overloaded: false, .. } => return NextStep::Send(index),
            LoadKnowledge::Reported { is_overloaded: true, .. } | LoadKnowledge::NoAnswer => {}
            LoadKnowledge::Probing => return NextStep::Wait,
            LoadKnowledge::Unknown if budget == ProbeBudget::Exhausted => return NextStep::Send(index),
            LoadKnowledge::Unknown => {
                let end = if index == 0 { 1 } else { candidates.len() };
                let is_unknown = |index: &usize| candidates[*index] == LoadKnowledge::Unknown;
                return NextStep::Probe((index..end).filter(is_unknown).collect());
            }
        }
    }
    let load = |(index, knowledge): (usize, &LoadKnowledge)| match knowledge {
        LoadKnowledge::Reported { load, .. } => Some((index, *load)),
        _ => None,
    };
    let reported = candidates.iter().enumerate().filter_map(load);
    let least = reported.min_by(|a, b| a.1.total_cmp(&b.1));
    NextStep::Send(least.map_or(candidates.len().saturating_sub(1), |(index, _)| index))
}

#[cfg(test)]
mod tests;
