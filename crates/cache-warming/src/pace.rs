//! When a reading may go out to a node that is warmed. Readings come after everything else: they stop at once when the fleet
//! turns work away, when the node falls behind or drains, and when nothing fresh is known of either.

use thiserror::Error;

use crate::terms::{Beginning, Ms, Node};

/// The priority that every reading carries: below all that clients send.
pub const PRIORITY: u8 = 0;

/// Limits of readings at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Readings under way at once; nothing else is held here.
    pub running: usize,
    /// The fleet's level, in thousandths, above which nothing is read.
    pub level: u32,
    /// The wait for a first token at the node above which it has fallen behind.
    pub wait: Ms,
    /// What is known of level and node holds so long.
    pub fresh: Ms,
    /// After a stop it must have been calm so long.
    pub calm: Ms,
    /// Tokens a second: the share of the node's capacity.
    pub tokens_a_second: u64,
    /// Tokens that may be saved up; a longer reading waits until as much is there and then leaves a debt.
    pub burst: u64,
}

/// What is known of the fleet and of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sight {
    /// In thousandths.
    pub level: u32,
    pub wait: Ms,
    /// How long ago the older of both was told.
    pub age: Ms,
    pub node: Standing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Serves,
    Drains,
    Gone,
}

/// Why a reading does not go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Held {
    #[error("node {:x} drains: nothing is read there", .0.0)]
    Drains(Node),
    #[error("node {:x} is gone: nothing is read there", .0.0)]
    Gone(Node),
    #[error("the fleet turns work away (level {level} of 1000): readings stand still")]
    Level { level: u32 },
    #[error("node {node:x} falls behind ({wait} ms to a first token): readings stand still", node = .node.0)]
    Behind { node: Node, wait: Ms },
    #[error("what is known of node {node:x} is {age} ms old: readings stand still", node = .node.0)]
    Stale { node: Node, age: Ms },
    #[error("calm again, readings go on in {ms} ms")]
    Calming { ms: Ms },
    #[error("{running} readings are under way at node {node:x}, as many as may be", node = .node.0)]
    Full { node: Node, running: usize },
    #[error("node {node:x} has had its share of tokens for now, more in {ms} ms", node = .node.0)]
    Share { node: Node, ms: Ms },
}

impl Held {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Held::Drains(_) => "Order `replace` with a node that does not drain.",
            Held::Gone(_) => {
                "Look at the node; the old one goes on serving. Order `replace` again when it is up."
            }
            Held::Level { .. } => {
                "Nothing; readings go on when the rush is over. The deadline holds all the same."
            }
            Held::Behind { .. } => "Lower the share of a node's capacity that readings may take.",
            Held::Stale { .. } => "Look whether the node reports, and whether this gateway hears the others.",
            Held::Calming { .. } | Held::Full { .. } | Held::Share { .. } => {
                "Nothing; raise the limit of readings if a replacement often meets its deadline cold."
            }
        }
    }

    /// Whether what is under way has to stop, too.
    fn stops(&self) -> bool {
        matches!(
            self,
            Held::Drains(_) | Held::Gone(_) | Held::Level { .. } | Held::Behind { .. } | Held::Stale { .. }
        )
    }
}

/// Readings of this member at one node.
pub struct Pace {
    node: Node,
    limits: Limits,
    running: Vec<Beginning>,
    /// Thousandths of tokens that may be spent; below zero: a debt.
    saved: i64,
    filled: Ms,
    calm_from: Ms,
}

impl Pace {
    pub fn new(node: Node, limits: Limits, now: Ms) -> Pace {
        Pace { node, limits, running: Vec::new(), saved: 0, filled: now, calm_from: now }
    }

    /// Something new is known: what has to be cancelled at once.
    pub fn look(&mut self, sight: &Sight, now: Ms) -> Vec<Beginning> {
        match self.trouble(sight) {
            Some(held) if held.stops() => {
                self.calm_from = now.saturating_add(self.limits.calm);
                std::mem::take(&mut self.running)
            }
            _ => Vec::new(),
        }
    }

    /// A reading of so many tokens may go out now, and is under way from here on.
    pub fn send(&mut self, beginning: Beginning, tokens: u32, sight: &Sight, now: Ms) -> Result<(), Held> {
        if let Some(held) = self.trouble(sight) {
            self.calm_from = now.saturating_add(self.limits.calm);
            return Err(held);
        }
        if now < self.calm_from {
            return Err(Held::Calming { ms: self.calm_from - now });
        }
        if self.running.len() >= self.limits.running {
            return Err(Held::Full { node: self.node, running: self.running.len() });
        }
        self.fill(now);
        let needs = i64::from(tokens).min(self.burst()).saturating_mul(1000);
        if self.saved < needs {
            let ms = (needs - self.saved).unsigned_abs().div_ceil(self.limits.tokens_a_second.max(1));
            return Err(Held::Share { node: self.node, ms });
        }
        self.saved -= i64::from(tokens) * 1000;
        self.running.push(beginning);
        Ok(())
    }

    /// A reading has ended, whichever way.
    pub fn ended(&mut self, beginning: &Beginning) {
        if let Some(at) = self.running.iter().position(|b| b == beginning) {
            self.running.swap_remove(at);
        }
    }

    pub fn running(&self) -> &[Beginning] {
        &self.running
    }

    fn trouble(&self, sight: &Sight) -> Option<Held> {
        let (node, limits) = (self.node, &self.limits);
        match sight.node {
            Standing::Drains => return Some(Held::Drains(node)),
            Standing::Gone => return Some(Held::Gone(node)),
            Standing::Serves => {}
        }
        if sight.level > limits.level {
            return Some(Held::Level { level: sight.level });
        }
        if sight.wait > limits.wait {
            return Some(Held::Behind { node, wait: sight.wait });
        }
        (sight.age > limits.fresh).then_some(Held::Stale { node, age: sight.age })
    }

    fn burst(&self) -> i64 {
        i64::try_from(self.limits.burst).unwrap_or(i64::MAX)
    }

    fn fill(&mut self, now: Ms) {
        let rate = i64::try_from(self.limits.tokens_a_second).unwrap_or(i64::MAX);
        let passed = i64::try_from(now.saturating_sub(self.filled)).unwrap_or(i64::MAX);
        self.saved =
            self.saved.saturating_add(rate.saturating_mul(passed)).min(self.burst().saturating_mul(1000));
        self.filled = self.filled.max(now);
    }
}
