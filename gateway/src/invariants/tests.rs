use glenrail_request_lifecycle::request::{Input, Reply, RequestPolicy};

use super::*;

fn request(repeat: RetrySafety) -> Request {
    Request::new(RequestPolicy { retry_safety: repeat, max_attempts: 5, cancellation: true }, &mut Vec::new())
}

fn feed(machine: &mut Request, input: Input) {
    machine.step(input, &mut Vec::new()).expect("it may come");
}

fn counts_after(act: impl FnOnce()) -> Vec<u64> {
    let before: Vec<u64> = counts().map(|count| count.1).collect();
    act();
    counts().zip(before).map(|(after, before)| after.1 - before).collect()
}

/// Guards the checks themselves: each finds what it is there for, and nothing else.
#[test]
fn each_break_is_counted_under_its_name() {
    let send = |server| Input::Send { server, stage: Stage::Execute, permitted: true };
    let mut one = request(RetrySafety::AtMostOnce);
    feed(&mut one, send(1));
    assert_eq!(counts_after(|| check_start(&one, 0, "a")), [0, 0, 0, 0, 0]);
    feed(&mut one, send(2));
    // The machine keeps the second back; as if it did not, the first counts as open beside it.
    assert_eq!(counts_after(|| check_start(&one, 1, "a")), [0, 1, 0, 0, 0]);
    feed(&mut one, Input::Replied { attempt: 0, reply: Reply::Reset });
    assert_eq!(counts_after(|| check_start(&one, 1, "a")), [0, 0, 1, 0, 0]);
    assert_eq!(counts_after(|| check_end(&one, "a")), [0, 0, 0, 0, 1]);
    feed(&mut one, Input::ClientDisconnected);
    assert_eq!(counts_after(|| check_end(&one, "a")), [0, 0, 0, 0, 0]);
    assert_eq!(counts_after(|| check_start(&one, 0, "a")), [0, 0, 0, 1, 0]);
    let limit = Duration::from_millis(500);
    assert_eq!(counts_after(|| check_held(Duration::from_millis(850), limit, "a")), [0, 0, 0, 0, 0]);
    assert_eq!(counts_after(|| check_held(Duration::from_millis(851), limit, "a")), [1, 0, 0, 0, 0]);
}
