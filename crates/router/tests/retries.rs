//! Retries: a request that may have been executed is repeated only if its class permits it.

mod common;

use common::*;
use glenrail_router::*;

/// Returns the zone of a sample server, which is the last digit of its identifier minus 1.
fn zone_of(server: u64) -> u32 {
    (server % 10 - 1) as u32
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_failed_not_rejected_or_retried() {
    for status in [AttemptStatus::Error, AttemptStatus::Reset, AttemptStatus::Timeout] {
        let mut router = TestRouter::with_defaults();
        let prefill_server =
            router.prefill_server_for(Request { class: NON_IDEMPOTENT, ..sample_request(1) });
        let decode_server = router.decode_server_after(1, prefill_server);
        let actions = router.outcome(1, 1, decode_server, status);
        assert_eq!(sent_to(&actions), None);
        assert!(!is_rejected(&actions));
        // The request fails immediately, and its state is released, because it must not be fetched any more.
        assert!(is_failed(&actions) && is_released(&actions), "{actions:?}");
    }
}

#[test]
fn a_non_idempotent_request_that_was_rejected_goes_to_another_decode_server() {
    let mut router = TestRouter::with_defaults();
    let prefill_server = router.prefill_server_for(Request { class: NON_IDEMPOTENT, ..sample_request(1) });
    let decode_server = router.decode_server_after(1, prefill_server);
    let actions = router.outcome(1, 1, decode_server, AttemptStatus::Rejected);
    assert_ne!(sent_to(&actions).expect("another decode server"), decode_server);
}

/// Guards against the failure of a non-idempotent request that never reached a decode server. Its client may
/// retry only after a rejection.
#[test]
fn a_non_idempotent_request_that_never_connected_is_rejected_not_failed() {
    let mut router = TestRouter::with_defaults();
    let prefill_server = router.prefill_server_for(Request { class: NON_IDEMPOTENT, ..sample_request(1) });
    let mut target = sent_to(&router.outcome(1, 0, prefill_server, AttemptStatus::Prefilled));
    for attempt in 1..3 {
        let decode_server = target.expect("a decode server");
        router.now += 30.0;
        target = sent_to(&router.outcome(1, attempt, decode_server, AttemptStatus::ConnectFailed));
    }
    // The third decode server is used as well. After it the request is rejected, not failed.
    let third = target.expect("a third decode server");
    router.now += 30.0;
    let mut actions = router.outcome(1, 3, third, AttemptStatus::ConnectFailed);
    actions.extend(router.at_time(3_999.0).fire_timer(deadline_timer(1)));
    assert!(is_rejected(&actions) && !is_failed(&actions), "{actions:?}");
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_in_its_zone() {
    let mut router = TestRouter::with_defaults();
    let prefill_server = router.prefill_server_for(Request { class: IDEMPOTENCY_KEY, ..sample_request(1) });
    let decode_server = router.decode_server_after(1, prefill_server);
    let retry = sent_to(&router.outcome(1, 1, decode_server, AttemptStatus::Error));
    assert!(retry.is_none_or(|server| zone_of(server) == zone_of(decode_server)));
}

/// Guards against a client that waits until its deadline for a retry that the class no longer permits.
#[test]
fn a_request_whose_idempotency_window_has_passed_is_answered_at_once() {
    let mut router = TestRouter::with_defaults();
    let prefill_server = router.prefill_server_for(Request { class: IDEMPOTENCY_KEY, ..sample_request(1) });
    let decode_server = router.decode_server_after(1, prefill_server);
    router.now += 2_001.0;
    let actions = router.outcome(1, 1, decode_server, AttemptStatus::Reset);
    assert!(is_failed(&actions) && is_released(&actions), "{actions:?}");
}

#[test]
fn a_failed_connection_does_not_use_up_every_attempt_at_once() {
    let servers = vec![server_entry(11, PREFILL, 0), server_entry(21, DECODE, 0)];
    let mut router = TestRouter::new(settings(), servers);
    assert_eq!(router.prefill_server_for(sample_request(1)), 11);
    let mut attempts = 1;
    while sent_to(&router.outcome(1, attempts - 1, 11, AttemptStatus::ConnectFailed)).is_some() {
        attempts += 1;
    }
    assert_eq!(attempts, 1);
}
