//! A few routers that are told nothing of the servers' load and may not ask: what they go by is what became of their own
//! requests. Simulated time, fixed seeds, no sockets.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use common::*;
use glenrail_router::*;

/// Reads go on, and cost their server, when they have been called back.
/// A mixed server takes so long (ms) for a thousand tokens that it reads, one prompt after the other, and then streams.
const READ_PER_K: u64 = 50;
const STREAM: u64 = 400;
const ENGINES: u64 = 5;
const ROUTERS: u64 = 3;
const SLOW: u64 = 8;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrives { request: u64 },
    Timer { key: u64 },
    Begins { id: u64, attempt: u32, server: u64 },
    Ends { id: u64, attempt: u32, server: u64 },
}

/// What became of the requests: first tokens after the aim, refusals, all; by class.
#[derive(Default, Debug, Clone, Copy)]
struct Tally {
    late: u32,
    refused: u32,
    all: u32,
}

struct World {
    routers: Vec<Router>,
    /// When each server will have read what it has in hand, and how many times as long it takes.
    busy: BTreeMap<u64, (u64, u64)>,
    heap: BinaryHeap<Reverse<(u64, u64, u64, What)>>,
    now: u64,
    events: u64,
    asked: BTreeMap<u64, Request>,
    attempts: BTreeMap<u64, u32>,
    at: BTreeMap<u64, u64>,
    tally: BTreeMap<u32, Tally>,
}

impl World {
    fn new(slow: Option<u64>) -> World {
        let limits = Limits { probes: false, ..settings().limits };
        World::with(slow, Settings { limits, ..settings() })
    }

    fn with(slow: Option<u64>, settings: Settings) -> World {
        let settings = Settings { router_count: ROUTERS as u32, ..settings };
        let mut routers: Vec<Router> = (0..ROUTERS).map(|n| Router::new(n + 1, settings.clone())).collect();
        let members: Vec<ServerEntry> = (1..=ENGINES).map(|id| member(id, 2, 0)).collect();
        let listed = Event::ServerList { update: ListUpdate::Full, servers: members };
        routers.iter_mut().for_each(|r| r.handle(0.0, listed.clone(), &mut Vec::new()));
        let times = |id| if slow == Some(id) { SLOW } else { 1 };
        World {
            routers,
            busy: (1..=ENGINES).map(|id| (id, (0, times(id)))).collect(),
            heap: BinaryHeap::new(),
            now: 0,
            events: 0,
            asked: BTreeMap::new(),
            attempts: BTreeMap::new(),
            at: BTreeMap::new(),
            tally: BTreeMap::new(),
        }
    }

    fn push(&mut self, at: u64, router: u64, what: What) {
        self.events += 1;
        self.heap.push(Reverse((at, self.events, router, what)));
    }

    fn arrives(&mut self, at: u64, request: Request) {
        let (id, router) = (request.id.0, request.id.0 % ROUTERS);
        self.asked.insert(id, request);
        self.push(at, router, What::Arrives { request: id });
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, router, what))) = self.heap.pop() {
            if at > 60_000 {
                return;
            }
            self.now = at;
            let event = match what {
                What::Arrives { request } => {
                    let ask = self.asked[&request].clone();
                    self.at.insert(request, at);
                    self.tally.entry(ask.class).or_default().all += 1;
                    Event::Request(ask)
                }
                What::Timer { key } => Event::Timer { key },
                What::Begins { id, attempt, server } => {
                    self.push(at + STREAM, router, What::Ends { id, attempt, server });
                    let elapsed = (at - self.at[&id]) as f64;
                    if elapsed > 1_000.0 {
                        self.tally.entry(self.asked[&id].class).or_default().late += 1;
                    }
                    Event::FirstToken { id: RequestId(id), attempt, server: ServerId(server), elapsed }
                }
                What::Ends { id, attempt, server } => Event::Outcome(AttemptOutcome {
                    id: RequestId(id),
                    attempt,
                    server: ServerId(server),
                    status: AttemptStatus::Served,
                    elapsed: (at - self.at[&id]) as f64,
                    note: 0.0,
                    closed: true,
                    delivered: true,
                    report: None,
                }),
            };
            let mut out = Vec::new();
            self.routers[router as usize].handle(at as f64, event, &mut out);
            out.into_iter().for_each(|action| self.act(router, action));
        }
    }

    fn act(&mut self, router: u64, action: Action) {
        match action {
            Action::Send { id, server, .. } => {
                let attempt = self.attempts.entry(id.0).or_default();
                let n = *attempt;
                *attempt += 1;
                let (busy, times) = self.busy[&server.0];
                let reads = (self.asked[&id.0].prompt_tokens as u64) * READ_PER_K * times / 1_000;
                let done = busy.max(self.now) + reads;
                self.busy.insert(server.0, (done, times));
                self.push(done, router, What::Begins { id: id.0, attempt: n, server: server.0 });
            }
            Action::Reject { id, .. } => {
                self.tally.entry(self.asked[&id.0].class).or_default().refused += 1;
            }
            Action::Timer { at, key, .. } => self.push(at.ceil() as u64, router, What::Timer { key }),
            _ => {}
        }
    }
}

fn request(id: u64, class: u32, prompt_tokens: f64, prefix: u64) -> Request {
    Request { class, prompt_tokens, prefix: Some(prefix), session: 10_000 + id, ..ask(id) }
}

/// One of five mixed servers is eight times slower; nobody says so. What has its home there is read elsewhere, not refused:
/// the others have room for all.
#[test]
fn a_slow_home_gives_way_instead_of_having_its_requests_refused() {
    for slow in 1..=ENGINES {
        let mut world = World::new(Some(slow));
        (0..600).for_each(|n| world.arrives(50 * n, request(n, 0, 2_000.0, n % 11)));
        world.run();
        let t = world.tally[&0];
        assert!(t.refused <= 6 && t.late <= 30, "server {slow}: {t:?}");
    }
}

/// A whole restarted router's clients come at once, all for one beginning: what this router has just sent counts at once,
/// before any outcome tells of it.
#[test]
fn what_comes_at_once_is_not_all_sent_to_one_server() {
    let mut world = World::new(None);
    (0..60).for_each(|n| world.arrives(100 * n, request(n, 0, 2_000.0, n % 11)));
    (0..16).for_each(|n| world.arrives(8_000 + n, request(3 * n + 999, 0, 3_000.0, 5)));
    world.run();
    let t = world.tally[&0];
    assert!(t.late + t.refused <= 2, "{t:?}");
}

/// One class's prompts are twenty times longer for twenty seconds, a twentieth of all: the other class keeps being served.
#[test]
fn long_prompts_of_one_class_leave_the_other_its_servers() {
    let mut world = World::new(None);
    for n in 0..600 {
        let long = n % 20 == 0 && (100..500).contains(&n);
        let tokens = if long { 20_000.0 } else { 1_000.0 };
        world.arrives(50 * n, request(n, u32::from(n % 20 == 0), tokens, n % 11));
    }
    world.run();
    let t = world.tally[&0];
    assert!(f64::from(t.late + t.refused) < 0.05 * f64::from(t.all), "{t:?}");
}

/// Writers that report nothing keep first tokens waiting: states go to a mixed server while that lasts, and not before.
#[test]
fn states_go_to_a_mixed_server_while_all_writers_are_seen_to_be_waited_for() {
    for (first, mixed) in [(20.0, false), (1_200.0, true)] {
        let limits = Limits { probes: false, ..settings().limits };
        let members = fleet().into_iter().chain([member(31, 2, 0)]).collect();
        let mut rig = Rig::new(Settings { limits, ..settings() }, members);
        let mut at_mixed = 0;
        for id in 1..60 {
            rig.at(id as f64 * 40.0);
            let Some(reader) = sent(&rig.request(ask(id))).filter(|to| READERS.contains(to)) else {
                continue;
            };
            let writer = sent(&rig.outcome(id, 0, reader, AttemptStatus::Prefilled)).expect("a writer");
            at_mixed += u32::from(writer == 31);
            let server = ServerId(writer);
            rig.give(Event::FirstToken { id: RequestId(id), attempt: 1, server, elapsed: first });
            rig.outcome(id, 1, writer, AttemptStatus::Served);
        }
        assert_eq!(
            at_mixed > 0,
            mixed,
            "{at_mixed} states at the mixed server, first token after {first} ms"
        );
    }
}

/// A tenant at five times its share beside two within theirs, where the servers cannot bear it all: it alone is refused.
#[test]
fn a_tenant_far_over_its_share_does_not_take_the_others_places() {
    let tenants = [2.0, 20.0, 20.0].map(|allowance_per_s| Tenant { allowance_per_s }).to_vec();
    let limits = Limits { probes: false, ..settings().limits };
    let mut world = World::with(None, Settings { tenants, limits, ..settings() });
    // Ten a second of the first, ten of the two others together; the servers read some fourteen of these in a second.
    for n in 0..800 {
        let tenant = if n % 2 == 0 { 0 } else { 1 + (n / 2 % 2) as u32 };
        let class = u32::from(tenant > 0);
        world.arrives(50 * n, Request { tenant, ..request(n * 7 + n % 3, class, 7_000.0, n % 11) });
    }
    world.run();
    let (over, within) = (world.tally[&0], world.tally[&1]);
    let lost = |t: Tally| f64::from(t.late + t.refused) / f64::from(t.all);
    assert!(lost(within) < 0.25 && lost(over) > 2.0 * lost(within), "{over:?} {within:?}");
}
