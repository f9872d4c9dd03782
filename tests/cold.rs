//! What all routers together send to servers that have just started stays under what makes one fall over, though none
//! sees the others: few routers and many, with and without looks, bursts, hot beginnings, words that come late, and a
//! third of the routers begun anew. Simulated time, fixed seeds, no sockets.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use common::*;
use deckhub::*;
use proptest::prelude::*;

/// The cold servers start then (s), and what was sent to them is counted up to the end.
const STARTED: f64 = 6_000.0;
const END: f64 = 14_000.0;
/// A stream takes so long on a warm writer (ms).
const STREAM: f64 = 2_000.0;

/// One day: who is there, what is asked for, and how late words are.
#[derive(Clone, Copy)]
struct Day {
    routers: usize,
    /// Readers, and as many writers; so many of each start anew.
    servers: usize,
    cold: usize,
    probes: bool,
    /// What a warm server can do a second, and the share of what all can do that is asked for.
    a_second: f64,
    asked: f64,
    /// Times as much is asked for from then on (s after the start), for two seconds.
    burst: (f64, f64),
    /// The share of requests with one and the same beginning.
    hot: f64,
    /// A report is refreshed so often, and a look takes so long at the most (ms).
    refresh: f64,
    look: f64,
    /// A third of the routers begin anew so long after the start (s).
    restart: f64,
    rules: (f64, f64, f64),
    seed: u64,
}

const DAY: Day = Day {
    routers: 300,
    servers: 48,
    cold: 8,
    probes: true,
    a_second: 3.0,
    asked: 0.7,
    burst: (1.0, 1.5),
    hot: 0.0,
    refresh: 300.0,
    look: 120.0,
    restart: f64::MAX,
    rules: (2.5, 1_500.0, 0.27),
    seed: 1,
};

enum What {
    Arrives,
    Start,
    Timer(u64),
    Told { server: u64, report: Report },
    Done { id: u64, attempt: u32, server: u64, first: bool },
    Restart,
}

#[derive(Default)]
struct Server {
    ends: Vec<f64>,
    told: (f64, f64),
    cold: bool,
    sent: Vec<f64>,
}

struct Play {
    day: Day,
    settings: Settings,
    routers: Vec<Router>,
    servers: BTreeMap<u64, Server>,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    what: BTreeMap<u64, (usize, What)>,
    now: f64,
    events: u64,
    tries: BTreeMap<u64, u32>,
    random: u64,
    asked: u64,
}

fn is_reader(server: u64) -> bool {
    server < 1_000
}

impl Play {
    fn of(day: Day) -> Play {
        let (fall_multiple, fall, cold_from) = day.rules;
        let mut settings = Settings { routers: day.routers as u32, ..settings() };
        settings.limits.probes = day.probes;
        settings.rules = Rules { fall_multiple, fall, cold_from, cold: 13_000.0, ..settings.rules };
        let ids = (0..day.servers as u64).flat_map(|n| [100 + n, 1_100 + n]);
        let mut play = Play {
            day,
            routers: Vec::new(),
            servers: ids.map(|id| (id, Server::default())).collect(),
            heap: BinaryHeap::new(),
            what: BTreeMap::new(),
            now: 0.0,
            events: 0,
            tries: BTreeMap::new(),
            random: day.seed * 7_919 + 1,
            asked: 0,
            settings,
        };
        for router in 0..day.routers {
            play.routers.push(Router::new(router as u64 + 1, play.settings.clone()));
            play.give(router, Event::Members { scope: Scope::Full, members: play.list() });
        }
        play
    }

    fn unit(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Cells of four readers and four writers, as a list tells of them now.
    fn list(&self) -> Vec<Member> {
        let line = |(id, s): (&u64, &Server)| {
            let kind = u32::from(!is_reader(*id));
            let started = s.cold.then_some(STARTED);
            Member { cell: (*id as u32 % 100) / 4, started, ..member(*id, kind, 0) }
        };
        self.servers.iter().map(line).collect()
    }

    fn warmth(&self, from: f64) -> f64 {
        let rules = &self.settings.rules;
        (rules.cold_from + (1.0 - rules.cold_from) * (from - STARTED) / rules.cold).min(1.0)
    }

    fn at(&mut self, when: f64, router: usize, what: What) {
        self.events += 1;
        self.heap.push(Reverse(((when * 1_000.0) as u64, self.events)));
        self.what.insert(self.events, (router, what));
    }

    fn run(mut self) -> Play {
        self.at(0.0, 0, What::Arrives);
        self.at(STARTED, 0, What::Start);
        while let Some(Reverse((when, event))) = self.heap.pop() {
            self.now = when as f64 / 1_000.0;
            if self.now > END {
                break;
            }
            if let Some((router, what)) = self.what.remove(&event) {
                self.happen(router, what);
            }
        }
        self
    }

    /// Some engines are new and cold, and all routers are told at once.
    fn start(&mut self) {
        let every = (self.day.servers / self.day.cold) as u64;
        for (id, s) in &mut self.servers {
            s.cold = (id % 100) % every == 0;
        }
        for router in 0..self.day.routers {
            let members = self.list().into_iter().filter(|m| m.started.is_some()).collect();
            self.give(router, Event::Members { scope: Scope::Delta, members });
            if router % 3 == 0 && self.day.restart < f64::MAX {
                let at = STARTED + 1_000.0 * (self.day.restart + self.unit());
                self.at(at, router, What::Restart);
            }
        }
    }

    fn happen(&mut self, router: usize, what: What) {
        match what {
            What::Arrives => self.arrives(),
            What::Start => self.start(),
            What::Timer(key) => self.give(router, Event::Timer { key }),
            What::Told { server, report } => {
                let (server, report) = (ServerId(server), Some(report));
                self.give(router, Event::Probed { server, status: Status::Served, elapsed: 10.0, report });
            }
            What::Done { id, attempt, server, first } => {
                let report = Some(self.report(server));
                let (id, server) = (RequestId(id), ServerId(server));
                if first {
                    return self.give(router, Event::FirstToken { id, attempt, server, elapsed: 20.0 });
                }
                let status = if is_reader(server.0) { Status::Read } else { Status::Served };
                let closed = status == Status::Served;
                let outcome =
                    Outcome { id, attempt, server, status, elapsed: 50.0, note: 0.0, closed, report };
                self.give(router, Event::Outcome(outcome));
            }
            What::Restart => {
                let seed = (self.unit() * 1e9) as u64 + 1;
                self.routers[router] = Router::new(seed, self.settings.clone());
                self.give(router, Event::Members { scope: Scope::Cached, members: self.list() });
            }
        }
    }

    /// A request at a router, some of which get several times as many as others; then the next one.
    fn arrives(&mut self) {
        let n = self.asked;
        self.asked += 1;
        let router = (self.unit() * self.unit() * self.day.routers as f64) as usize;
        let prefix = if self.unit() < self.day.hot { 7 } else { 1_000 + (self.unit() * 400.0) as u64 };
        self.give(router, Event::Request(Request { prefix: Some(prefix), ..ask(n) }));
        let (from, times) = self.day.burst;
        let since = (self.now - STARTED) / 1_000.0 - from;
        let times = if (0.0..2.0).contains(&since) { times } else { 1.0 };
        let a_second = self.day.asked * self.day.a_second * self.day.servers as f64 * times;
        let gap = -(1.0 - self.unit()).ln() * 1_000.0 / a_second;
        self.at(self.now + gap, 0, What::Arrives);
    }

    fn report(&mut self, server: u64) -> Report {
        let (now, slots) = (self.now, self.day.a_second * STREAM / 1_000.0);
        let Some(s) = self.servers.get_mut(&server) else { return Report::default() };
        s.ends.retain(|end| *end > now);
        if now >= s.told.1 + self.day.refresh {
            s.told = (s.ends.len() as f64, now);
        }
        let memory = if is_reader(server) { 0.1 } else { (s.told.0 / slots).min(1.0) };
        Report { in_flight: Some(s.told.0), memory: Some(memory), ..Report::default() }
    }

    fn give(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.send(router, id.0, server.0),
                Action::Probe { server } => {
                    // Made on its half way, and told at its end.
                    let report = self.report(server.0);
                    let at = self.now + 5.0 + self.day.look * self.unit();
                    self.at(at, router, What::Told { server: server.0, report });
                }
                Action::Timer { at, key, .. } => self.at(at, router, What::Timer(key)),
                _ => {}
            }
        }
    }

    fn send(&mut self, router: usize, id: u64, server: u64) {
        let next = self.tries.entry(id).or_default();
        let attempt = std::mem::replace(next, *next + 1);
        let cold = self.servers.get(&server).is_some_and(|s| s.cold);
        let warmth = if cold { self.warmth(self.now) } else { 1.0 };
        let (now, a_second) = (self.now, self.day.a_second);
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.sent.push(now);
        s.ends.retain(|end| *end > now);
        s.ends.sort_by(f64::total_cmp);
        if is_reader(server) {
            let end = s.ends.last().copied().unwrap_or(now) + 1_000.0 / a_second / warmth;
            s.ends.push(end);
            return self.at(end, router, What::Done { id, attempt, server, first: false });
        }
        let slots = (a_second * STREAM / 1_000.0) as usize;
        let free = s.ends.len().checked_sub(slots).map_or(now, |n| s.ends[n]);
        let end = free + STREAM / warmth;
        s.ends.push(end);
        self.at(free + 20.0, router, What::Done { id, attempt, server, first: true });
        self.at(end, router, What::Done { id, attempt, server, first: false });
    }

    /// The most that was sent to a cold server of this role in any window, by the limit.
    fn pressed(&self, readers: bool) -> f64 {
        let rules = &self.settings.rules;
        let cold = self.servers.iter().filter(|(id, s)| is_reader(**id) == readers && s.cold);
        let window = |sent: &[f64], from: f64| {
            let within = sent.iter().filter(|at| (from..from + rules.fall).contains(*at)).count() as f64;
            let n = rules.fall_multiple * self.warmth(from) * self.day.a_second * rules.fall / 1_000.0;
            within / (n + 3.0 * n.sqrt() + 3.0)
        };
        let all = cold.flat_map(|(_, s)| s.sent.iter().map(move |at| (s, *at)));
        let since = all.filter(|(_, at)| *at >= STARTED);
        since.map(|(s, from)| window(&s.sent, from)).fold(0.0, f64::max)
    }
}

/// The highest share of the limit at any cold reader and any cold writer.
fn worst(day: Day) -> (f64, f64) {
    let play = Play::of(day).run();
    (play.pressed(true), play.pressed(false))
}

/// The hard case: 300 routers are told of eight cold engines of each role at once, and in the same second a third of
/// them begin anew and forget what they have sent; reports as old as the deployments make them, a quarter of what is asked
/// for begins alike, and half as much again comes for two seconds.
#[test]
fn three_hundred_routers_keep_eight_cold_engines_up_though_a_third_begin_anew() {
    let day = Day { hot: 0.25, refresh: 640.0, look: 210.0, restart: 0.0, ..DAY };
    let (readers, writers) = worst(day);
    assert!(readers < 1.0 && writers < 1.0, "{readers} {writers}");
}

/// Guards against routers that all go by one old word: a cell's to its cold writer, and those with a hot beginning to its
/// cold home.
#[test]
fn words_that_come_late_keep_cold_engines_up() {
    for (seed, cold, hot) in [(1, 8, 0.0), (8, 8, 0.0), (2, 4, 0.25), (4, 4, 0.25)] {
        let few = Day { routers: 100, servers: 24, cold, ..DAY };
        let day = Day { a_second: 10.0, refresh: 1_000.0, hot, seed, ..few };
        let (readers, writers) = worst(day);
        assert!(readers < 1.0 && writers < 1.0, "{seed}: {readers} {writers}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Three routers that may not look, as one of the deployments has: whenever the burst comes and how large it is, and
    /// whichever of them begin anew.
    #[test]
    fn few_routers_keep_cold_engines_up_by_their_credit(
        seed in 1u64..1_000_000, from in 0.0..6.0f64, times in 1.0..8.0f64, anew: bool, a_second in 2.0..20.0f64,
    ) {
        let restart = if anew { from } else { f64::MAX };
        let (burst, few) = ((from, times), Day { routers: 3, servers: 10, cold: 2, probes: false, ..DAY });
        let (readers, writers) = worst(Day { burst, restart, a_second, seed, ..few });
        prop_assert!(readers < 1.0 && writers < 1.0, "{readers} {writers}");
    }
}
