//! Cache of the texts of the hottest prefixes, so that they can be prefilled again. It is limited in bytes,
//! in bytes per team and in age. If a limit is zero, nothing is kept, not even the keys of prefixes.

use std::collections::HashMap;

use crate::types::{Beginning, Model, Ms, Team};

/// Bytes that each text counts in addition to its length, so that many short texts cannot exceed the limits.
pub const OVERHEAD: usize = 128;

/// Limits of the cache. If any of them is zero, nothing is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Maximum bytes of all texts, [`OVERHEAD`] included.
    pub bytes: usize,
    /// Maximum bytes of one team's texts, [`OVERHEAD`] included.
    pub team_bytes: usize,
    /// Time for which a text is kept after its last request (ms).
    pub age: Ms,
}

struct Kept {
    text: Box<[u8]>,
    heat: f64,
    asked: Ms,
}

impl Kept {
    fn bytes(&self) -> usize {
        self.text.len() + OVERHEAD
    }
}

/// Returns the heat of a prefix with this weight: the base-2 logarithm of the weight, plus the number of
/// half-lives up to `now`. Heats from different times compare as if all weights had decayed to the same
/// moment.
pub fn heat(weight: f64, half_life: Ms, now: Ms) -> f64 {
    weight.max(f64::MIN_POSITIVE).log2() + now as f64 / half_life.max(1) as f64
}

/// Cache of prefix texts.
pub struct Texts {
    limits: Limits,
    kept: HashMap<Beginning, Kept>,
    bytes: usize,
    by_team: HashMap<Team, usize>,
}

impl Texts {
    pub fn new(limits: Limits) -> Texts {
        Texts { limits, kept: HashMap::new(), bytes: 0, by_team: HashMap::new() }
    }

    /// Whether a limit of zero disables the cache.
    pub fn off(&self) -> bool {
        self.limits.bytes == 0 || self.limits.team_bytes == 0 || self.limits.age == 0
    }

    /// Inserts a text that was requested now, with its [`heat`], and evicts colder texts while a limit is
    /// exceeded: texts of the same team first, then of all. Returns the evicted prefixes; the new one is
    /// among them if it is the coldest, or larger than a limit.
    pub fn keep(&mut self, beginning: Beginning, text: &[u8], heat: f64, now: Ms) -> Vec<Beginning> {
        let bytes = text.len() + OVERHEAD;
        if self.off() {
            return Vec::new();
        }
        self.remove(&beginning);
        if bytes > self.limits.bytes.min(self.limits.team_bytes) {
            return vec![beginning];
        }
        self.bytes += bytes;
        *self.by_team.entry(beginning.team).or_default() += bytes;
        self.kept.insert(beginning, Kept { text: text.into(), heat, asked: now });
        let mut gone = Vec::new();
        // Each loop also ends once no text is left, whatever the byte counts are.
        let team = beginning.team;
        while self.of(team) > self.limits.team_bytes && self.drop_coldest(Some(team), &mut gone) {}
        while self.bytes > self.limits.bytes && self.drop_coldest(None, &mut gone) {}
        gone
    }

    /// Updates the heat of a cached text and the time of its last request.
    pub fn touch(&mut self, beginning: &Beginning, heat: f64, now: Ms) {
        if let Some(kept) = self.kept.get_mut(beginning) {
            (kept.heat, kept.asked) = (heat, kept.asked.max(now));
        }
    }

    /// Returns the text if it is cached and has not expired.
    pub fn get(&self, beginning: &Beginning, now: Ms) -> Option<&[u8]> {
        let kept = self.kept.get(beginning)?;
        (now.saturating_sub(kept.asked) <= self.limits.age).then_some(&*kept.text)
    }

    /// Removes expired texts and returns their prefixes.
    pub fn sweep(&mut self, now: Ms) -> Vec<Beginning> {
        let age = self.limits.age;
        self.drop_where(|_, kept| now.saturating_sub(kept.asked) > age)
    }

    /// Removes texts whose team may no longer call their model, and returns their prefixes.
    pub fn retain(&mut self, granted: &dyn Fn(Team, Model) -> bool) -> Vec<Beginning> {
        self.drop_where(|b, _| !granted(b.team, b.model))
    }

    /// Returns the bytes in use, [`OVERHEAD`] included.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the bytes in use for a team, [`OVERHEAD`] included.
    pub fn of(&self, team: Team) -> usize {
        self.by_team.get(&team).copied().unwrap_or(0)
    }

    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    fn drop_where(&mut self, goes: impl Fn(&Beginning, &Kept) -> bool) -> Vec<Beginning> {
        let mut gone: Vec<_> = self.kept.iter().filter(|(b, kept)| goes(b, kept)).map(|(b, _)| *b).collect();
        gone.sort();
        gone.iter().for_each(|b| self.remove(b));
        gone
    }

    fn drop_coldest(&mut self, team: Option<Team>, gone: &mut Vec<Beginning>) -> bool {
        let theirs = self.kept.iter().filter(|(b, _)| team.is_none_or(|t| b.team == t));
        let coldest = theirs.min_by(|a, b| a.1.heat.total_cmp(&b.1.heat).then(b.0.cmp(a.0))).map(|(b, _)| *b);
        if let Some(beginning) = coldest {
            self.remove(&beginning);
            gone.push(beginning);
        }
        coldest.is_some()
    }

    fn remove(&mut self, beginning: &Beginning) {
        let Some(kept) = self.kept.remove(beginning) else { return };
        self.bytes -= kept.bytes();
        if let Some(bytes) = self.by_team.get_mut(&beginning.team) {
            *bytes -= kept.bytes();
            if *bytes == 0 {
                self.by_team.remove(&beginning.team);
            }
        }
    }
}
