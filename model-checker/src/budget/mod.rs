//! The world of a leased budget: the real machines of three members, a network that loses, doubles and reorders,
//! members that die and return, and clocks that run as far apart as they may.
//!
//! A cut is a set of messages that are not delivered, and a stopped process is one that is given nothing to do while
//! time passes: both are among the orders of events without acts of their own. After each act every living member
//! is asked what it would spend if it woke at this very moment.

use glenrail_overload::budget::{Budget, Fault, Message, Terms, Units};
use glenrail_overload::Ms;
use serde::{Deserialize, Serialize};

use crate::rules::Rule;

const MEMBERS: u8 = 3;
/// Two units each, all of which may be lent.
const TERMS: Terms =
    Terms { total: 6, seats: 3, seated: true, floor: 0, lease: 300, drift: 2_000, witnesses: 0, burst: 0 };
/// Each share needs a witness; leases are short, so that few ticks see a share change hands.
const WITNESSED: Terms = Terms { lease: 200, witnesses: 1, ..TERMS };
/// True milliseconds of a tick, and what each clock makes of it: a fast one, a slow one, a true one; where shares are
/// witnessed, a fast witness between two that are slow.
const TICK: Ms = 100;
const RATES: [Ms; 3] = [120, 80, 100];
const WITNESSED_RATES: [Ms; 3] = [120, 80, 80];

/// True milliseconds, rounded up, that a lease may last on the slowest clock.
fn longest(terms: &Terms) -> Ms {
    terms.lease * 10_000 / (10_000 - Ms::from(terms.drift)) + 1
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    /// Most asks on one path.
    pub asks: u8,
    /// Steps of time that have passed before anything is asked, and most that pass then.
    pub late: u8,
    pub ticks: u8,
    /// Most deaths and doubled messages together.
    pub troubles: u8,
    /// Whether shares are held by witnesses' words; all begin with one each.
    pub witnessed: bool,
    /// Most asks for a share, the own or another's.
    pub holds: u8,
    /// The member whose share alone is asked for, all parts and words of others left out; else any.
    pub share: Option<u8>,
    pub fault: Option<Fault>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Act {
    Ask {
        from: u8,
        to: u8,
        want: u8,
    },
    /// Asks a voter, itself perhaps, for a share.
    Hold {
        from: u8,
        to: u8,
        estate: u8,
    },
    /// A message on the way arrives, by its place among them.
    Arrives(u8),
    /// It arrives, and will once more.
    ArrivesAndStays(u8),
    Tick,
    Dies(u8),
    /// A new life with an empty memory.
    Returns(u8),
}

/// An ask of a life that still runs, as the world remembers it while its lease may last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Asked {
    from: u8,
    to: u8,
    want: Units,
    tick: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    members: [Option<Budget>; 3],
    lives: [u8; 3],
    net: Vec<(u8, u8, Message)>,
    asked: Vec<Asked>,
    tick: u8,
    asks: u8,
    ticks: u8,
    troubles: u8,
    holds: u8,
    terms: Terms,
    fault: Option<Fault>,
    pub violated: Option<Rule>,
}

/// A member's clock: its own beginning, long enough after its start, and its own rate.
fn clock(terms: &Terms, member: u8, tick: u8) -> Ms {
    let rates = if terms.witnessed() { WITNESSED_RATES } else { RATES };
    2_000 * (1 + Ms::from(member)) + Ms::from(tick) * rates[usize::from(member)]
}

fn begin(terms: Terms, member: u8, life: u8, at: Ms, fault: Option<Fault>) -> Option<Budget> {
    // The terms are right, and stay as they are.
    let mut budget = Budget::new(terms, member.into(), life.into(), at).ok()?;
    budget.plant(fault);
    Some(budget)
}

impl Setup {
    pub fn start(&self) -> World {
        let terms = if self.witnessed { WITNESSED } else { TERMS };
        let mut world = World {
            members: [0, 1, 2].map(|n| begin(terms, n, 0, 0, self.fault)),
            lives: [0; 3],
            net: Vec::new(),
            asked: Vec::new(),
            tick: 0,
            asks: self.asks,
            ticks: self.ticks,
            troubles: self.troubles,
            holds: self.holds,
            terms,
            fault: self.fault,
            violated: None,
        };
        for n in (0..MEMBERS).filter(|_| self.witnessed) {
            world.hold(n, (n + 2) % MEMBERS, n);
            while let Some(message) = world.net.pop() {
                world.arrives(message);
            }
        }
        world.tick = self.late;
        world.tidy();
        world
    }
}

impl World {
    pub fn acts(&self, setup: &Setup, out: &mut Vec<Act>) {
        if self.violated.is_some() {
            return;
        }
        let lives = |n: &u8| self.members[usize::from(*n)].is_some();
        let asked_for = |share: &u8| setup.share.is_none_or(|only| only == *share);
        if self.asks > 0 {
            for from in (0..MEMBERS).filter(lives) {
                for to in (0..MEMBERS).filter(asked_for).filter(|to| *to != from) {
                    // There is nothing to give back where nothing was asked.
                    let asked = self.asked.iter().any(|a| (a.from, a.to) == (from, to));
                    let least = u8::from(!asked);
                    out.extend((least..=2).map(|want| Act::Ask { from, to, want }));
                }
            }
        }
        if self.holds > 0 {
            for from in (0..MEMBERS).filter(lives) {
                for estate in (0..MEMBERS).filter(asked_for) {
                    let voters = (0..MEMBERS).filter(|to| *to != estate);
                    out.extend(voters.map(|to| Act::Hold { from, to, estate }));
                }
            }
        }
        for n in 0..self.net.len() {
            if lives(&self.net[n].1) {
                out.push(Act::Arrives(n as u8));
                if self.troubles > 0 {
                    out.push(Act::ArrivesAndStays(n as u8));
                }
            }
        }
        if self.ticks > 0 {
            out.push(Act::Tick);
        }
        for n in 0..MEMBERS {
            if !lives(&n) {
                out.push(Act::Returns(n));
            } else if self.troubles > 0 {
                out.push(Act::Dies(n));
            }
        }
    }

    pub fn apply(&mut self, act: Act) {
        match act {
            Act::Ask { from, to, want } => {
                self.asks -= 1;
                let now = clock(&self.terms, from, self.tick);
                if let Some(member) = &mut self.members[usize::from(from)] {
                    let ask = member.ask(now, to.into(), want.into());
                    self.net.push((from, to, Message::Ask(ask)));
                    self.asked.push(Asked { from, to, want: want.into(), tick: self.tick });
                }
            }
            Act::Hold { from, to, estate } => {
                self.holds -= 1;
                self.hold(from, to, estate);
            }
            Act::Arrives(n) => {
                let message = self.net.remove(n.into());
                self.arrives(message);
            }
            Act::ArrivesAndStays(n) => {
                self.troubles -= 1;
                self.arrives(self.net[usize::from(n)]);
            }
            Act::Tick => {
                self.ticks -= 1;
                self.tick += 1;
            }
            Act::Dies(n) => {
                self.troubles -= 1;
                self.members[usize::from(n)] = None;
                self.asked.retain(|a| a.from != n);
            }
            Act::Returns(n) => {
                self.lives[usize::from(n)] += 1;
                let life = self.lives[usize::from(n)];
                self.members[usize::from(n)] =
                    begin(self.terms, n, life, clock(&self.terms, n, self.tick), self.fault);
            }
        }
        self.tidy();
        self.look();
    }

    fn hold(&mut self, from: u8, to: u8, estate: u8) {
        let now = clock(&self.terms, from, self.tick);
        let Some(member) = &mut self.members[usize::from(from)] else { return };
        if let Some(hold) = member.hold(now, estate.into(), to.into()) {
            self.net.push((from, to, Message::Hold(hold)));
        }
    }

    fn arrives(&mut self, (from, to, message): (u8, u8, Message)) {
        let now = clock(&self.terms, to, self.tick);
        let Some(member) = &mut self.members[usize::from(to)] else { return };
        if let Ok(Some(answer)) = member.hear(now, from.into(), &message, 1_000) {
            self.net.push((to, from, answer));
        }
    }

    /// Worlds that behave alike look alike: what has ended is forgotten, and so are grants that a member would
    /// refuse, since it refuses them from then on.
    fn tidy(&mut self) {
        let (tick, terms) = (self.tick, self.terms);
        for (n, member) in (0..MEMBERS).zip(&mut self.members) {
            if let Some(member) = member {
                member.forget_past(clock(&terms, n, tick));
            }
        }
        let (members, longest) = (&self.members, longest(&self.terms));
        let matters = |(from, to, message): &(u8, u8, Message)| {
            if matches!(message, Message::Ask(_) | Message::Hold(_)) {
                return true;
            }
            let member = members[usize::from(*to)].clone();
            member
                .is_some_and(|mut m| m.hear(clock(&terms, *to, tick), (*from).into(), message, 1_000).is_ok())
        };
        self.net.retain(matters);
        self.net.sort_unstable();
        self.asked.retain(|a| Ms::from(tick - a.tick) * TICK < longest);
        self.asked.sort_unstable();
    }

    fn look(&mut self) {
        let living = || (0..MEMBERS).filter_map(|n| Some((n, self.members[usize::from(n)].as_ref()?)));
        let sum: Units = living().map(|(n, member)| member.part(clock(&self.terms, n, self.tick))).sum();
        let may = |n: u8| -> Units {
            let of = |to| self.asked.iter().filter(|a| (a.from, a.to) == (n, to)).map(|a| a.want).max();
            (0..MEMBERS).filter_map(of).sum()
        };
        let ended = living().any(|(n, member)| member.borrowed(clock(&self.terms, n, self.tick)) > may(n));
        let doubled = |estate: u8| {
            let holds = |n: &u8| {
                living().any(|(m, b)| m == *n && b.has(clock(&self.terms, m, self.tick), estate.into()))
            };
            let lent = |estate: u8| {
                living().any(|(n, b)| b.borrowed_from(clock(&self.terms, n, self.tick), estate.into()) > 0)
            };
            let holders: Vec<u8> = (0..MEMBERS).filter(holds).collect();
            // Who has inherited something else may lend of that.
            let other = (0..MEMBERS).any(|other| {
                let owner = self.members[usize::from(estate)].as_ref();
                other != estate
                    && owner.is_some_and(|o| o.has(clock(&self.terms, estate, self.tick), other.into()))
            });
            holders.len() > 1 || (holders.iter().any(|h| *h != estate) && !other && lent(estate))
        };
        if sum <= self.terms.total && self.terms.witnessed() && (0..MEMBERS).any(doubled) {
            self.violated = Some(Rule::OneHolderAShare);
        } else if sum > self.terms.total {
            self.violated = Some(Rule::SumWithinBudget);
        } else if ended {
            self.violated = Some(Rule::EndedNotSpent);
        }
    }

    /// Nothing comes by itself but time.
    pub fn comes(&self, act: Act) -> bool {
        act == Act::Tick
    }

    pub fn rests_well(&self) -> bool {
        // Longer than any lender or voter waits, by any clock.
        let later = |n| clock(&self.terms, n, self.tick) + 2 * self.terms.wait(self.terms.tenure());
        // Without anybody's word, what needs a witness is nobody's.
        let left = if self.terms.witnessed() { 0 } else { self.terms.home() };
        let mut living = (0..MEMBERS).filter_map(|n| Some((n, self.members[usize::from(n)].as_ref()?)));
        living.all(|(n, member)| member.part(later(n)) == left)
    }
}
