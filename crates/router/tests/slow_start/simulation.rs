//! Discrete-event simulation of the scenarios: routers that do not communicate, and servers with delayed load
//! reports, some of which start during the run. It uses simulated time and fixed seeds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use glenrail_router::*;

use crate::common::*;
use crate::scenario::*;

mod starts;

/// Time at which the starting servers start (ms).
const STARTED: f64 = 6_000.0;
/// Time until which the sends to the starting servers are counted (ms).
const END: f64 = 14_000.0;
/// Time for which a zone is unreachable before it returns (ms).
const UNREACHABLE_TIME: f64 = 5_000.0;
/// Time after which a connection to an unreachable server fails (ms).
const CONNECT_TIMEOUT: f64 = 250.0;
/// Duration of a stream at a decode server with full capacity (ms).
const STREAM_TIME: f64 = 2_000.0;
/// Time from the beginning of a stream to its first token (ms).
const FIRST_TOKEN_TIME: f64 = 20.0;
/// Lower bound of the identifiers of decode servers.
const FIRST_DECODE_SERVER: u64 = 1_000;

enum ScheduledEvent {
    Arrival,
    ServersStart,
    ZoneUnreachable,
    Timer(u64),
    ProbeAnswer {
        server: u64,
        report: LoadReport,
    },
    ProbeFailed {
        server: u64,
    },
    FirstToken(SentAttempt),
    /// The end of a prefill or of a stream.
    Completed(SentAttempt),
    Failed(SentAttempt, AttemptStatus),
    RouterRestart,
}

#[derive(Default)]
struct Server {
    /// End times of the requests in flight.
    ends: Vec<f64>,
    /// Requests in flight according to the last report.
    reported_load: f64,
    /// Time of the last report.
    reported_at: f64,
    is_starting: bool,
    is_unreachable: bool,
    /// Times of the sends to the server.
    sent: Vec<f64>,
}

/// Maximum number of sends to any starting server of a role in any window, as a share of the limit.
pub struct Peaks {
    pub prefill: f64,
    pub decode: f64,
}

pub struct Simulation {
    scenario: Scenario,
    settings: Settings,
    routers: Vec<Router>,
    servers: BTreeMap<u64, Server>,
    /// Time (microseconds) and number of each future event.
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Router and event, by number.
    scheduled_events: BTreeMap<u64, (usize, ScheduledEvent)>,
    event_count: u64,
    now: f64,
    attempts: BTreeMap<u64, u32>,
    random: u64,
    request_count: u64,
    popular_prefix: u64,
    /// Router and server of each dead connection that the router has not detected.
    dead_connections: BTreeSet<(usize, u64)>,
}

fn is_prefill_server(server: u64) -> bool {
    server < FIRST_DECODE_SERVER
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Simulation {
        let ids = (0..scenario.servers as u64).flat_map(|n| [100 + n, 1_100 + n]);
        let mut simulation = Simulation {
            scenario,
            settings: scenario_settings(&scenario),
            routers: Vec::new(),
            servers: ids.map(|id| (id, Server::default())).collect(),
            event_queue: BinaryHeap::new(),
            scheduled_events: BTreeMap::new(),
            event_count: 0,
            now: 0.0,
            attempts: BTreeMap::new(),
            random: scenario.seed * 7_919 + 1,
            request_count: 0,
            popular_prefix: 0,
            dead_connections: BTreeSet::new(),
        };
        simulation.popular_prefix = simulation.prefix_of_starting_server();
        for router in 0..scenario.routers {
            simulation.routers.push(Router::new(router as u64 + 1, simulation.settings.clone()));
            let servers = simulation.server_list();
            simulation.handle(router, Event::ServerList { update: ListUpdate::Full, servers });
        }
        simulation
    }

    /// Returns the next random number, uniformly distributed in [0, 1).
    fn next_unit(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the share of its capacity that a starting server has.
    fn capacity_share(&self, time: f64) -> f64 {
        let rules = &self.settings.rules;
        let growth = 1.0 - rules.slow_start_initial_share;
        let share = rules.slow_start_initial_share + growth * (time - STARTED) / rules.slow_start_window;
        share.min(1.0)
    }

    fn schedule(&mut self, time: f64, router: usize, scheduled: ScheduledEvent) {
        self.event_count += 1;
        self.event_queue.push(Reverse(((time * 1_000.0) as u64, self.event_count)));
        self.scheduled_events.insert(self.event_count, (router, scheduled));
    }

    pub fn run(mut self) -> Peaks {
        self.schedule(0.0, 0, ScheduledEvent::Arrival);
        if self.scenario.zone_returns {
            self.schedule(STARTED - UNREACHABLE_TIME, 0, ScheduledEvent::ZoneUnreachable);
        }
        self.schedule(STARTED, 0, ScheduledEvent::ServersStart);
        while let Some(Reverse((time, number))) = self.event_queue.pop() {
            self.now = time as f64 / 1_000.0;
            if self.now > END {
                break;
            }
            if let Some((router, scheduled)) = self.scheduled_events.remove(&number) {
                self.process(router, scheduled);
            }
        }
        Peaks { prefill: self.peak(Role::Prefill), decode: self.peak(Role::Decode) }
    }

    fn process(&mut self, router: usize, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Arrival => self.process_arrival(),
            ScheduledEvent::ZoneUnreachable => self.disconnect_zone(),
            ScheduledEvent::ServersStart => self.start_servers(),
            ScheduledEvent::Timer(key) => self.handle(router, Event::Timer { key }),
            ScheduledEvent::ProbeFailed { server } => {
                let (server, status) = (ServerId(server), AttemptStatus::ConnectFailed);
                let elapsed = CONNECT_TIMEOUT;
                self.handle(router, Event::ProbeResult { server, status, elapsed, report: None });
            }
            ScheduledEvent::ProbeAnswer { server, report } => {
                let (server, status) = (ServerId(server), AttemptStatus::Served);
                let report = Some(report);
                self.handle(router, Event::ProbeResult { server, status, elapsed: 10.0, report });
            }
            ScheduledEvent::FirstToken(sent) => {
                self.report(sent.server);
                let (id, server) = (RequestId(sent.id), ServerId(sent.server));
                let attempt = sent.attempt;
                let elapsed = FIRST_TOKEN_TIME;
                self.handle(router, Event::FirstToken { id, attempt, server, elapsed });
            }
            ScheduledEvent::Completed(sent) => {
                let report = Some(self.report(sent.server));
                let status = match is_prefill_server(sent.server) {
                    true => AttemptStatus::Prefilled,
                    false => AttemptStatus::Served,
                };
                self.end_attempt(router, sent, status, 50.0, report);
            }
            ScheduledEvent::Failed(sent, status) => self.end_attempt(router, sent, status, 1.0, None),
            ScheduledEvent::RouterRestart => {
                let seed = (self.next_unit() * 1e9) as u64 + 1;
                self.routers[router] = Router::new(seed, self.settings.clone());
                let servers = self.server_list();
                self.handle(router, Event::ServerList { update: ListUpdate::Cached, servers });
            }
        }
    }

    fn end_attempt(
        &mut self, router: usize, sent: SentAttempt, status: AttemptStatus, elapsed: f64,
        report: Option<LoadReport>,
    ) {
        let outcome = attempt_outcome(sent.id, sent.attempt, sent.server, status, elapsed);
        let outcome = AttemptOutcome { report, ..outcome };
        self.handle(router, Event::Outcome(outcome));
    }

    /// Processes the arrival of a request, and schedules the next arrival. Some routers receive several times
    /// as many requests as others.
    fn process_arrival(&mut self) {
        let id = self.request_count;
        self.request_count += 1;
        let router = (self.next_unit() * self.next_unit() * self.scenario.routers as f64) as usize;
        let is_popular = self.next_unit() < self.scenario.popular_share;
        let prefix = if is_popular { self.popular_prefix } else { 1_000 + (self.next_unit() * 400.0) as u64 };
        self.handle(router, Event::Request(request_with_prefix(id, prefix)));
        let Scenario { utilization, rate_per_s, servers, burst, .. } = self.scenario;
        let since_burst = (self.now - STARTED) / 1_000.0 - burst.start;
        let factor = if (0.0..2.0).contains(&since_burst) { burst.factor } else { 1.0 };
        let requests_per_s = utilization * rate_per_s * servers as f64 * factor;
        let interval = -(1.0 - self.next_unit()).ln() * 1_000.0 / requests_per_s;
        self.schedule(self.now + interval, 0, ScheduledEvent::Arrival);
    }

    /// Returns the number of streams that a decode server runs at a time.
    fn stream_slots(&self) -> f64 {
        self.scenario.rate_per_s * STREAM_TIME / 1_000.0
    }

    /// Returns the load report of a server, with the values of its last renewal.
    fn report(&mut self, id: u64) -> LoadReport {
        let (now, slots) = (self.now, self.stream_slots());
        let Some(server) = self.servers.get_mut(&id) else { return LoadReport::default() };
        server.ends.retain(|end| *end > now);
        if now >= server.reported_at + self.scenario.report_interval {
            server.reported_load = server.ends.len() as f64;
            server.reported_at = now;
        }
        let load = server.reported_load;
        let memory_share = if is_prefill_server(id) { 0.1 } else { (load / slots).min(1.0) };
        LoadReport { in_flight: Some(load), memory_share: Some(memory_share), ..LoadReport::default() }
    }

    fn handle(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.send(router, id.0, server.0),
                Action::Probe { server } => self.probe(router, server.0),
                Action::Timer { at, key, .. } => self.schedule(at, router, ScheduledEvent::Timer(key)),
                _ => {}
            }
        }
    }

    fn is_unreachable(&self, server: u64) -> bool {
        self.servers.get(&server).is_some_and(|server| server.is_unreachable)
    }

    fn probe(&mut self, router: usize, server: u64) {
        if self.is_unreachable(server) {
            return self.schedule(self.now + CONNECT_TIMEOUT, router, ScheduledEvent::ProbeFailed { server });
        }
        if self.dead_connections.remove(&(router, server)) {
            return self.schedule(self.now + 1.0, router, ScheduledEvent::ProbeFailed { server });
        }
        // The report has the values of now, although it is received later.
        let report = self.report(server);
        let answer_time = self.now + 5.0 + self.scenario.probe_time * self.next_unit();
        self.schedule(answer_time, router, ScheduledEvent::ProbeAnswer { server, report });
    }

    fn send(&mut self, router: usize, id: u64, server: u64) {
        let next_attempt = self.attempts.entry(id).or_default();
        let attempt = *next_attempt;
        *next_attempt += 1;
        let sent = SentAttempt { id, attempt, server };
        if self.is_unreachable(server) {
            let failed = ScheduledEvent::Failed(sent, AttemptStatus::ConnectFailed);
            return self.schedule(self.now + CONNECT_TIMEOUT, router, failed);
        }
        if self.dead_connections.remove(&(router, server)) {
            let failed = ScheduledEvent::Failed(sent, AttemptStatus::Reset);
            return self.schedule(self.now + 1.0, router, failed);
        }
        self.serve(router, sent);
    }

    /// Schedules the further events of an attempt that has reached its server.
    fn serve(&mut self, router: usize, sent: SentAttempt) {
        let (now, rate_per_s, slots) = (self.now, self.scenario.rate_per_s, self.stream_slots() as usize);
        let is_starting = self.servers.get(&sent.server).is_some_and(|server| server.is_starting);
        let capacity_share = if is_starting { self.capacity_share(now) } else { 1.0 };
        let Some(server) = self.servers.get_mut(&sent.server) else { return };
        server.sent.push(now);
        server.ends.retain(|end| *end > now);
        server.ends.sort_by(f64::total_cmp);
        if is_prefill_server(sent.server) {
            let end = server.ends.last().copied().unwrap_or(now) + 1_000.0 / rate_per_s / capacity_share;
            server.ends.push(end);
            return self.schedule(end, router, ScheduledEvent::Completed(sent));
        }
        let begin = server.ends.len().checked_sub(slots).map_or(now, |index| server.ends[index]);
        let end = begin + STREAM_TIME / capacity_share;
        server.ends.push(end);
        self.schedule(begin + FIRST_TOKEN_TIME, router, ScheduledEvent::FirstToken(sent));
        self.schedule(end, router, ScheduledEvent::Completed(sent));
    }

    /// Returns the maximum number of sends to a starting server of this role in any window, as a share of the
    /// limit.
    fn peak(&self, role: Role) -> f64 {
        let mut peak = 0.0f64;
        for (id, server) in &self.servers {
            if is_prefill_server(*id) != (role == Role::Prefill) || !server.is_starting {
                continue;
            }
            let starts = server.sent.iter().filter(|time| **time >= STARTED);
            peak = starts.map(|start| self.share_of_limit(&server.sent, *start)).fold(peak, f64::max);
        }
        peak
    }

    /// Returns the number of sends in the window from `start`, as a share of the limit. The limit is the
    /// bound of the settings at that time, plus a margin of twice its square root and two for random
    /// variation.
    fn share_of_limit(&self, sent: &[f64], start: f64) -> f64 {
        let rules = &self.settings.rules;
        let window = start..start + rules.overload_window;
        let sent_within = sent.iter().filter(|time| window.contains(*time)).count() as f64;
        let bound = rules.overload_multiple
            * self.capacity_share(start)
            * self.scenario.rate_per_s
            * rules.overload_window
            / 1_000.0;
        sent_within / (bound + 2.0 * bound.sqrt() + 2.0)
    }
}

fn scenario_settings(scenario: &Scenario) -> Settings {
    let mut settings = Settings { router_count: scenario.routers as u32, ..settings() };
    settings.limits.probes = scenario.probes;
    settings.rules = Rules {
        overload_multiple: scenario.rules.overload_multiple,
        overload_window: scenario.rules.overload_window,
        slow_start_initial_share: scenario.rules.initial_share,
        slow_start_window: 13_000.0,
        ..settings.rules
    };
    settings
}
