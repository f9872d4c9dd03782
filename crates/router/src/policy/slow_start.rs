//! Slow start: what a cold server may get from this router; the figures are in `warm.rs`.

use super::Router;
use crate::{api::*, slow_start_budget, state::*};

impl Router {
    /// Slow start: the share of its capacity that a server can be trusted with at present.
    pub(super) fn warmth(&self, s: &Server) -> f64 {
        slow_start_budget::warmth(&self.settings.rules, s.cold_since, self.now)
    }

    /// Slow start: sends that a cold server has left from this router at a moment, if none goes there before.
    pub(super) fn credit(&self, s: &Server, at: Millis) -> f64 {
        let units = slow_start_budget::units(s, self.warmth(s));
        let (carried, rules) = (&self.learned.carried[s.role as usize], &self.settings.rules);
        slow_start_budget::credit(s, units, carried, rules, self.routers(), at)
    }

    /// Slow start: what this server is trusted with then, for a beginning that keeps so many units busy.
    pub(super) fn trust(&self, s: &Server, asked: f64, at: Millis) -> slow_start_budget::Trust {
        let warmth = self.warmth(s);
        let ahead =
            || slow_start_budget::ahead(&self.settings.rules, slow_start_budget::units(s, warmth), asked);
        slow_start_budget::Trust { warmth, credit: self.credit(s, at), ahead: self.looks().then(ahead) }
    }

    /// The most that this role has carried a second for this router, by unit of warm weight.
    pub(super) fn note_success(&mut self, id: ServerId) {
        let Some(role) = self.servers.get(&id).map(|s| s.role) else { return };
        let like = self.servers.values().filter(|s| s.role == role);
        let units = like.map(|s| slow_start_budget::units(s, self.warmth(s))).sum();
        let age = self.now - self.started.unwrap_or(self.now);
        slow_start_budget::note_success(&mut self.learned.carried[role as usize], units, age, self.now);
    }
}
