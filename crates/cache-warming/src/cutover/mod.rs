//! Cutover of one node: its keys move to the replacement one slice at a time, each when the prefixes planned
//! for it have been prefilled, or once the deadline has passed.
//!
//! A slice has at most one owner at any time. The old node remains available until all slices have moved and
//! the new node has served for a settling time; then the old node may drain. If the new node fails before
//! that, all slices return to the old node in the same step.

mod replacements;
mod report;

pub use replacements::{ReplaceError, Replacements};
pub use report::{CutoverStats, Reason, Transition};

use crate::assignments::ReplacementId;
use crate::plan::Plan;
use crate::slices::slice;
use crate::types::{Model, Ms, Node, PromptPrefix, Team};

/// Relative tolerance for sums of the same savings that were added in another order.
const ROUNDING: f64 = 1e-9;

/// Parameters of a cutover.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CutoverConfig {
    /// Number of slices that a node's keys are divided into.
    pub slices: u16,
    /// Share of a slice's planned saving that must be prefilled before the slice may move.
    pub min_prefilled_share: f64,
    /// Minimum time between moves of two slices (ms), so that the new node is not flooded with requests for
    /// prefixes that were not prefilled. It does not apply when the old node is lost and all slices move.
    pub move_interval: Ms,
    /// Time after the start (ms) from which slices move whether prefilled or not, still one per
    /// `move_interval`.
    pub deadline: Ms,
    /// Minimum ratio of the tokens that were cached at the new node to those that were expected to be. Below
    /// it, no slice moves before the deadline, unless the old node is lost.
    pub min_hit_ratio: f64,
    /// Minimum number of requested tokens before the hit ratio is evaluated.
    pub min_sample_tokens: u64,
    /// Time after the last slice has moved (ms) during which all slices can still return to the old node.
    pub settle_time: Ms,
}

/// The side of a replacement that serves a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Old,
    New,
}

/// Progress of a replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No slice has moved yet.
    Warming,
    Moving,
    /// All slices have moved, but the settling time is not over. The slices return to the old node if the new
    /// one fails; if the old node has failed too, the next one in the server order serves them.
    Settling,
    /// The settling time is over; the old node, if there is one, may drain.
    Done,
    /// All slices belong to the old node again.
    RolledBack(Reason),
}

/// An event that a member reports to a cutover.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// Any member has prefilled a planned prefix at the new node.
    Prefilled(PromptPrefix),
    /// A prefix was requested at the new node: its length in tokens, and how many of them were cached there.
    Requested { tokens: u32, cached: u32 },
    /// A node has failed, or drains for another reason than this replacement.
    NodeLost(Node),
    /// A later replacement of the same old node, or of this new node, has started.
    Superseded,
    /// Nothing happened except that time has passed.
    Tick,
}

#[derive(Clone, Debug, Default)]
struct Slice {
    moved: bool,
    planned: f64,
    prefilled: f64,
    owned: f64,
}

/// State of one replacement at one member.
#[derive(Clone, Debug)]
pub struct Cutover {
    replacement: ReplacementId,
    /// The node whose place in the server order the new node takes. `None`: the new node has a place of its
    /// own, its keys come from all other nodes, and until they move, the order without it determines who
    /// serves them.
    old: Option<Node>,
    config: CutoverConfig,
    state: State,
    /// Whether the old node may serve.
    old_serves: bool,
    /// Whether the new node may serve.
    new_serves: bool,
    slices: Vec<Slice>,
    /// Planned prefixes that have not been prefilled yet, with their savings.
    pending: Vec<(PromptPrefix, f64)>,
    started_at: Ms,
    last_move_at: Ms,
    stats: CutoverStats,
}

impl Cutover {
    /// Starts the cutover of a replacement. `plan` is the plan of its new node.
    pub fn new(
        replacement: ReplacementId, old: Option<Node>, plan: &Plan, config: CutoverConfig, now: Ms,
    ) -> Cutover {
        let mut slices = vec![Slice::default(); usize::from(config.slices.max(1))];
        let pending: Vec<_> = plan.prefills.iter().map(|r| (r.prefix, r.saving)).collect();
        for (prefix, saving) in &pending {
            slices[usize::from(slice(prefix, config.slices))].planned += saving;
        }
        for (prefix, requested) in &plan.owned {
            slices[usize::from(slice(prefix, config.slices))].owned += requested;
        }
        let stats = CutoverStats { planned: pending.len(), slices: slices.len(), ..CutoverStats::default() };
        Cutover {
            replacement,
            old,
            config,
            state: State::Warming,
            old_serves: true,
            new_serves: true,
            slices,
            pending,
            started_at: now,
            last_move_at: now,
            stats,
        }
    }

    pub fn replacement(&self) -> ReplacementId {
        self.replacement
    }

    pub fn old(&self) -> Option<Node> {
        self.old
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn stats(&self) -> &CutoverStats {
        &self.stats
    }

    /// Returns whether the replacement has ended, after which no slice moves.
    pub fn is_finished(&self) -> bool {
        matches!(self.state, State::Done | State::RolledBack(_))
    }

    /// Returns the side that serves a prefix which the new node owns after the cutover. `None`: neither side
    /// may serve, and the next node in the server order does.
    pub fn side(&self, prefix: &PromptPrefix) -> Option<Side> {
        self.side_of(slice(prefix, self.config.slices))
    }

    /// Returns the side that serves a slice, never one that has failed or drains.
    pub fn side_of(&self, slice: u16) -> Option<Side> {
        let moved = self.slices.get(usize::from(slice))?.moved;
        match (moved, self.old_serves, self.new_serves) {
            (true, _, true) => Some(Side::New),
            (false, true, _) => Some(Side::Old),
            _ => None,
        }
    }

    /// Applies an input and returns the resulting transitions, each of which is a log line. A finished
    /// replacement returns none.
    pub fn step(&mut self, input: Input, now: Ms) -> Vec<Transition> {
        let mut transitions = Vec::new();
        if self.is_finished() {
            self.record_loss_after_end(input);
            return transitions;
        }
        match input {
            Input::Prefilled(prefix) => self.record_prefill(&prefix),
            Input::Requested { tokens, cached } => {
                self.stats.requested_tokens += u64::from(tokens);
                self.stats.cached_tokens += u64::from(cached.min(tokens));
            }
            Input::NodeLost(node) if node == self.replacement.node => {
                self.roll_back(Reason::NewNodeLost, &mut transitions)
            }
            Input::NodeLost(node) if Some(node) == self.old => self.move_all_slices(now, &mut transitions),
            Input::Superseded => self.roll_back(Reason::Superseded, &mut transitions),
            Input::NodeLost(_) | Input::Tick => {}
        }
        self.advance(now, &mut transitions);
        transitions
    }

    /// Applies changed grants: prefixes that may no longer be prefilled are not waited for.
    pub fn retain(&mut self, granted: &dyn Fn(Team, Model) -> bool) {
        let (remaining, revoked) = self.pending.iter().partition(|(b, _)| granted(b.team, b.model));
        self.pending = remaining;
        let revoked: Vec<(PromptPrefix, f64)> = revoked;
        for (prefix, saving) in revoked {
            self.slices[usize::from(slice(&prefix, self.config.slices))].planned -= saving;
            self.stats.planned -= 1;
        }
    }

    fn record_loss_after_end(&mut self, input: Input) {
        match input {
            Input::NodeLost(node) if node == self.replacement.node => self.new_serves = false,
            Input::NodeLost(node) if Some(node) == self.old => self.old_serves = false,
            _ => {}
        }
    }

    fn record_prefill(&mut self, prefix: &PromptPrefix) {
        if let Some(index) = self.pending.iter().position(|p| p.0 == *prefix) {
            let (_, saving) = self.pending.swap_remove(index);
            self.slices[usize::from(slice(prefix, self.config.slices))].prefilled += saving;
            self.stats.prefilled += 1;
        }
    }

    /// Returns all slices to the old node at once. If that node is lost too, the next one in the server order
    /// serves.
    fn roll_back(&mut self, reason: Reason, transitions: &mut Vec<Transition>) {
        self.new_serves &= reason != Reason::NewNodeLost;
        self.slices.iter_mut().for_each(|slice| slice.moved = false);
        self.stats.moved = 0;
        self.state = State::RolledBack(reason);
        self.pending.clear();
        transitions.push(Transition::RolledBack { reason });
    }

    /// Moves all slices at once, prefilled or not, because the old node can no longer serve.
    fn move_all_slices(&mut self, now: Ms, transitions: &mut Vec<Transition>) {
        self.old_serves = false;
        self.slices.iter_mut().for_each(|slice| slice.moved = true);
        self.stats.moved = self.slices.len();
        (self.state, self.last_move_at) = (State::Settling, now);
        transitions.push(Transition::AllMoved { reason: Reason::OldNodeLost });
    }

    fn advance(&mut self, now: Ms, transitions: &mut Vec<Transition>) {
        let since_last_move = now.saturating_sub(self.last_move_at);
        match self.state {
            State::Warming | State::Moving if since_last_move >= self.config.move_interval => {
                self.move_next_slice(now, transitions)
            }
            State::Settling if since_last_move >= self.config.settle_time => {
                self.state = State::Done;
                self.pending.clear();
                transitions.push(Transition::Done { old: self.old });
            }
            _ => {}
        }
        self.stats.expected_hit_ratio = self.expected_hit_ratio();
    }

    fn move_next_slice(&mut self, now: Ms, transitions: &mut Vec<Transition>) {
        let deadline_passed = now.saturating_sub(self.started_at) >= self.config.deadline;
        let is_ready = |slice: &Slice| {
            !slice.moved
                && slice.prefilled >= self.config.min_prefilled_share * slice.planned * (1.0 - ROUNDING)
        };
        let next = if deadline_passed {
            self.slices.iter().position(|slice| !slice.moved)
        } else if self.hit_ratio_too_low() {
            None
        } else {
            self.slices.iter().position(is_ready)
        };
        let Some(index) = next else { return };
        let reason = if is_ready(&self.slices[index]) { Reason::Prefilled } else { Reason::Deadline };
        self.slices[index].moved = true;
        self.stats.moved += 1;
        (self.state, self.last_move_at) = (State::Moving, now);
        transitions.push(Transition::Moved { slice: index as u16, reason });
        if self.stats.moved == self.slices.len() {
            self.state = State::Settling;
            transitions.push(Transition::AllMoved { reason });
        }
    }

    /// Returns the share of requested tokens that is expected to be cached at the new node for the slices
    /// that have moved: the savings that were prefilled, divided by the tokens per second requested.
    fn expected_hit_ratio(&self) -> f64 {
        let moved = || self.slices.iter().filter(|slice| slice.moved);
        let (prefilled, owned): (f64, f64) =
            (moved().map(|s| s.prefilled).sum(), moved().map(|s| s.owned).sum());
        if owned > 0.0 {
            (prefilled / owned).min(1.0)
        } else {
            0.0
        }
    }

    fn hit_ratio_too_low(&self) -> bool {
        let cached = self.stats.cached_tokens as f64;
        let requested = self.stats.requested_tokens;
        requested >= self.config.min_sample_tokens.max(1)
            && cached < self.config.min_hit_ratio * self.expected_hit_ratio() * requested as f64
    }
}
