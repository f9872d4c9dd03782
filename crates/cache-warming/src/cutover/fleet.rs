//! All replacements that a member knows, each new node in one of them, and what follows where one is replaced again.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

use super::{Cutover, Input, Side, State, Step, Terms};
use crate::plan::Plan;
use crate::readers::HandOver;
use crate::terms::{Beginning, Model, Ms, Node, Team};

/// Why an order to replace is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    #[error("node {node:x} cannot replace itself", node = .0.0)]
    Itself(Node),
    #[error("node {node:x} drains or has failed: nothing moves to it", node = .0.0)]
    NotServing(Node),
    #[error("node {node:x} is in a replacement already", node = .0.0)]
    UnderWay(Node),
    #[error("run {run} of node {node:x} is an old one", node = .0.node.0, run = .0.run)]
    OldRun(HandOver),
    #[error("{known} replacements are under way, at most {limit} may be")]
    TooMany { known: usize, limit: usize },
}

impl OrderError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            OrderError::Itself(_) => "Name two nodes: `replace OLD NEW`.",
            OrderError::NotServing(_) => {
                "Name a node that serves, or wait until discovery lists it as serving."
            }
            OrderError::UnderWay(_) => "Wait for its end, or replace the new node of it by another one.",
            OrderError::OldRun(_) => "Nothing where it is late news; else order it anew.",
            OrderError::TooMany { .. } => "Wait for one to end, or raise the number of replacements.",
        }
    }
}

/// The replacements of a member.
pub struct Replacements {
    terms: Terms,
    limit: usize,
    under_way: BTreeMap<Node, Cutover>,
    /// Nodes that drain or have failed, as the caller tells.
    lost: BTreeSet<Node>,
}

impl Replacements {
    /// At most `limit` under way at a time. One that has ended is remembered until it is let go, one a node.
    pub fn new(terms: Terms, limit: usize) -> Replacements {
        Replacements { terms, limit, under_way: BTreeMap::new(), lost: BTreeSet::new() }
    }

    /// A node is to take the place of another in the order (hashed under that one's name), or (`None`) a place of its own.
    /// Where the old one is itself the new one of a replacement under way, that one goes back to its own old node, and the newest takes over from there. Where the old one is
    /// being replaced by another, that ends likewise. Returns the steps of replacements that have ended by it.
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
        // A node that never came to own its keys is replaced at the node that serves them.
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

    /// Something was learnt of the replacement to this node.
    pub fn step(&mut self, new: Node, input: Input, now: Ms) -> Vec<(HandOver, Step)> {
        let Some(cutover) = self.under_way.get_mut(&new) else { return Vec::new() };
        let hand_over = cutover.hand_over;
        cutover.step(input, now).into_iter().map(|step| (hand_over, step)).collect()
    }

    /// A node drains or has failed (`true`), or serves again, which brings nothing back that has moved away.
    pub fn lost(&mut self, node: Node, lost: bool, now: Ms) -> Vec<(HandOver, Step)> {
        if !lost {
            self.lost.remove(&node);
            return Vec::new();
        }
        self.lost.insert(node);
        self.all(Input::Lost(node), now)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Ms) -> Vec<(HandOver, Step)> {
        self.all(Input::Tick, now)
    }

    /// Who serves a beginning that is this new node's by the order after the cut-over: a node, or `None` where the order
    /// without it decides.
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

    /// Lets go of what has ended well, and of a node that is off every list. One that went back stays, since its node still must
    /// not own anything, until it is let go or ordered anew.
    pub fn let_go(&mut self, gone: &dyn Fn(Node) -> bool) {
        self.under_way.retain(|node, c| !gone(*node) && c.state() != State::Done);
        self.lost.retain(|node| !gone(*node));
    }

    /// The grants have changed.
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
