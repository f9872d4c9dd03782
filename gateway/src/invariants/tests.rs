//! Tests that each check counts violations of its own invariant only.

use glenrail_request_lifecycle::request::{Input, Reply, RequestPolicy};

use super::*;

fn request(retry_safety: RetrySafety) -> Request {
    Request::new(RequestPolicy { retry_safety, max_attempts: 5, cancellation: true }, &mut Vec::new())
}

fn feed(machine: &mut Request, input: Input) {
    machine.step(input, &mut Vec::new()).expect("a valid input");
}

/// Returns the number of violations of each invariant that `act` causes.
fn violations_by(act: impl FnOnce()) -> Vec<u64> {
    let before: Vec<u64> = counts().map(|count| count.1).collect();
    act();
    counts().zip(before).map(|(after, before)| after.1 - before).collect()
}

/// Guards against a check that misses its violation, or counts it under another invariant's name.
#[test]
fn each_violation_is_counted_under_its_name() {
    let send = |server| Input::Send { server, stage: Stage::Execute, permitted: true };
    let mut machine = request(RetrySafety::AtMostOnce);
    feed(&mut machine, send(1));
    assert_eq!(violations_by(|| check_start(&machine, 0, "a")), [0, 0, 0, 0, 0, 0]);
    feed(&mut machine, send(2));
    // The state machine does not start the second attempt; the check is called as if it did, while the first is in flight.
    assert_eq!(violations_by(|| check_start(&machine, 1, "a")), [0, 1, 0, 0, 0, 0]);
    feed(&mut machine, Input::Replied { attempt: 0, reply: Reply::Reset });
    assert_eq!(violations_by(|| check_start(&machine, 1, "a")), [0, 0, 1, 0, 0, 0]);
    assert_eq!(violations_by(|| check_end(&machine, "a")), [0, 0, 0, 0, 1, 0]);
    feed(&mut machine, Input::ClientDisconnected);
    assert_eq!(violations_by(|| check_end(&machine, "a")), [0, 0, 0, 0, 0, 0]);
    assert_eq!(violations_by(|| check_start(&machine, 0, "a")), [0, 0, 0, 1, 0, 0]);
    let limit = Duration::from_millis(500);
    let unclaimed = |millis| check_lease_time(Duration::from_millis(millis), limit, "a");
    assert_eq!(violations_by(|| unclaimed(850)), [0, 0, 0, 0, 0, 0]);
    assert_eq!(violations_by(|| unclaimed(851)), [1, 0, 0, 0, 0, 0]);
}

/// Guards the count of unsafe rejections: an attempt is still in flight, or an interrupted prefill may still run.
#[test]
fn a_rejection_of_what_may_have_run_is_counted() {
    const COUNTED: [u64; 6] = [0, 0, 0, 0, 0, 1];
    let rejected = |machine: &Request| violations_by(|| check_rejection(machine, "a"));
    let send = |stage| Input::Send { server: 1, stage, permitted: true };
    let mut machine = request(RetrySafety::AtMostOnce);
    assert_eq!(rejected(&machine), [0; 6]);
    feed(&mut machine, send(Stage::Execute));
    assert_eq!(rejected(&machine), COUNTED);
    feed(&mut machine, Input::Replied { attempt: 0, reply: Reply::Rejected });
    assert_eq!(rejected(&machine), [0; 6]);
    feed(&mut machine, send(Stage::Prefill));
    feed(&mut machine, Input::TimedOut { attempt: 1 });
    assert_eq!(rejected(&machine), COUNTED);
    feed(&mut machine, Input::CloseConfirmed { attempt: 1 });
    assert_eq!(rejected(&machine), [0; 6]);
    let mut repeatable = request(RetrySafety::Idempotent);
    feed(&mut repeatable, send(Stage::Execute));
    assert_eq!(rejected(&repeatable), [0; 6]);
}
