//! Warm-up plan of a replacement node: of the prefixes that it will own, the ones that save the most within
//! its budget. One member makes the plan for a replacement and sends it to the others, so that the budget is
//! spent only once.

mod choose;

pub use choose::{choose, Budget, Item};

use crate::sketch::Sketch;
use crate::types::{Beginning, Member, Model, Ms, Node, Team};

/// A node to be warmed, and what may be spent on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub node: Node,
    /// Maximum number of prefills that the node may receive during the whole warm-up, in addition to its
    /// traffic.
    pub sends: u32,
    /// Tokens that fit into its memory, less those reserved for other content.
    pub memory_tokens: u64,
    /// Prompt tokens that it prefills per second at full capacity.
    pub tokens_a_second: u64,
    /// Share of that capacity that prefills for warming may take, in thousandths.
    pub share: u32,
    /// Time until the deadline of the cutover (ms).
    pub time: Ms,
}

impl Target {
    /// Returns the budget: the tokens that fit into memory, or those that the share of capacity can prefill
    /// in the time, whichever is less.
    pub fn budget(&self) -> Budget {
        let parts =
            u128::from(self.tokens_a_second) * u128::from(self.share.min(1000)) * u128::from(self.time);
        let readable = u64::try_from(parts / 1_000_000).unwrap_or(u64::MAX);
        Budget { tokens: readable.min(self.memory_tokens), sends: self.sends }
    }
}

/// Lookups that the caller provides for planning.
pub struct Facts<'a> {
    /// Returns the nodes that share a prefix after the cutover, according to the server order of all routers.
    /// The sessions of the prefix are spread evenly over them.
    pub homes: &'a dyn Fn(&Beginning) -> Vec<Node>,
    /// Returns whether a team may currently call a model.
    pub granted: &'a dyn Fn(Team, Model) -> bool,
    /// Returns how many tokens of a prefix are known to be cached at a node.
    pub kept: &'a dyn Fn(Node, &Beginning) -> u32,
}

/// One prefix to prefill at a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    pub beginning: Beginning,
    /// Tokens to prefill there; cached ones are not counted.
    pub tokens: u32,
    /// Tokens per second that need no prefill once the prefix is cached there.
    pub saving: f64,
    /// Members that hold its text.
    pub holders: Vec<Member>,
}

/// Prefills of one node, the largest saving per token first.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub node: Node,
    pub readings: Vec<Reading>,
    /// All counted prefixes that the node will own, chosen or not, each with the tokens per second requested
    /// of it.
    pub owned: Vec<(Beginning, f64)>,
}

impl Plan {
    pub fn tokens(&self) -> u64 {
        self.readings.iter().map(|r| u64::from(r.tokens)).sum()
    }

    pub fn saving(&self) -> f64 {
        self.readings.iter().map(|r| r.saving).sum()
    }
}

/// Returns a plan for each target. Prefixes whose text no member holds, or whose team may not call the model,
/// are not planned.
pub fn plan(sketch: &Sketch, targets: &[Target], facts: &Facts) -> Vec<Plan> {
    let mut plans: Vec<Plan> =
        targets.iter().map(|t| Plan { node: t.node, readings: Vec::new(), owned: Vec::new() }).collect();
    for (beginning, seen) in sketch.hottest(usize::MAX) {
        if !(facts.granted)(beginning.team, beginning.model) {
            continue;
        }
        let homes = (facts.homes)(&beginning);
        let rate = seen.hits_a_second(sketch.half_life()) / homes.len().max(1) as f64;
        for plan in plans.iter_mut().filter(|p| homes.contains(&p.node)) {
            plan.owned.push((beginning, rate * f64::from(seen.tokens)));
            let read_there = seen.read_at.iter().any(|r| r.0 == plan.node);
            let kept = if read_there { seen.tokens } else { (facts.kept)(plan.node, &beginning) };
            let tokens = seen.tokens.saturating_sub(kept);
            if tokens > 0 && !seen.holders.is_empty() {
                let saving = rate * f64::from(tokens);
                plan.readings.push(Reading { beginning, tokens, saving, holders: seen.holders.clone() });
            }
        }
    }
    for (plan, target) in plans.iter_mut().zip(targets) {
        let items: Vec<Item> =
            plan.readings.iter().map(|r| Item { tokens: u64::from(r.tokens), saving: r.saving }).collect();
        let chosen = choose(&items, target.budget());
        plan.readings = chosen.into_iter().map(|at| plan.readings[at].clone()).collect();
    }
    plans
}
