//! Engines with queues, and clients with sessions of some turns, in steps of 10 ms.

use std::collections::BinaryHeap;

use glenrail_overload::priority::{band, Place, Repeat};
use glenrail_overload::Ms;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::policy::{gates, Gates, Turn, Way, AIM, GATEWAYS};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Day {
    /// Nine tenths of the capacity all day.
    Calm,
    /// Twice the capacity for 20 s.
    Rush,
    /// And one of three gateways killed 5 s into it.
    Killed,
    /// And four fifths of all clients at one of them.
    Skewed,
}

/// What a day gave.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    pub worth: f64,
    pub attempts: f64,
    pub tries: f64,
    /// Most in any second.
    pub retries: f64,
    /// Seconds after the rush until 0.95 of the calm share is served again, and stays for two seconds.
    pub back: f64,
}

const STEP: Ms = 10;
const RUSH: std::ops::Range<Ms> = 20_000..40_000;
const END: Ms = 65_000;
/// Turns that are still being served at the end are not counted.
const COUNTED: usize = 60;
const ENGINES: usize = 8;
/// Tokens a millisecond of one engine: with the classes below some 350 turns a second of all.
const PACE: f64 = 50.0;
/// Share of attempts that an engine errs at once: in the rush, and else.
const ERRS: (f64, f64) = (0.2, 0.005);
const TURNS: u8 = 4;
const THINKS: Ms = 1_000;
/// How soon the refused come back, to any gateway, and how often.
const COMES_BACK: Ms = 50;
const TRIES: u8 = 8;
/// Worth in thousandths, work in tokens, share of sessions.
const CLASSES: [(u32, u32, f64); 3] = [(3_000, 1_000, 0.2), (1_000, 1_000, 0.5), (300, 1_500, 0.3)];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: std::cmp::Reverse<Ms>,
    session: u32,
    turn: u8,
    tries: u8,
    class: u8,
    /// When the turn was first tried.
    first: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Done {
    at: std::cmp::Reverse<Ms>,
    gateway: usize,
    due: Due,
}

struct World {
    gates: Box<dyn Gates>,
    /// Share of clients that go to the first gateway, whatever the others.
    skew: f64,
    random: StdRng,
    free: [f64; ENGINES],
    alive: Vec<usize>,
    due: BinaryHeap<Due>,
    done: BinaryHeap<Done>,
    /// By second of the turn's first try.
    asked: Vec<f64>,
    served: Vec<f64>,
    /// In the rush: first attempts, further ones, tries, turns.
    firsts: f64,
    again: f64,
    tries: f64,
    turns: f64,
    retries: Vec<f64>,
}

pub fn play(day: Day, way: Way, seed: u64) -> Figures {
    let seconds = END as usize / 1_000 + 1;
    let mut world = World {
        gates: gates(way, seed),
        skew: if day == Day::Skewed { 0.7 } else { 0.0 },
        random: StdRng::seed_from_u64(seed + 1_000),
        free: [0.0; ENGINES],
        alive: (0..GATEWAYS).collect(),
        due: BinaryHeap::new(),
        done: BinaryHeap::new(),
        asked: vec![0.0; seconds],
        served: vec![0.0; seconds],
        firsts: 0.0,
        again: 0.0,
        tries: 0.0,
        turns: 0.0,
        retries: vec![0.0; seconds],
    };
    let mean: f64 = CLASSES.iter().map(|c| f64::from(c.1) * c.2).sum();
    let capacity = ENGINES as f64 * PACE / mean;
    let (mut sessions, mut credit) = (0, 0.0);
    for now in (0..END).step_by(STEP as usize) {
        let rush = day != Day::Calm && RUSH.contains(&now);
        // A session comes with its turns, so that the rush is a rush of sessions.
        let offered = if rush { 2.0 } else { 0.85 } * capacity / f64::from(TURNS) * STEP as f64;
        credit += offered;
        while credit >= 1.0 {
            credit -= 1.0;
            sessions += 1;
            let class = world.class();
            let at = std::cmp::Reverse(now);
            world.due.push(Due { at, session: sessions, turn: 0, tries: 0, class, first: now });
        }
        if day == Day::Killed && now == RUSH.start + 5_000 {
            world.kill(now, 0);
        }
        world.step(now, if rush { ERRS.0 } else { ERRS.1 });
    }
    world.figures()
}

impl World {
    fn class(&mut self) -> u8 {
        let mut at: f64 = self.random.random();
        for (n, (_, _, share)) in CLASSES.iter().enumerate() {
            at -= share;
            if at < 0.0 {
                return n as u8;
            }
        }
        0
    }

    /// Its clients lose what they wait for, and come to the others.
    fn kill(&mut self, now: Ms, gateway: usize) {
        self.alive.retain(|g| *g != gateway);
        self.gates.kill(gateway);
        let done = std::mem::take(&mut self.done).into_iter();
        let (lost, rest): (Vec<Done>, Vec<Done>) = done.partition(|d| d.gateway == gateway);
        self.done = rest.into();
        lost.into_iter().for_each(|d| self.come_back(now, d.due));
    }

    fn come_back(&mut self, now: Ms, due: Due) {
        if due.tries + 1 < TRIES {
            let at = std::cmp::Reverse(now + COMES_BACK);
            self.due.push(Due { at, tries: due.tries + 1, ..due });
        }
    }

    fn step(&mut self, now: Ms, errs: f64) {
        let waits: f64 = self.free.iter().map(|free| (free - now as f64).max(0.0)).sum();
        self.gates.tick(now, (waits / ENGINES as f64) as Ms);
        while self.done.peek().is_some_and(|d| d.at.0 <= now) {
            let Some(Done { gateway, due, .. }) = self.done.pop() else { return };
            let (worth, ..) = CLASSES[usize::from(due.class)];
            if now - due.first <= AIM {
                self.served[due.first as usize / 1_000] += f64::from(worth);
            }
            self.gates.served(now, gateway, &turn(&due));
            if due.turn + 1 < TURNS {
                let (at, turn) = (std::cmp::Reverse(now + THINKS), due.turn + 1);
                self.due.push(Due { at, turn, tries: 0, first: now + THINKS, ..due });
            }
        }
        while self.due.peek().is_some_and(|d| d.at.0 <= now) {
            let Some(due) = self.due.pop() else { return };
            self.arrives(now, due, errs);
        }
    }

    fn arrives(&mut self, now: Ms, due: Due, errs: f64) {
        let turn = turn(&due);
        if due.tries == 0 {
            self.asked[due.first as usize / 1_000] += f64::from(CLASSES[usize::from(due.class)].0);
        }
        let counted = RUSH.contains(&now);
        self.tries += f64::from(u8::from(counted));
        self.turns += f64::from(u8::from(counted && due.tries == 0));
        // Any gateway: shopping around is free.
        let any = self.alive[self.random.random_range(0..self.alive.len())];
        let gateway = if self.random.random::<f64>() < self.skew { self.alive[0] } else { any };
        let engine = (0..ENGINES).min_by(|a, b| self.free[*a].total_cmp(&self.free[*b])).unwrap_or(0);
        let wait = (self.free[engine] - now as f64).max(0.0);
        if !self.gates.admits(now, gateway, &turn, wait as Ms) {
            return self.come_back(now, due);
        }
        let mut first = true;
        loop {
            self.gates.sent(now, gateway, &turn, first);
            self.firsts += f64::from(u8::from(counted && first));
            self.again += f64::from(u8::from(counted && !first));
            self.retries[now as usize / 1_000] += f64::from(u8::from(!first));
            if self.random.random::<f64>() >= errs {
                break;
            }
            if !self.gates.again(now, gateway) {
                return self.come_back(now, due);
            }
            first = false;
        }
        self.free[engine] = self.free[engine].max(now as f64) + f64::from(turn.work) / PACE;
        let at = std::cmp::Reverse(self.free[engine].ceil() as Ms);
        self.done.push(Done { at, gateway, due });
    }

    fn figures(&self) -> Figures {
        let share = |seconds: std::ops::Range<usize>| {
            let sum = |of: &[f64]| of[seconds.clone()].iter().sum::<f64>();
            sum(&self.served) / sum(&self.asked).max(1.0)
        };
        let (rush, end) = (RUSH.start as usize / 1_000, RUSH.end as usize / 1_000);
        let calm = share(5..rush);
        let back = (end..COUNTED - 2).find(|s| share(*s..s + 2) >= 0.95 * calm);
        Figures {
            worth: share(rush..end),
            attempts: (self.firsts + self.again) / self.firsts.max(1.0),
            tries: self.tries / self.turns.max(1.0),
            retries: self.retries.iter().copied().fold(0.0, f64::max),
            back: back.map_or(f64::INFINITY, |s| (s - end) as f64),
        }
    }
}

fn turn(due: &Due) -> Turn {
    let (worth, work, _) = CLASSES[usize::from(due.class)];
    Turn {
        class: due.class,
        band: band(worth, work, Repeat::May, false),
        work,
        place: Place::of(&[3; 32], b"owner", &due.session.to_le_bytes()),
        later: due.turn > 0,
        marked: due.tries > 0,
    }
}
