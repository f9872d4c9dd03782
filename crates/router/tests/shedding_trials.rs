//! One router that has seen its servers very late: it goes on trying them, so that it hears when that is over, and turns
//! away no more than what comes between two tries. Simulated time, fixed seeds, no sockets.

mod common;

use std::collections::BTreeMap;

use common::*;
use glenrail_router::*;

/// A router may not turn away so many requests over so long (ms) with no attempt between.
const MOST: usize = 15;
const LONGEST: u64 = 4_000;
const END: u64 = 30_000;
/// Until then (ms) the servers of one role take so long.
const LATE_UNTIL: u64 = 6_000;
const LATE: u64 = 3_500;

enum What {
    Arrives(u64),
    Timer(u64),
    Reads(u64, u32, u64, u64),
    Begins(u64, u32, u64, u64),
    Ends(u64, u32, u64, u64),
    Probed(u64),
}

/// One router before three readers and three writers.
struct World {
    router: Router,
    /// What is to come, in order.
    agenda: BTreeMap<(u64, u64), What>,
    events: u64,
    attempts: BTreeMap<u64, u32>,
    late: Role,
    /// When it last sent anything, and what it has turned away since.
    sent: u64,
    refused: usize,
    /// The longest time without an attempt in which all that came was turned away.
    worst: u64,
}

impl World {
    /// Requests come every `gap` ms.
    fn run(seed: u64, settings: Settings, late: Role, gap: u64) -> World {
        let mut world = World {
            router: Router::new(seed, settings),
            agenda: BTreeMap::new(),
            events: 0,
            attempts: BTreeMap::new(),
            late,
            sent: 0,
            refused: 0,
            worst: 0,
        };
        let listed = Event::ServerList { update: ListUpdate::Full, servers: fleet() };
        world.router.handle(0.0, listed, &mut Vec::new());
        (0..END / gap).for_each(|n| world.push(n * gap, What::Arrives(n + 1)));
        while let Some(((now, _), what)) = world.agenda.pop_first() {
            if now > END {
                break;
            }
            let event = world.event(now, what);
            let mut out = Vec::new();
            world.router.handle(now as f64, event, &mut out);
            out.into_iter().for_each(|action| world.act(now, action));
        }
        world
    }

    fn push(&mut self, at: u64, what: What) {
        self.events += 1;
        self.agenda.insert((at, self.events), what);
    }

    fn event(&mut self, now: u64, what: What) -> Event {
        let outcome = |id, attempt, server, status, sent: u64| {
            Event::Outcome(AttemptOutcome {
                id: RequestId(id),
                attempt,
                server: ServerId(server),
                status,
                elapsed: (now - sent) as f64,
                note: 0.0,
                closed: status == AttemptStatus::Served,
                delivered: status.may_have_arrived(),
                report: None,
            })
        };
        match what {
            What::Arrives(id) => Event::Request(Request { prefix: Some(id % 11), ..ask(id) }),
            What::Timer(key) => Event::Timer { key },
            What::Reads(id, attempt, server, sent) => {
                outcome(id, attempt, server, AttemptStatus::Prefilled, sent)
            }
            What::Begins(id, attempt, server, sent) => {
                self.push(now + 400, What::Ends(id, attempt, server, sent));
                let elapsed = (now - sent) as f64;
                Event::FirstToken { id: RequestId(id), attempt, server: ServerId(server), elapsed }
            }
            What::Ends(id, attempt, server, sent) => {
                outcome(id, attempt, server, AttemptStatus::Served, sent)
            }
            What::Probed(server) => {
                let report = Some(LoadReport { in_flight: Some(1.0), ..LoadReport::default() });
                Event::ProbeResult {
                    server: ServerId(server),
                    status: AttemptStatus::Served,
                    elapsed: 1.0,
                    report,
                }
            }
        }
    }

    fn act(&mut self, now: u64, action: Action) {
        match action {
            Action::Send { id, server, .. } => {
                let attempt = self.attempts.entry(id.0).or_default();
                let n = std::mem::replace(attempt, *attempt + 1);
                let reads = READERS.contains(&server.0);
                let role = if reads { Role::Prefill } else { Role::Decode };
                let takes = if now < LATE_UNTIL && role == self.late { LATE } else { 60 };
                let what = if reads { What::Reads } else { What::Begins };
                self.push(now + takes, what(id.0, n, server.0, now));
                (self.sent, self.refused) = (now, 0);
            }
            Action::Reject { .. } => {
                self.refused += 1;
                if self.refused >= MOST {
                    self.worst = self.worst.max(now - self.sent);
                }
            }
            Action::Timer { at, key, .. } => self.push(at.ceil() as u64, What::Timer(key)),
            Action::Probe { server } => self.push(now + 2, What::Probed(server.0)),
            _ => {}
        }
    }
}

/// Guards a gateway against refusing by what it learned when its servers were late: nothing that it does not send can teach
/// it better.
#[test]
fn a_router_that_saw_late_servers_goes_on_trying_them() {
    for late in [Role::Prefill, Role::Decode] {
        for (routers, probes) in [(3, false), (3, true), (300, false), (300, true)] {
            let limits = Limits { probes, ..settings().limits };
            let settings = Settings { router_count: routers, limits, ..settings() };
            for seed in 1..=5 {
                for gap in [50, 200] {
                    let world = World::run(seed, settings.clone(), late, gap);
                    let told =
                        format!("{late:?} late, {routers} routers, probes {probes}, seed {seed}, gap {gap}");
                    assert!(world.worst <= LONGEST, "{told}: nothing was sent for {} ms", world.worst);
                }
            }
        }
    }
}
