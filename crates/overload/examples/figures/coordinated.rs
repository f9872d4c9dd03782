//! This crate's decisions, with words and messages that come late and are lost, or without talk.

use std::collections::BTreeMap;

use glenrail_overload::amplification::{Amplification, Guard};
use glenrail_overload::budget::{Budget, Message, Spare, Terms};
use glenrail_overload::level::{Class, Fleet, Heard, Level, RoleWait, Wish, Word, GONE};
use glenrail_overload::priority::{Admission, Request, RetryAfter, Served, Verdict};
use glenrail_overload::standalone::Alone;
use glenrail_overload::{wire, Ms, PerMille};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::policy::{Gates, Turn, AIM, GATEWAYS};

/// Words are told so often (ms); one in twenty datagrams is lost.
const EACH: Ms = 200;
const LOST: f64 = 0.05;
/// Queues that are aimed at.
const WAIT: Ms = AIM * 3 / 10;
/// Retries of the whole fleet, and of first tries (thousandths).
pub const RETRIES: u32 = 40_000;
const SHARE: PerMille = 180;

struct Gateway {
    alive: bool,
    wish: Wish,
    level: Level,
    alone: Alone,
    admission: Admission,
    budget: Budget,
    guard: Guard,
    counts: BTreeMap<u8, Class>,
    bands: BTreeMap<u8, u32>,
    number: u64,
    /// The newest word of each member, and when it was told.
    heard: BTreeMap<usize, (Ms, Word)>,
    fleet: Fleet,
}

enum Sent {
    Word(usize, Ms, Vec<u8>),
    Budget(usize, Vec<u8>),
}

pub struct Talking {
    talk: bool,
    random: StdRng,
    gateways: Vec<Gateway>,
    /// What is under way: when it comes, and to whom.
    net: Vec<(Ms, usize, Sent)>,
}

impl Talking {
    pub fn new(talk: bool, seed: u64) -> Self {
        let seats = GATEWAYS as u32;
        let (total, lease) = (RETRIES, 2_000);
        let terms =
            Terms { total, seats, seated: true, floor: 250, lease, drift: 100, witnesses: 1, burst: 1_000 };
        let bounds = RetryAfter { told: true, least: 200, most: 5_000 };
        let gateway = |n| {
            let alone = Alone::new(seats, 0);
            let budget = if talk { Budget::new(terms, n, 1, 0) } else { alone.budget(RETRIES, 1_000, 0) }
                .expect("good terms");
            Gateway {
                alive: true,
                wish: Wish::new(0),
                level: Level::new(0),
                alone,
                admission: Admission::new(bounds, Served::new(50_000, 60_000, 0)),
                budget,
                guard: Guard::new(SHARE, 40, 0),
                counts: BTreeMap::new(),
                bands: BTreeMap::new(),
                number: 0,
                heard: BTreeMap::new(),
                fleet: Fleet::default(),
            }
        };
        let gateways = (0..GATEWAYS as u64).map(gateway).collect();
        Talking { talk, random: StdRng::seed_from_u64(seed), gateways, net: Vec::new() }
    }

    fn send(&mut self, now: Ms, to: usize, sent: Sent) {
        if self.random.random::<f64>() >= LOST {
            let late = self.random.random_range(20..200);
            self.net.push((now + late, to, sent));
        }
    }

    fn deliver(&mut self, now: Ms) {
        let (come, rest) = std::mem::take(&mut self.net).into_iter().partition(|(at, ..)| *at <= now);
        self.net = rest;
        let come: Vec<(Ms, usize, Sent)> = come;
        for (_, to, sent) in come {
            let gateway = &mut self.gateways[to];
            if !gateway.alive {
                continue;
            }
            match sent {
                Sent::Word(from, told, bytes) => {
                    let word: Word = wire::decode(&bytes).expect("our own format");
                    let newer = gateway.heard.get(&from).is_none_or(|(_, had)| had.number < word.number);
                    if newer {
                        gateway.heard.insert(from, (told, word));
                    }
                }
                Sent::Budget(from, bytes) => {
                    let message: Message = wire::decode(&bytes).expect("our own format");
                    let share = gateway.fleet.shares.get(&(from as u64)).copied().unwrap_or(0);
                    if let Ok(Some(answer)) = gateway.budget.hear(now, from as u64, &message, share) {
                        let bytes = wire::encode(&answer).expect("a small message");
                        self.send(now, from, Sent::Budget(to, bytes));
                    }
                }
            }
        }
    }

    /// One gateway tells its word, and takes in what it has heard.
    fn turn(&mut self, now: Ms, n: usize, wait: Ms) {
        let gateway = &mut self.gateways[n];
        let waits = vec![RoleWait { role: 0, wait, aim: WAIT }];
        let pressure = waits[0].pressure();
        gateway.number += 1;
        let word = Word {
            life: 1,
            number: gateway.number,
            wish: gateway.wish.step(now, pressure),
            pressure,
            waits,
            classes: gateway.counts.values().copied().collect(),
            bands: gateway.bands.iter().map(|(b, w)| (*b, *w)).collect(),
            seen: None,
            spare: vec![gateway.budget.spare(now)],
        };
        // Counts fade over about a second.
        for c in gateway.counts.values_mut() {
            for count in [&mut c.arrived, &mut c.marked, &mut c.refused, &mut c.first, &mut c.attempts] {
                *count = *count * 4 / 5;
            }
        }
        gateway.bands.values_mut().for_each(|w| *w = *w * 4 / 5);
        if !self.talk {
            let level = gateway.alone.step(now, &word);
            let own = [Heard { member: 0, age: 0, word }];
            gateway.admission.set(level, Amplification::of(&own).returns(), gateway.alone.bands());
            return;
        }
        gateway.heard.insert(n, (now, word.clone()));
        let heard = gateway.heard.iter().map(|(from, (told, word))| Heard {
            member: *from as u64,
            age: now - told,
            word: word.clone(),
        });
        let heard: Vec<Heard> = heard.collect();
        gateway.fleet = Fleet::of(&heard);
        let level = gateway.level.step(now, gateway.fleet.level);
        gateway.admission.set(level, Amplification::of(&heard).returns(), &gateway.fleet.bands);
        let spare = |(from, (told, word)): (&usize, &(Ms, Word))| {
            let units = word.spare.first().copied().filter(|_| *from != n && now - told < 1_500)?;
            Some(Spare { member: *from as u64, units })
        };
        let spares: Vec<Spare> = gateway.heard.iter().filter_map(spare).collect();
        let asks = gateway.budget.plan(now, &spares);
        let bytes = wire::encode(&word).expect("few classes");
        // Whoever has told nothing for as long as a word counts is gone.
        let others = (0..GATEWAYS).filter(|other| *other != n);
        let (living, gone): (Vec<usize>, Vec<usize>) =
            others.partition(|other| gateway.heard.get(other).is_some_and(|(told, _)| now - told < GONE));
        let members = |of: Vec<usize>| of.into_iter().map(|m| m as u64).collect::<Vec<_>>();
        let holds = gateway.budget.holds(now, &members(living), &members(gone));
        let asks = asks.into_iter().map(|(to, ask)| (to, Message::Ask(ask)));
        let holds = holds.into_iter().map(|(to, hold)| (to, Message::Hold(hold)));
        for (to, message) in asks.chain(holds).collect::<Vec<_>>() {
            let message = wire::encode(&message).expect("a small message");
            self.send(now, to as usize, Sent::Budget(n, message));
        }
        for to in (0..GATEWAYS).filter(|to| *to != n) {
            self.send(now, to, Sent::Word(n, now, bytes.clone()));
        }
    }
}

impl Gates for Talking {
    fn tick(&mut self, now: Ms, wait: Ms) {
        self.deliver(now);
        for n in 0..GATEWAYS {
            if self.gateways[n].alive && (now + 70 * n as Ms).is_multiple_of(EACH) {
                self.turn(now, n, wait);
            }
        }
    }

    fn kill(&mut self, gateway: usize) {
        self.gateways[gateway].alive = false;
    }

    fn admits(&mut self, now: Ms, gateway: usize, turn: &Turn, _: Ms) -> bool {
        let gateway = &mut self.gateways[gateway];
        let request = Request { band: turn.band, place: turn.place, later: turn.later };
        let admitted = gateway.admission.judge(now, &request) == Verdict::Admitted;
        let counts =
            gateway.counts.entry(turn.class).or_insert(Class { class: turn.class, ..Class::default() });
        counts.arrived += 1_000;
        counts.marked += u32::from(turn.marked) * 1_000;
        counts.refused += u32::from(!admitted) * 1_000;
        if !turn.marked {
            *gateway.bands.entry(request.counts_in()).or_default() += turn.work;
        }
        admitted
    }

    fn sent(&mut self, now: Ms, gateway: usize, turn: &Turn, first: bool) {
        let gateway = &mut self.gateways[gateway];
        let counts =
            gateway.counts.entry(turn.class).or_insert(Class { class: turn.class, ..Class::default() });
        counts.attempts += 1_000;
        counts.first += u32::from(first) * 1_000;
        if first {
            gateway.guard.first(now);
        }
    }

    fn again(&mut self, now: Ms, gateway: usize) -> bool {
        let gateway = &mut self.gateways[gateway];
        gateway.guard.again(now) && gateway.budget.spend(now).is_some_and(|permit| permit.holds(now))
    }

    fn served(&mut self, now: Ms, gateway: usize, turn: &Turn) {
        self.gateways[gateway].admission.served(now, turn.place);
    }
}
