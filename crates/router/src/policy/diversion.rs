//! The escape: a home with far more in flight than its like is passed over.

use super::{Router, REQUEST_RATE_DECAY};
use crate::{api::*, state::*};

/// In flight must exceed this many times the median ...
const TIMES: f64 = 2.0;
/// Lately sent this many times the mean, which is told with less noise.
const SENT_TIMES: f64 = 1.6;
/// ... and the median plus this many for the whole fleet (own counts: divided among the routers).
const FLOOR: f64 = 8.0;
/// By time: a read that would end after this share of the aim goes where it ends before that, and within
/// this part of it.
const LATE: f64 = 0.35;
const GAINS: f64 = 0.6;

impl Router {
    /// Whether this router has lately sent a reader far over the mean: where requests in flight are too few
    /// to show an overloaded home, what was sent still does.
    pub(super) fn has_excess_sends(&self, id: ServerId, usable: &[ServerId]) -> bool {
        let sends = |id: &ServerId| {
            let s = self.servers.get(id);
            s.map_or(0.0, |s| decayed(s.recent_sends, self.now, REQUEST_RATE_DECAY))
        };
        let mean = usable.iter().map(sends).sum::<f64>() / usable.len().max(1) as f64;
        sends(&id) > SENT_TIMES * mean + 1.0
    }

    fn divert_by_in_flight(&self, home: ServerId, usable: &[ServerId]) -> ServerId {
        let role = |id: &ServerId| self.servers.get(id).map(|s| s.role);
        let load = |id: &ServerId| self.servers.get(id).map_or(0.0, |s| f64::from(s.in_flight));
        let peers = || usable.iter().copied().filter(|id| role(id) == role(&home));
        let middle = median(peers().map(|id| load(&id)).collect());
        let floor = (FLOOR / self.router_count()).max(1.0);
        if load(&home) <= (TIMES * middle).max(middle + floor) {
            return home;
        }
        peers().min_by(|a, b| load(a).total_cmp(&load(b))).unwrap_or(home)
    }

    /// A reader where the read would end late, a slow one say, is passed over for the one where it would
    /// end first: it must not be refused for its home's sake. Harm: read whole there, so where all are late
    /// it stays at home.
    pub(super) fn divert(
        &self, home: ServerId, kept: f64, usable: &[ServerId], job: &RequestState,
    ) -> ServerId {
        let chosen = self.divert_by_in_flight(home, usable);
        let there = self.expected_time(chosen, job.prefill_work(if chosen == home { kept } else { 0.0 }));
        let others = usable.iter().map(|id| (*id, self.expected_time(*id, job.prefill_work(0.0))));
        let best = others.min_by(|a, b| a.1.total_cmp(&b.1));
        best.filter(|b| {
            there > LATE * job.first_token_objective()
                && b.1 < (LATE * job.first_token_objective()).min(GAINS * there)
        })
        .map_or(chosen, |b| b.0)
    }
}
