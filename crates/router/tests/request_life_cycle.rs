//! Request life cycle: a request is always answered before its deadline, and the server list is kept up to
//! date.

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

/// Guards a request that waits for a server against standing still: its timer may fire slightly before its
/// time.
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
    assert!(sent_to(&router.submit(sample_request(1))).is_some(), "the previous list still stands");
}
