//! Capacity of decode servers in slow start: one of many routers sends no prefill whose state no decode
//! server would accept, and probes decode servers again if their reports are too old at the end of a prefill.
//! The tests use simulated time and no sockets.

mod common;

use common::*;
use glenrail_router::*;

const ROUTERS: u32 = 32;
/// Duration of a prefill (ms), which is longer than a report of a server in slow start may be used.
const PREFILL_TIME: Millis = 400.0;

/// Final result of a request.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
enum RequestResult {
    Served,
    /// The request was rejected before its first send.
    RejectedUnsent,
    /// The request was rejected after its prefill, because no decode server accepted its state.
    RejectedAfterPrefill,
}

/// Number of requests by final result.
#[derive(Debug, Default)]
struct ResultCounts {
    served: u32,
    rejected_unsent: u32,
    rejected_after_prefill: u32,
}

impl ResultCounts {
    fn count(&mut self, result: RequestResult) {
        match result {
            RequestResult::Served => self.served += 1,
            RequestResult::RejectedUnsent => self.rejected_unsent += 1,
            RequestResult::RejectedAfterPrefill => self.rejected_after_prefill += 1,
        }
    }
}

/// Returns one of many routers, which has just been notified that all decode servers have started.
fn router_with_starting_decode_servers(seed: u64) -> TestRouter {
    let started = |entry: ServerEntry| match DECODE_SERVERS.contains(&entry.server.0) {
        true => ServerEntry { started: Some(0.0), ..entry },
        false => entry,
    };
    let servers = sample_servers().into_iter().map(started).collect();
    TestRouter::seeded(seed, Settings { router_count: ROUTERS, ..settings() }, servers)
}

/// Runs one request to its end while no other request is in flight.
fn run_request(router: &mut TestRouter, id: u64) -> RequestResult {
    let actions = router.submit_to_idle(sample_request(id));
    let Some(prefill_server) = sent_to(&actions) else {
        assert!(is_rejected(&actions), "neither sent nor rejected: {actions:?}");
        return RequestResult::RejectedUnsent;
    };
    assert!(PREFILL_SERVERS.contains(&prefill_server));
    router.now += PREFILL_TIME;
    let mut actions = router.outcome(id, 0, prefill_server, AttemptStatus::Prefilled);
    loop {
        actions = router.answer_probes_as_idle(actions);
        if let Some(decode_server) = sent_to(&actions) {
            assert!(DECODE_SERVERS.contains(&decode_server));
            router.first_token(id, 1, decode_server, 20.0);
            router.outcome(id, 1, decode_server, AttemptStatus::Served);
            return RequestResult::Served;
        }
        if is_rejected(&actions) {
            return RequestResult::RejectedAfterPrefill;
        }
        let timers = timers_set(&actions);
        let (due, key) = timers.into_iter().find(|timer| timer.1 == step_timer(id)).expect("another step");
        actions = router.at_time(due).fire_timer(key);
    }
}

/// Guards against useless work at prefill servers: a prefill whose state no decode server accepts delays the
/// prefills that wait behind it.
#[test]
fn no_prefill_runs_whose_state_no_decode_server_would_take() {
    let mut results = ResultCounts::default();
    for seed in 1..=40 {
        let mut router = router_with_starting_decode_servers(seed);
        (1..=12).for_each(|id| results.count(run_request(&mut router, id)));
    }
    assert!(results.served > 0 && results.rejected_unsent > 0, "{results:?}");
    assert_eq!(results.rejected_after_prefill, 0, "{results:?}");
}

/// Guards against a rejection because the report of a decode server was fresh at the start of a prefill and
/// is too old at its end: the server is probed again, and receives the state.
#[test]
fn a_starting_decode_server_is_probed_again_at_the_end_of_a_prefill() {
    let results: Vec<RequestResult> =
        (1..=40).map(|seed| run_request(&mut router_with_starting_decode_servers(seed), 1)).collect();
    // Most routers may rely on the report of one of the three decode servers.
    assert!(results.iter().filter(|result| **result == RequestResult::Served).count() >= 30, "{results:?}");
}

/// Guards against prefills without any decode server in the list, and against a router that sends none at
/// all: it needs occasional trials to detect that decode servers are available again.
#[test]
fn without_decode_servers_only_trials_are_prefilled() {
    let mut router = router_with_starting_decode_servers(1);
    let terminated = |(id, zone): (&u64, u32)| ServerEntry {
        state: ServerState::Terminated,
        ..server_entry(*id, DECODE, zone)
    };
    router.update_servers(ListUpdate::Delta, DECODE_SERVERS.iter().zip(0..).map(terminated).collect());
    let (mut prefills, mut rejections) = (0, 0);
    for id in 1..=200 {
        router.now += 50.0;
        let actions = router.submit_to_idle(sample_request(id));
        prefills += usize::from(sent_to(&actions).is_some());
        rejections += usize::from(is_rejected(&actions));
    }
    assert!(
        (1..=4).contains(&prefills) && prefills + rejections == 200,
        "{prefills} prefills, {rejections} rejected in 10 s"
    );
}

/// Guards against rejections if most decode servers are ejected only because of resets: the fault is probably
/// elsewhere, so the panic threshold applies and prefills continue.
#[test]
fn prefills_continue_if_decode_servers_are_ejected_only_by_resets() {
    let settings = Settings { router_count: ROUTERS, ..settings() };
    let mut router = TestRouter::seeded(1, settings, sample_servers());
    let all_ejected =
        |router: &TestRouter| DECODE_SERVERS.iter().all(|id| router.inner.is_out_of_rotation(ServerId(*id)));
    let mut id = 0;
    while !all_ejected(&router) {
        id += 1;
        assert!(id < 100, "decode servers are not ejected by resets");
        router.now += 1.0;
        let prefill_server = sent_to(&router.submit_to_idle(sample_request(id))).expect("a prefill");
        let actions = router.outcome(id, 0, prefill_server, AttemptStatus::Prefilled);
        let decode_server = sent_to(&router.answer_probes_as_idle(actions)).expect("a decode server");
        router.outcome(id, 1, decode_server, AttemptStatus::Reset);
        router.disconnect(id);
    }
    let server = sent_to(&router.submit_to_idle(sample_request(1_000)));
    assert!(server.is_some_and(|id| PREFILL_SERVERS.contains(&id)));
}

/// Guards against the rejection of a request whose state a decode server could accept before its lease ends:
/// if prefills are short and credit grows fast, the credit is available after the prefill.
#[test]
fn a_prefill_runs_when_there_will_be_credit_within_its_lease() {
    let mut results = ResultCounts::default();
    for seed in 1..=20 {
        let settings = Settings { router_count: 6, ..settings() };
        let mut router = TestRouter::seeded(seed, settings, sample_servers());
        for id in 1..=60 {
            router.now += 20.0;
            run_request(&mut router, id);
        }
        let started = Some(router.now);
        let starting = |id: &u64| ServerEntry { started, ..server_entry(*id, DECODE, 0) };
        router.update_servers(ListUpdate::Delta, DECODE_SERVERS.iter().map(starting).collect());
        for id in 61..=90 {
            router.now += 20.0;
            results.count(run_request(&mut router, id));
        }
    }
    assert!(results.served >= 500, "{results:?}");
}

/// Guards against several prefills for the same credit: the credit is reserved for prefills that already run.
#[test]
fn running_prefills_use_the_credit_first() {
    for seed in 1..=40 {
        let mut router = router_with_starting_decode_servers(seed);
        let is_sent = |id: &u64| sent_to(&router.submit_to_idle(sample_request(*id))).is_some();
        let prefills = (1..=12).filter(is_sent).count();
        let servers = DECODE_SERVERS.len();
        assert!(prefills <= servers, "{prefills} prefills for {servers} decode servers");
    }
}
