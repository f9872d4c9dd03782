//! Writer choice: the lowest projected memory, and near the reader where that costs little.

use super::Router;
use crate::{api::*, slow_start_budget, state::*};

/// Share of memory by which a near writer may lie above the lowest: where its memory is known, and where
/// it is guessed.
const NEAR_MARGIN: f64 = 0.05;
const NEAR_UNSURE: f64 = 0.4;
/// A report fades in this time (ms), and what is not known may lie this far above the average.
pub const MEMORY_REPORT_DECAY: Millis = 10_000.0;
const UNSURE: f64 = 0.2;
/// From this projection of the lowest writer on, mixed servers take states too.
const FULL: f64 = 0.85;
const FULL_UNSURE: f64 = 0.5;

impl Router {
    pub(super) fn choose_decode_server(
        &mut self, job: &RequestState, out: &mut Vec<Action>,
    ) -> Option<ServerId> {
        let usable = self.eligible_servers(&[Role::Decode], job, Stage::Decode, out);
        let mut known = self.projected_memory(&usable);
        // Where none can be asked, what was waited there speaks: an aim of it is as bad as a memory that
        // is full.
        let deaf = if self.settings.limits.probes { 0.0 } else { 1.0 / job.first_token_objective().max(1.0) };
        let waits = |id| (1.0 - self.memory_report_confidence(id)) * self.expected_time(id, 0.0) * deaf;
        known.iter_mut().for_each(|w| w.1 += waits(w.0));
        // Exception: mixed servers take states too while every writer is known to be nearly full.
        if known.iter().all(|w| {
            w.1 * self.memory_report_confidence(w.0) > FULL
                || deaf > 0.0 && w.1 * (1.0 - self.memory_report_confidence(w.0)) > FULL_UNSURE
        }) {
            let mixed = self.eligible_servers(&[Role::Mixed], job, Stage::Decode, out);
            known.extend(self.projected_memory(&mixed));
        }
        if known.is_empty() && self.probes_before_send() {
            self.probe_stale_decode_servers(out);
        }
        let place = |id: &ServerId| self.servers.get(id).map(|s| s.entry.location());
        let home = job.prefilled_on.as_ref().and_then(place)?;
        let lowest = |near: &dyn Fn((u32, u32)) -> bool| {
            let mine = known.iter().copied().filter(|w| place(&w.0).is_some_and(near));
            mine.min_by(|a, b| a.1.total_cmp(&b.1))
        };
        let best = lowest(&|_| true)?;
        // What is not known does not speak against a near writer.
        let looks = self.probes_before_send();
        let known = |s: &ServerRecord| looks && self.now <= s.memory_reported_at + LOAD_REPORT_TTL;
        let room = |c: &(ServerId, f64)| {
            self.servers.get(&c.0).is_some_and(|s| known(s) && c.1 + job.memory_share(s) <= FULL)
        };
        let margin = |sure: f64| NEAR_MARGIN * sure + NEAR_UNSURE * (1.0 - sure);
        let fits =
            |c: &(ServerId, f64)| c.1 <= best.1 + margin(self.memory_report_confidence(c.0)) || room(c);
        let near = |c: Option<(ServerId, f64)>| c.filter(fits).map(|c| c.0);
        near(lowest(&|p| p == home)).or(near(lowest(&|p| p.0 == home.0))).or(Some(best.0))
    }

    /// Last reported share of memory, believed less with its age (then the average, give or take), plus the
    /// streams sent there since. Own sends stand for those of the other routers only where there are many:
    /// a few among hundreds of routers say nothing, and what all send alike raises all alike.
    fn projected_memory(&mut self, usable: &[ServerId]) -> Vec<(ServerId, f64)> {
        // What is not known is drawn by chance: routers that know the same must not all pick the same.
        let draws: Vec<f64> = usable.iter().map(|_| self.random.next_unit()).collect();
        let servers: Vec<&ServerRecord> = usable.iter().filter_map(|id| self.servers.get(id)).collect();
        let known = servers.iter().map(|s| {
            (s.memory_share.unwrap_or(0.0), s.memory_report_confidence(self.now, MEMORY_REPORT_DECAY))
        });
        let (sum, weight) = known.fold((0.0, 1e-9), |a, (m, t)| (a.0 + m * t, a.1 + t));
        let own = servers.iter().map(|s| s.unreported_streams.len()).sum::<usize>() as f64;
        let routers = self.router_count();
        let times = 1.0 + (routers - 1.0) * (own / routers).min(1.0);
        let project = |s: &ServerRecord, draw: f64| {
            let unsure = 1.0 - s.memory_report_confidence(self.now, MEMORY_REPORT_DECAY);
            let seen = s.memory_share.unwrap_or(0.0) * (1.0 - unsure) + unsure * (sum / weight);
            let sent: f64 = s.unreported_streams.values().map(|r| r.1).sum();
            let warmth = if self.probes_before_send() { self.capacity_share(s) } else { 1.0 };
            (
                s.entry.server,
                slow_start_budget::normalized_load(seen + sent * times, warmth) + unsure * UNSURE * draw,
            )
        };
        servers.iter().zip(draws).map(|(s, draw)| project(s, draw)).collect()
    }

    fn memory_report_confidence(&self, id: ServerId) -> f64 {
        self.servers.get(&id).map_or(0.0, |s| s.memory_report_confidence(self.now, MEMORY_REPORT_DECAY))
    }
}
