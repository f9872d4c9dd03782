//! Looks: probes, on behalf of a request or to hear from a server that has been silent.

use super::{decode_placement::REPORT_FADES, outlier_detection::EJECT, Router};
use crate::{api::*, fleet_load, fleet_load::Next, fleet_load::Sight, slow_start_budget, state::*};

/// Servers not heard from for this long are probed (ms), from so many probes earned by a request.
pub const PROBE_AFTER: Millis = 1_000.0;
const PROBE_EARN: f64 = 1.0;
/// Among many routers: how many looks are saved up for requests.
const LOOKS_KEPT: f64 = 12.0;

impl Router {
    /// Whether requests go by what servers say when they are asked: routers are too many for own counts.
    pub(super) fn looks(&self) -> bool {
        fleet_load::thin(self.routers()) && self.settings.limits.probes
    }

    /// The escape among many routers: the first in order that is not crowded by its own word, asked for it.
    pub(super) fn look(
        &mut self, matched: Option<ServerId>, order: &[ServerId], job: &mut Job, out: &mut Vec<Action>,
    ) -> Option<ServerId> {
        let (now, draw) = (self.now, self.random.unit());
        let rest = order.iter().copied().filter(|id| matched != Some(*id));
        let mut candidates: Vec<ServerId> = matched.into_iter().chain(rest).collect();
        let server = |id: &ServerId| self.servers.get(id);
        let readers = order.iter().filter_map(server);
        let asked = fleet_load::Asked::of(job.asked, readers, candidates.first());
        let may_get =
            |id: &ServerId| server(id).is_some_and(|s| self.trust(s, asked.at(s), now).may_get(s, now));
        let heard = candidates.iter().filter_map(|id| server(id)?.load(now, REPORT_FADES)).collect();
        let usual = fleet_load::usual(heard);
        // Of the others, one that was looked at or has the fewest in flight as far as is known stands last.
        let mut others = candidates.split_off(candidates.len().min(fleet_load::HOMES_SEEN));
        others.retain(may_get);
        let seen = others.iter().find(|id| job.looks.iter().any(|l| l.0 == **id)).copied();
        let reckon = |s: &Server| fleet_load::reckon(s, now, usual, self.warmth(s) < 1.0);
        let reckoned: Vec<_> = others.iter().filter_map(|id| Some((reckon(server(id)?), *id))).collect();
        candidates.extend(seen.or(fleet_load::least(&reckoned, draw)));
        let look = |id: &ServerId| job.looks.iter().find(|l| l.0 == *id).map(|l| l.1);
        let sight = |s: &Server, look| fleet_load::sight(s, look, now, usual, self.warmth(s));
        let told = |s: &&Server| self.trust(s, asked.at(s), now).may_tell();
        let sights = |id: &ServerId| server(id).filter(told).map_or(Sight::Deaf, |s| sight(s, look(id)));
        // A cold one that says nothing gets nothing.
        let may_look = self.probes >= 1.0;
        candidates.retain(|id| may_get(id) || sights(id).may_tell(may_look));
        let sights: Vec<Sight> = candidates.iter().map(sights).collect();
        match fleet_load::next(&sights, may_look) {
            Next::Send(n) => return candidates.get(n).copied(),
            Next::Wait => {}
            Next::Look(which) => {
                for id in which.into_iter().filter_map(|n| candidates.get(n)) {
                    job.looks.push((*id, now));
                    self.look_at(*id, out);
                }
            }
        }
        None
    }

    fn look_at(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.probed = self.now;
        self.probes -= 1.0;
        out.push(Action::Probe { server: id });
    }

    /// While the prompt is read, some writers near it are asked for their memory: a state need not leave
    /// its cell for a writer of which no more is known.
    pub(super) fn look_ahead(&mut self, place: (u32, u32), out: &mut Vec<Action>) {
        let (now, Prices { probe, cell_transfer: moved }) = (self.now, self.settings.prices);
        let near = |s: &Server| s.info.place() == place && now > s.memory_seen.max(s.probed) + SEEN;
        self.look_at_writers(near, fleet_load::writers_seen(probe, moved), out);
    }

    /// A state that no writer may take has some asked anew: a cold one gets nothing without its fresh word,
    /// and what it said as the read began is old at its end.
    pub(super) fn look_again(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let old = |s: &Server| {
            s.load(now, slow_start_budget::FRESH).is_none() && now > s.probed + fleet_load::LOOK_WAIT
        };
        self.look_at_writers(old, fleet_load::WRITERS_SEEN, out);
    }

    fn look_at_writers(&mut self, which: impl Fn(&Server) -> bool, most: usize, out: &mut Vec<Action>) {
        let asked = |s: &&Server| s.role == Role::Decode && s.well(self.now) && which(s);
        let mut some: Vec<_> = self.servers.values().filter(asked).map(|s| s.info.server).collect();
        for _ in 0..most.min(some.len()).min(self.probes as usize) {
            let n = (self.random.unit() * some.len() as f64) as usize;
            self.look_at(some.swap_remove(n.min(some.len() - 1)), out);
        }
    }

    pub(super) fn on_probed(
        &mut self, server: ServerId, status: AttemptStatus, report: Option<LoadReport>, out: &mut Vec<Action>,
    ) {
        self.learn_report(server, report);
        let now = self.now;
        let unreachable = |s: &&mut Server| status != AttemptStatus::Served && s.health.unreachable();
        if let Some(s) = self.servers.get_mut(&server).filter(unreachable) {
            s.health.until = s.health.until.max(now + EJECT);
        }
        let mut waiting = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, j)| !j.closed && !j.any_out()) {
            let Some(look) = job.looks.iter_mut().find(|l| l.0 == server) else { continue };
            if status != AttemptStatus::Served {
                look.1 = now - fleet_load::LOOK_WAIT;
            }
            waiting.push(*id);
        }
        waiting.into_iter().for_each(|id| self.advance(id, out));
    }

    /// Spends the probes earned where an answer would change most: where work waits, then longest unheard of.
    pub(super) fn probe(&mut self, out: &mut Vec<Action>) {
        // Among many routers, probes are kept for the servers that a request is to go to.
        let kept = if fleet_load::thin(self.routers()) { LOOKS_KEPT } else { 0.0 };
        while self.settings.limits.probes && self.probes >= 1.0 + kept {
            let due = self.servers.values_mut().filter(|s| self.now >= s.heard.max(s.probed) + PROBE_AFTER);
            let urgency = |s: &Server| s.heard.max(s.probed) - if s.waiting.is_empty() { 0.0 } else { 1e12 };
            let Some(s) = due.min_by(|a, b| urgency(a).total_cmp(&urgency(b))) else { return };
            let id = s.info.server;
            self.look_at(id, out);
        }
    }

    pub(super) fn learn_report(&mut self, id: ServerId, report: Option<LoadReport>) {
        if let (Some(s), Some(report)) = (self.servers.get_mut(&id), report) {
            s.hear(report, self.learned.prompt, self.now);
        }
    }

    /// Looks and probes earned by a new request.
    pub(super) fn earn_probes(&mut self) {
        let (earn, most) = match fleet_load::thin(self.routers()) {
            true => (fleet_load::looks_earned(self.settings.prices.probe), LOOKS_KEPT + 1.0),
            false => (PROBE_EARN, 2.0),
        };
        self.probes = (self.probes + earn).min(most);
    }
}
