//! Request life cycle: a request is always answered before its deadline, and the subscription to the server
//! list is renewed.

mod common;

use common::*;
use glenrail_router::*;

#[test]
fn without_a_ready_server_a_request_is_answered_before_its_deadline() {
    let mut router = TestRouter::new(settings(), vec![]);
    let mut timers = timers_set(&router.submit(sample_request(1)));
    assert!(timers.iter().any(|(due, _)| *due <= 4_000.0 - 1.0));
    let mut answers = 0;
    for step in 1..4_000 {
        router.at_time(f64::from(step));
        let due: Vec<u64> =
            timers.iter().filter(|timer| timer.0 <= router.now).map(|timer| timer.1).collect();
        timers.retain(|timer| timer.0 > router.now);
        for key in due.into_iter().filter(|key| *key != HOUSEKEEPING_TIMER) {
            let actions = router.fire_timer(key);
            answers += u32::from(is_rejected(&actions)) + u32::from(is_failed(&actions));
            timers.extend(timers_set(&actions));
        }
    }
    assert_eq!(answers, 1);
}

/// Guards against a request that waits for a server and receives no further step, because its timer fires
/// slightly early.
#[test]
fn a_step_timer_that_fires_slightly_early_is_not_lost() {
    let mut router = TestRouter::new(settings(), vec![server_entry(11, PREFILL, 0)]);
    assert_eq!(router.prefill_server_for(sample_request(1)), 11);
    let actions = router.outcome(1, 0, 11, AttemptStatus::Prefilled);
    let next_step =
        |actions: &[Action]| timers_set(actions).into_iter().find(|(_, key)| *key == step_timer(1));
    let (due, key) = next_step(&actions).expect("a timer for its next step");
    let actions = router.at_time(due - 1e-7).fire_timer(key);
    assert!(next_step(&actions).is_some(), "{actions:?}");
}

#[test]
fn discovery_subscribes_at_the_start_and_after_a_failure() {
    let settings = Settings { discovery: Discovery::Subscribe, ..settings() };
    let mut router = TestRouter { inner: Router::new(1, settings), now: 0.0 };
    let subscribe = Action::Subscribe { on: true };
    let first = router.update_servers(ListUpdate::Cached, sample_servers());
    assert!(first.contains(&subscribe));
    router.update_servers(ListUpdate::Failed, vec![]);
    let mut repeated = 0;
    for tick in 1..60 {
        router.at_time(f64::from(tick) * 100.0);
        repeated += router.run_housekeeping().iter().filter(|action| **action == subscribe).count();
    }
    assert_eq!(repeated, 1);
    assert!(sent_to(&router.submit(sample_request(1))).is_some(), "the previous list remains in use");
}

/// Guards against a request that receives no further step until its deadline, because its timer fires while
/// an attempt is in flight, and the attempt then fails while there is no other server.
#[test]
fn a_request_whose_timer_fired_during_an_attempt_takes_its_next_step() {
    let servers = vec![server_entry(11, PREFILL, 0), server_entry(21, DECODE, 0)];
    let mut router = TestRouter::new(Settings { router_count: 200, ..settings() }, servers);
    let waiting = router.submit(sample_request(1));
    assert_eq!(sent_to(&waiting), None, "its server is probed first");
    assert_eq!(probed_servers(&waiting), [11]);
    assert!(timers_set(&waiting).contains(&(20.0, step_timer(1))));
    assert_eq!(sent_to(&router.at_time(19.0).report_load(11, 0.0)), Some(11));
    router.at_time(20.0).fire_timer(step_timer(1));
    let failed = router.at_time(25.0).outcome(1, 0, 11, AttemptStatus::ConnectFailed);
    assert!(sent_to(&failed).is_none() && !is_rejected(&failed) && !is_failed(&failed), "{failed:?}");
    assert!(timers_set(&failed).iter().any(|(_, key)| *key == step_timer(1)), "{failed:?}");
}
