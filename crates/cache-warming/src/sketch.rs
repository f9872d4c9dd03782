//! Heavy hitters with decay: the hottest shared beginnings by tokens asked for, in bounded memory.
//!
//! Misra and Gries' counters (1982) in their weighted and mergeable form (Agarwal et al., "Mergeable summaries", 2012): what is
//! counted is never more than the truth, and short of it by at most [`Sketch::short_by`]. Decay multiplies counters, shortfall
//! and total alike, so the bound holds at every moment: `short_by <= (total - counted) / (capacity + 1)`.

use std::collections::HashMap;

use crate::terms::{Beginning, Member, Model, Ms, Node, Team};

/// As many nodes are remembered as having read a beginning, the last ones.
pub const READ_AT: usize = 4;
/// As many members are remembered as holding a beginning's text.
pub const HOLDERS: usize = 8;

/// What is known of a beginning.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// Its length.
    pub tokens: u32,
    /// Tokens asked for, decayed; never more than the truth.
    pub weight: f64,
    /// When it was last asked for.
    pub last_asked: Ms,
    /// Where it was read, and when, the latest first.
    pub read_at: Vec<(Node, Ms)>,
    /// Who holds its text.
    pub holders: Vec<Member>,
}

impl Seen {
    /// Hits expected a second if it goes on as it has been, for a sketch with this half-life.
    pub fn hits_a_second(&self, half_life: Ms) -> f64 {
        let hits = self.weight / f64::from(self.tokens.max(1));
        hits * std::f64::consts::LN_2 * 1000.0 / half_life.max(1) as f64
    }

    pub(crate) fn read(&mut self, node: Node, at: Ms) {
        let at = self.read_at.iter().find(|r| r.0 == node).map_or(at, |r| r.1.max(at));
        self.read_at.retain(|r| r.0 != node);
        self.read_at.push((node, at));
        self.read_at.sort_by_key(|r| (std::cmp::Reverse(r.1), r.0));
        self.read_at.truncate(READ_AT);
    }

    pub(crate) fn held_by(&mut self, member: Member) {
        if let Err(at) = self.holders.binary_search(&member) {
            self.holders.insert(at, member);
            self.holders.truncate(HOLDERS);
        }
    }
}

/// The sketch. It holds at most twice its capacity and is cut to it when that is reached, so that an ask costs a constant time
/// in the mean.
#[derive(Clone, Debug)]
pub struct Sketch {
    capacity: usize,
    half_life: Ms,
    as_of: Ms,
    total: f64,
    short_by: f64,
    seen: HashMap<Beginning, Seen>,
}

impl Sketch {
    /// Remembers `capacity` beginnings (at least one); what was asked `half_life` ago counts half.
    pub fn new(capacity: usize, half_life: Ms, now: Ms) -> Sketch {
        let (capacity, half_life) = (capacity.max(1), half_life.max(1));
        Sketch { capacity, half_life, as_of: now, total: 0.0, short_by: 0.0, seen: HashMap::new() }
    }

    /// A beginning was asked for, and read at this node (`None`: not known).
    pub fn asked(&mut self, beginning: Beginning, tokens: u32, at: Option<Node>, now: Ms) {
        self.decay(now);
        self.total += f64::from(tokens);
        let seen = self.entry(beginning);
        seen.weight += f64::from(tokens);
        seen.tokens = tokens;
        seen.last_asked = now;
        if let Some(node) = at {
            seen.read(node, now);
        }
        if self.seen.len() > 2 * self.capacity {
            self.cut(self.capacity);
        }
    }

    /// This member holds the text of a beginning that is counted.
    pub fn holds(&mut self, beginning: &Beginning, member: Member) {
        if let Some(seen) = self.seen.get_mut(beginning) {
            seen.held_by(member);
        }
    }

    /// This member has let go of a beginning's text.
    pub fn lets_go(&mut self, beginning: &Beginning, member: Member) {
        if let Some(seen) = self.seen.get_mut(beginning) {
            seen.holders.retain(|m| *m != member);
        }
    }

    /// Adds what another sketch has counted. The bound holds for the sum, with the smaller capacity of both. What is merged must
    /// not have been merged before: a view over members is made anew from the latest word of each.
    pub fn merge(&mut self, other: &Sketch, now: Ms) {
        self.decay(now);
        let factor = other.factor(now);
        self.total += other.total * factor;
        self.short_by += other.short_by * factor;
        for (beginning, theirs) in &other.seen {
            let seen = self.entry(*beginning);
            seen.weight += theirs.weight * factor;
            seen.tokens = seen.tokens.max(theirs.tokens);
            seen.last_asked = seen.last_asked.max(theirs.last_asked);
            theirs.read_at.iter().for_each(|(node, at)| seen.read(*node, *at));
            theirs.holders.iter().for_each(|member| seen.held_by(*member));
        }
        if self.seen.len() > 2 * self.capacity {
            self.cut(self.capacity);
        }
    }

    /// Only beginnings whose team may call their model remain. What is left counts as before.
    pub fn retain(&mut self, granted: &dyn Fn(Team, Model) -> bool) {
        self.seen.retain(|b, _| granted(b.team, b.model));
    }

    /// What is known of a beginning; `None`: at most [`Sketch::short_by`] tokens were asked for.
    pub fn get(&self, beginning: &Beginning) -> Option<&Seen> {
        self.seen.get(beginning)
    }

    /// The hottest beginnings, at most so many, the hottest first; ties by name, so that all derive the same.
    pub fn hottest(&self, count: usize) -> Vec<(Beginning, &Seen)> {
        let mut all: Vec<_> = self.seen.iter().map(|(b, s)| (*b, s)).collect();
        all.sort_by(|a, b| b.1.weight.total_cmp(&a.1.weight).then(a.0.cmp(&b.0)));
        all.truncate(count);
        all
    }

    /// All tokens asked for, decayed.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// How much less than the truth a weight may be, decayed; at most `total / (capacity + 1)`.
    pub fn short_by(&self) -> f64 {
        self.short_by
    }

    pub fn half_life(&self) -> Ms {
        self.half_life
    }

    pub fn as_of(&self) -> Ms {
        self.as_of
    }

    pub fn len(&self) -> usize {
        self.seen.len()
    }

    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Brings all weights to this moment.
    pub fn decay(&mut self, now: Ms) {
        let factor = self.factor(now);
        if factor < 1.0 {
            self.total *= factor;
            self.short_by *= factor;
            self.seen.values_mut().for_each(|seen| seen.weight *= factor);
        }
        self.as_of = self.as_of.max(now);
    }

    /// Keeps the `count` heaviest: the next one's weight is taken from all, so that at least `count + 1` counters give it up and
    /// the bound holds.
    pub fn cut(&mut self, count: usize) {
        if self.seen.len() <= count {
            return;
        }
        let mut weights: Vec<f64> = self.seen.values().map(|seen| seen.weight).collect();
        let (_, taken, _) = weights.select_nth_unstable_by(count, |a, b| b.total_cmp(a));
        let taken = *taken;
        self.short_by += taken;
        self.seen.retain(|_, seen| {
            seen.weight -= taken;
            seen.weight > 0.0
        });
    }

    pub(crate) fn restore(&mut self, total: f64, short_by: f64, seen: HashMap<Beginning, Seen>) {
        (self.total, self.short_by, self.seen) = (total, short_by, seen);
    }

    fn factor(&self, now: Ms) -> f64 {
        (-(now.saturating_sub(self.as_of) as f64) / self.half_life as f64).exp2()
    }

    fn entry(&mut self, beginning: Beginning) -> &mut Seen {
        self.seen.entry(beginning).or_insert_with(|| Seen {
            tokens: 0,
            weight: 0.0,
            last_asked: 0,
            read_at: Vec::new(),
            holders: Vec::new(),
        })
    }
}
