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
const TERMS: Terms = Terms { total: 6, seats: 3, seated: true, floor: 0, lease: 300, drift: 2_000, burst: 0 };
/// True milliseconds of a tick, and what each clock makes of it: a fast one, a slow one, a true one.
const TICK: Ms = 100;
const RATES: [Ms; 3] = [120, 80, 100];
/// True milliseconds, rounded up, that a lease may last on the slowest clock.
const LONGEST: Ms = TERMS.lease * 10_000 / (10_000 - TERMS.drift as Ms) + 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    /// Most asks on one path.
    pub asks: u8,
    /// Most steps of time.
    pub ticks: u8,
    /// Most deaths and doubled messages together.
    pub troubles: u8,
    pub fault: Option<Fault>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Act {
    Ask {
        from: u8,
        to: u8,
        want: u8,
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
    fault: Option<Fault>,
    pub violated: Option<Rule>,
}

/// A member's clock: its own beginning, long enough after its start, and its own rate.
fn clock(member: u8, tick: u8) -> Ms {
    1_000 * (1 + Ms::from(member)) + Ms::from(tick) * RATES[usize::from(member)]
}

fn begin(life: u8, at: Ms, fault: Option<Fault>) -> Option<Budget> {
    // The terms are right, and stay as they are.
    let mut budget = Budget::new(TERMS, life.into(), at).ok()?;
    budget.plant(fault);
    Some(budget)
}

impl Setup {
    pub fn start(&self) -> World {
        World {
            members: [0; 3].map(|at| begin(0, at, self.fault)),
            lives: [0; 3],
            net: Vec::new(),
            asked: Vec::new(),
            tick: 0,
            asks: self.asks,
            ticks: self.ticks,
            troubles: self.troubles,
            fault: self.fault,
            violated: None,
        }
    }
}

impl World {
    pub fn acts(&self, out: &mut Vec<Act>) {
        if self.violated.is_some() {
            return;
        }
        let lives = |n: &u8| self.members[usize::from(*n)].is_some();
        if self.asks > 0 {
            for from in (0..MEMBERS).filter(lives) {
                for to in (0..MEMBERS).filter(|to| *to != from) {
                    // There is nothing to give back where nothing was asked.
                    let asked = self.asked.iter().any(|a| (a.from, a.to) == (from, to));
                    let least = u8::from(!asked);
                    out.extend((least..=2).map(|want| Act::Ask { from, to, want }));
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
                let now = clock(from, self.tick);
                if let Some(member) = &mut self.members[usize::from(from)] {
                    let ask = member.ask(now, to.into(), want.into());
                    self.net.push((from, to, Message::Ask(ask)));
                    self.asked.push(Asked { from, to, want: want.into(), tick: self.tick });
                }
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
                self.members[usize::from(n)] = begin(life, clock(n, self.tick), self.fault);
            }
        }
        self.tidy();
        self.look();
    }

    fn arrives(&mut self, (from, to, message): (u8, u8, Message)) {
        let now = clock(to, self.tick);
        let Some(member) = &mut self.members[usize::from(to)] else { return };
        if let Ok(Some(answer)) = member.hear(now, from.into(), &message, 1_000) {
            self.net.push((to, from, answer));
        }
    }

    /// Worlds that behave alike look alike: what has ended is forgotten, and so are grants that a member would
    /// refuse, since it refuses them from then on.
    fn tidy(&mut self) {
        let tick = self.tick;
        for (n, member) in (0..MEMBERS).zip(&mut self.members) {
            if let Some(member) = member {
                member.forget_past(clock(n, tick));
            }
        }
        let members = &self.members;
        let matters = |(from, to, message): &(u8, u8, Message)| {
            let Message::Grant(_) = message else { return true };
            let member = members[usize::from(*to)].clone();
            member.is_some_and(|mut m| m.hear(clock(*to, tick), (*from).into(), message, 1_000).is_ok())
        };
        self.net.retain(matters);
        self.net.sort_unstable();
        self.asked.retain(|a| Ms::from(tick - a.tick) * TICK < LONGEST);
        self.asked.sort_unstable();
    }

    fn look(&mut self) {
        let living = || (0..MEMBERS).filter_map(|n| Some((n, self.members[usize::from(n)].as_ref()?)));
        let sum: Units = living().map(|(n, member)| member.part(clock(n, self.tick))).sum();
        let may = |n: u8| -> Units {
            let of = |to| self.asked.iter().filter(|a| (a.from, a.to) == (n, to)).map(|a| a.want).max();
            (0..MEMBERS).filter_map(of).sum()
        };
        let ended = living().any(|(n, member)| member.borrowed(clock(n, self.tick)) > may(n));
        if sum > TERMS.total {
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
        // Longer than any lender waits, by any clock.
        let later = |n| clock(n, self.tick) + 2 * TERMS.wait(TERMS.lease);
        let mut living = (0..MEMBERS).filter_map(|n| Some((n, self.members[usize::from(n)].as_ref()?)));
        living.all(|(n, member)| member.part(later(n)) == TERMS.home())
    }
}
