//! Tests of draining the accept queue, on paused time with scripted accepts.

use std::cell::RefCell;
use std::future::pending;
use std::io::ErrorKind;

use super::*;

/// Drains a queue that yields the given results and then nothing more, and returns the connections that were drained.
fn drained(script: Vec<io::Result<u32>>) -> Vec<u32> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let script = RefCell::new(script.into_iter());
    let mut drained = Vec::new();
    let accept = async || {
        let next = script.borrow_mut().next();
        match next {
            Some(result) => result,
            None => pending().await,
        }
    };
    runtime.expect("a runtime").block_on(drain(async || (), accept, |connection| drained.push(connection)));
    drained
}

/// Guards against losing connections that are queued behind one whose accept fails.
#[test]
fn draining_continues_after_a_failed_accept() {
    let aborted = || Err(ErrorKind::ConnectionAborted.into());
    assert_eq!(drained(vec![Ok(1), aborted(), Ok(2), aborted(), aborted(), Ok(3)]), [1, 2, 3]);
}

/// Guards against accepts that keep failing and so delay the exit of the process.
#[test]
fn draining_ends_in_time_if_accepts_keep_failing() {
    let failures = (0..10_000).map(|_| Err(ErrorKind::OutOfMemory.into())).collect();
    assert_eq!(drained(failures), [0; 0]);
}
