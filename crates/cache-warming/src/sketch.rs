//! Heavy hitters with decay: the hottest shared prefixes by requested tokens, in bounded memory.
//!
//! Uses the counters of Misra and Gries (1982) in their weighted and mergeable form (Agarwal et al.,
//! "Mergeable summaries", 2012): a count never exceeds the true value, and falls short of it by at most
//! [`Sketch::max_undercount`]. Decay multiplies counts, undercount and total alike, so the bound holds at any
//! time: `max_undercount <= (total - counted) / (capacity + 1)`.

use std::collections::HashMap;

use crate::types::{Member, Model, Ms, Node, PromptPrefix, Team};

/// Maximum number of nodes recorded as having prefilled a prefix; the most recent ones are kept.
pub const MAX_PREFILL_NODES: usize = 4;
/// Maximum number of members recorded as holding the text of a prefix; those with the lowest identifiers are
/// kept.
pub const MAX_HOLDERS: usize = 8;

/// Statistics of one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixStats {
    /// Length of the prefix in tokens.
    pub tokens: u32,
    /// Requested tokens, decayed; never more than the true value.
    pub weight: f64,
    /// Time of the last request.
    pub last_requested: Ms,
    /// Nodes that prefilled it, each with the time, the latest first.
    pub prefill_nodes: Vec<(Node, Ms)>,
    /// Members that hold its text, in ascending order.
    pub holders: Vec<Member>,
}

impl PrefixStats {
    /// Returns the expected requests per second if the rate stays the same, for a sketch with this half-life.
    pub fn requests_per_second(&self, half_life: Ms) -> f64 {
        let requests = self.weight / f64::from(self.tokens.max(1));
        requests * std::f64::consts::LN_2 * 1000.0 / half_life.max(1) as f64
    }

    pub(crate) fn record_prefill(&mut self, node: Node, at: Ms) {
        let at = self.prefill_nodes.iter().find(|r| r.0 == node).map_or(at, |r| r.1.max(at));
        self.prefill_nodes.retain(|r| r.0 != node);
        self.prefill_nodes.push((node, at));
        self.prefill_nodes.sort_by_key(|r| (std::cmp::Reverse(r.1), r.0));
        self.prefill_nodes.truncate(MAX_PREFILL_NODES);
    }

    pub(crate) fn insert_holder(&mut self, member: Member) {
        if let Err(at) = self.holders.binary_search(&member) {
            self.holders.insert(at, member);
            self.holders.truncate(MAX_HOLDERS);
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
    max_undercount: f64,
    prefixes: HashMap<PromptPrefix, PrefixStats>,
}

impl Sketch {
    /// Creates a sketch of `capacity` prefixes (at least one). The weight of a request halves every
    /// `half_life` ms.
    pub fn new(capacity: usize, half_life: Ms, now: Ms) -> Sketch {
        let (capacity, half_life) = (capacity.max(1), half_life.max(1));
        Sketch { capacity, half_life, as_of: now, total: 0.0, max_undercount: 0.0, prefixes: HashMap::new() }
    }

    /// Records a request for a prefix of `tokens` tokens and the node that prefilled it (`None`: unknown).
    pub fn record_request(&mut self, prefix: PromptPrefix, tokens: u32, prefill_node: Option<Node>, now: Ms) {
        self.decay(now);
        self.total += f64::from(tokens);
        let stats = self.entry(prefix);
        stats.weight += f64::from(tokens);
        stats.tokens = tokens;
        stats.last_requested = now;
        if let Some(node) = prefill_node {
            stats.record_prefill(node, now);
        }
        if self.prefixes.len() > 2 * self.capacity {
            self.keep_heaviest(self.capacity);
        }
    }

    /// Records that a member holds the text of a prefix, if the prefix is counted.
    pub fn add_holder(&mut self, prefix: &PromptPrefix, member: Member) {
        if let Some(stats) = self.prefixes.get_mut(prefix) {
            stats.insert_holder(member);
        }
    }

    /// Records that a member no longer holds the text of a prefix.
    pub fn remove_holder(&mut self, prefix: &PromptPrefix, member: Member) {
        if let Some(stats) = self.prefixes.get_mut(prefix) {
            stats.holders.retain(|m| *m != member);
        }
    }

    /// Adds the counts of another sketch, decayed to `now`. The module's bound on the undercount then holds
    /// for the sum, with the smaller of both capacities. No sketch may be merged twice: callers rebuild a
    /// view over all members from the latest sketch of each.
    pub fn merge(&mut self, other: &Sketch, now: Ms) {
        self.decay(now);
        let decay_factor = other.decay_factor(now);
        self.total += other.total * decay_factor;
        self.max_undercount += other.max_undercount * decay_factor;
        for (prefix, other_stats) in &other.prefixes {
            let stats = self.entry(*prefix);
            stats.weight += other_stats.weight * decay_factor;
            stats.tokens = stats.tokens.max(other_stats.tokens);
            stats.last_requested = stats.last_requested.max(other_stats.last_requested);
            other_stats.prefill_nodes.iter().for_each(|(node, at)| stats.record_prefill(*node, *at));
            other_stats.holders.iter().for_each(|member| stats.insert_holder(*member));
        }
        if self.prefixes.len() > 2 * self.capacity {
            self.keep_heaviest(self.capacity);
        }
    }

    /// Keeps only prefixes whose team may call their model. The remaining counts and the total do not change.
    pub fn retain(&mut self, granted: &dyn Fn(Team, Model) -> bool) {
        self.prefixes.retain(|b, _| granted(b.team, b.model));
    }

    /// Returns the statistics of a prefix. `None`: at most [`Sketch::max_undercount`] tokens, decayed, were
    /// requested, or [`Sketch::retain`] has removed the prefix.
    pub fn get(&self, prefix: &PromptPrefix) -> Option<&PrefixStats> {
        self.prefixes.get(prefix)
    }

    /// Returns at most `count` prefixes, the hottest first. Ties are ordered by identifier, so that all
    /// members derive the same order.
    pub fn hottest(&self, count: usize) -> Vec<(PromptPrefix, &PrefixStats)> {
        let mut all: Vec<_> = self.prefixes.iter().map(|(b, s)| (*b, s)).collect();
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
    pub fn max_undercount(&self) -> f64 {
        self.max_undercount
    }

    pub fn half_life(&self) -> Ms {
        self.half_life
    }

    pub fn as_of(&self) -> Ms {
        self.as_of
    }

    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Decays all weights to `now`.
    pub fn decay(&mut self, now: Ms) {
        let decay_factor = self.decay_factor(now);
        if decay_factor < 1.0 {
            self.total *= decay_factor;
            self.max_undercount *= decay_factor;
            self.prefixes.values_mut().for_each(|stats| stats.weight *= decay_factor);
        }
        self.as_of = self.as_of.max(now);
    }

    /// Keeps at most the `count` heaviest prefixes. The weight of the next one is subtracted from all, so
    /// that at least `count + 1` counters lose this amount and the module's bound holds. Prefixes whose
    /// weight does not stay above zero are removed.
    pub fn keep_heaviest(&mut self, count: usize) {
        if self.prefixes.len() <= count {
            return;
        }
        let mut weights: Vec<f64> = self.prefixes.values().map(|stats| stats.weight).collect();
        let (_, subtracted, _) = weights.select_nth_unstable_by(count, |a, b| b.total_cmp(a));
        let subtracted = *subtracted;
        self.max_undercount += subtracted;
        self.prefixes.retain(|_, stats| {
            stats.weight -= subtracted;
            stats.weight > 0.0
        });
    }

    pub(crate) fn restore(
        &mut self, total: f64, max_undercount: f64, prefixes: HashMap<PromptPrefix, PrefixStats>,
    ) {
        (self.total, self.max_undercount, self.prefixes) = (total, max_undercount, prefixes);
    }

    fn decay_factor(&self, now: Ms) -> f64 {
        (-(now.saturating_sub(self.as_of) as f64) / self.half_life as f64).exp2()
    }

    fn entry(&mut self, prefix: PromptPrefix) -> &mut PrefixStats {
        self.prefixes.entry(prefix).or_insert_with(|| PrefixStats {
            tokens: 0,
            weight: 0.0,
            last_requested: 0,
            prefill_nodes: Vec::new(),
            holders: Vec::new(),
        })
    }
}
