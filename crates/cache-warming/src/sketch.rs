//! Heavy hitters with decay: the hottest shared prefixes by requested tokens, in bounded memory.
//!
//! Uses the counters of Misra and Gries (1982) in their weighted and mergeable form (Agarwal et al.,
//! "Mergeable summaries", 2012): a count never exceeds the true value, and falls short of it by at most
//! [`Sketch::short_by`]. Decay multiplies counts, undercount and total alike, so the bound holds at any time:
//! `short_by <= (total - counted) / (capacity + 1)`.

use std::collections::HashMap;

use crate::types::{Beginning, Member, Model, Ms, Node, Team};

/// Maximum number of nodes recorded as having prefilled a prefix; the most recent ones are kept.
pub const READ_AT: usize = 4;
/// Maximum number of members recorded as holding the text of a prefix.
pub const HOLDERS: usize = 8;

/// What is known of a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// Length of the prefix in tokens.
    pub tokens: u32,
    /// Requested tokens, decayed; never more than the true value.
    pub weight: f64,
    /// Time of the last request.
    pub last_asked: Ms,
    /// Nodes that prefilled it, each with the time, the latest first.
    pub read_at: Vec<(Node, Ms)>,
    /// Members that hold its text, in ascending order.
    pub holders: Vec<Member>,
}

impl Seen {
    /// Returns the expected requests per second if the rate stays the same, for a sketch with this half-life.
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

/// Counters of the hottest prefixes. The sketch grows to twice its capacity before it is cut back to it, so
/// that the cost of cutting is constant per request on average.
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
    /// Creates a sketch of `capacity` prefixes (at least one). The weight of a request halves every
    /// `half_life` ms.
    pub fn new(capacity: usize, half_life: Ms, now: Ms) -> Sketch {
        let (capacity, half_life) = (capacity.max(1), half_life.max(1));
        Sketch { capacity, half_life, as_of: now, total: 0.0, short_by: 0.0, seen: HashMap::new() }
    }

    /// Records a request for a prefix and the node that prefilled it (`None`: unknown).
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

    /// Records that a member holds the text of a prefix, if the prefix is counted.
    pub fn holds(&mut self, beginning: &Beginning, member: Member) {
        if let Some(seen) = self.seen.get_mut(beginning) {
            seen.held_by(member);
        }
    }

    /// Records that a member no longer holds the text of a prefix.
    pub fn lets_go(&mut self, beginning: &Beginning, member: Member) {
        if let Some(seen) = self.seen.get_mut(beginning) {
            seen.holders.retain(|m| *m != member);
        }
    }

    /// Adds the counts of another sketch. The bound holds for the sum, with the smaller of both capacities.
    /// No sketch may be merged twice: a view over all members is rebuilt from the latest sketch of each.
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

    /// Keeps only prefixes whose team may call their model. The remaining counts do not change.
    pub fn retain(&mut self, granted: &dyn Fn(Team, Model) -> bool) {
        self.seen.retain(|b, _| granted(b.team, b.model));
    }

    /// Returns what is known of a prefix. `None`: at most [`Sketch::short_by`] tokens were requested.
    pub fn get(&self, beginning: &Beginning) -> Option<&Seen> {
        self.seen.get(beginning)
    }

    /// Returns at most `count` prefixes, the hottest first. Ties are ordered by identifier, so that all
    /// members derive the same order.
    pub fn hottest(&self, count: usize) -> Vec<(Beginning, &Seen)> {
        let mut all: Vec<_> = self.seen.iter().map(|(b, s)| (*b, s)).collect();
        all.sort_by(|a, b| b.1.weight.total_cmp(&a.1.weight).then(a.0.cmp(&b.0)));
        all.truncate(count);
        all
    }

    /// Returns the sum of all requested tokens, decayed.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Returns the maximum by which a weight falls short of the true value, decayed; at most `total /
    /// (capacity + 1)`.
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

    /// Decays all weights to `now`.
    pub fn decay(&mut self, now: Ms) {
        let factor = self.factor(now);
        if factor < 1.0 {
            self.total *= factor;
            self.short_by *= factor;
            self.seen.values_mut().for_each(|seen| seen.weight *= factor);
        }
        self.as_of = self.as_of.max(now);
    }

    /// Keeps the `count` heaviest prefixes. The weight of the next one is subtracted from all, so that at
    /// least `count + 1` counters lose this amount and the bound holds.
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
