//! The texts of the hottest beginnings, so that they can be read anew. Bounded in bytes, in age and by team; where the limits
//! are zero nothing is kept, not even a name.

use std::collections::HashMap;

use crate::terms::{Beginning, Model, Ms, Team};

/// What a text counts beside its bytes, so that many short ones do not go past the limit.
pub const OVERHEAD: usize = 128;

/// Limits of the buffer. Any of them zero: nothing is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// All texts together, [`OVERHEAD`] included.
    pub bytes: usize,
    /// The texts of one team.
    pub team_bytes: usize,
    /// How long a text is kept after it was last asked for.
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

/// How hot a beginning of this weight is, so that what was weighed at different moments compares as if all had decayed to one.
pub fn heat(weight: f64, half_life: Ms, now: Ms) -> f64 {
    weight.max(f64::MIN_POSITIVE).log2() + now as f64 / half_life.max(1) as f64
}

/// The buffer.
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

    /// Nothing is ever kept.
    pub fn off(&self) -> bool {
        self.limits.bytes == 0 || self.limits.team_bytes == 0 || self.limits.age == 0
    }

    /// Keeps a text that was asked for now and is so hot ([`heat`]), in place of colder ones (of its team first,
    /// where that is at its own limit). What had to go is returned; the text itself is among it where all others are hotter.
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
        // Both end when nothing is left, whatever the sums say.
        let team = beginning.team;
        while self.of(team) > self.limits.team_bytes && self.drop_coldest(Some(team), &mut gone) {}
        while self.bytes > self.limits.bytes && self.drop_coldest(None, &mut gone) {}
        gone
    }

    /// A text that is kept was asked for again, or has cooled.
    pub fn touch(&mut self, beginning: &Beginning, heat: f64, now: Ms) {
        if let Some(kept) = self.kept.get_mut(beginning) {
            (kept.heat, kept.asked) = (heat, kept.asked.max(now));
        }
    }

    /// The text, where it is kept and not too old.
    pub fn get(&self, beginning: &Beginning, now: Ms) -> Option<&[u8]> {
        let kept = self.kept.get(beginning)?;
        (now.saturating_sub(kept.asked) <= self.limits.age).then_some(&*kept.text)
    }

    /// Lets go of what is too old, and returns it.
    pub fn sweep(&mut self, now: Ms) -> Vec<Beginning> {
        let age = self.limits.age;
        self.drop_where(|_, kept| now.saturating_sub(kept.asked) > age)
    }

    /// Lets go of what its team may not call any more, and returns it.
    pub fn retain(&mut self, granted: &dyn Fn(Team, Model) -> bool) -> Vec<Beginning> {
        self.drop_where(|b, _| !granted(b.team, b.model))
    }

    /// Bytes kept, [`OVERHEAD`] included.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Bytes kept of a team.
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
