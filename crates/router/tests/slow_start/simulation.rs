//! The world that the cold days are played in: routers that see nothing of each other, servers that report late, some of
//! which start anew. Simulated time, fixed seeds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use glenrail_router::*;

use crate::common::*;
use crate::scenario::*;

mod starts;

/// The cold servers start then (ms), and what was sent to them is counted up to the end.
const STARTED: f64 = 6_000.0;
const END: f64 = 14_000.0;
/// A zone that returns was away for so long before (ms); who calls it then waits so long.
const AWAY: f64 = 5_000.0;
const DIAL: f64 = 250.0;
/// A stream takes so long on a warm writer (ms).
const STREAM: f64 = 2_000.0;

enum What {
    Arrives,
    Start,
    Timer(u64),
    Told { server: u64, report: LoadReport },
    Done { id: u64, attempt: u32, server: u64, first: bool },
    Refuses { id: u64, attempt: u32, server: u64, reset: bool },
    NotTold { server: u64 },
    Away,
    Restart,
}

#[derive(Default)]
struct Server {
    ends: Vec<f64>,
    told: (f64, f64),
    cold: bool,
    away: bool,
    sent: Vec<f64>,
}

pub struct Play {
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
    /// The beginning that is hot.
    hot: u64,
    /// Routers whose kept connection to a server is dead without their knowing.
    stale: BTreeSet<(usize, u64)>,
}

fn is_reader(server: u64) -> bool {
    server < 1_000
}

impl Play {
    pub fn of(day: Day) -> Play {
        let (fall_multiple, fall, cold_from) = day.rules;
        let mut settings = Settings { router_count: day.routers as u32, ..settings() };
        settings.limits.probes = day.probes;
        settings.rules = Rules {
            overload_multiple: fall_multiple,
            overload_window: fall,
            slow_start_initial_share: cold_from,
            slow_start_window: 13_000.0,
            ..settings.rules
        };
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
            hot: 0,
            stale: BTreeSet::new(),
            settings,
        };
        play.hot = play.cold_home();
        for router in 0..day.routers {
            play.routers.push(Router::new(router as u64 + 1, play.settings.clone()));
            play.give(router, Event::ServerList { update: ListUpdate::Full, servers: play.list() });
        }
        play
    }

    fn unit(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn warmth(&self, from: f64) -> f64 {
        let rules = &self.settings.rules;
        (rules.slow_start_initial_share
            + (1.0 - rules.slow_start_initial_share) * (from - STARTED) / rules.slow_start_window)
            .min(1.0)
    }

    fn at(&mut self, when: f64, router: usize, what: What) {
        self.events += 1;
        self.heap.push(Reverse(((when * 1_000.0) as u64, self.events)));
        self.what.insert(self.events, (router, what));
    }

    pub fn run(mut self) -> Play {
        self.at(0.0, 0, What::Arrives);
        if self.day.zone {
            self.at(STARTED - AWAY, 0, What::Away);
        }
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

    fn happen(&mut self, router: usize, what: What) {
        match what {
            What::Arrives => self.arrives(),
            What::Away => self.leave(),
            What::Start => self.start(),
            What::NotTold { server } => {
                let (server, status) = (ServerId(server), AttemptStatus::ConnectFailed);
                self.give(router, Event::ProbeResult { server, status, elapsed: DIAL, report: None });
            }
            What::Refuses { id, attempt, server, reset } => {
                let status = if reset { AttemptStatus::Reset } else { AttemptStatus::ConnectFailed };
                let (id, server, elapsed) = (RequestId(id), ServerId(server), 1.0);
                let outcome = AttemptOutcome {
                    id,
                    attempt,
                    server,
                    status,
                    elapsed,
                    note: 0.0,
                    closed: false,
                    delivered: status.may_have_arrived(),
                    report: None,
                };
                self.give(router, Event::Outcome(outcome));
            }
            What::Timer(key) => self.give(router, Event::Timer { key }),
            What::Told { server, report } => {
                let (server, report) = (ServerId(server), Some(report));
                self.give(
                    router,
                    Event::ProbeResult { server, status: AttemptStatus::Served, elapsed: 10.0, report },
                );
            }
            What::Done { id, attempt, server, first } => {
                let report = Some(self.report(server));
                let (id, server) = (RequestId(id), ServerId(server));
                if first {
                    return self.give(router, Event::FirstToken { id, attempt, server, elapsed: 20.0 });
                }
                let status =
                    if is_reader(server.0) { AttemptStatus::Prefilled } else { AttemptStatus::Served };
                let closed = status == AttemptStatus::Served;
                let outcome = AttemptOutcome {
                    id,
                    attempt,
                    server,
                    status,
                    elapsed: 50.0,
                    note: 0.0,
                    closed,
                    delivered: true,
                    report,
                };
                self.give(router, Event::Outcome(outcome));
            }
            What::Restart => {
                let seed = (self.unit() * 1e9) as u64 + 1;
                self.routers[router] = Router::new(seed, self.settings.clone());
                self.give(router, Event::ServerList { update: ListUpdate::Cached, servers: self.list() });
            }
        }
    }

    /// A request at a router, some of which get several times as many as others; then the next one.
    fn arrives(&mut self) {
        let n = self.asked;
        self.asked += 1;
        let router = (self.unit() * self.unit() * self.day.routers as f64) as usize;
        let prefix = if self.unit() < self.day.hot { self.hot } else { 1_000 + (self.unit() * 400.0) as u64 };
        self.give(router, Event::Request(Request { prefix: Some(prefix), ..sample_request(n) }));
        let (from, times) = self.day.burst;
        let since = (self.now - STARTED) / 1_000.0 - from;
        let times = if (0.0..2.0).contains(&since) { times } else { 1.0 };
        let a_second = self.day.asked * self.day.a_second * self.day.servers as f64 * times;
        let gap = -(1.0 - self.unit()).ln() * 1_000.0 / a_second;
        self.at(self.now + gap, 0, What::Arrives);
    }

    fn report(&mut self, server: u64) -> LoadReport {
        let (now, slots) = (self.now, self.day.a_second * STREAM / 1_000.0);
        let Some(s) = self.servers.get_mut(&server) else { return LoadReport::default() };
        s.ends.retain(|end| *end > now);
        if now >= s.told.1 + self.day.refresh {
            s.told = (s.ends.len() as f64, now);
        }
        let memory = if is_reader(server) { 0.1 } else { (s.told.0 / slots).min(1.0) };
        LoadReport { in_flight: Some(s.told.0), memory_share: Some(memory), ..LoadReport::default() }
    }

    fn give(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.send(router, id.0, server.0),
                Action::Probe { server } if self.servers.get(&server.0).is_some_and(|s| s.away) => {
                    self.at(self.now + DIAL, router, What::NotTold { server: server.0 });
                }
                Action::Probe { server } if self.stale.remove(&(router, server.0)) => {
                    self.at(self.now + 1.0, router, What::NotTold { server: server.0 });
                }
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
        if self.servers.get(&server).is_some_and(|s| s.away) {
            return self.at(self.now + DIAL, router, What::Refuses { id, attempt, server, reset: false });
        }
        if self.stale.remove(&(router, server)) {
            return self.at(self.now + 1.0, router, What::Refuses { id, attempt, server, reset: true });
        }
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

    /// The most that was sent to a cold server of this role in any window, by the limit: what the settings allow it at the
    /// window's beginning, and twice its root and two for chance.
    pub fn pressed(&self, readers: bool) -> f64 {
        let rules = &self.settings.rules;
        let cold = self.servers.iter().filter(|(id, s)| is_reader(**id) == readers && s.cold);
        let window = |sent: &[f64], from: f64| {
            let within =
                sent.iter().filter(|at| (from..from + rules.overload_window).contains(*at)).count() as f64;
            let n = rules.overload_multiple * self.warmth(from) * self.day.a_second * rules.overload_window
                / 1_000.0;
            within / (n + 2.0 * n.sqrt() + 2.0)
        };
        let all = cold.flat_map(|(_, s)| s.sent.iter().map(move |at| (s, *at)));
        let since = all.filter(|(_, at)| *at >= STARTED);
        since.map(|(s, from)| window(&s.sent, from)).fold(0.0, f64::max)
    }
}
