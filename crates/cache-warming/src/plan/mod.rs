//! Warm-up plan of a replacement node: of the prefixes that it will own, the ones that save the most within
//! its budget. One member makes the plan for a replacement and sends it to the others, so that the budget is
//! spent only once.

mod choose;

pub use choose::{choose, Budget, Item};

use crate::sketch::Sketch;
use crate::types::{Member, Model, Ms, Node, PromptPrefix, Team};

/// A node to be warmed, and what may be spent on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub node: Node,
    /// Maximum number of prefills that the node may receive during the whole warm-up, in addition to its
    /// traffic.
    pub max_requests: u32,
    /// Tokens that fit into its memory, less those reserved for other content.
    pub memory_tokens: u64,
    /// Prompt tokens that it prefills per second at full capacity.
    pub tokens_per_second: u64,
    /// Share of that capacity that prefills for warming may take, in thousandths.
    pub share_thousandths: u32,
    /// Time until the deadline of the cutover (ms).
    pub time_left: Ms,
}

impl Target {
    /// Returns the budget: the tokens that fit into memory, or those that the share of capacity can prefill
    /// in the time, whichever is less.
    pub fn budget(&self) -> Budget {
        let scaled = u128::from(self.tokens_per_second)
            * u128::from(self.share_thousandths.min(1000))
            * u128::from(self.time_left);
        let prefillable_tokens = u64::try_from(scaled / 1_000_000).unwrap_or(u64::MAX);
        Budget { tokens: prefillable_tokens.min(self.memory_tokens), requests: self.max_requests }
    }
}

/// Lookups that the caller provides for planning.
pub struct Lookups<'a> {
    /// Returns the nodes that share a prefix after the cutover, according to the server order of all routers.
    /// The sessions of the prefix are spread evenly over them.
    pub owners: &'a dyn Fn(&PromptPrefix) -> Vec<Node>,
    /// Returns whether a team may currently call a model.
    pub granted: &'a dyn Fn(Team, Model) -> bool,
    /// Returns how many tokens of a prefix are known to be cached at a node.
    pub cached_tokens: &'a dyn Fn(Node, &PromptPrefix) -> u32,
}

/// One prefix to prefill at a node.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedPrefill {
    pub prefix: PromptPrefix,
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
    pub prefills: Vec<PlannedPrefill>,
    /// All counted and granted prefixes that the node will own, chosen or not, each with the tokens per
    /// second of it that are expected to be requested at the node.
    pub owned: Vec<(PromptPrefix, f64)>,
}

impl Plan {
    pub fn tokens(&self) -> u64 {
        self.prefills.iter().map(|r| u64::from(r.tokens)).sum()
    }

    pub fn saving(&self) -> f64 {
        self.prefills.iter().map(|r| r.saving).sum()
    }
}

/// Returns a plan for each target. A prefix is not planned if no member holds its text, if its team may not
/// call the model, or if the target has cached all of it.
pub fn plan(sketch: &Sketch, targets: &[Target], lookups: &Lookups) -> Vec<Plan> {
    let mut plans: Vec<Plan> =
        targets.iter().map(|t| Plan { node: t.node, prefills: Vec::new(), owned: Vec::new() }).collect();
    for (prefix, stats) in sketch.hottest(usize::MAX) {
        if !(lookups.granted)(prefix.team, prefix.model) {
            continue;
        }
        let owners = (lookups.owners)(&prefix);
        let rate = stats.requests_per_second(sketch.half_life()) / owners.len().max(1) as f64;
        for plan in plans.iter_mut().filter(|p| owners.contains(&p.node)) {
            plan.owned.push((prefix, rate * f64::from(stats.tokens)));
            let is_cached = stats.prefill_nodes.iter().any(|r| r.0 == plan.node);
            let cached = if is_cached { stats.tokens } else { (lookups.cached_tokens)(plan.node, &prefix) };
            let tokens = stats.tokens.saturating_sub(cached);
            if tokens > 0 && !stats.holders.is_empty() {
                let saving = rate * f64::from(tokens);
                plan.prefills.push(PlannedPrefill { prefix, tokens, saving, holders: stats.holders.clone() });
            }
        }
    }
    for (plan, target) in plans.iter_mut().zip(targets) {
        let items: Vec<Item> =
            plan.prefills.iter().map(|r| Item { tokens: u64::from(r.tokens), saving: r.saving }).collect();
        let chosen = choose(&items, target.budget());
        plan.prefills = chosen.into_iter().map(|index| plan.prefills[index].clone()).collect();
    }
    plans
}
