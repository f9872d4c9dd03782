//! The hot prefixes of one member: their counts and their texts, restricted by the grants. If a team may no
//! longer call a model, its prefixes for that model are removed from both in one step.

use crate::sketch::Sketch;
use crate::text_cache::{heat, Limits, Texts};
use crate::types::{Beginning, Member, Model, Ms, Node, Team};

/// Counts and texts of one member's hot prefixes. If the limits of the texts are zero, nothing is counted
/// either.
pub struct Hot {
    me: Member,
    sketch: Sketch,
    texts: Texts,
    /// Minimum share of all requested tokens for which a prefix's text is worth caching.
    worth: f64,
}

impl Hot {
    pub fn new(me: Member, capacity: usize, half_life: Ms, limits: Limits, now: Ms) -> Hot {
        let worth = 0.5 / capacity.max(1) as f64;
        Hot { me, sketch: Sketch::new(capacity, half_life, now), texts: Texts::new(limits), worth }
    }

    /// Records an answered request with this prefix. The caller reports only granted requests, and none that
    /// were rejected.
    pub fn asked(&mut self, beginning: Beginning, tokens: u32, text: &[u8], at: Option<Node>, now: Ms) {
        if self.texts.off() {
            return;
        }
        self.sketch.asked(beginning, tokens, at, now);
        let weight = self.sketch.get(&beginning).map_or(0.0, |seen| seen.weight);
        let heat = heat(weight, self.sketch.half_life(), now);
        if self.texts.get(&beginning, now).is_some_and(|kept| kept == text) {
            self.texts.touch(&beginning, heat, now);
        } else if weight >= self.worth * self.sketch.total() {
            let gone = self.texts.keep(beginning, text, heat, now);
            self.sketch.holds(&beginning, self.me);
            gone.iter().for_each(|b| self.sketch.lets_go(b, self.me));
        }
    }

    /// Applies changed grants. When this returns, nothing is held that is no longer granted.
    pub fn granted(&mut self, granted: &dyn Fn(Team, Model) -> bool) {
        self.texts.retain(granted);
        self.sketch.retain(granted);
    }

    /// Removes expired texts and decays the counts. The caller runs it about once a second.
    pub fn sweep(&mut self, now: Ms) {
        let gone = self.texts.sweep(now);
        gone.iter().for_each(|b| self.sketch.lets_go(b, self.me));
        self.sketch.decay(now);
    }

    pub fn sketch(&self) -> &Sketch {
        &self.sketch
    }

    pub fn texts(&self) -> &Texts {
        &self.texts
    }
}
