//! Pacing of the prefills that warm a node. They yield to all other work: they stop at once when the fleet
//! sheds load, when the node falls behind, drains or is unavailable, and when the reports on the fleet or on
//! the node are out of date.

use thiserror::Error;

use crate::types::{Ms, Node, PromptPrefix};

/// Priority of every prefill for warming, below that of all client requests.
pub const PRIORITY: u8 = 0;

/// Limits of the prefills at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacingLimits {
    /// Maximum number of prefills in flight. Further ones are rejected, not queued.
    pub max_in_flight: usize,
    /// Load level of the fleet above which nothing is prefilled, in thousandths.
    pub max_level: u32,
    /// Wait for the first token (ms) above which the node counts as fallen behind.
    pub max_wait: Ms,
    /// Maximum age of the reports on fleet and node (ms).
    pub max_age: Ms,
    /// Time without a reason to stop (ms) that must pass after a stop before prefills resume.
    pub calm_time: Ms,
    /// Prompt tokens per second: the share of the node's capacity that prefills may take.
    pub tokens_per_second: u64,
    /// Maximum number of unused tokens that accumulate. A longer prefill waits for this many and then leaves
    /// a debt.
    pub burst: u64,
}

/// Reported state of the fleet and of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Load level of the fleet, in thousandths.
    pub level: u32,
    /// Wait for the first token at the node (ms).
    pub wait: Ms,
    /// Age of the older of the two reports, on the fleet and on the node (ms).
    pub age: Ms,
    pub node_state: NodeState,
}

/// Service state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    Serving,
    Draining,
    Unavailable,
}

/// Why a prefill may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PacingError {
    #[error("node {:x} is draining; it receives no prefills", .0.0)]
    Draining(Node),
    #[error("node {:x} is unavailable; it receives no prefills", .0.0)]
    Unavailable(Node),
    #[error("the fleet is shedding load (level {level} of 1000); prefills are paused")]
    Overloaded { level: u32 },
    #[error("node {node:x} has fallen behind ({wait} ms to the first token); prefills are paused", node = .node.0)]
    Lagging { node: Node, wait: Ms },
    #[error("the reports on the fleet and on node {node:x} are {age} ms old; prefills are paused", node = .node.0)]
    OutdatedReport { node: Node, age: Ms },
    #[error("the load is normal again; prefills resume in {ms} ms")]
    Recovering { ms: Ms },
    #[error("{in_flight} prefills are in flight at node {node:x}, which is the limit", node = .node.0)]
    InFlightLimit { node: Node, in_flight: usize },
    #[error("node {node:x} has used its share of tokens; more are available in {ms} ms", node = .node.0)]
    RateLimit { node: Node, ms: Ms },
}

impl PacingError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            PacingError::Draining(_) => "Order `replace` with a node that is not draining.",
            PacingError::Unavailable(_) => {
                "Check the node; the old one continues to serve. Order `replace` again when the node is up."
            }
            PacingError::Overloaded { .. } => {
                "No action is needed: prefills resume when the load falls. The deadline still applies."
            }
            PacingError::Lagging { .. } => "Lower the share of a node's capacity that prefills may take.",
            PacingError::OutdatedReport { .. } => {
                "Check whether the node reports, and whether this gateway receives the reports of the others."
            }
            PacingError::Recovering { .. }
            | PacingError::InFlightLimit { .. }
            | PacingError::RateLimit { .. } => {
                "No action is needed. Raise the limits if caches are often cold at the deadline."
            }
        }
    }

    /// Whether prefills in flight must be cancelled too.
    fn cancels_in_flight(&self) -> bool {
        matches!(
            self,
            PacingError::Draining(_)
                | PacingError::Unavailable(_)
                | PacingError::Overloaded { .. }
                | PacingError::Lagging { .. }
                | PacingError::OutdatedReport { .. }
        )
    }
}

/// Pacing of this member's prefills at one node.
pub struct Pacer {
    node: Node,
    limits: PacingLimits,
    in_flight: Vec<PromptPrefix>,
    /// Tokens that may be spent, in thousandths; negative if there is a debt.
    balance: i64,
    refilled_at: Ms,
    /// Time before which no prefill is admitted.
    resume_at: Ms,
}

impl Pacer {
    pub fn new(node: Node, limits: PacingLimits, now: Ms) -> Pacer {
        Pacer { node, limits, in_flight: Vec::new(), balance: 0, refilled_at: now, resume_at: now }
    }

    /// Applies a new report and returns the prefills that must be cancelled at once.
    pub fn update(&mut self, report: &LoadReport, now: Ms) -> Vec<PromptPrefix> {
        match self.stop_reason(report) {
            Some(error) if error.cancels_in_flight() => {
                self.resume_at = now.saturating_add(self.limits.calm_time);
                std::mem::take(&mut self.in_flight)
            }
            _ => Vec::new(),
        }
    }

    /// Admits a prefill of `tokens` tokens, which counts as in flight from now on.
    pub fn admit(
        &mut self, prefix: PromptPrefix, tokens: u32, report: &LoadReport, now: Ms,
    ) -> Result<(), PacingError> {
        if let Some(error) = self.stop_reason(report) {
            self.resume_at = now.saturating_add(self.limits.calm_time);
            return Err(error);
        }
        if now < self.resume_at {
            return Err(PacingError::Recovering { ms: self.resume_at - now });
        }
        if self.in_flight.len() >= self.limits.max_in_flight {
            return Err(PacingError::InFlightLimit { node: self.node, in_flight: self.in_flight.len() });
        }
        self.refill(now);
        let required = i64::from(tokens).min(self.burst()).saturating_mul(1000);
        if self.balance < required {
            let ms = (required - self.balance).unsigned_abs().div_ceil(self.limits.tokens_per_second.max(1));
            return Err(PacingError::RateLimit { node: self.node, ms });
        }
        self.balance -= i64::from(tokens) * 1000;
        self.in_flight.push(prefix);
        Ok(())
    }

    /// Records that a prefill has ended, whatever its result.
    pub fn finish(&mut self, prefix: &PromptPrefix) {
        if let Some(index) = self.in_flight.iter().position(|b| b == prefix) {
            self.in_flight.swap_remove(index);
        }
    }

    pub fn in_flight(&self) -> &[PromptPrefix] {
        &self.in_flight
    }

    fn stop_reason(&self, report: &LoadReport) -> Option<PacingError> {
        let (node, limits) = (self.node, &self.limits);
        match report.node_state {
            NodeState::Draining => return Some(PacingError::Draining(node)),
            NodeState::Unavailable => return Some(PacingError::Unavailable(node)),
            NodeState::Serving => {}
        }
        if report.level > limits.max_level {
            return Some(PacingError::Overloaded { level: report.level });
        }
        if report.wait > limits.max_wait {
            return Some(PacingError::Lagging { node, wait: report.wait });
        }
        (report.age > limits.max_age).then_some(PacingError::OutdatedReport { node, age: report.age })
    }

    fn burst(&self) -> i64 {
        i64::try_from(self.limits.burst).unwrap_or(i64::MAX)
    }

    fn refill(&mut self, now: Ms) {
        let rate = i64::try_from(self.limits.tokens_per_second).unwrap_or(i64::MAX);
        let elapsed = i64::try_from(now.saturating_sub(self.refilled_at)).unwrap_or(i64::MAX);
        self.balance =
            self.balance.saturating_add(rate.saturating_mul(elapsed)).min(self.burst().saturating_mul(1000));
        self.refilled_at = self.refilled_at.max(now);
    }
}
