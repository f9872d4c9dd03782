//! Load probes: sent on behalf of a request in a large fleet, and to servers without a recent load report.
//!
//! The state is the router's probe budget, which requests replenish, and the probes sent for each request.
//! The budget bounds the cost of probes over the whole fleet. In a large fleet, probes detect the overload of
//! preferred servers that no router can detect from its own traffic.

use super::decode_placement::MEMORY_REPORT_DECAY;
use super::outlier_detection::BASE_EJECTION_TIME;
use super::Router;
use crate::api::{Action, AttemptStatus, LoadReport, Millis, Prices, Role, ServerId};
use crate::fleet_load::{self, LoadStatus, NextStep, Phase, PrefixDemand, ProbeBudget};
use crate::slow_start_budget::{self, Allowance};
use crate::state::{Location, RequestState, SentProbe, ServerRecord, LOAD_REPORT_TTL};

/// Time without a load report or a probe after which a server is probed (ms).
pub(super) const PROBE_INTERVAL: Millis = 1_000.0;
/// Small fleet: number of probes that a request adds to the budget.
const PROBES_PER_REQUEST: f64 = 1.0;
/// Small fleet: maximum number of probes in the budget.
const MAX_PROBE_BUDGET: f64 = 2.0;
/// Large fleet: number of probes in the budget that only requests may use.
const PROBES_RESERVED_FOR_REQUESTS: f64 = 12.0;
/// Time subtracted from the rank of a server with pending work (ms), so that it is probed before all servers
/// without pending work.
const PENDING_WORK_URGENCY: Millis = 1e12;

/// Information about the candidate prefill servers of a request.
struct FleetView<'a> {
    router: &'a Router,
    request: &'a RequestState,
    demand: PrefixDemand,
    typical_load: f64,
}

impl<'a> FleetView<'a> {
    fn server(&self, id: ServerId) -> Option<&'a ServerRecord> {
        self.router.servers.get(&id)
    }

    /// Returns the slow-start allowance of a server for the prefix of the request.
    fn allowance(&self, server: &ServerRecord) -> Allowance {
        let demand_units = self.demand.at_server(server);
        self.router.slow_start_allowance(server, demand_units, self.router.now)
    }

    /// Returns whether slow start permits a send to the server now.
    fn permits_send(&self, id: ServerId) -> bool {
        self.server(id).is_some_and(|server| self.allowance(server).permits_send(server, self.router.now))
    }

    /// Returns the load information about a server. If the server is in slow start and this router may not
    /// rely on its report, the server is treated as one that does not answer.
    fn candidate_status(&self, id: ServerId) -> LoadStatus {
        let Some(server) = self.server(id).filter(|server| self.allowance(server).may_use_report()) else {
            return LoadStatus::Unavailable;
        };
        let capacity_share = self.router.capacity_share(server);
        let probed_at = self.request.probed_at(id);
        fleet_load::load_status(server, probed_at, self.router.now, self.typical_load, capacity_share)
    }

    /// Returns the fallback server: one that has already been probed, or else one with the lowest estimated
    /// load.
    fn fallback(&self, others: &[ServerId], draw: f64) -> Option<ServerId> {
        if let Some(probed) = others.iter().find(|id| self.request.probed_at(**id).is_some()) {
            return Some(*probed);
        }
        let estimate = |id: &ServerId| {
            let server = self.server(*id)?;
            let phase = match self.router.capacity_share(server) < 1.0 {
                true => Phase::SlowStart,
                false => Phase::WarmedUp,
            };
            Some((fleet_load::estimated_load(server, self.router.now, self.typical_load, phase), *id))
        };
        let estimates: Vec<(f64, ServerId)> = others.iter().filter_map(estimate).collect();
        fleet_load::least_loaded(&estimates, draw)
    }
}

impl Router {
    /// Returns whether placement uses load reports instead of this router's own counts, which are not
    /// representative in a large fleet. A request may then wait for a probe before it is sent.
    pub(super) fn probes_before_send(&self) -> bool {
        fleet_load::is_large_fleet(self.router_count()) && self.settings.limits.probes
    }

    /// Performs overload diversion in a large fleet: returns the candidate that [`fleet_load::next_step`]
    /// selects, which is normally the first in order of preference that is not overloaded according to its
    /// load report. Sends probes for missing reports. Returns `None` while probes are in flight, or if no
    /// candidate remains.
    pub(super) fn choose_by_load_probe(
        &mut self, matched: Option<ServerId>, ranked: &[ServerId], request: &mut RequestState,
        actions: &mut Vec<Action>,
    ) -> Option<ServerId> {
        let draw = self.random.next_unit();
        let budget = if self.probe_budget >= 1.0 { ProbeBudget::Available } else { ProbeBudget::Exhausted };
        let unmatched = ranked.iter().copied().filter(|id| matched != Some(*id));
        let mut candidates: Vec<ServerId> = matched.into_iter().chain(unmatched).collect();
        let view = self.fleet_view(ranked, &candidates, request);
        let mut others = candidates.split_off(candidates.len().min(fleet_load::MAX_PROBED_CANDIDATES));
        others.retain(|id| view.permits_send(*id));
        candidates.extend(view.fallback(&others, draw));
        // Excludes servers in slow start for which no load report can be obtained.
        candidates.retain(|id| view.permits_send(*id) || view.candidate_status(*id).is_obtainable(budget));
        let statuses: Vec<LoadStatus> = candidates.iter().map(|id| view.candidate_status(*id)).collect();
        match fleet_load::next_step(&statuses, budget) {
            NextStep::Send(index) => return candidates.get(index).copied(),
            NextStep::Wait => {}
            NextStep::Probe(indices) => {
                for server in indices.into_iter().filter_map(|index| candidates.get(index).copied()) {
                    request.probes.push(SentProbe { server, sent_at: self.now });
                    self.send_probe(server, actions);
                }
            }
        }
        None
    }

    /// Collects the information about the candidates of a request, of which the first is the preferred
    /// server.
    fn fleet_view<'a>(
        &'a self, ranked: &[ServerId], candidates: &[ServerId], request: &'a RequestState,
    ) -> FleetView<'a> {
        let server = |id: &ServerId| self.servers.get(id);
        let prefill_servers = ranked.iter().filter_map(server);
        let demand = PrefixDemand::new(request.recent_requests, prefill_servers, candidates.first());
        let load = |id: &ServerId| server(id)?.current_load(self.now, MEMORY_REPORT_DECAY);
        let loads = candidates.iter().filter_map(load).collect();
        FleetView { router: self, request, demand, typical_load: fleet_load::typical_load(loads) }
    }

    /// Sends a probe and deducts it from the budget.
    fn send_probe(&mut self, id: ServerId, actions: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.last_probed_at = self.now;
        self.probe_budget -= 1.0;
        actions.push(Action::Probe { server: id });
    }

    /// Probes the memory use of some decode servers in the cell of a prefill while the prefill runs.
    /// Otherwise the state might be transferred to another cell only because the memory reports of the
    /// servers in that cell are newer.
    pub(super) fn probe_nearby_decode_servers(&mut self, location: Location, actions: &mut Vec<Action>) {
        let now = self.now;
        let Prices { probe, cell_transfer } = self.settings.prices;
        let is_unknown_nearby = |server: &ServerRecord| {
            let last_known_at = server.memory_reported_at.max(server.last_probed_at);
            server.entry.location() == location && now > last_known_at + LOAD_REPORT_TTL
        };
        let count = fleet_load::decode_servers_to_probe(probe, cell_transfer);
        self.probe_decode_servers(is_unknown_nearby, count, actions);
    }

    /// Probes some decode servers when a prefilled state is waiting and no decode server may receive it. A
    /// server in slow start may receive it only with a whole send of credit or a fresh report, and a report
    /// from the start of the prefill is too old at its end.
    pub(super) fn probe_stale_decode_servers(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let is_stale = |server: &ServerRecord| {
            server.current_load(now, slow_start_budget::FLEET_REPORT_TTL).is_none()
                && now > server.last_probed_at + fleet_load::PROBE_TIMEOUT
        };
        self.probe_decode_servers(is_stale, fleet_load::MAX_PROBED_DECODE_SERVERS, actions);
    }

    /// Probes up to `max_count` available decode servers, selected at random.
    fn probe_decode_servers(
        &mut self, should_probe: impl Fn(&ServerRecord) -> bool, max_count: usize, actions: &mut Vec<Action>,
    ) {
        let is_candidate = |server: &&ServerRecord| {
            server.role == Role::Decode && server.is_available(self.now) && should_probe(server)
        };
        let mut candidates: Vec<ServerId> =
            self.servers.values().filter(is_candidate).map(|server| server.entry.server).collect();
        let count = max_count.min(candidates.len()).min(self.probe_budget as usize);
        for _ in 0..count {
            let index = (self.random.next_unit() * candidates.len() as f64) as usize;
            let selected = candidates.swap_remove(index.min(candidates.len() - 1));
            self.send_probe(selected, actions);
        }
    }

    /// Handles the result of a probe, and advances the requests that wait for it. A failed probe extends the
    /// ejection of an unreachable server.
    pub(super) fn on_probe_result(
        &mut self, id: ServerId, status: AttemptStatus, report: Option<LoadReport>, actions: &mut Vec<Action>,
    ) {
        self.record_load_report(id, report);
        let now = self.now;
        let failed = status != AttemptStatus::Served;
        let ejected = self.servers.get_mut(&id).filter(|server| failed && server.health.is_unreachable());
        if let Some(server) = ejected {
            server.health.ejected_until = server.health.ejected_until.max(now + BASE_EJECTION_TIME);
        }
        let mut waiting = Vec::new();
        for (request_id, request) in &mut self.requests {
            if request.closed || request.has_attempt_in_flight() {
                continue;
            }
            let Some(probe) = request.probes.iter_mut().find(|probe| probe.server == id) else { continue };
            if failed {
                probe.sent_at = now - fleet_load::PROBE_TIMEOUT;
            }
            waiting.push(*request_id);
        }
        for request_id in waiting {
            self.advance(request_id, actions);
        }
    }

    /// Probes servers without a recent load report or probe, using the part of the probe budget that is not
    /// reserved for requests. Servers with pending work come first, then those with the oldest report or
    /// probe.
    pub(super) fn probe_stale_servers(&mut self, actions: &mut Vec<Action>) {
        let is_large_fleet = fleet_load::is_large_fleet(self.router_count());
        let reserved = if is_large_fleet { PROBES_RESERVED_FOR_REQUESTS } else { 0.0 };
        while self.settings.limits.probes && self.probe_budget >= 1.0 + reserved {
            let last_updated_at = |server: &ServerRecord| server.last_report_at.max(server.last_probed_at);
            let rank = |server: &ServerRecord| {
                last_updated_at(server) - if server.pending.is_empty() { 0.0 } else { PENDING_WORK_URGENCY }
            };
            let stale = self.servers.values().filter(|s| self.now >= last_updated_at(s) + PROBE_INTERVAL);
            let Some(server) = stale.min_by(|a, b| rank(a).total_cmp(&rank(b))) else { return };
            let id = server.entry.server;
            self.send_probe(id, actions);
        }
    }

    /// Records a load report of a server, if there is one.
    pub(super) fn record_load_report(&mut self, id: ServerId, report: Option<LoadReport>) {
        if let (Some(server), Some(report)) = (self.servers.get_mut(&id), report) {
            server.record_load_report(report, self.statistics.mean_prompt_tokens, self.now);
        }
    }

    /// Replenishes the probe budget for a new request.
    pub(super) fn replenish_probe_budget(&mut self) {
        let (added, max_budget) = match fleet_load::is_large_fleet(self.router_count()) {
            true => (
                fleet_load::probes_per_request(self.settings.prices.probe),
                PROBES_RESERVED_FOR_REQUESTS + 1.0,
            ),
            false => (PROBES_PER_REQUEST, MAX_PROBE_BUDGET),
        };
        self.probe_budget = (self.probe_budget + added).min(max_budget);
    }
}
