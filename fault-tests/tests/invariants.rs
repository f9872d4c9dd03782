//! Checks of the invariants on constructed records: violations are found, and correct behavior is not reported.

use std::time::Duration;

use glenrail_fault_tests::clock::{Micros, MILLISECOND};
use glenrail_fault_tests::invariants::{check_invariants, Invariant};
use glenrail_fault_tests::record::{Event, Record, Stage, WorkEnd};

const LEASE_LIMIT: Duration = Duration::from_millis(500);
const REQUEST: &str = "order";
/// When the request is rejected, and the end of the run (ms).
const REJECTED_AT: Micros = 300;
const END: Micros = 5_000;

fn record(at: Micros, source: &str, event: Event) -> Record {
    Record { at: at * MILLISECOND, source: source.into(), event }
}

fn sent(repeatable: bool) -> Record {
    record(0, "n0", Event::Sent { request: REQUEST.into(), deadline: 2.0, repeatable })
}

fn rejection() -> Record {
    record(REJECTED_AT, "n0", Event::Answered { request: REQUEST.into(), status: 503, complete: true })
}

fn delivered(at: Micros) -> Record {
    record(at, "r0", Event::Delivered { request: REQUEST.into(), stage: Stage::Prefill })
}

fn ended(at: Micros) -> Record {
    let end = WorkEnd::Dropped;
    record(at, "r0", Event::Ended { request: REQUEST.into(), stage: Stage::Prefill, end })
}

fn broken_invariants(mut records: Vec<Record>) -> Vec<Invariant> {
    records.sort_by_key(|record| record.at);
    let violations = check_invariants(&records, LEASE_LIMIT, END * MILLISECOND);
    violations.into_iter().map(|violation| violation.invariant).collect()
}

/// Guards the check of rejections: a rejection is inaccurate while a prefill of the request is in progress at an engine or begins
/// there later, and accurate once the engine has cancelled it.
#[test]
fn a_rejection_during_a_prefill_in_progress_is_found() {
    let still_runs = vec![sent(false), delivered(100), rejection(), ended(REJECTED_AT + 100)];
    assert_eq!(broken_invariants(still_runs), [Invariant::RejectionIsTrue]);
    let begins_later = vec![sent(false), rejection(), delivered(REJECTED_AT + 50), ended(REJECTED_AT + 100)];
    assert_eq!(broken_invariants(begins_later), [Invariant::RejectionIsTrue]);
    let dropped_before = vec![sent(false), delivered(100), ended(REJECTED_AT - 1), rejection()];
    assert_eq!(broken_invariants(dropped_before), []);
    let may_be_repeated = vec![sent(true), delivered(100), rejection(), ended(REJECTED_AT + 100)];
    assert_eq!(broken_invariants(may_be_repeated), []);
}

fn first_byte(at: Micros, link: &str, connection: u64) -> Record {
    record(at, link, Event::FirstByte { request: REQUEST.into(), connection })
}

fn closed(at: Micros, link: &str, connection: u64) -> Record {
    record(at, link, Event::Closed { request: REQUEST.into(), connection })
}

fn leased(at: Micros) -> Record {
    record(at, "r0", Event::StateLeased { request: REQUEST.into() })
}

fn claimed(at: Micros, server: &str) -> Record {
    record(at, server, Event::StateClaimed { request: REQUEST.into() })
}

fn unanswered(at: Micros) -> Record {
    record(at, "n0", Event::Unanswered { request: REQUEST.into() })
}

fn terminated(at: Micros) -> Record {
    record(at, "n0", Event::GatewayTerminated)
}

fn process_ended(at: Micros, killed: bool) -> Record {
    record(at, "n0", Event::GatewayEnded { killed })
}

/// When SIGTERM is sent, and when the platform kills the process (ms).
const TERMINATED_AT: Micros = 100;
const KILLED_AT: Micros = TERMINATED_AT + 3_700;

/// Guards against missing a planted fault: a draining gateway closes its connections at once, with requests on them.
#[test]
fn a_drain_that_closes_at_once_is_found() {
    let read_before = vec![sent(true), terminated(TERMINATED_AT), unanswered(TERMINATED_AT + 1)];
    assert_eq!(broken_invariants(read_before), [Invariant::Answered]);
    let ended = process_ended(TERMINATED_AT + 2, false);
    let before_the_exit = vec![sent(true), terminated(TERMINATED_AT), unanswered(TERMINATED_AT + 1), ended];
    assert_eq!(broken_invariants(before_the_exit), [Invariant::Answered]);
    let process_killed = process_ended(KILLED_AT, true);
    let long_before_the_kill =
        vec![sent(true), terminated(TERMINATED_AT), unanswered(TERMINATED_AT + 1), process_killed.clone()];
    assert_eq!(broken_invariants(long_before_the_kill), [Invariant::Answered]);
    // A request that was sent before SIGTERM and is unanswered at the kill is lost to the kill.
    let mut waits_longer = sent(true);
    waits_longer.event = Event::Sent { request: REQUEST.into(), deadline: 9.0, repeatable: true };
    let lost_to_the_kill =
        vec![waits_longer, terminated(TERMINATED_AT), unanswered(KILLED_AT), process_killed];
    assert_eq!(broken_invariants(lost_to_the_kill), []);
}

/// Guards against missing a planted fault: a draining gateway leaves requests unanswered that arrive later than 0.7 s after
/// SIGTERM.
#[test]
fn a_drain_that_leaves_late_requests_unanswered_is_found() {
    let sent_at = |at: Micros| {
        record(at, "n0", Event::Sent { request: REQUEST.into(), deadline: 9.0, repeatable: true })
    };
    let late = TERMINATED_AT + 701;
    let process_killed = process_ended(KILLED_AT, true);
    let closed_by_the_kill =
        vec![terminated(TERMINATED_AT), sent_at(late), unanswered(KILLED_AT), process_killed.clone()];
    assert_eq!(broken_invariants(closed_by_the_kill), [Invariant::Answered]);
    let with_no_end_at_all = vec![terminated(TERMINATED_AT), sent_at(late), process_killed.clone()];
    assert_eq!(broken_invariants(with_no_end_at_all), [Invariant::Answered]);
    let closed_before = vec![terminated(TERMINATED_AT), sent_at(late), unanswered(late + 50), process_killed];
    assert_eq!(broken_invariants(closed_before), [Invariant::Answered]);
}

/// Guards against missing a planted fault: a connection with an open request is evicted in favor of another client's.
#[test]
fn an_eviction_of_an_open_request_is_found() {
    let while_it_is_at_a_server = vec![
        sent(true),
        first_byte(100, "n0-r0", 7),
        delivered(101),
        unanswered(120),
        closed(121, "n0-r0", 7),
        ended(122),
    ];
    assert_eq!(broken_invariants(while_it_is_at_a_server), [Invariant::Answered]);
    let before_it_is_sent = vec![sent(true), unanswered(20)];
    assert_eq!(broken_invariants(before_it_is_sent), [Invariant::Answered]);
    let unread = vec![sent(true), record(20, "n0", Event::ClosedUnread { request: REQUEST.into() })];
    assert_eq!(
        broken_invariants(unread),
        [],
        "a close that crosses a request is not an eviction of the request"
    );
    let forwarded_as_unread = vec![
        sent(true),
        first_byte(10, "n0-r0", 7),
        record(20, "n0", Event::ClosedUnread { request: REQUEST.into() }),
        closed(21, "n0-r0", 7),
    ];
    assert_eq!(
        broken_invariants(forwarded_as_unread),
        [Invariant::Answered],
        "the request was read, because an attempt was begun"
    );
}

/// Guards against missing a planted fault: a reset of a server's connection is taken for the end of its work. The request is
/// retried and rejected while the first server, which was paused, continues, and the state that it leases remains.
#[test]
fn a_reset_taken_for_the_end_of_the_work_is_found() {
    let rejected = vec![
        sent(false),
        first_byte(10, "n0-r0", 7),
        delivered(11),
        closed(50, "n0-r0", 7),
        record(60, "r0", Event::Released { request: REQUEST.into() }),
        rejection(),
        leased(400),
        record(401, "r0", ended(401).event),
    ];
    assert_eq!(broken_invariants(rejected), [Invariant::RejectionIsTrue, Invariant::LeaseEndsInTime]);
    let released_again = vec![
        sent(true),
        first_byte(10, "n0-r0", 7),
        delivered(11),
        closed(50, "n0-r0", 7),
        record(60, "r0", Event::Released { request: REQUEST.into() }),
        rejection(),
        leased(400),
        ended(401),
        record(900, "r1", Event::Released { request: REQUEST.into() }),
    ];
    assert_eq!(broken_invariants(released_again), []);
}

/// Guards against missing a planted fault: a decode attempt that was written on a stalled connection is taken as delivered.
#[test]
fn an_unconfirmed_delivery_taken_as_delivered_is_found() {
    let unconfirmed = vec![
        sent(true),
        delivered(10),
        leased(40),
        ended(41),
        first_byte(60, "n0-w0", 3),
        closed(1_500, "n0-w0", 3),
        record(1_510, "r0", Event::Released { request: REQUEST.into() }),
        record(1_600, "n0", Event::Answered { request: REQUEST.into(), status: 502, complete: true }),
    ];
    assert_eq!(broken_invariants(unconfirmed), [Invariant::LeaseEndsInTime]);
    let arrived = record(62, "w0", Event::Delivered { request: REQUEST.into(), stage: Stage::Decode });
    let arrived_in_time = vec![
        sent(true),
        delivered(10),
        leased(40),
        ended(41),
        first_byte(60, "n0-w0", 3),
        arrived,
        claimed(1_500, "w0"),
        record(1_600, "n0", Event::Answered { request: REQUEST.into(), status: 200, complete: true }),
    ];
    assert_eq!(broken_invariants(arrived_in_time), []);
}

/// Guards against missing a planted fault: an unconfirmed attempt arrives late, after its request was retried elsewhere.
#[test]
fn a_second_run_of_what_may_not_be_repeated_is_found() {
    let twice = vec![sent(false), leased(40), claimed(60, "w0"), leased(80), claimed(100, "w1")];
    let answered =
        record(200, "n0", Event::Answered { request: REQUEST.into(), status: 200, complete: true });
    assert_eq!(broken_invariants([twice, vec![answered]].concat()), [Invariant::AtMostOnce]);
}

/// Guards clients that write slowly: a gateway that closes the connection of a partly received request within the grace period is
/// found, while one that waits or was sent SIGTERM is not.
#[test]
fn a_begun_request_that_is_cut_before_its_time_is_found() {
    let client = "127.0.0.1:4000".parse().expect("the address is valid");
    let begun =
        || record(100, "n0", Event::RequestBegun { request: REQUEST.into(), client, connected_at: 0 });
    let cut = |at| record(at, "n0", Event::ClosedPartlyRead { request: REQUEST.into() });
    assert_eq!(broken_invariants(vec![begun(), cut(100 + 119)]), [Invariant::Answered]);
    assert_eq!(broken_invariants(vec![begun(), cut(100 + 120)]), []);
    let terminated = record(90, "n0", Event::GatewayTerminated);
    let process_ended = record(400, "n0", Event::GatewayEnded { killed: false });
    assert_eq!(broken_invariants(vec![begun(), cut(150), terminated, process_ended]), []);
}
