//! What a replacement node reads before traffic moves to it: of the beginnings that it will own, those that save the most within
//! its budget. Made by one member for a hand-over and told to the others, so that one budget is spent once.

mod choose;

pub use choose::{choose, Budget, Item};

use crate::sketch::Sketch;
use crate::terms::{Beginning, Member, Model, Ms, Node, Team};

/// A node that is to be warmed, and what may be spent on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub node: Node,
    /// Sends that a cold server may get from this in the whole time, besides its traffic.
    pub sends: u32,
    /// Tokens that its memory holds, less what is kept for others.
    pub memory_tokens: u64,
    /// Prompt tokens that it reads a second.
    pub tokens_a_second: u64,
    /// The part of that which readings may take, in thousandths.
    pub share: u32,
    /// Until the deadline of the cut-over.
    pub time: Ms,
}

impl Target {
    /// The budget: its memory, or a share of its capacity for the time, whichever is less.
    pub fn budget(&self) -> Budget {
        let parts =
            u128::from(self.tokens_a_second) * u128::from(self.share.min(1000)) * u128::from(self.time);
        let readable = u64::try_from(parts / 1_000_000).unwrap_or(u64::MAX);
        Budget { tokens: readable.min(self.memory_tokens), sends: self.sends }
    }
}

/// What the plan asks of others.
pub struct Facts<'a> {
    /// The nodes that share a beginning after the cut-over, by the order that all routers share; its sessions are spread evenly.
    pub homes: &'a dyn Fn(&Beginning) -> Vec<Node>,
    /// Whether a team may call a model at present.
    pub granted: &'a dyn Fn(Team, Model) -> bool,
    /// Tokens of a beginning that are known to be kept at a node.
    pub kept: &'a dyn Fn(Node, &Beginning) -> u32,
}

/// One beginning to read at a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    pub beginning: Beginning,
    /// Tokens to be read there, less what is kept.
    pub tokens: u32,
    /// Tokens a second that need not be read once it is there.
    pub saving: f64,
    /// Who holds its text.
    pub holders: Vec<Member>,
}

/// What one node reads, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub node: Node,
    pub readings: Vec<Reading>,
    /// All beginnings that are counted and that it will own, chosen or not, with tokens a second asked of it.
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

/// A plan for each target. A beginning that no member holds the text of, or whose team may not call its model, is in none.
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
