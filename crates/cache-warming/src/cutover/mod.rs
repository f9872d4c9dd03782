//! The cut-over of one node: its keys move to the replacement slice by slice, as what was planned for a slice has been read, or
//! from the deadline on. A slice has one owner at any time. The old node serves until all have moved and the new one has held
//! for a while; then it may drain. Where the new one fails, everything is back with the old one in the same step.

mod fleet;
mod story;

pub use fleet::{OrderError, Replacements};
pub use story::{Figures, Step, Why};

use crate::plan::Plan;
use crate::readers::HandOver;
use crate::slices::slice;
use crate::terms::{Beginning, Model, Ms, Node, Team};

/// Sums of the same savings in another order may differ by so much.
const ROUNDING: f64 = 1e-9;

/// How ownership moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Into how many slices a node's keys are cut.
    pub slices: u16,
    /// A slice may move when this part of what was planned for it has been read, by saving.
    pub target: f64,
    /// Between two slices, so that the new node is not flooded with what was not read.
    pub gap: Ms,
    /// From here on slices move whether they were read or not, still a gap apart.
    pub deadline: Ms,
    /// Slices stand still until the deadline while fewer than this part of the hits expected is found.
    pub least_found: f64,
    /// As many tokens must have been asked for before what is found is looked at.
    pub enough: u64,
    /// So long after the last slice the new node can still be given up for the old one.
    pub settle: Ms,
}

/// Which side of a replacement serves a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Old,
    New,
}

/// Where a replacement stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No slice has moved yet.
    Reading,
    Moving,
    /// All slices have moved; the old node still stands by.
    Settling,
    /// The old node may drain.
    Done,
    /// All slices are the old node's again.
    Back(Why),
}

/// What a member learns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// A planned beginning was read at the new node, by whichever member.
    Read(Beginning),
    /// A beginning was asked for at the new node, of so many tokens, of which so many were found.
    Asked { tokens: u32, found: u32 },
    /// A node fails, or drains by another's order.
    Lost(Node),
    /// The new node is itself to be replaced.
    Superseded,
    /// Time has passed.
    Tick,
}

#[derive(Clone, Debug, Default)]
struct Slice {
    moved: bool,
    planned: f64,
    read: f64,
    owned: f64,
}

/// One replacement at one member.
#[derive(Clone, Debug)]
pub struct Cutover {
    hand_over: HandOver,
    /// Whose place in the order the new node takes. `None`: it comes under its own name, its keys are from all others, and
    /// the order without it names who serves them until they move.
    old: Option<Node>,
    terms: Terms,
    state: State,
    /// Whether each side may serve.
    old_serves: bool,
    new_serves: bool,
    slices: Vec<Slice>,
    /// What is planned and has not been read yet, with its saving.
    left: Vec<(Beginning, f64)>,
    began: Ms,
    moved_at: Ms,
    figures: Figures,
}

impl Cutover {
    /// The plan is the new node's; its hand-over names it and the run.
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

    /// Nothing moves any more.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Done | State::Back(_))
    }

    /// Who serves a beginning that is the new node's after the cut-over; `None`: neither side may, and the order's next does.
    pub fn side(&self, beginning: &Beginning) -> Option<Side> {
        self.side_of(slice(beginning, self.terms.slices))
    }

    /// Who serves a slice. Never a side that has failed or drains.
    pub fn side_of(&self, slice: u16) -> Option<Side> {
        let moved = self.slices.get(usize::from(slice))?.moved;
        match (moved, self.old_serves, self.new_serves) {
            (true, _, true) => Some(Side::New),
            (false, true, _) => Some(Side::Old),
            _ => None,
        }
    }

    /// Takes in what was learnt; what follows from it, each a line of the log. After the end nothing does.
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

    /// The grants have changed: what may not be read any more is not waited for.
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

    /// Everything is the old node's again, at once. Where that is gone too, the order's next serves.
    fn back(&mut self, why: Why, steps: &mut Vec<Step>) {
        self.new_serves &= why != Why::NewLost;
        self.slices.iter_mut().for_each(|slice| slice.moved = false);
        self.figures.moved = 0;
        self.state = State::Back(why);
        self.left.clear();
        steps.push(Step::Back { why });
    }

    /// The old node cannot stand by: all of it moves now, read or not.
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

    /// The part of tokens that should be found at the new node for what has moved, by what was read.
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
