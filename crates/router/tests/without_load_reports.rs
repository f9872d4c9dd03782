//! Routers without load reports and probes, which have to rely on the outcomes of their own requests. The
//! tests use simulated time, fixed seeds and no sockets.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use common::*;
use glenrail_router::*;

/// Duration of the prefill of 1,000 tokens at a mixed server (ms). Prefills run sequentially, each followed
/// by its stream. A cancelled prefill runs to its end.
const PREFILL_PER_1000_TOKENS: u64 = 50;
/// Duration of a stream (ms).
const STREAM_TIME: u64 = 400;
const SERVERS: u64 = 5;
const ROUTERS: u64 = 3;
/// Factor by which prefills take longer at the slow server.
const SLOWNESS: u64 = 8;
/// Duration of a run (ms).
const END: u64 = 60_000;
/// Time after which a first token is late (ms).
const OBJECTIVE: Millis = 1_000.0;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Arrival { id: u64 },
    Timer { key: u64 },
    FirstToken { id: u64, attempt: u32, server: u64 },
    Served { id: u64, attempt: u32, server: u64 },
}

/// Results of the requests of a class.
#[derive(Default, Debug, Clone, Copy)]
struct Results {
    late: u32,
    rejected: u32,
    total: u32,
}

struct MixedServer {
    /// Time at which all accepted prefills are complete.
    busy_until: u64,
    slowness: u64,
}

struct Simulation {
    routers: Vec<Router>,
    servers: BTreeMap<u64, MixedServer>,
    /// Time, sequence number, router and event.
    event_queue: BinaryHeap<Reverse<(u64, u64, u64, ScheduledEvent)>>,
    now: u64,
    event_count: u64,
    requests: BTreeMap<u64, Request>,
    attempts: BTreeMap<u64, u32>,
    arrived_at: BTreeMap<u64, u64>,
    /// Results by class.
    results: BTreeMap<u32, Results>,
}

impl Simulation {
    fn new(slow_server: Option<u64>) -> Simulation {
        Simulation::with_settings(slow_server, settings_without_probes())
    }

    fn with_settings(slow_server: Option<u64>, settings: Settings) -> Simulation {
        let settings = Settings { router_count: ROUTERS as u32, ..settings };
        let mut routers: Vec<Router> =
            (0..ROUTERS).map(|index| Router::new(index + 1, settings.clone())).collect();
        let servers: Vec<ServerEntry> = (1..=SERVERS).map(|id| server_entry(id, MIXED, 0)).collect();
        let list = Event::ServerList { update: ListUpdate::Full, servers };
        routers.iter_mut().for_each(|router| router.handle(0.0, list.clone(), &mut Vec::new()));
        let slowness = |id| if slow_server == Some(id) { SLOWNESS } else { 1 };
        let server = |id| (id, MixedServer { busy_until: 0, slowness: slowness(id) });
        Simulation {
            routers,
            servers: (1..=SERVERS).map(server).collect(),
            event_queue: BinaryHeap::new(),
            now: 0,
            event_count: 0,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            arrived_at: BTreeMap::new(),
            results: BTreeMap::new(),
        }
    }

    fn schedule(&mut self, time: u64, router: u64, scheduled: ScheduledEvent) {
        self.event_count += 1;
        self.event_queue.push(Reverse((time, self.event_count, router, scheduled)));
    }

    fn schedule_arrival(&mut self, time: u64, request: Request) {
        let (id, router) = (request.id.0, request.id.0 % ROUTERS);
        self.requests.insert(id, request);
        self.schedule(time, router, ScheduledEvent::Arrival { id });
    }

    fn run(&mut self) {
        while let Some(Reverse((time, _, router, scheduled))) = self.event_queue.pop() {
            if time > END {
                return;
            }
            self.now = time;
            let event = self.event(router, scheduled);
            let mut actions = Vec::new();
            self.routers[router as usize].handle(time as f64, event, &mut actions);
            actions.into_iter().for_each(|action| self.apply(router, action));
        }
    }

    fn event(&mut self, router: u64, scheduled: ScheduledEvent) -> Event {
        let now = self.now;
        match scheduled {
            ScheduledEvent::Arrival { id } => {
                let request = self.requests[&id].clone();
                self.arrived_at.insert(id, now);
                self.results.entry(request.class).or_default().total += 1;
                Event::Request(request)
            }
            ScheduledEvent::Timer { key } => Event::Timer { key },
            ScheduledEvent::FirstToken { id, attempt, server } => {
                self.schedule(now + STREAM_TIME, router, ScheduledEvent::Served { id, attempt, server });
                let elapsed = (now - self.arrived_at[&id]) as f64;
                if elapsed > OBJECTIVE {
                    self.results_of(id).late += 1;
                }
                Event::FirstToken { id: RequestId(id), attempt, server: ServerId(server), elapsed }
            }
            ScheduledEvent::Served { id, attempt, server } => {
                let elapsed = (now - self.arrived_at[&id]) as f64;
                Event::Outcome(attempt_outcome(id, attempt, server, AttemptStatus::Served, elapsed))
            }
        }
    }

    fn results_of(&mut self, id: u64) -> &mut Results {
        self.results.entry(self.requests[&id].class).or_default()
    }

    fn apply(&mut self, router: u64, action: Action) {
        match action {
            Action::Send { id, server, .. } => self.send(router, id.0, server.0),
            Action::Reject { id, .. } => self.results_of(id.0).rejected += 1,
            Action::Timer { at, key, .. } => {
                self.schedule(at.ceil() as u64, router, ScheduledEvent::Timer { key });
            }
            _ => {}
        }
    }

    fn send(&mut self, router: u64, id: u64, server: u64) {
        let next_attempt = self.attempts.entry(id).or_default();
        let attempt = *next_attempt;
        *next_attempt += 1;
        let target = self.servers.get_mut(&server).expect("a listed server");
        let prompt_tokens = self.requests[&id].prompt_tokens as u64;
        let prefill_time = prompt_tokens * PREFILL_PER_1000_TOKENS * target.slowness / 1_000;
        let done = target.busy_until.max(self.now) + prefill_time;
        target.busy_until = done;
        self.schedule(done, router, ScheduledEvent::FirstToken { id, attempt, server });
    }
}

fn settings_without_probes() -> Settings {
    let limits = Limits { probes: false, ..settings().limits };
    Settings { limits, ..settings() }
}

fn sized_request(id: u64, class: u32, prompt_tokens: f64, prefix: u64) -> Request {
    Request { class, prompt_tokens, prefix: Some(prefix), session: 10_000 + id, ..sample_request(id) }
}

/// Guards against rejections because of a slow preferred server: one of five mixed servers is eight times
/// slower without reporting it, and the others have capacity for all requests.
#[test]
fn requests_that_prefer_a_slow_server_are_served_elsewhere_instead_of_rejected() {
    for slow_server in 1..=SERVERS {
        let mut simulation = Simulation::new(Some(slow_server));
        (0..600).for_each(|id| simulation.schedule_arrival(50 * id, sized_request(id, 0, 2_000.0, id % 11)));
        simulation.run();
        let results = simulation.results[&0];
        assert!(results.rejected <= 6 && results.late <= 30, "server {slow_server}: {results:?}");
    }
}

/// Guards against the overload of one server by a burst with the same prefix, as after the restart of another
/// router: the sends of the router count immediately, before the first outcome.
#[test]
fn a_burst_with_one_prefix_is_not_all_sent_to_one_server() {
    let mut simulation = Simulation::new(None);
    (0..60).for_each(|id| simulation.schedule_arrival(100 * id, sized_request(id, 0, 2_000.0, id % 11)));
    (0..16).for_each(|n| simulation.schedule_arrival(8_000 + n, sized_request(3 * n + 999, 0, 3_000.0, 5)));
    simulation.run();
    let results = simulation.results[&0];
    assert!(results.late + results.rejected <= 2, "{results:?}");
}

/// Guards against lost requests of one class because of long prompts of another: for twenty seconds, 5 % of
/// all prompts are twenty times longer.
#[test]
fn long_prompts_of_one_class_do_not_delay_the_other() {
    let mut simulation = Simulation::new(None);
    for id in 0..600 {
        let is_long = id % 20 == 0 && (100..500).contains(&id);
        let prompt_tokens = if is_long { 20_000.0 } else { 1_000.0 };
        let class = u32::from(id % 20 == 0);
        simulation.schedule_arrival(50 * id, sized_request(id, class, prompt_tokens, id % 11));
    }
    simulation.run();
    let results = simulation.results[&0];
    let lost = f64::from(results.late + results.rejected);
    assert!(lost < 0.05 * f64::from(results.total), "{results:?}");
}

/// Guards against waits at decode servers without load reports: a mixed server receives states only while
/// first tokens are delayed at all decode servers.
#[test]
fn states_go_to_a_mixed_server_while_all_decode_servers_have_waits() {
    for (first_token, expect_mixed) in [(20.0, false), (1_200.0, true)] {
        let servers = sample_servers().into_iter().chain([server_entry(31, MIXED, 0)]).collect();
        let mut router = TestRouter::new(settings_without_probes(), servers);
        let mut at_mixed = 0;
        for id in 1..60 {
            router.at_time(id as f64 * 40.0);
            let server = sent_to(&router.submit(sample_request(id)));
            let Some(prefill_server) = server.filter(|id| PREFILL_SERVERS.contains(id)) else { continue };
            let decode_server = router.decode_server_after(id, prefill_server);
            at_mixed += u32::from(decode_server == 31);
            router.first_token(id, 1, decode_server, first_token);
            router.outcome(id, 1, decode_server, AttemptStatus::Served);
        }
        let case = format!("{at_mixed} states at the mixed server, first token after {first_token} ms");
        assert_eq!(at_mixed > 0, expect_mixed, "{case}");
    }
}

/// Guards against rejections of tenants within their quota while another one sends five times its quota, and
/// the servers do not have the capacity for all requests.
#[test]
fn a_tenant_far_over_its_quota_does_not_use_the_others_capacity() {
    let tenants = [2.0, 20.0, 20.0].map(|allowance_per_s| Tenant { allowance_per_s }).to_vec();
    let settings = Settings { tenants, ..settings_without_probes() };
    let mut simulation = Simulation::with_settings(None, settings);
    // The first tenant sends ten requests per second, and the two others together also ten. The servers
    // complete about fourteen per second.
    for n in 0..800 {
        let tenant = if n % 2 == 0 { 0 } else { 1 + (n / 2 % 2) as u32 };
        let class = u32::from(tenant > 0);
        let request = sized_request(n * 7 + n % 3, class, 7_000.0, n % 11);
        simulation.schedule_arrival(50 * n, Request { tenant, ..request });
    }
    simulation.run();
    let (over, within) = (simulation.results[&0], simulation.results[&1]);
    let lost = |results: Results| f64::from(results.late + results.rejected) / f64::from(results.total);
    assert!(lost(within) < 0.25 && lost(over) > 2.0 * lost(within), "{over:?} {within:?}");
}
