//! All replacements that a member tracks, at most one for each new node, and the rules for replacing a node
//! that is itself part of a replacement.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

use super::{Cutover, CutoverConfig, Input, Side, State, Transition};
use crate::assignments::ReplacementId;
use crate::plan::Plan;
use crate::types::{Model, Ms, Node, PromptPrefix, Team};

/// Why an order to replace a node was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReplaceError {
    #[error("node {node:x} cannot replace itself", node = .0.0)]
    SameNode(Node),
    #[error("node {node:x} is draining or has failed; no keys can move to it", node = .0.0)]
    NotServing(Node),
    #[error("node {node:x} is already part of a replacement in progress", node = .0.0)]
    InProgress(Node),
    #[error("run {run} of node {node:x} is not newer than its last run", node = .0.node.0, run = .0.run)]
    OutdatedRun(ReplacementId),
    #[error("{in_progress} replacements are in progress, which is the limit ({limit})")]
    TooMany { in_progress: usize, limit: usize },
}

impl ReplaceError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            ReplaceError::SameNode(_) => "Name two different nodes: `replace OLD NEW`.",
            ReplaceError::NotServing(_) => {
                "Name a serving node, or wait until discovery lists this one as serving."
            }
            ReplaceError::InProgress(_) => "Wait for its end, or replace its new node by another one.",
            ReplaceError::OutdatedRun(_) => "Ignore a late message; otherwise order the replacement again.",
            ReplaceError::TooMany { .. } => "Wait for one to end, or raise the limit of replacements.",
        }
    }
}

/// Replacements that one member tracks.
pub struct Replacements {
    config: CutoverConfig,
    limit: usize,
    cutovers: BTreeMap<Node, Cutover>,
    /// Nodes that the caller reported as draining or failed.
    lost_nodes: BTreeSet<Node>,
}

impl Replacements {
    /// Allows at most `limit` replacements in progress. A finished replacement is kept until
    /// [`Replacements::remove_finished`] removes it or a later one with the same new node takes its place.
    pub fn new(config: CutoverConfig, limit: usize) -> Replacements {
        Replacements { config, limit, cutovers: BTreeMap::new(), lost_nodes: BTreeSet::new() }
    }

    /// Starts a replacement, in which the new node takes the place of `old` in the server order (hashed under
    /// the name of `old`) or, with `None`, a place of its own.
    ///
    /// If `old` is itself the new node of a replacement in progress, that one is rolled back to its own old
    /// node, and the new node takes over from there. If `old` is being replaced by another node, that
    /// replacement is rolled back likewise. Returns the resulting transitions.
    pub fn replace(
        &mut self, old: Option<Node>, replacement: ReplacementId, plan: &Plan, now: Ms,
    ) -> Result<Vec<(ReplacementId, Transition)>, ReplaceError> {
        let new = replacement.node;
        if old == Some(new) {
            return Err(ReplaceError::SameNode(new));
        }
        if self.lost_nodes.contains(&new) {
            return Err(ReplaceError::NotServing(new));
        }
        let involves_new = |c: &Cutover| c.replacement.node == new || c.old == Some(new);
        if self.cutovers.values().any(|c| !c.is_finished() && involves_new(c)) {
            return Err(ReplaceError::InProgress(new));
        }
        if self.cutovers.get(&new).is_some_and(|c| c.replacement.run >= replacement.run) {
            return Err(ReplaceError::OutdatedRun(replacement));
        }
        let is_superseded = |c: &Cutover| {
            !c.is_finished() && (Some(c.replacement.node) == old || (old.is_some() && c.old == old))
        };
        let active = self.cutovers.values().filter(|c| !c.is_finished() && !is_superseded(c)).count();
        if active >= self.limit {
            return Err(ReplaceError::TooMany { in_progress: active, limit: self.limit });
        }
        let mut transitions = Vec::new();
        for previous in self.cutovers.values_mut().filter(|c| is_superseded(c)) {
            let caused = previous.step(Input::Superseded, now);
            transitions.extend(caused.into_iter().map(|transition| (previous.replacement, transition)));
        }
        // If `old` is the new node of a replacement that was rolled back, its keys belong to the old node of
        // that replacement and are taken over from there.
        let previous = old.and_then(|node| self.cutovers.get(&node)).filter(|c| c.state != State::Done);
        let source = previous.map_or(old, |c| c.old).filter(|node| *node != new);
        let mut cutover = Cutover::new(replacement, source, plan, self.config, now);
        if let Some(lost_node) = source.filter(|node| self.lost_nodes.contains(node)) {
            let caused = cutover.step(Input::NodeLost(lost_node), now);
            transitions.extend(caused.into_iter().map(|transition| (replacement, transition)));
        }
        self.cutovers.insert(new, cutover);
        Ok(transitions)
    }

    /// Applies an input to the replacement by this new node, if there is one.
    pub fn step(&mut self, new: Node, input: Input, now: Ms) -> Vec<(ReplacementId, Transition)> {
        let Some(cutover) = self.cutovers.get_mut(&new) else { return Vec::new() };
        let replacement = cutover.replacement;
        cutover.step(input, now).into_iter().map(|transition| (replacement, transition)).collect()
    }

    /// Records that a node drains or has failed (`true`), or that it serves again. Keys that have moved away
    /// from it do not move back.
    pub fn set_lost(&mut self, node: Node, is_lost: bool, now: Ms) -> Vec<(ReplacementId, Transition)> {
        if !is_lost {
            self.lost_nodes.remove(&node);
            return Vec::new();
        }
        self.lost_nodes.insert(node);
        self.step_all(Input::NodeLost(node), now)
    }

    /// Advances all replacements to the current time.
    pub fn tick(&mut self, now: Ms) -> Vec<(ReplacementId, Transition)> {
        self.step_all(Input::Tick, now)
    }

    /// Returns the node that serves a prefix which the server order assigns to this new node after the
    /// cutover. `None`: the order without the new node decides.
    pub fn owner(&self, new: Node, prefix: &PromptPrefix) -> Option<Node> {
        let unless_lost = |node: Node| (!self.lost_nodes.contains(&node)).then_some(node);
        let Some(cutover) = self.cutovers.get(&new) else { return unless_lost(new) };
        let side = match cutover.state {
            State::Done => Side::New,
            State::RolledBack(_) => Side::Old,
            _ => cutover.side(prefix)?,
        };
        match side {
            Side::New => unless_lost(new),
            Side::Old => unless_lost(cutover.old?),
        }
    }

    pub fn get(&self, new: Node) -> Option<&Cutover> {
        self.cutovers.get(&new)
    }

    pub fn all_cutovers(&self) -> impl Iterator<Item = &Cutover> {
        self.cutovers.values()
    }

    /// Removes replacements that are done or whose new node is unlisted, and the records of unlisted nodes as
    /// lost. A replacement that was rolled back stays until its new node is unlisted or is the new node of a
    /// later replacement, because until then that node must not own anything.
    pub fn remove_finished(&mut self, is_unlisted: &dyn Fn(Node) -> bool) {
        self.cutovers.retain(|node, c| !is_unlisted(*node) && c.state() != State::Done);
        self.lost_nodes.retain(|node| !is_unlisted(*node));
    }

    /// Applies changed grants to all replacements.
    pub fn retain(&mut self, granted: &dyn Fn(Team, Model) -> bool) {
        self.cutovers.values_mut().for_each(|c| c.retain(granted));
    }

    fn step_all(&mut self, input: Input, now: Ms) -> Vec<(ReplacementId, Transition)> {
        let mut transitions = Vec::new();
        for cutover in self.cutovers.values_mut() {
            let caused = cutover.step(input, now);
            transitions.extend(caused.into_iter().map(|transition| (cutover.replacement, transition)));
        }
        transitions
    }
}
