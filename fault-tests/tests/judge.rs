//! The judge finds what it is there to find, in records made for it.

use std::time::Duration;

use glenrail_fault_tests::clock::{Micros, MILLISECOND};
use glenrail_fault_tests::judge::{judge, Invariant};
use glenrail_fault_tests::record::{Event, Record, Stage, WorkEnd};

const LEASE_LIMIT: Duration = Duration::from_millis(500);
const REQUEST: &str = "order";
/// When the request is refused, and the end of the trial (ms).
const REFUSED_AT: Micros = 300;
const END: Micros = 5_000;

fn record(at: Micros, source: &str, event: Event) -> Record {
    Record { at: at * MILLISECOND, source: source.into(), event }
}

fn sent(repeatable: bool) -> Record {
    record(0, "n0", Event::Sent { request: REQUEST.into(), deadline: 2.0, repeatable })
}

fn refused() -> Record {
    record(REFUSED_AT, "n0", Event::Answered { request: REQUEST.into(), status: 503, complete: true })
}

fn delivered(at: Micros) -> Record {
    record(at, "r0", Event::Delivered { request: REQUEST.into(), stage: Stage::Prefill })
}

fn ended(at: Micros) -> Record {
    let end = WorkEnd::Dropped;
    record(at, "r0", Event::Ended { request: REQUEST.into(), stage: Stage::Prefill, end })
}

fn broken(mut records: Vec<Record>) -> Vec<Invariant> {
    records.sort_by_key(|record| record.at);
    let violations = judge(&records, LEASE_LIMIT, END * MILLISECOND);
    violations.into_iter().map(|violation| violation.invariant).collect()
}

/// Guards the judge's wording of a refusal: while a read of the request still runs at an engine, or begins there later, the
/// refusal is not true; once the engine has dropped it, it is.
#[test]
fn a_refusal_beside_a_read_that_still_runs_is_found() {
    let still_runs = vec![sent(false), delivered(100), refused(), ended(REFUSED_AT + 100)];
    assert_eq!(broken(still_runs), [Invariant::RejectionIsTrue]);
    let begins_later = vec![sent(false), refused(), delivered(REFUSED_AT + 50), ended(REFUSED_AT + 100)];
    assert_eq!(broken(begins_later), [Invariant::RejectionIsTrue]);
    let dropped_before = vec![sent(false), delivered(100), ended(REFUSED_AT - 1), refused()];
    assert_eq!(broken(dropped_before), []);
    let may_be_repeated = vec![sent(true), delivered(100), refused(), ended(REFUSED_AT + 100)];
    assert_eq!(broken(may_be_repeated), []);
}
