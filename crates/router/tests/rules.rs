//! Tests of the five routing rules on random valid event sequences with fixed seeds, of determinism, and of
//! invalid input.
//!
//! 1. A request receives exactly one final answer, in time.
//! 2. A request that may have been executed is repeated or rejected only if its class permits it.
//! 3. A draining or terminated server receives no new attempts.
//! 4. All routers together stay within the slow-start bound; see `slow_start` and `slow_start_trickle`.
//! 5. No state is kept beyond its lease.

mod common;

use std::collections::BTreeMap;

use common::*;
use glenrail_router::*;

/// Maximum time after its deadline at which a request is answered (ms), as in the sample settings.
const ANSWER_GRACE: Millis = 8.0;
/// Maximum lease of a state (ms), as in the sample settings.
const LEASE_LIMIT: Millis = 500.0;
/// Time for which an idempotency key is recognised (ms), as in the sample settings.
const IDEMPOTENCY_WINDOW: Millis = 2_000.0;

/// Linear congruential generator for the random decisions of the test.
struct Lcg(u64);

impl Lcg {
    fn next_below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

struct AttemptModel {
    server: u64,
    in_flight: bool,
    may_have_run: bool,
}

/// Model of a request, against which the rules are checked.
struct RequestModel {
    class: u32,
    deadline: Millis,
    answers: u32,
    is_closed: bool,
    is_streaming: bool,
    attempts: Vec<AttemptModel>,
    /// Zone and send time of the first attempt that may have been executed.
    possible_execution: Option<(u32, Millis)>,
    has_state: bool,
    idle_since: Millis,
}

impl RequestModel {
    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// Simulated servers, clients and discovery of one router. The rules are checked at each step.
struct Environment {
    router: TestRouter,
    random: Lcg,
    requests: BTreeMap<u64, RequestModel>,
    timers: Vec<(Millis, u64)>,
    /// Whether a server is listed as draining or terminated; servers that were never changed are missing.
    not_ready: BTreeMap<u64, bool>,
}

/// Returns the zone of a sample server.
fn zone_of(server: u64) -> u32 {
    (server % 10 - 1) as u32
}

fn is_decode_server(server: u64) -> bool {
    server > 20
}

impl Environment {
    fn apply(&mut self, actions: Vec<Action>) {
        let now = self.router.now;
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.on_send(id.0, server.0),
                Action::Reject { id, .. } => self.on_answer(id.0, true),
                Action::Fail { id, .. } => self.on_answer(id.0, false),
                Action::Release { id } => {
                    if let Some(request) = self.requests.get_mut(&id.0) {
                        request.has_state = request.has_state && request.has_attempt_in_flight();
                    }
                }
                Action::Timer { at, key, .. } => self.timers.push((at.max(now + 1.0), key)),
                Action::Cancel { id, attempt } => {
                    assert!((attempt as usize) < self.requests[&id.0].attempts.len());
                }
                _ => {}
            }
        }
    }

    fn on_send(&mut self, id: u64, server: u64) {
        let is_not_ready = self.not_ready.get(&server).copied().unwrap_or(false);
        assert!(!is_not_ready, "rule 3: sent to a server that is draining or terminated");
        let now = self.router.now;
        let request = self.requests.get_mut(&id).expect("a known request");
        assert!(!request.is_closed, "rule 1: sent after the final answer");
        assert!(!request.has_attempt_in_flight(), "no hedged requests are sent");
        if request.class == NON_IDEMPOTENT {
            let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run);
            assert!(!may_have_run, "rule 2: not idempotent, and may have been executed");
        }
        if let (IDEMPOTENCY_KEY, Some((zone, sent_at))) = (request.class, request.possible_execution) {
            let is_recognised = zone == zone_of(server) && now < sent_at + IDEMPOTENCY_WINDOW;
            assert!(is_recognised, "rule 2: idempotency key, scope or window");
        }
        let may_have_run = is_decode_server(server);
        request.attempts.push(AttemptModel { server, in_flight: true, may_have_run });
        if may_have_run && request.possible_execution.is_none() {
            request.possible_execution = Some((zone_of(server), now));
        }
    }

    fn on_answer(&mut self, id: u64, is_rejection: bool) {
        let now = self.router.now;
        let request = self.requests.get_mut(&id).expect("a known request");
        assert!(!request.is_closed && !request.is_streaming, "rule 1: one final answer");
        assert!(now <= request.deadline + ANSWER_GRACE, "rule 1: answered in time");
        let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run || attempt.in_flight);
        let is_unsafe_rejection = is_rejection && request.class > IDEMPOTENT && may_have_run;
        assert!(!is_unsafe_rejection, "rule 2: rejected although it may have been executed");
        request.answers += 1;
        request.is_closed = true;
    }

    fn end_attempt(&mut self, id: u64, index: usize, status: AttemptStatus) {
        let now = self.router.now;
        let request = self.requests.get_mut(&id).expect("known");
        let server = request.attempts[index].server;
        let proves_not_run = matches!(
            status,
            AttemptStatus::Rejected | AttemptStatus::ConnectFailed | AttemptStatus::Prefilled
        );
        request.attempts[index].in_flight = false;
        request.attempts[index].may_have_run = is_decode_server(server) && !proves_not_run;
        if proves_not_run && !request.attempts.iter().any(|attempt| attempt.may_have_run) {
            request.possible_execution = None;
        }
        request.idle_since = now;
        request.has_state |= status == AttemptStatus::Prefilled;
        if request.is_streaming || status == AttemptStatus::Served {
            request.answers += u32::from(!request.is_closed);
            request.is_closed = true;
            request.has_state = false;
        }
        let closed = request.is_closed;
        let status_detail =
            if status == AttemptStatus::Rejected { self.random.next_below(2) as f64 } else { 700.0 };
        let memory_share = Some(self.random.next_below(120) as f64 / 100.0);
        let outcome = AttemptOutcome {
            id: RequestId(id),
            attempt: index as u32,
            server: ServerId(server),
            status,
            elapsed: 30.0,
            status_detail,
            closed,
            delivered: status.may_have_arrived(),
            report: Some(LoadReport { memory_share, ..LoadReport::default() }),
        };
        let actions = self.router.handle(Event::Outcome(outcome));
        self.apply(actions);
    }

    /// Advances the attempt in flight of a request by one step: a failure, the end of its stage, or its first
    /// token.
    fn progress(&mut self, id: u64) {
        let request = &self.requests[&id];
        let Some(index) = request.attempts.iter().position(|attempt| attempt.in_flight) else { return };
        let server = request.attempts[index].server;
        let (is_closed, is_streaming) = (request.is_closed, request.is_streaming);
        if is_streaming {
            let breaks = self.random.next_below(8) == 0;
            let status = if breaks { AttemptStatus::Reset } else { AttemptStatus::Served };
            return self.end_attempt(id, index, status);
        }
        let faults = [
            AttemptStatus::Error,
            AttemptStatus::Rejected,
            AttemptStatus::Reset,
            AttemptStatus::ConnectFailed,
            AttemptStatus::Timeout,
            AttemptStatus::Cancelled,
            AttemptStatus::MalformedResponse,
        ];
        if self.random.next_below(3) == 0 {
            let status = faults[self.random.next_below(7) as usize];
            self.end_attempt(id, index, status);
        } else if !is_decode_server(server) {
            self.end_attempt(id, index, AttemptStatus::Prefilled);
        } else if !is_closed {
            let request = self.requests.get_mut(&id).expect("known");
            request.is_streaming = true;
            request.has_state = false;
            let actions = self.router.first_token(id, index as u32, server, 20.0);
            self.apply(actions);
        }
    }

    /// Changes the listed state of a random server.
    fn change_list(&mut self) {
        let mut entry = sample_servers()[self.random.next_below(6) as usize].clone();
        let states = [ServerState::Ready, ServerState::Draining, ServerState::Terminated];
        entry.state = states[self.random.next_below(3) as usize];
        entry.started = (self.random.next_below(2) == 0).then_some(self.router.now);
        self.not_ready.insert(entry.server.0, entry.state != ServerState::Ready);
        let actions = self.router.update_servers(ListUpdate::Delta, vec![entry]);
        self.apply(actions);
    }

    fn check(&self) {
        let now = self.router.now;
        for (id, request) in &self.requests {
            let is_answered = request.is_closed || request.is_streaming;
            assert!(is_answered || now <= request.deadline + ANSWER_GRACE, "rule 1: {id} not answered");
            let is_leased = request.has_state && !request.has_attempt_in_flight();
            assert!(!(is_leased && now > request.idle_since + LEASE_LIMIT), "rule 5: {id} beyond its lease");
        }
    }

    /// Runs for nine seconds, and returns the number of requests that received exactly one answer.
    fn run(seed: u64) -> u32 {
        let mut router = TestRouter { inner: Router::new(seed, settings()), now: 0.0 };
        let actions = router.update_servers(ListUpdate::Full, sample_servers());
        let mut environment = Environment {
            router,
            random: Lcg(seed),
            requests: BTreeMap::new(),
            timers: vec![],
            not_ready: BTreeMap::new(),
        };
        environment.apply(actions);
        for step in 1..9_000u64 {
            environment.step(step);
        }
        environment.requests.values().filter(|request| request.answers == 1).count() as u32
    }

    /// Simulates one millisecond.
    fn step(&mut self, step: u64) {
        self.router.now = step as f64;
        let now = self.router.now;
        let due: Vec<u64> = self.timers.iter().filter(|timer| timer.0 <= now).map(|timer| timer.1).collect();
        self.timers.retain(|timer| timer.0 > now);
        for key in due {
            let actions = self.router.fire_timer(key);
            self.apply(actions);
        }
        if step < 4_000 && self.random.next_below(20) == 0 {
            self.submit_random_request(step);
        }
        let in_flight = self.requests.iter().filter(|(_, request)| request.has_attempt_in_flight());
        let in_flight: Vec<u64> = in_flight.map(|(id, _)| *id).collect();
        if !in_flight.is_empty() && self.random.next_below(4) == 0 {
            let id = in_flight[self.random.next_below(in_flight.len() as u64) as usize];
            self.progress(id);
        }
        match self.random.next_below(400) {
            0 => self.change_list(),
            1 => self.disconnect_client(),
            _ => {}
        }
        self.check();
    }

    fn submit_random_request(&mut self, id: u64) {
        let class = self.random.next_below(3) as u32;
        let client_timeout = 200.0 + self.random.next_below(3_000) as f64;
        let request = RequestModel {
            class,
            deadline: self.router.now + client_timeout,
            answers: 0,
            is_closed: false,
            is_streaming: false,
            attempts: vec![],
            possible_execution: None,
            has_state: false,
            idle_since: self.router.now,
        };
        self.requests.insert(id, request);
        let prefix = Some(self.random.next_below(5));
        let actions = self.router.submit(Request { class, client_timeout, prefix, ..sample_request(id) });
        self.apply(actions);
    }

    /// The client of the oldest unanswered request disconnects.
    fn disconnect_client(&mut self) {
        let mut requests = self.requests.iter_mut();
        let unanswered = requests.find(|(_, request)| !request.is_closed && !request.is_streaming);
        let Some((id, request)) = unanswered else { return };
        request.is_closed = true;
        let actions = self.router.disconnect(*id);
        self.apply(actions);
    }
}

#[test]
fn the_rules_hold_on_random_event_orders() {
    for seed in 1..=24 {
        assert!(Environment::run(seed) > 50, "most requests receive exactly one answer");
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run_sequence = || {
        let mut router = TestRouter::with_defaults();
        (1..200).map(|id| router.submit(request_with_prefix(id, id % 9))).collect::<Vec<_>>()
    };
    assert_eq!(run_sequence(), run_sequence());
}

#[test]
fn draining_and_terminated_servers_get_nothing() {
    for state in [ServerState::Draining, ServerState::Terminated] {
        let mut router = TestRouter::with_defaults();
        let preferred = router.prefill_server_for(sample_request(1));
        router.outcome(1, 0, preferred, AttemptStatus::Prefilled);
        let not_ready = ServerEntry { state, ..server_entry(preferred, PREFILL, zone_of(preferred)) };
        router.update_servers(ListUpdate::Delta, vec![not_ready]);
        assert_ne!(router.prefill_server_for(sample_request(2)), preferred);
    }
}

#[test]
fn invalid_input_is_tolerated() {
    let mut invalid = settings();
    invalid.router_count = 0;
    invalid.tick_interval = f64::NAN;
    invalid.rules.lease_limit = -1.0;
    invalid.rules.slow_start_window = f64::INFINITY;
    invalid.kinds.truncate(1);
    invalid.limits.max_attempts = 0;
    for settings in [invalid, settings()] {
        let mut router = TestRouter::new(settings, sample_servers());
        router.fire_timer(u64::MAX);
        router.disconnect(99);
        router.outcome(99, 7, 5, AttemptStatus::Served);
        router.first_token(1, 9, 1, f64::NAN);
        router.handle(Event::Gossip { from: 9, bytes: vec![1, 2] });
        router.report_memory(77, f64::NAN);
        let invalid_request = Request {
            prompt_tokens: f64::NAN,
            max_tokens: -5.0,
            client_timeout: f64::NEG_INFINITY,
            ..sample_request(1)
        };
        router.submit(invalid_request);
        router.submit(Request { class: 44, ..sample_request(2) });
        let actions = router.submit(sample_request(3));
        router.submit(sample_request(3));
        if let Some(server) = sent_to(&actions) {
            router.outcome(3, 0, server, AttemptStatus::Prefilled);
            router.outcome(3, 0, server, AttemptStatus::Prefilled);
        }
        router.at_time(f64::NAN).submit(sample_request(4));
        let weightless =
            ServerEntry { weight: 0.0, kind: 9, started: Some(f64::NAN), ..server_entry(50, PREFILL, 0) };
        router.update_servers(ListUpdate::Delta, vec![weightless]);
        router.update_servers(ListUpdate::Full, vec![]);
    }
}
