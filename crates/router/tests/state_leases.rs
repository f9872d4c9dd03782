//! State leases: a prefilled state is offered to other decode servers, released when it is lost, and never
//! kept beyond its lease.

mod common;

use common::*;
use glenrail_router::*;

#[test]
fn a_leased_state_is_tried_at_another_decode_server_and_prefilled_again_only_when_lost() {
    let mut router = TestRouter::with_defaults();
    let prefill_server = router.prefill_server_for(sample_request(1));
    let first = router.decode_server_after(1, prefill_server);
    let second = sent_to(&router.outcome(1, 1, first, AttemptStatus::Rejected)).expect("another server");
    assert!(DECODE_SERVERS.contains(&second) && second != first);
    let actions = router.outcome_with(1, 2, second, AttemptStatus::Rejected, 1.0, None);
    assert!(
        is_released(&actions),
        "the prefill server may still hold the state and only be unreachable from the decode server"
    );
    assert!(PREFILL_SERVERS.contains(&sent_to(&actions).expect("a new prefill")));
}

/// Guards against a decode attempt without a state after a malformed stream: the decode server has consumed
/// the state, so it is released and the prompt is prefilled again.
#[test]
fn a_request_whose_stream_was_malformed_is_prefilled_again() {
    let mut router = TestRouter::with_defaults();
    let prefill_server = router.prefill_server_for(sample_request(1));
    let decode_server = router.decode_server_after(1, prefill_server);
    let actions = router.outcome(1, 1, decode_server, AttemptStatus::MalformedResponse);
    assert!(is_released(&actions));
    assert!(PREFILL_SERVERS.contains(&sent_to(&actions).expect("a retry")));
}

#[test]
fn the_state_of_a_closed_request_is_released() {
    let mut router = TestRouter::with_defaults();
    let prefill_server = router.prefill_server_for(sample_request(1));
    router.disconnect(1);
    assert!(is_released(&router.outcome(1, 0, prefill_server, AttemptStatus::Prefilled)));
}

/// Guards against a state that is kept beyond its lease: an attempt that did not connect was never sent, so
/// the lease runs from the end of the prefill. This occurs when engines are unreachable, with a prefill, two
/// connect time-outs of 250 ms, and then a delay.
#[test]
fn the_lease_runs_on_while_no_connection_is_established() {
    assert_lease_runs_on(AttemptStatus::ConnectFailed);
}

/// Guards against the same fault for an attempt that was cancelled while it connected, which costs no retry
/// and does not stop the lease.
#[test]
fn an_attempt_that_was_not_sent_costs_no_retry_and_does_not_stop_the_lease() {
    assert_lease_runs_on(AttemptStatus::NotSent);
}

/// Asserts that a state is released after two decode attempts that end with this status, 250 ms and 460 ms
/// after its prefill.
fn assert_lease_runs_on(status: AttemptStatus) {
    let decode_servers = [21, 22, 23].map(|id| server_entry(id, DECODE, 0));
    let servers = [server_entry(11, PREFILL, 0)].into_iter().chain(decode_servers).collect();
    let mut router = TestRouter::new(settings(), servers);
    assert_eq!(router.prefill_server_for(sample_request(1)), 11);
    let first = router.decode_server_after(1, 11);
    let prefilled_at = router.now;
    router.now = prefilled_at + 250.0;
    let second = sent_to(&router.outcome(1, 1, first, status)).expect("another decode server");
    router.now = prefilled_at + 460.0;
    let actions = router.outcome(1, 2, second, status);
    // The state is released, and the prompt is prefilled again.
    assert!(actions.contains(&Action::Release { id: RequestId(1) }), "{actions:?}");
    assert_eq!(sent_to(&actions), Some(11));
}
