//! The escape: a home with far more in flight than its like is passed over.

use super::{Router, ASKED_MEMORY};
use crate::{api::*, state::*};

/// In flight must exceed this many times the median ...
const TIMES: f64 = 2.0;
/// ... and the median plus this many for the whole fleet (own counts: divided among the routers).
const FLOOR: f64 = 4.0;

impl Router {
    /// Whether this router has lately sent a reader over twice the mean: where requests in flight are too few
    /// to show an overloaded home, what was sent still does.
    pub(super) fn pressed(&self, id: ServerId, usable: &[ServerId]) -> bool {
        let sends = |id: &ServerId| {
            let s = self.servers.get(id);
            s.map_or(0.0, |s| decayed(s.sends, self.now, ASKED_MEMORY))
        };
        let mean = usable.iter().map(sends).sum::<f64>() / usable.len().max(1) as f64;
        sends(&id) > TIMES * mean + 1.0
    }

    pub(super) fn escape(&self, home: ServerId, usable: &[ServerId]) -> ServerId {
        let role = |id: &ServerId| self.servers.get(id).map(|s| s.role);
        let load = |id: &ServerId| self.servers.get(id).map_or(0.0, |s| f64::from(s.out));
        let peers = || usable.iter().copied().filter(|id| role(id) == role(&home));
        let middle = median(peers().map(|id| load(&id)).collect());
        let floor = (FLOOR / self.routers()).max(1.0);
        if load(&home) <= (TIMES * middle).max(middle + floor) {
            return home;
        }
        peers().min_by(|a, b| load(a).total_cmp(&load(b))).unwrap_or(home)
    }
}
