//! Cache of the texts of the hottest prefixes, so that they can be prefilled again. It is limited in bytes,
//! in bytes per team and in age. If a limit is zero, nothing is kept, not even the keys of prefixes.

use std::collections::HashMap;

use crate::types::{Model, Ms, PromptPrefix, Team};

/// Bytes that each text counts in addition to its length, so that many short texts cannot exceed the limits.
pub const ENTRY_OVERHEAD_BYTES: usize = 128;

/// Limits of the cache. If any of them is zero, nothing is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TextLimits {
    /// Maximum bytes of all texts, [`ENTRY_OVERHEAD_BYTES`] included.
    pub bytes: usize,
    /// Maximum bytes of one team's texts, [`ENTRY_OVERHEAD_BYTES`] included.
    pub team_bytes: usize,
    /// Time for which a text is kept after its last request (ms).
    pub age: Ms,
}

struct CachedText {
    text: Box<[u8]>,
    heat: f64,
    last_requested: Ms,
}

impl CachedText {
    fn bytes(&self) -> usize {
        self.text.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// Returns the heat of a prefix with this weight: the base-2 logarithm of the weight, plus the number of
/// half-lives up to `now`. Heats from different times compare as if all weights had decayed to the same
/// moment.
pub fn heat(weight: f64, half_life: Ms, now: Ms) -> f64 {
    weight.max(f64::MIN_POSITIVE).log2() + now as f64 / half_life.max(1) as f64
}

/// Cache of prefix texts.
pub struct TextCache {
    limits: TextLimits,
    entries: HashMap<PromptPrefix, CachedText>,
    bytes: usize,
    by_team: HashMap<Team, usize>,
}

impl TextCache {
    pub fn new(limits: TextLimits) -> TextCache {
        TextCache { limits, entries: HashMap::new(), bytes: 0, by_team: HashMap::new() }
    }

    /// Returns whether any limit is zero, in which case the cache keeps nothing.
    pub fn is_disabled(&self) -> bool {
        self.limits.bytes == 0 || self.limits.team_bytes == 0 || self.limits.age == 0
    }

    /// Inserts a text that was requested now, with its [`heat`], and evicts the coldest texts while a limit
    /// is exceeded: first those of the same team, then those of all teams. Returns the evicted prefixes, with
    /// the new one if it was evicted itself or is larger than a limit. A disabled cache ignores the text and
    /// returns nothing.
    pub fn insert(&mut self, prefix: PromptPrefix, text: &[u8], heat: f64, now: Ms) -> Vec<PromptPrefix> {
        let bytes = text.len() + ENTRY_OVERHEAD_BYTES;
        if self.is_disabled() {
            return Vec::new();
        }
        self.remove(&prefix);
        if bytes > self.limits.bytes.min(self.limits.team_bytes) {
            return vec![prefix];
        }
        self.bytes += bytes;
        *self.by_team.entry(prefix.team).or_default() += bytes;
        self.entries.insert(prefix, CachedText { text: text.into(), heat, last_requested: now });
        let mut evicted = Vec::new();
        // Each loop also ends once no text is left, whatever the byte counts are.
        let team = prefix.team;
        while self.bytes_of_team(team) > self.limits.team_bytes
            && self.evict_coldest(Some(team), &mut evicted)
        {}
        while self.bytes > self.limits.bytes && self.evict_coldest(None, &mut evicted) {}
        evicted
    }

    /// Updates the heat of a cached text and the time of its last request.
    pub fn touch(&mut self, prefix: &PromptPrefix, heat: f64, now: Ms) {
        if let Some(cached) = self.entries.get_mut(prefix) {
            (cached.heat, cached.last_requested) = (heat, cached.last_requested.max(now));
        }
    }

    /// Returns the text if it is cached and has not expired.
    pub fn get(&self, prefix: &PromptPrefix, now: Ms) -> Option<&[u8]> {
        let cached = self.entries.get(prefix)?;
        (now.saturating_sub(cached.last_requested) <= self.limits.age).then_some(&*cached.text)
    }

    /// Removes expired texts and returns their prefixes.
    pub fn remove_expired(&mut self, now: Ms) -> Vec<PromptPrefix> {
        let age = self.limits.age;
        self.remove_matching(|_, cached| now.saturating_sub(cached.last_requested) > age)
    }

    /// Removes texts whose team may no longer call their model, and returns their prefixes.
    pub fn retain(&mut self, granted: &dyn Fn(Team, Model) -> bool) -> Vec<PromptPrefix> {
        self.remove_matching(|b, _| !granted(b.team, b.model))
    }

    /// Returns the bytes in use, [`ENTRY_OVERHEAD_BYTES`] included.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the bytes in use for a team, [`ENTRY_OVERHEAD_BYTES`] included.
    pub fn bytes_of_team(&self, team: Team) -> usize {
        self.by_team.get(&team).copied().unwrap_or(0)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_matching(
        &mut self, is_removed: impl Fn(&PromptPrefix, &CachedText) -> bool,
    ) -> Vec<PromptPrefix> {
        let mut removed: Vec<_> =
            self.entries.iter().filter(|(b, cached)| is_removed(b, cached)).map(|(b, _)| *b).collect();
        removed.sort();
        removed.iter().for_each(|b| self.remove(b));
        removed
    }

    fn evict_coldest(&mut self, team: Option<Team>, evicted: &mut Vec<PromptPrefix>) -> bool {
        let candidates = self.entries.iter().filter(|(b, _)| team.is_none_or(|t| b.team == t));
        let coldest =
            candidates.min_by(|a, b| a.1.heat.total_cmp(&b.1.heat).then(b.0.cmp(a.0))).map(|(b, _)| *b);
        if let Some(prefix) = coldest {
            self.remove(&prefix);
            evicted.push(prefix);
        }
        coldest.is_some()
    }

    fn remove(&mut self, prefix: &PromptPrefix) {
        let Some(cached) = self.entries.remove(prefix) else { return };
        self.bytes -= cached.bytes();
        if let Some(bytes) = self.by_team.get_mut(&prefix.team) {
            *bytes -= cached.bytes();
            if *bytes == 0 {
                self.by_team.remove(&prefix.team);
            }
        }
    }
}
