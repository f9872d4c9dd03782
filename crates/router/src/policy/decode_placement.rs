//! Decode placement: selects the decode server with the lowest projected memory use, preferring one near the
//! prefill server if the difference is small.
//!
//! This module has no state of its own. It uses memory reports and the streams sent since. It balances the
//! memory use of decode servers against the cost of transfers between cells and zones.

use super::Router;
use crate::api::{Action, Millis, Role, ServerId};
use crate::slow_start_budget;
use crate::state::{Location, RequestState, ServerRecord, Stage, LOAD_REPORT_TTL};

/// Share of memory by which a nearby server with a current memory report may exceed the lowest projection.
const NEARBY_MARGIN: f64 = 0.05;
/// Share of memory by which a nearby server with unknown memory may exceed the lowest projection.
const NEARBY_MARGIN_UNKNOWN: f64 = 0.4;
/// Decay time of the confidence in a memory report (ms).
pub(super) const MEMORY_REPORT_DECAY: Millis = 10_000.0;
/// Maximum random addition to the average memory share in a projection for unknown memory.
const UNKNOWN_SPREAD: f64 = 0.2;
/// Projected memory share above which a decode server is full according to its memory reports.
const FULL_MEMORY_SHARE: f64 = 0.85;
/// Projected memory share above which a decode server without memory reports is full, as estimated from its
/// waits.
const FULL_MEMORY_SHARE_BY_WAITS: f64 = 0.5;

/// Projected memory use of a server as a share of its capacity; a value above 1 indicates a queue.
#[derive(Clone, Copy)]
struct Projection {
    server: ServerId,
    memory_share: f64,
}

impl Router {
    /// Selects the decode server for a state that is held by its prefill server.
    pub(super) fn choose_decode_server(
        &mut self, request: &RequestState, actions: &mut Vec<Action>,
    ) -> Option<ServerId> {
        let eligible = self.eligible_servers(&[Role::Decode], request, Stage::Decode, actions);
        let mut projections = self.projected_memory(&eligible);
        let wait_weight = self.wait_weight(request);
        for projection in &mut projections {
            let confidence = self.memory_confidence(projection.server);
            let wait = self.expected_time(projection.server, 0.0);
            projection.memory_share += (1.0 - confidence) * wait * wait_weight;
        }
        // Mixed servers decode states of other servers only while every eligible decode server is nearly
        // full, or none is eligible.
        if projections.iter().all(|projection| self.is_nearly_full(*projection, wait_weight)) {
            let mixed = self.eligible_servers(&[Role::Mixed], request, Stage::Decode, actions);
            projections.extend(self.projected_memory(&mixed));
        }
        if projections.is_empty() && self.probes_before_send() {
            self.probe_stale_decode_servers(actions);
        }
        let prefilled_at = self.servers.get(&request.prefilled_on?)?.entry.location();
        self.prefer_nearby(&projections, prefilled_at, request)
    }

    /// Returns the memory share that a millisecond of wait is equivalent to. Without probes, the memory use
    /// of a server is estimated from its waits: a wait as long as the objective is equivalent to a full
    /// memory. With probes the weight is 0, because memory reports are then available.
    fn wait_weight(&self, request: &RequestState) -> f64 {
        if self.settings.limits.probes {
            0.0
        } else {
            1.0 / request.first_token_objective().max(1.0)
        }
    }

    /// Returns whether a server is full according to its memory reports or, without probes, according to its
    /// waits. The projection is weighted by the confidence in the report for the first comparison, and by the
    /// lack of confidence for the second.
    fn is_nearly_full(&self, projection: Projection, wait_weight: f64) -> bool {
        let Projection { server, memory_share } = projection;
        let confidence = self.memory_confidence(server);
        let full_by_report = memory_share * confidence > FULL_MEMORY_SHARE;
        let full_by_waits =
            wait_weight > 0.0 && memory_share * (1.0 - confidence) > FULL_MEMORY_SHARE_BY_WAITS;
        full_by_report || full_by_waits
    }

    /// Returns the server with the lowest projection in the same cell, or else in the same zone, if it is
    /// acceptable. Otherwise returns the server with the lowest projection of all.
    fn prefer_nearby(
        &self, projections: &[Projection], location: Location, request: &RequestState,
    ) -> Option<ServerId> {
        let best = self.lowest(projections, |_| true)?;
        let in_cell = self.lowest(projections, |other| other == location);
        let in_zone = self.lowest(projections, |other| other.zone == location.zone);
        let nearby = [in_cell, in_zone].into_iter().flatten();
        let mut acceptable = nearby.filter(|candidate| self.is_acceptable_nearby(*candidate, best, request));
        Some(acceptable.next().unwrap_or(best).server)
    }

    /// Returns the lowest projection among the servers whose location satisfies `is_near`.
    fn lowest(&self, projections: &[Projection], is_near: impl Fn(Location) -> bool) -> Option<Projection> {
        let location = |id| self.servers.get(&id).map(|server| server.entry.location());
        let near = projections.iter().copied().filter(|p| location(p.server).is_some_and(&is_near));
        near.min_by(|a, b| a.memory_share.total_cmp(&b.memory_share))
    }

    /// Returns whether a nearby server may be selected instead of the one with the lowest projection. This is
    /// the case if its projection is close enough, with a larger margin for unknown memory. With probes
    /// before a send, it is also the case if a recent report shows enough free memory for the request.
    fn is_acceptable_nearby(&self, candidate: Projection, best: Projection, request: &RequestState) -> bool {
        let confidence = self.memory_confidence(candidate.server);
        let margin = NEARBY_MARGIN * confidence + NEARBY_MARGIN_UNKNOWN * (1.0 - confidence);
        if candidate.memory_share <= best.memory_share + margin {
            return true;
        }
        let Some(server) = self.servers.get(&candidate.server) else { return false };
        let is_reported =
            self.probes_before_send() && self.now <= server.memory_reported_at + LOAD_REPORT_TTL;
        is_reported && candidate.memory_share + request.memory_share(server) <= FULL_MEMORY_SHARE
    }

    /// Returns the projected memory use of these servers, which is the last report plus the streams sent
    /// since. As the confidence in the report decays, it is replaced by the average plus a random addition.
    ///
    /// The unreported streams of this router are extrapolated to all routers in proportion to their number,
    /// and fully from one stream per router. A few streams are not representative in a large fleet, and would
    /// raise all projections equally.
    fn projected_memory(&mut self, ids: &[ServerId]) -> Vec<Projection> {
        // Routers with the same information must not all choose the same server.
        let draws: Vec<f64> = ids.iter().map(|_| self.random.next_unit()).collect();
        let servers: Vec<&ServerRecord> = ids.iter().filter_map(|id| self.servers.get(id)).collect();
        let average = self.average_memory(&servers);
        let own_streams = servers.iter().map(|server| server.unreported_streams.len()).sum::<usize>() as f64;
        let routers = self.router_count();
        let fleet_factor = 1.0 + (routers - 1.0) * (own_streams / routers).min(1.0);
        let project = |(server, draw): (&&ServerRecord, f64)| {
            let unknown = 1.0 - server.memory_report_confidence(self.now, MEMORY_REPORT_DECAY);
            let reported = server.memory_share.unwrap_or(0.0) * (1.0 - unknown) + unknown * average;
            let sent: f64 = server.unreported_streams.values().map(|stream| stream.memory_share).sum();
            let capacity_share = if self.probes_before_send() { self.capacity_share(server) } else { 1.0 };
            let load = slow_start_budget::normalized_load(reported + sent * fleet_factor, capacity_share);
            Projection { server: server.entry.server, memory_share: load + unknown * UNKNOWN_SPREAD * draw }
        };
        servers.iter().zip(draws).map(project).collect()
    }

    /// Returns the mean of the reported memory shares, weighted by the confidence in the reports.
    fn average_memory(&self, servers: &[&ServerRecord]) -> f64 {
        // Avoids a division by 0 if there are no reports.
        let (mut sum, mut weight) = (0.0, 1e-9);
        for server in servers {
            let confidence = server.memory_report_confidence(self.now, MEMORY_REPORT_DECAY);
            sum += server.memory_share.unwrap_or(0.0) * confidence;
            weight += confidence;
        }
        sum / weight
    }

    fn memory_confidence(&self, id: ServerId) -> f64 {
        let server = self.servers.get(&id);
        server.map_or(0.0, |server| server.memory_report_confidence(self.now, MEMORY_REPORT_DECAY))
    }
}
