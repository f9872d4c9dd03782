//! Discrete-event simulation of the large-fleet tests: sixty routers that do not communicate, and servers
//! whose load reports are delayed. Only the routers use random numbers.

use std::collections::{BTreeMap, BTreeSet};

use glenrail_router::*;

use crate::common::{attempt_outcome, sample_request, server_entry, settings, SentAttempt, DECODE, PREFILL};
use crate::servers::{DecodeServer, PrefillServer, PREFIX_TOKENS, PROMPT_TOKENS};

pub const ROUTERS: u64 = 60;
/// Number of prefill servers, and also of decode servers.
pub const SERVERS: u64 = 20;
/// Identifier of the first prefill server; the others follow.
pub const FIRST_PREFILL_SERVER: u64 = 100;
/// Identifier of the first decode server; the others follow.
pub const FIRST_DECODE_SERVER: u64 = 200;
/// Response time of a probe (ms).
const PROBE_TIME: u64 = 10;
/// Response time of a server that immediately responds with an error (ms).
const ERROR_TIME: u64 = 2;
/// Time until a failed connection is detected (ms).
const CONNECT_FAILURE_TIME: u64 = 1;
/// Time from the beginning of a stream to its first token (ms).
const FIRST_TOKEN_TIME: u64 = 20;

enum ScheduledEvent {
    Arrival {
        id: u64,
    },
    Timer {
        key: u64,
    },
    AttemptEnd(SentAttempt, AttemptStatus),
    /// The first token and the end of a stream. The rest of the stream is not simulated.
    FirstToken(SentAttempt),
    ProbeAnswer {
        server: u64,
    },
    ProbeFailed {
        server: u64,
    },
}

/// Limit on the number of routers that a server accepts connections from.
pub struct ConnectionLimit {
    pub max_routers: usize,
    pub connected: BTreeSet<u64>,
}

/// Function that returns the prefix of a request by its identifier.
pub type PrefixOf = fn(u64) -> u64;

pub struct Fleet {
    routers: Vec<Router>,
    pub prefill_servers: BTreeMap<u64, PrefillServer>,
    pub decode_servers: BTreeMap<u64, DecodeServer>,
    /// Servers to which no router can connect.
    pub unreachable: BTreeSet<u64>,
    pub connection_limits: BTreeMap<u64, ConnectionLimit>,
    /// Router and server of each dead connection that the router has not detected. The next request or probe
    /// on it fails.
    pub dead_connections: BTreeSet<(u64, u64)>,
    /// Router and event, by time and sequence number.
    event_queue: BTreeMap<(u64, u64), (u64, ScheduledEvent)>,
    now: u64,
    event_count: u64,
    attempts: BTreeMap<u64, u32>,
    ended: BTreeSet<(u64, u32)>,
    /// Arrival times of the requests that are counted.
    pub arrived_at: BTreeMap<u64, u64>,
    first_token_times: Vec<u64>,
    pub rejected: usize,
    pub probes: usize,
    pub ejections: usize,
    prefix_of: PrefixOf,
}

/// Returns the server list: five cells of four prefill servers and four decode servers each.
pub fn server_list() -> Vec<ServerEntry> {
    let pair = |index| {
        let entry = |id, kind| ServerEntry { cell: (index / 4) as u32, ..server_entry(id, kind, 0) };
        [entry(FIRST_PREFILL_SERVER + index, PREFILL), entry(FIRST_DECODE_SERVER + index, DECODE)]
    };
    (0..SERVERS).flat_map(pair).collect()
}

impl Fleet {
    /// Creates a fleet whose requests are distributed over the routers, with the prefixes that `prefix_of`
    /// returns.
    pub fn new(prefix_of: PrefixOf) -> Fleet {
        Fleet::with_settings(settings(), prefix_of)
    }

    pub fn without_probes(prefix_of: PrefixOf) -> Fleet {
        let limits = Limits { probes: false, ..settings().limits };
        Fleet::with_settings(Settings { limits, ..settings() }, prefix_of)
    }

    pub fn with_settings(settings: Settings, prefix_of: PrefixOf) -> Fleet {
        let settings = Settings { router_count: ROUTERS as u32, ..settings };
        let prefill_server = |index| (FIRST_PREFILL_SERVER + index, PrefillServer::new(None));
        let decode_server = |index| (FIRST_DECODE_SERVER + index, DecodeServer::new(None));
        let mut fleet = Fleet {
            routers: (0..ROUTERS).map(|index| Router::new(index + 1, settings.clone())).collect(),
            prefill_servers: (0..SERVERS).map(prefill_server).collect(),
            decode_servers: (0..SERVERS).map(decode_server).collect(),
            unreachable: BTreeSet::new(),
            connection_limits: BTreeMap::new(),
            dead_connections: BTreeSet::new(),
            event_queue: BTreeMap::new(),
            now: 0,
            event_count: 0,
            attempts: BTreeMap::new(),
            ended: BTreeSet::new(),
            arrived_at: BTreeMap::new(),
            first_token_times: Vec::new(),
            rejected: 0,
            probes: 0,
            ejections: 0,
            prefix_of,
        };
        fleet.update_all_routers(ListUpdate::Full, &server_list());
        fleet
    }

    /// Delivers a server list to every router.
    pub fn update_all_routers(&mut self, update: ListUpdate, servers: &[ServerEntry]) {
        for router in 0..ROUTERS {
            self.update_router(router, update, servers);
        }
    }

    pub fn update_router(&mut self, router: u64, update: ListUpdate, servers: &[ServerEntry]) {
        self.handle(router, Event::ServerList { update, servers: servers.to_vec() });
    }

    /// Restarts a router, which only receives the server list.
    pub fn restart(&mut self, router: u64) {
        let settings = Settings { router_count: ROUTERS as u32, ..settings() };
        self.routers[router as usize] = Router::new(router + 1_000, settings);
        self.update_router(router, ListUpdate::Full, &server_list());
    }

    fn schedule(&mut self, time: u64, router: u64, scheduled: ScheduledEvent) {
        self.event_count += 1;
        self.event_queue.insert((time, self.event_count), (router, scheduled));
    }

    /// Runs a number of requests, one every `interval` ms, until all of them have ended.
    pub fn run_requests(&mut self, requests: u64, interval: u64) {
        self.schedule_arrivals(0..requests, interval);
        self.run(requests * interval + 10_000);
    }

    /// Schedules the arrival of requests. The request with identifier n arrives at n times the interval.
    pub fn schedule_arrivals(&mut self, ids: std::ops::Range<u64>, interval: u64) {
        for id in ids {
            self.schedule(id * interval, id * 7 % ROUTERS, ScheduledEvent::Arrival { id });
        }
    }

    /// Runs the simulation up to a time (ms).
    pub fn run(&mut self, end: u64) {
        while let Some(((time, _), (router, scheduled))) = self.event_queue.pop_first() {
            if time > end {
                return self.schedule(time, router, scheduled);
            }
            self.now = time;
            self.process(router, scheduled);
        }
    }

    fn process(&mut self, router: u64, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Arrival { id } => {
                self.arrived_at.insert(id, self.now);
                let request = Request {
                    prefix: Some((self.prefix_of)(id)),
                    prompt_tokens: PROMPT_TOKENS as f64,
                    prefix_tokens: PREFIX_TOKENS as f64,
                    ..sample_request(id)
                };
                self.handle(router, Event::Request(request));
            }
            ScheduledEvent::Timer { key } => self.handle(router, Event::Timer { key }),
            ScheduledEvent::AttemptEnd(sent, status) => self.end_attempt(router, sent, status),
            ScheduledEvent::FirstToken(sent) => {
                if let Some(arrived_at) = self.arrived_at.get(&sent.id) {
                    self.first_token_times.push(self.now - arrived_at);
                }
                let SentAttempt { id, attempt, server } = sent;
                let (id, server) = (RequestId(id), ServerId(server));
                self.handle(
                    router,
                    Event::FirstToken { id, attempt, server, elapsed: FIRST_TOKEN_TIME as f64 },
                );
                self.end_attempt(router, sent, AttemptStatus::Served);
            }
            ScheduledEvent::ProbeFailed { server } => {
                let (server, status) = (ServerId(server), AttemptStatus::ConnectFailed);
                self.handle(
                    router,
                    Event::ProbeResult { server, status, elapsed: CONNECT_FAILURE_TIME as f64, report: None },
                );
            }
            ScheduledEvent::ProbeAnswer { server } => {
                let report = self.report(server);
                let (server, status) = (ServerId(server), AttemptStatus::Served);
                self.handle(
                    router,
                    Event::ProbeResult { server, status, elapsed: PROBE_TIME as f64, report },
                );
            }
        }
    }

    /// Reports the end of an attempt to its router, unless it has already ended.
    fn end_attempt(&mut self, router: u64, sent: SentAttempt, status: AttemptStatus) {
        if !self.ended.insert((sent.id, sent.attempt)) {
            return;
        }
        let report = self.report(sent.server);
        let outcome = attempt_outcome(sent.id, sent.attempt, sent.server, status, 50.0);
        let outcome = AttemptOutcome { report, ..outcome };
        self.handle(router, Event::Outcome(outcome));
    }

    /// Returns the load report of a server, with the values of its last renewal.
    fn report(&mut self, id: u64) -> Option<LoadReport> {
        let now = self.now;
        if let Some(server) = self.decode_servers.get_mut(&id) {
            return Some(server.load_report(now));
        }
        self.prefill_servers.get_mut(&id).map(|server| server.load_report(now))
    }

    fn handle(&mut self, router: u64, event: Event) {
        let mut actions = Vec::new();
        self.routers[router as usize].handle(self.now as f64, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, timeout } => self.send(router, id.0, server.0, timeout),
                Action::Cancel { id, attempt } => {
                    // No server is given, because the outcome of a cancelled attempt has no load report.
                    let sent = SentAttempt { id: id.0, attempt, server: 0 };
                    self.end_attempt(router, sent, AttemptStatus::Cancelled);
                }
                Action::Reject { .. } | Action::Fail { .. } => self.rejected += 1,
                Action::Log(line) => self.ejections += usize::from(line.starts_with("ejection")),
                Action::Probe { server } => self.probe(router, server.0),
                Action::Timer { at, key, .. } => {
                    self.schedule(at.ceil() as u64, router, ScheduledEvent::Timer { key });
                }
                _ => {}
            }
        }
    }

    fn probe(&mut self, router: u64, server: u64) {
        self.probes += 1;
        let is_unresponsive = self.prefill_servers.get(&server).is_some_and(|server| server.is_unresponsive);
        if self.dead_connections.remove(&(router, server)) || !self.connects(router, server) {
            self.schedule(self.now + CONNECT_FAILURE_TIME, router, ScheduledEvent::ProbeFailed { server });
        } else if !is_unresponsive {
            self.schedule(self.now + PROBE_TIME, router, ScheduledEvent::ProbeAnswer { server });
        }
    }

    fn send(&mut self, router: u64, id: u64, server: u64, timeout: Millis) {
        let next_attempt = self.attempts.entry(id).or_default();
        let attempt = *next_attempt;
        *next_attempt += 1;
        let sent = SentAttempt { id, attempt, server };
        let timed_out = ScheduledEvent::AttemptEnd(sent, AttemptStatus::Timeout);
        self.schedule(self.now + timeout.ceil() as u64, router, timed_out);
        if self.dead_connections.remove(&(router, server)) {
            let failed = ScheduledEvent::AttemptEnd(sent, AttemptStatus::Error);
            return self.schedule(self.now + CONNECT_FAILURE_TIME, router, failed);
        }
        if !self.connects(router, server) {
            let failed = ScheduledEvent::AttemptEnd(sent, AttemptStatus::ConnectFailed);
            return self.schedule(self.now + CONNECT_FAILURE_TIME, router, failed);
        }
        if self.decode_servers.contains_key(&server) {
            self.decode(router, sent);
        } else {
            self.prefill(router, sent);
        }
    }

    fn decode(&mut self, router: u64, sent: SentAttempt) {
        let Some(server) = self.decode_servers.get_mut(&sent.server) else { return };
        let begin = server.accept(self.now);
        self.schedule(begin + FIRST_TOKEN_TIME, router, ScheduledEvent::FirstToken(sent));
    }

    fn prefill(&mut self, router: u64, sent: SentAttempt) {
        let now = self.now;
        let prefix = (self.prefix_of)(sent.id);
        let Some(server) = self.prefill_servers.get_mut(&sent.server) else { return };
        server.sent.push(now);
        if server.fails_at_once {
            let failed = ScheduledEvent::AttemptEnd(sent, AttemptStatus::Error);
            return self.schedule(now + ERROR_TIME, router, failed);
        }
        let end = server.accept(prefix, now);
        if !server.is_unresponsive {
            self.schedule(end, router, ScheduledEvent::AttemptEnd(sent, AttemptStatus::Prefilled));
        }
    }

    /// Returns whether this router has a connection to the server or can establish one.
    fn connects(&mut self, router: u64, server: u64) -> bool {
        let Some(limit) = self.connection_limits.get_mut(&server) else {
            return !self.unreachable.contains(&server);
        };
        if limit.connected.len() < limit.max_routers {
            limit.connected.insert(router);
        }
        limit.connected.contains(&router)
    }

    /// Resets the counts, so that only requests that arrive later are counted.
    pub fn reset_counts(&mut self) {
        self.arrived_at.clear();
        self.first_token_times.clear();
    }

    /// Returns the share of all requests whose first token was produced within the objective.
    pub fn share_in_time(&self) -> f64 {
        let objective = settings().classes[0].latency_objective as u64 + PROMPT_TOKENS * 60 / 1_000;
        let in_time = self.first_token_times.iter().filter(|time| **time <= objective).count();
        in_time as f64 / self.arrived_at.len() as f64
    }

    /// Returns the number of prefills at the busiest prefill server, as a multiple of the mean.
    pub fn busiest_prefill_server(&self) -> f64 {
        let prefills = self.prefill_servers.values().map(|server| server.prefills);
        let (most, sum) = (prefills.clone().max().unwrap_or(0), prefills.sum::<usize>());
        most as f64 / (sum.max(1) as f64 / SERVERS as f64)
    }
}
