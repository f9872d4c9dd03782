//! What one member knows to be hot, and the texts of it, under the grants: a team that may not call a model any more is
//! dropped from both in one step.

use crate::sketch::Sketch;
use crate::terms::{Beginning, Member, Model, Ms, Node, Team};
use crate::texts::{heat, Limits, Texts};

/// One member's counts and texts. Where the limits of texts are zero nothing is counted either.
pub struct Hot {
    me: Member,
    sketch: Sketch,
    texts: Texts,
    /// Only the text of what weighs at least this part of all tokens is worth its bytes.
    worth: f64,
}

impl Hot {
    pub fn new(me: Member, capacity: usize, half_life: Ms, limits: Limits, now: Ms) -> Hot {
        let worth = 0.5 / capacity.max(1) as f64;
        Hot { me, sketch: Sketch::new(capacity, half_life, now), texts: Texts::new(limits), worth }
    }

    /// A granted request with this beginning was answered. Requests that were refused are not told here.
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

    /// The grants have changed: what is not granted any more is gone when this returns.
    pub fn granted(&mut self, granted: &dyn Fn(Team, Model) -> bool) {
        self.texts.retain(granted);
        self.sketch.retain(granted);
    }

    /// Lets go of old texts; to be called every second or so.
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
