//! Pacing of the prefills that warm a node. These yield to all other work: they stop at once when the fleet
//! sheds load, when the node falls behind or drains, and when the reports on either are out of date.

use thiserror::Error;

use crate::types::{Beginning, Ms, Node};

/// Priority of every prefill for warming, below that of all client requests.
pub const PRIORITY: u8 = 0;

/// Limits of the prefills at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of prefills in flight. Further ones are rejected, not queued.
    pub running: usize,
    /// Load level of the fleet above which nothing is prefilled, in thousandths.
    pub level: u32,
    /// Wait for the first token (ms) above which the node counts as fallen behind.
    pub wait: Ms,
    /// Maximum age of the reports on fleet and node (ms).
    pub fresh: Ms,
    /// Time without a reason to stop (ms) that must pass after a stop before prefills resume.
    pub calm: Ms,
    /// Prompt tokens per second: the share of the node's capacity that prefills may take.
    pub tokens_a_second: u64,
    /// Maximum number of unused tokens that accumulate. A longer prefill waits for this many and then leaves
    /// a debt.
    pub burst: u64,
}

/// Reported state of the fleet and of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sight {
    /// Load level of the fleet, in thousandths.
    pub level: u32,
    /// Wait for the first token at the node (ms).
    pub wait: Ms,
    /// Age of the older of both reports (ms).
    pub age: Ms,
    pub node: Standing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Serves,
    Drains,
    Gone,
}

/// Why a prefill may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Held {
    #[error("node {:x} is draining; it receives no prefills", .0.0)]
    Drains(Node),
    #[error("node {:x} is unavailable; it receives no prefills", .0.0)]
    Gone(Node),
    #[error("the fleet is shedding load (level {level} of 1000); prefills are paused")]
    Level { level: u32 },
    #[error("node {node:x} has fallen behind ({wait} ms to the first token); prefills are paused", node = .node.0)]
    Behind { node: Node, wait: Ms },
    #[error("the reports on the fleet and on node {node:x} are {age} ms old; prefills are paused", node = .node.0)]
    Stale { node: Node, age: Ms },
    #[error("the load is normal again; prefills resume in {ms} ms")]
    Calming { ms: Ms },
    #[error("{running} prefills are in flight at node {node:x}, which is the limit", node = .node.0)]
    Full { node: Node, running: usize },
    #[error("node {node:x} has used its share of tokens; more are available in {ms} ms", node = .node.0)]
    Share { node: Node, ms: Ms },
}

impl Held {
    /// Returns what an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Held::Drains(_) => "Order `replace` with a node that is not draining.",
            Held::Gone(_) => {
                "Check the node; the old one continues to serve. Order `replace` again when the node is up."
            }
            Held::Level { .. } => {
                "No action is needed: prefills resume when the load has fallen. The deadline still applies."
            }
            Held::Behind { .. } => "Lower the share of a node's capacity that prefills may take.",
            Held::Stale { .. } => "Check whether the node reports, and whether this gateway receives the reports of the others.",
            Held::Calming { .. } | Held::Full { .. } | Held::Share { .. } => {
                "No action is needed. Raise the limits if replacements often reach their deadline with a cold cache."
            }
        }
    }

    /// Whether prefills in flight must be cancelled too.
    fn stops(&self) -> bool {
        matches!(
            self,
            Held::Drains(_) | Held::Gone(_) | Held::Level { .. } | Held::Behind { .. } | Held::Stale { .. }
        )
    }
}

/// Pacing of this member's prefills at one node.
pub struct Pace {
    node: Node,
    limits: Limits,
    running: Vec<Beginning>,
    /// Tokens that may be spent, in thousandths; negative if there is a debt.
    saved: i64,
    filled: Ms,
    calm_from: Ms,
}

impl Pace {
    pub fn new(node: Node, limits: Limits, now: Ms) -> Pace {
        Pace { node, limits, running: Vec::new(), saved: 0, filled: now, calm_from: now }
    }

    /// Applies a new report and returns the prefills that must be cancelled at once.
    pub fn look(&mut self, sight: &Sight, now: Ms) -> Vec<Beginning> {
        match self.trouble(sight) {
            Some(held) if held.stops() => {
                self.calm_from = now.saturating_add(self.limits.calm);
                std::mem::take(&mut self.running)
            }
            _ => Vec::new(),
        }
    }

    /// Admits a prefill of `tokens` tokens, which counts as in flight from now on.
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

    /// Records that a prefill has ended, whatever its result.
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
