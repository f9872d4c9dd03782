//! The hot prefixes of one member: their counts and their texts, restricted by the grants. If a team may no
//! longer call a model, its prefixes for that model are removed from both in one step.

use crate::sketch::Sketch;
use crate::text_cache::{heat, TextCache, TextLimits};
use crate::types::{Member, Model, Ms, Node, PromptPrefix, Team};

/// Counts and texts of one member's hot prefixes. If any limit of the texts is zero, nothing is counted
/// either.
pub struct HotPrefixes {
    own_member: Member,
    sketch: Sketch,
    texts: TextCache,
    /// Minimum share of all requested tokens for which a prefix's text is worth caching.
    min_share: f64,
}

impl HotPrefixes {
    pub fn new(
        own_member: Member, capacity: usize, half_life: Ms, limits: TextLimits, now: Ms,
    ) -> HotPrefixes {
        let min_share = 0.5 / capacity.max(1) as f64;
        HotPrefixes {
            own_member,
            sketch: Sketch::new(capacity, half_life, now),
            texts: TextCache::new(limits),
            min_share,
        }
    }

    /// Records an answered request with this prefix. The caller reports only granted requests, and none that
    /// were rejected.
    pub fn record_request(
        &mut self, prefix: PromptPrefix, tokens: u32, text: &[u8], prefill_node: Option<Node>, now: Ms,
    ) {
        if self.texts.is_disabled() {
            return;
        }
        self.sketch.record_request(prefix, tokens, prefill_node, now);
        let weight = self.sketch.get(&prefix).map_or(0.0, |stats| stats.weight);
        let heat = heat(weight, self.sketch.half_life(), now);
        if self.texts.get(&prefix, now).is_some_and(|cached| cached == text) {
            self.texts.touch(&prefix, heat, now);
        } else if weight >= self.min_share * self.sketch.total() {
            let evicted = self.texts.insert(prefix, text, heat, now);
            self.sketch.add_holder(&prefix, self.own_member);
            evicted.iter().for_each(|b| self.sketch.remove_holder(b, self.own_member));
        }
    }

    /// Applies changed grants. When this returns, nothing is held that is no longer granted.
    pub fn apply_grants(&mut self, granted: &dyn Fn(Team, Model) -> bool) {
        self.texts.retain(granted);
        self.sketch.retain(granted);
    }

    /// Removes expired texts and decays the counts. The caller runs it about once a second.
    pub fn sweep(&mut self, now: Ms) {
        let expired = self.texts.remove_expired(now);
        expired.iter().for_each(|b| self.sketch.remove_holder(b, self.own_member));
        self.sketch.decay(now);
    }

    pub fn sketch(&self) -> &Sketch {
        &self.sketch
    }

    pub fn texts(&self) -> &TextCache {
        &self.texts
    }
}
