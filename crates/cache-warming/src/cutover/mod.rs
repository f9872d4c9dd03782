//! Cutover of one node: its keys move to the replacement one slice at a time, each when the prefixes planned
//! for it have been prefilled, or once the deadline has passed.
//!
//! A slice has one owner at any time. The old node serves until all slices have moved and the new node has
//! served for a settling time; then the old node may drain. If the new node fails, all slices return to the
//! old node in the same step.

mod replacements;
mod report;

pub use replacements::{OrderError, Replacements};
pub use report::{Figures, Step, Why};

use crate::assignments::HandOver;
use crate::plan::Plan;
use crate::slices::slice;
use crate::types::{Beginning, Model, Ms, Node, Team};

/// Relative tolerance for sums of the same savings that were added in another order.
const ROUNDING: f64 = 1e-9;

/// Parameters of a cutover.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Number of slices that a node's keys are divided into.
    pub slices: u16,
    /// Share of a slice's planned saving that must be prefilled before the slice may move.
    pub target: f64,
    /// Minimum time between moves of two slices (ms), so that the new node is not flooded with requests for
    /// prefixes that were not prefilled.
    pub gap: Ms,
    /// Time after the start (ms) from which slices move whether prefilled or not, still one per `gap`.
    pub deadline: Ms,
    /// Minimum ratio of found to expected tokens. Below it, no slice moves before the deadline.
    pub least_found: f64,
    /// Minimum number of requested tokens before the found ones are evaluated.
    pub enough: u64,
    /// Time after the last slice has moved (ms) during which all slices can still return to the old node.
    pub settle: Ms,
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
    Reading,
    Moving,
    /// All slices have moved; the old node is still available to take them back.
    Settling,
    /// The old node may drain.
    Done,
    /// All slices belong to the old node again.
    Back(Why),
}

/// An event that a member reports to a cutover.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// A member, whichever it is, has prefilled a planned prefix at the new node.
    Read(Beginning),
    /// A prefix was requested at the new node: its length in tokens, and how many of them were cached there.
    Asked { tokens: u32, found: u32 },
    /// A node has failed, or drains for another reason than this replacement.
    Lost(Node),
    /// A later replacement takes over from this one.
    Superseded,
    /// Nothing happened except that time has passed.
    Tick,
}

#[derive(Clone, Debug, Default)]
struct Slice {
    moved: bool,
    planned: f64,
    read: f64,
    owned: f64,
}

/// State of one replacement at one member.
#[derive(Clone, Debug)]
pub struct Cutover {
    hand_over: HandOver,
    /// The node whose place in the server order the new node takes. `None`: the new node has a place of its
    /// own, its keys come from all other nodes, and until they move, the order without it determines who
    /// serves them.
    old: Option<Node>,
    terms: Terms,
    state: State,
    /// Whether the old node may serve.
    old_serves: bool,
    /// Whether the new node may serve.
    new_serves: bool,
    slices: Vec<Slice>,
    /// Planned prefixes that have not been prefilled yet, with their savings.
    left: Vec<(Beginning, f64)>,
    began: Ms,
    moved_at: Ms,
    figures: Figures,
}

impl Cutover {
    /// Starts the cutover of a replacement. `plan` is the plan of its new node.
    pub fn new(hand_over: HandOver, old: Option<Node>, plan: &Plan, terms: Terms, now: Ms) -> Cutover {
        let mut slices = vec![Slice::default(); usize::from(terms.slices.max(1))];
        let left: Vec<_> = plan.readings.iter().map(|r| (r.beginning, r.saving)).collect();
        for (beginning, saving) in &left {
            slices[usize::from(slice(beginning, terms.slices))].planned += saving;
        }
        for (beginning, asked) in &plan.owned {
            slices[usize::from(slice(beginning, terms.slices))].owned += asked;
        }
        let figures = Figures { planned: left.len(), slices: slices.len(), ..Figures::default() };
        Cutover {
            hand_over,
            old,
            terms,
            state: State::Reading,
            old_serves: true,
            new_serves: true,
            slices,
            left,
            began: now,
            moved_at: now,
            figures,
        }
    }

    pub fn hand_over(&self) -> HandOver {
        self.hand_over
    }

    pub fn old(&self) -> Option<Node> {
        self.old
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// Whether the replacement has ended and no slice will move any more.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Done | State::Back(_))
    }

    /// Returns the side that serves a prefix which the new node owns after the cutover. `None`: neither side
    /// may serve, and the next node in the server order does.
    pub fn side(&self, beginning: &Beginning) -> Option<Side> {
        self.side_of(slice(beginning, self.terms.slices))
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

    /// Applies an input and returns the resulting steps, each of which is a log line. After the end there are
    /// none.
    pub fn step(&mut self, input: Input, now: Ms) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.is_over() {
            self.lost_after(input);
            return steps;
        }
        match input {
            Input::Read(beginning) => self.read(&beginning),
            Input::Asked { tokens, found } => {
                self.figures.asked_tokens += u64::from(tokens);
                self.figures.found_tokens += u64::from(found.min(tokens));
            }
            Input::Lost(node) if node == self.hand_over.node => self.back(Why::NewLost, &mut steps),
            Input::Lost(node) if Some(node) == self.old => self.old_lost(now, &mut steps),
            Input::Superseded => self.back(Why::Superseded, &mut steps),
            Input::Lost(_) | Input::Tick => {}
        }
        self.advance(now, &mut steps);
        steps
    }

    /// Applies changed grants: prefixes that may no longer be prefilled are not waited for.
    pub fn retain(&mut self, granted: &dyn Fn(Team, Model) -> bool) {
        let (kept, gone) = self.left.iter().partition(|(b, _)| granted(b.team, b.model));
        self.left = kept;
        let gone: Vec<(Beginning, f64)> = gone;
        for (beginning, saving) in gone {
            self.slices[usize::from(slice(&beginning, self.terms.slices))].planned -= saving;
            self.figures.planned -= 1;
        }
    }

    fn lost_after(&mut self, input: Input) {
        match input {
            Input::Lost(node) if node == self.hand_over.node => self.new_serves = false,
            Input::Lost(node) if Some(node) == self.old => self.old_serves = false,
            _ => {}
        }
    }

    fn read(&mut self, beginning: &Beginning) {
        if let Some(at) = self.left.iter().position(|l| l.0 == *beginning) {
            let (_, saving) = self.left.swap_remove(at);
            self.slices[usize::from(slice(beginning, self.terms.slices))].read += saving;
            self.figures.read += 1;
        }
    }

    /// Returns all slices to the old node at once. If that node is lost too, the next one in the server order
    /// serves.
    fn back(&mut self, why: Why, steps: &mut Vec<Step>) {
        self.new_serves &= why != Why::NewLost;
        self.slices.iter_mut().for_each(|slice| slice.moved = false);
        self.figures.moved = 0;
        self.state = State::Back(why);
        self.left.clear();
        steps.push(Step::Back { why });
    }

    /// Moves all slices at once, prefilled or not, because the old node can no longer serve.
    fn old_lost(&mut self, now: Ms, steps: &mut Vec<Step>) {
        self.old_serves = false;
        self.slices.iter_mut().for_each(|slice| slice.moved = true);
        self.figures.moved = self.slices.len();
        (self.state, self.moved_at) = (State::Settling, now);
        steps.push(Step::AllMoved { why: Why::OldLost });
    }

    fn advance(&mut self, now: Ms, steps: &mut Vec<Step>) {
        let since = now.saturating_sub(self.moved_at);
        match self.state {
            State::Reading | State::Moving if since >= self.terms.gap => self.move_one(now, steps),
            State::Settling if since >= self.terms.settle => {
                self.state = State::Done;
                self.left.clear();
                steps.push(Step::Done { old: self.old });
            }
            _ => {}
        }
        self.figures.expected = self.expected();
    }

    fn move_one(&mut self, now: Ms, steps: &mut Vec<Step>) {
        let late = now.saturating_sub(self.began) >= self.terms.deadline;
        let ready = |slice: &Slice| {
            !slice.moved && slice.read >= self.terms.target * slice.planned * (1.0 - ROUNDING)
        };
        let next = if late {
            self.slices.iter().position(|slice| !slice.moved)
        } else if self.found_too_little() {
            None
        } else {
            self.slices.iter().position(ready)
        };
        let Some(at) = next else { return };
        let why = if ready(&self.slices[at]) { Why::Read } else { Why::Deadline };
        self.slices[at].moved = true;
        self.figures.moved += 1;
        (self.state, self.moved_at) = (State::Moving, now);
        steps.push(Step::Moved { slice: at as u16, why });
        if self.figures.moved == self.slices.len() {
            self.state = State::Settling;
            steps.push(Step::AllMoved { why });
        }
    }

    /// Returns the share of requested tokens that should be cached at the new node for the slices that have
    /// moved, judging by what was prefilled.
    fn expected(&self) -> f64 {
        let moved = || self.slices.iter().filter(|slice| slice.moved);
        let (read, owned): (f64, f64) = (moved().map(|s| s.read).sum(), moved().map(|s| s.owned).sum());
        if owned > 0.0 {
            (read / owned).min(1.0)
        } else {
            0.0
        }
    }

    fn found_too_little(&self) -> bool {
        let found = self.figures.found_tokens as f64;
        let asked = self.figures.asked_tokens;
        asked >= self.terms.enough.max(1) && found < self.terms.least_found * self.expected() * asked as f64
    }
}
