//! Looks: probes, on behalf of a request or to hear from a server that has been silent.

use super::{decode_placement::MEMORY_REPORT_DECAY, outlier_detection::BASE_EJECTION_TIME, Router};
use crate::{
    api::*, fleet_load, fleet_load::LoadKnowledge, fleet_load::NextStep, slow_start_budget, state::*,
};

/// Servers not heard from for this long are probed (ms), from so many probes earned by a request.
pub const PROBE_INTERVAL: Millis = 1_000.0;
const PROBE_EARN: f64 = 1.0;
/// Among many routers: how many looks are saved up for requests.
const LOOKS_KEPT: f64 = 12.0;

impl Router {
    /// Whether requests go by what servers say when they are asked: routers are too many for own counts.
    pub(super) fn probes_before_send(&self) -> bool {
        fleet_load::is_large_fleet(self.router_count()) && self.settings.limits.probes
    }

    /// The escape among many routers: the first in order that is not crowded by its own word, asked for it.
    pub(super) fn choose_by_load_probe(
        &mut self, matched: Option<ServerId>, order: &[ServerId], job: &mut RequestState,
        out: &mut Vec<Action>,
    ) -> Option<ServerId> {
        let (now, draw) = (self.now, self.random.next_unit());
        let rest = order.iter().copied().filter(|id| matched != Some(*id));
        let mut candidates: Vec<ServerId> = matched.into_iter().chain(rest).collect();
        let server = |id: &ServerId| self.servers.get(id);
        let readers = order.iter().filter_map(server);
        let asked = fleet_load::PrefixDemand::new(job.recent_requests, readers, candidates.first());
        let may_get = |id: &ServerId| {
            server(id)
                .is_some_and(|s| self.slow_start_allowance(s, asked.at_server(s), now).permits_send(s, now))
        };
        let heard =
            candidates.iter().filter_map(|id| server(id)?.current_load(now, MEMORY_REPORT_DECAY)).collect();
        let usual = fleet_load::typical_load(heard);
        // Of the others, one that was looked at or has the fewest in flight as far as is known stands last.
        let mut others = candidates.split_off(candidates.len().min(fleet_load::MAX_PROBED_CANDIDATES));
        others.retain(may_get);
        let seen = others.iter().find(|id| job.probes.iter().any(|l| l.0 == **id)).copied();
        let reckon =
            |s: &ServerRecord| fleet_load::estimated_load(s, now, usual, self.capacity_share(s) < 1.0);
        let reckoned: Vec<_> = others.iter().filter_map(|id| Some((reckon(server(id)?), *id))).collect();
        candidates.extend(seen.or(fleet_load::least_loaded(&reckoned, draw)));
        let look = |id: &ServerId| job.probes.iter().find(|l| l.0 == *id).map(|l| l.1);
        let sight =
            |s: &ServerRecord, look| fleet_load::load_knowledge(s, look, now, usual, self.capacity_share(s));
        let told = |s: &&ServerRecord| self.slow_start_allowance(s, asked.at_server(s), now).trusts_report();
        let sights =
            |id: &ServerId| server(id).filter(told).map_or(LoadKnowledge::NoAnswer, |s| sight(s, look(id)));
        // A cold one that says nothing gets nothing.
        let may_look = self.probe_budget >= 1.0;
        candidates.retain(|id| may_get(id) || sights(id).may_be_known(may_look));
        let sights: Vec<LoadKnowledge> = candidates.iter().map(sights).collect();
        match fleet_load::next_step(&sights, may_look) {
            NextStep::Send(n) => return candidates.get(n).copied(),
            NextStep::Wait => {}
            NextStep::Probe(which) => {
                for id in which.into_iter().filter_map(|n| candidates.get(n)) {
                    job.probes.push((*id, now));
                    self.send_probe(*id, out);
                }
            }
        }
        None
    }

    fn send_probe(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.last_probed_at = self.now;
        self.probe_budget -= 1.0;
        out.push(Action::Probe { server: id });
    }

    /// While the prompt is read, some writers near it are asked for their memory: a state need not leave
    /// its cell for a writer of which no more is known.
    pub(super) fn probe_nearby_decode_servers(&mut self, place: (u32, u32), out: &mut Vec<Action>) {
        let (now, Prices { probe, cell_transfer: moved }) = (self.now, self.settings.prices);
        let near = |s: &ServerRecord| {
            s.entry.location() == place && now > s.memory_reported_at.max(s.last_probed_at) + LOAD_REPORT_TTL
        };
        self.probe_decode_servers(near, fleet_load::decode_servers_to_probe(probe, moved), out);
    }

    /// A state that no writer may take has some asked anew: a cold one gets nothing without its fresh word,
    /// and what it said as the read began is old at its end.
    pub(super) fn probe_stale_decode_servers(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let old = |s: &ServerRecord| {
            s.current_load(now, slow_start_budget::FLEET_REPORT_TTL).is_none()
                && now > s.last_probed_at + fleet_load::PROBE_TIMEOUT
        };
        self.probe_decode_servers(old, fleet_load::MAX_PROBED_DECODE_SERVERS, out);
    }

    fn probe_decode_servers(
        &mut self, which: impl Fn(&ServerRecord) -> bool, most: usize, out: &mut Vec<Action>,
    ) {
        let asked = |s: &&ServerRecord| s.role == Role::Decode && s.is_available(self.now) && which(s);
        let mut some: Vec<_> = self.servers.values().filter(asked).map(|s| s.entry.server).collect();
        for _ in 0..most.min(some.len()).min(self.probe_budget as usize) {
            let n = (self.random.next_unit() * some.len() as f64) as usize;
            self.send_probe(some.swap_remove(n.min(some.len() - 1)), out);
        }
    }

    pub(super) fn on_probe_result(
        &mut self, server: ServerId, status: AttemptStatus, report: Option<LoadReport>, out: &mut Vec<Action>,
    ) {
        self.record_load_report(server, report);
        let now = self.now;
        let unreachable =
            |s: &&mut ServerRecord| status != AttemptStatus::Served && s.health.is_unreachable();
        if let Some(s) = self.servers.get_mut(&server).filter(unreachable) {
            s.health.ejected_until = s.health.ejected_until.max(now + BASE_EJECTION_TIME);
        }
        let mut waiting = Vec::new();
        for (id, job) in self.requests.iter_mut().filter(|(_, j)| !j.closed && !j.has_attempt_in_flight()) {
            let Some(look) = job.probes.iter_mut().find(|l| l.0 == server) else { continue };
            if status != AttemptStatus::Served {
                look.1 = now - fleet_load::PROBE_TIMEOUT;
            }
            waiting.push(*id);
        }
        waiting.into_iter().for_each(|id| self.advance(id, out));
    }

    /// Spends the probes earned where an answer would change most: where work waits, then longest unheard of.
    pub(super) fn probe_quiet_servers(&mut self, out: &mut Vec<Action>) {
        // Among many routers, probes are kept for the servers that a request is to go to.
        let kept = if fleet_load::is_large_fleet(self.router_count()) { LOOKS_KEPT } else { 0.0 };
        while self.settings.limits.probes && self.probe_budget >= 1.0 + kept {
            let due = self
                .servers
                .values_mut()
                .filter(|s| self.now >= s.last_heard_at.max(s.last_probed_at) + PROBE_INTERVAL);
            let urgency = |s: &ServerRecord| {
                s.last_heard_at.max(s.last_probed_at) - if s.pending.is_empty() { 0.0 } else { 1e12 }
            };
            let Some(s) = due.min_by(|a, b| urgency(a).total_cmp(&urgency(b))) else { return };
            let id = s.entry.server;
            self.send_probe(id, out);
        }
    }

    pub(super) fn record_load_report(&mut self, id: ServerId, report: Option<LoadReport>) {
        if let (Some(s), Some(report)) = (self.servers.get_mut(&id), report) {
            s.record_load_report(report, self.statistics.mean_prompt_tokens, self.now);
        }
    }

    /// Looks and probes earned by a new request.
    pub(super) fn earn_probes(&mut self) {
        let (earn, most) = match fleet_load::is_large_fleet(self.router_count()) {
            true => (fleet_load::probes_earned(self.settings.prices.probe), LOOKS_KEPT + 1.0),
            false => (PROBE_EARN, 2.0),
        };
        self.probe_budget = (self.probe_budget + earn).min(most);
    }
}
