//! Trials under load shedding: a router whose servers were late continues to send trials, so that it detects
//! their recovery, and rejects only requests between two trials. The tests use simulated time, fixed seeds
//! and no sockets.

mod common;

use std::collections::BTreeMap;

use common::*;
use glenrail_router::*;

/// Number of rejections without an attempt in between from which [`MAX_TIME_WITHOUT_ATTEMPT`] applies.
const MAX_REJECTIONS: usize = 15;
/// Maximum time without an attempt during such rejections (ms).
const MAX_TIME_WITHOUT_ATTEMPT: u64 = 4_000;
/// Duration of a run (ms).
const END: u64 = 30_000;
/// Time until which the servers of one role are late (ms).
const LATE_UNTIL: u64 = 6_000;
/// Duration of an attempt at a late server (ms).
const LATE_TIME: u64 = 3_500;
/// Duration of an attempt at any other server (ms).
const USUAL_TIME: u64 = 60;
/// Duration of a stream after its first token (ms).
const STREAM_TIME: u64 = 400;

/// Attempt in flight.
#[derive(Clone, Copy)]
struct SentAttempt {
    id: u64,
    attempt: u32,
    server: u64,
    sent_at: u64,
}

enum ScheduledEvent {
    Arrival(u64),
    Timer(u64),
    Prefilled(SentAttempt),
    FirstToken(SentAttempt),
    Served(SentAttempt),
    ProbeAnswer(u64),
}

/// Simulation of one router with three prefill servers and three decode servers.
struct Simulation {
    router: Router,
    /// Future events, by time and sequence number.
    event_queue: BTreeMap<(u64, u64), ScheduledEvent>,
    event_count: u64,
    attempts: BTreeMap<u64, u32>,
    late_role: Role,
    /// Time of the last send.
    last_sent_at: u64,
    /// Number of rejections since the last send.
    rejections_since_send: usize,
    /// Maximum time without an attempt in which at least [`MAX_REJECTIONS`] requests were rejected.
    longest_without_attempt: u64,
}

impl Simulation {
    /// Runs a simulation with one request every `interval` ms.
    fn run(seed: u64, settings: Settings, late_role: Role, interval: u64) -> Simulation {
        let mut simulation = Simulation {
            router: Router::new(seed, settings),
            event_queue: BTreeMap::new(),
            event_count: 0,
            attempts: BTreeMap::new(),
            late_role,
            last_sent_at: 0,
            rejections_since_send: 0,
            longest_without_attempt: 0,
        };
        let list = Event::ServerList { update: ListUpdate::Full, servers: sample_servers() };
        simulation.router.handle(0.0, list, &mut Vec::new());
        for index in 0..END / interval {
            simulation.schedule(index * interval, ScheduledEvent::Arrival(index + 1));
        }
        while let Some(((now, _), scheduled)) = simulation.event_queue.pop_first() {
            if now > END {
                break;
            }
            let event = simulation.event(now, scheduled);
            let mut actions = Vec::new();
            simulation.router.handle(now as f64, event, &mut actions);
            actions.into_iter().for_each(|action| simulation.apply(now, action));
        }
        simulation
    }

    fn schedule(&mut self, time: u64, scheduled: ScheduledEvent) {
        self.event_count += 1;
        self.event_queue.insert((time, self.event_count), scheduled);
    }

    fn event(&mut self, now: u64, scheduled: ScheduledEvent) -> Event {
        match scheduled {
            ScheduledEvent::Arrival(id) => Event::Request(request_with_prefix(id, id % 11)),
            ScheduledEvent::Timer(key) => Event::Timer { key },
            ScheduledEvent::Prefilled(sent) => outcome(now, sent, AttemptStatus::Prefilled),
            ScheduledEvent::FirstToken(sent) => {
                self.schedule(now + STREAM_TIME, ScheduledEvent::Served(sent));
                let SentAttempt { id, attempt, server, sent_at } = sent;
                let elapsed = (now - sent_at) as f64;
                Event::FirstToken { id: RequestId(id), attempt, server: ServerId(server), elapsed }
            }
            ScheduledEvent::Served(sent) => outcome(now, sent, AttemptStatus::Served),
            ScheduledEvent::ProbeAnswer(server) => {
                let report = Some(LoadReport { in_flight: Some(1.0), ..LoadReport::default() });
                let (server, status) = (ServerId(server), AttemptStatus::Served);
                Event::ProbeResult { server, status, elapsed: 1.0, report }
            }
        }
    }

    fn apply(&mut self, now: u64, action: Action) {
        match action {
            Action::Send { id, server, .. } => self.send(now, id.0, server.0),
            Action::Reject { .. } => {
                self.rejections_since_send += 1;
                if self.rejections_since_send >= MAX_REJECTIONS {
                    let without_attempt = now - self.last_sent_at;
                    self.longest_without_attempt = self.longest_without_attempt.max(without_attempt);
                }
            }
            Action::Timer { at, key, .. } => self.schedule(at.ceil() as u64, ScheduledEvent::Timer(key)),
            Action::Probe { server } => self.schedule(now + 2, ScheduledEvent::ProbeAnswer(server.0)),
            _ => {}
        }
    }

    fn send(&mut self, now: u64, id: u64, server: u64) {
        let next_attempt = self.attempts.entry(id).or_default();
        let attempt = *next_attempt;
        *next_attempt += 1;
        let sent = SentAttempt { id, attempt, server, sent_at: now };
        let (role, scheduled) = match PREFILL_SERVERS.contains(&server) {
            true => (Role::Prefill, ScheduledEvent::Prefilled(sent)),
            false => (Role::Decode, ScheduledEvent::FirstToken(sent)),
        };
        let is_late = now < LATE_UNTIL && role == self.late_role;
        self.schedule(now + if is_late { LATE_TIME } else { USUAL_TIME }, scheduled);
        self.last_sent_at = now;
        self.rejections_since_send = 0;
    }
}

fn outcome(now: u64, sent: SentAttempt, status: AttemptStatus) -> Event {
    let elapsed = (now - sent.sent_at) as f64;
    Event::Outcome(attempt_outcome(sent.id, sent.attempt, sent.server, status, elapsed))
}

/// Guards against a router that rejects all requests because of old measurements of late servers: without
/// sends, it receives no new measurements.
#[test]
fn a_router_whose_servers_were_late_continues_to_send_trials() {
    for late_role in [Role::Prefill, Role::Decode] {
        for (router_count, probes) in [(3, false), (3, true), (300, false), (300, true)] {
            let limits = Limits { probes, ..settings().limits };
            let settings = Settings { router_count, limits, ..settings() };
            for seed in 1..=5 {
                for interval in [50, 200] {
                    let simulation = Simulation::run(seed, settings.clone(), late_role, interval);
                    let case = format!(
                        "{late_role:?} late, {router_count} routers, probes {probes}, seed {seed}, \
                         interval {interval}"
                    );
                    let longest = simulation.longest_without_attempt;
                    assert!(longest <= MAX_TIME_WITHOUT_ATTEMPT, "{case}: no attempt for {longest} ms");
                }
            }
        }
    }
}
