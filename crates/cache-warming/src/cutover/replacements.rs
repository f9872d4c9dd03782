//! All replacements that a member tracks, at most one for each new node, and the rules for replacing a node
//! that is itself part of a replacement.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

use super::{Cutover, Input, Side, State, Step, Terms};
use crate::assignments::HandOver;
use crate::plan::Plan;
use crate::types::{Beginning, Model, Ms, Node, Team};

/// Why an order to replace a node was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    #[error("node {node:x} cannot replace itself", node = .0.0)]
    Itself(Node),
    #[error("node {node:x} is draining or has failed; no keys can move to it", node = .0.0)]
    NotServing(Node),
    #[error("node {node:x} is already part of a replacement in progress", node = .0.0)]
    UnderWay(Node),
    #[error("run {run} of node {node:x} is not newer than its last run", node = .0.node.0, run = .0.run)]
    OldRun(HandOver),
    #[error("{known} replacements are in progress, which is the limit ({limit})")]
    TooMany { known: usize, limit: usize },
}

impl OrderError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            OrderError::Itself(_) => "Name two different nodes: `replace OLD NEW`.",
            OrderError::NotServing(_) => {
                "Name a serving node, or wait until discovery lists this one as serving."
            }
            OrderError::UnderWay(_) => "Wait for its end, or replace its new node by another one.",
            OrderError::OldRun(_) => "Ignore a late message; otherwise order the replacement again.",
            OrderError::TooMany { .. } => "Wait for one to end, or raise the limit of replacements.",
        }
    }
}

/// Replacements that one member tracks.
pub struct Replacements {
    terms: Terms,
    limit: usize,
    under_way: BTreeMap<Node, Cutover>,
    /// Nodes that the caller reported as draining or failed.
    lost: BTreeSet<Node>,
}

impl Replacements {
    /// Allows at most `limit` replacements in progress. A finished one is kept, one for each new node, until
    /// [`Replacements::let_go`] removes it.
    pub fn new(terms: Terms, limit: usize) -> Replacements {
        Replacements { terms, limit, under_way: BTreeMap::new(), lost: BTreeSet::new() }
    }

    /// Starts a replacement, in which the new node takes the place of `old` in the server order (hashed under
    /// the name of `old`) or, with `None`, a place of its own.
    ///
    /// If `old` is itself the new node of a replacement in progress, that one is rolled back to its own old
    /// node, and the new node takes over from there. If `old` is being replaced by another node, that
    /// replacement is rolled back likewise. Returns the steps that result.
    pub fn order(
        &mut self, old: Option<Node>, hand_over: HandOver, plan: &Plan, now: Ms,
    ) -> Result<Vec<(HandOver, Step)>, OrderError> {
        let new = hand_over.node;
        if old == Some(new) {
            return Err(OrderError::Itself(new));
        }
        if self.lost.contains(&new) {
            return Err(OrderError::NotServing(new));
        }
        let names_new = |c: &Cutover| c.hand_over.node == new || c.old == Some(new);
        if self.under_way.values().any(|c| !c.is_over() && names_new(c)) {
            return Err(OrderError::UnderWay(new));
        }
        if self.under_way.get(&new).is_some_and(|c| c.hand_over.run >= hand_over.run) {
            return Err(OrderError::OldRun(hand_over));
        }
        let ends =
            |c: &Cutover| !c.is_over() && (Some(c.hand_over.node) == old || (old.is_some() && c.old == old));
        let goes_on = self.under_way.values().filter(|c| !c.is_over() && !ends(c)).count();
        if goes_on >= self.limit {
            return Err(OrderError::TooMany { known: goes_on, limit: self.limit });
        }
        let mut steps = Vec::new();
        for before in self.under_way.values_mut().filter(|c| ends(c)) {
            let told = before.step(Input::Superseded, now);
            steps.extend(told.into_iter().map(|step| (before.hand_over, step)));
        }
        // If the old node never owned its keys, they are taken over from the node that serves them.
        let before = old.and_then(|node| self.under_way.get(&node)).filter(|c| c.state != State::Done);
        let from = before.map_or(old, |c| c.old).filter(|node| *node != new);
        let mut cutover = Cutover::new(hand_over, from, plan, self.terms, now);
        if let Some(gone) = from.filter(|node| self.lost.contains(node)) {
            let told = cutover.step(Input::Lost(gone), now);
            steps.extend(told.into_iter().map(|step| (hand_over, step)));
        }
        self.under_way.insert(new, cutover);
        Ok(steps)
    }

    /// Applies an input to the replacement by this new node, if there is one.
    pub fn step(&mut self, new: Node, input: Input, now: Ms) -> Vec<(HandOver, Step)> {
        let Some(cutover) = self.under_way.get_mut(&new) else { return Vec::new() };
        let hand_over = cutover.hand_over;
        cutover.step(input, now).into_iter().map(|step| (hand_over, step)).collect()
    }

    /// Records that a node drains or has failed (`true`), or that it serves again. Keys that have moved away
    /// from it do not move back.
    pub fn lost(&mut self, node: Node, lost: bool, now: Ms) -> Vec<(HandOver, Step)> {
        if !lost {
            self.lost.remove(&node);
            return Vec::new();
        }
        self.lost.insert(node);
        self.all(Input::Lost(node), now)
    }

    /// Advances all replacements to the current time.
    pub fn tick(&mut self, now: Ms) -> Vec<(HandOver, Step)> {
        self.all(Input::Tick, now)
    }

    /// Returns the node that serves a prefix which the server order assigns to this new node after the
    /// cutover. `None`: the order without the new node decides.
    pub fn owner(&self, new: Node, beginning: &Beginning) -> Option<Node> {
        let unless_lost = |node: Node| (!self.lost.contains(&node)).then_some(node);
        let Some(cutover) = self.under_way.get(&new) else { return unless_lost(new) };
        let side = match cutover.state {
            State::Done => Side::New,
            State::Back(_) => Side::Old,
            _ => cutover.side(beginning)?,
        };
        match side {
            Side::New => unless_lost(new),
            Side::Old => unless_lost(cutover.old?),
        }
    }

    pub fn get(&self, new: Node) -> Option<&Cutover> {
        self.under_way.get(&new)
    }

    pub fn all_under_way(&self) -> impl Iterator<Item = &Cutover> {
        self.under_way.values()
    }

    /// Removes replacements that are done, and nodes that `gone` reports as no longer listed. A replacement
    /// that was rolled back stays until its node is no longer listed or is part of a new order, because the
    /// node still must not own anything.
    pub fn let_go(&mut self, gone: &dyn Fn(Node) -> bool) {
        self.under_way.retain(|node, c| !gone(*node) && c.state() != State::Done);
        self.lost.retain(|node| !gone(*node));
    }

    /// Applies changed grants to all replacements.
    pub fn retain(&mut self, granted: &dyn Fn(Team, Model) -> bool) {
        self.under_way.values_mut().for_each(|c| c.retain(granted));
    }

    fn all(&mut self, input: Input, now: Ms) -> Vec<(HandOver, Step)> {
        let mut steps = Vec::new();
        for cutover in self.under_way.values_mut() {
            let told = cutover.step(input, now);
            steps.extend(told.into_iter().map(|step| (cutover.hand_over, step)));
        }
        steps
    }
}
