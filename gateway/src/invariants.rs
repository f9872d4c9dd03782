//! Runtime checks of the invariants of every request. Each violation is counted, and logged with its request.
//!
//! Other code enforces the invariants; these checks detect an error in it. The counters are thread-local, because a gateway
//! runs on one thread.

#![deny(missing_docs)]

use std::cell::Cell;
use std::time::Duration;

use glenrail_request_lifecycle::request::{Attempt, Request, ResponseState, RetrySafety, Stage};

/// Time by which a lease may exceed the configured limit, under the platform's rules.
const LEASE_LIMIT_TOLERANCE: Duration = Duration::from_millis(350);

/// Maximum age of the remaining time that a request states when its first byte is written; the platform allows 150 ms.
pub const MAX_STATED_DEADLINE_AGE: Duration = Duration::from_millis(100);

/// An invariant of every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A lease is claimed or released within the lease limit.
    LeaseInTime,
    /// No attempt starts while another attempt of the same request is in flight.
    SingleAttempt,
    /// An at-most-once request is not sent again once it may have run.
    AtMostOnce,
    /// No attempt starts for a request that was answered or whose client has disconnected.
    NoAttemptAfterEnd,
    /// An admitted request is answered before it finishes.
    Answered,
    /// An at-most-once request is rejected only if no attempt of it can have run or may still run.
    SafeRejection,
}

impl Invariant {
    /// All invariants, in the order of the status report for operators.
    pub const ALL: [Invariant; 6] = [
        Invariant::LeaseInTime,
        Invariant::SingleAttempt,
        Invariant::AtMostOnce,
        Invariant::NoAttemptAfterEnd,
        Invariant::Answered,
        Invariant::SafeRejection,
    ];

    /// Returns the invariant's name in the status report for operators.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::LeaseInTime => "held_in_time",
            Invariant::SingleAttempt => "one_attempt",
            Invariant::AtMostOnce => "runs_once",
            Invariant::NoAttemptAfterEnd => "nothing_after_end",
            Invariant::Answered => "answered",
            Invariant::SafeRejection => "rejection_is_true",
        }
    }
}

thread_local! {
    static VIOLATIONS: [Cell<u64>; Invariant::ALL.len()] = const { [const { Cell::new(0) }; Invariant::ALL.len()] };
}

/// Returns the number of violations of an invariant since the process started.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS.with(|counts| counts[invariant as usize].get())
}

/// Counts and logs a violation if `holds` is false.
pub fn check(holds: bool, invariant: Invariant, request: &str, detail: impl FnOnce() -> String) {
    if holds {
        return;
    }
    VIOLATIONS.with(|counts| {
        let count = &counts[invariant as usize];
        count.set(count.get() + 1);
    });
    crate::log!("invariant broken: {}: request {request}: {}", invariant.name(), detail());
}

/// Checks the invariants of an attempt that is about to start.
pub fn check_start(machine: &Request, attempt: usize, request: &str) {
    let others = || machine.attempts().iter().enumerate().filter(move |(other, _)| *other != attempt);
    let is_concurrent = others().any(|(_, other)| other.is_open());
    check(!is_concurrent, Invariant::SingleAttempt, request, || {
        format!("attempt {attempt} starts while another is in flight")
    });
    let is_repeated = machine.policy().retry_safety == RetrySafety::AtMostOnce
        && machine.attempts()[attempt].stage == Stage::Execute
        && others().map(|(_, other)| other).any(Attempt::may_have_run);
    check(!is_repeated, Invariant::AtMostOnce, request, || {
        format!("attempt {attempt} repeats an at-most-once request that may have run")
    });
    check(!machine.is_closed(), Invariant::NoAttemptAfterEnd, request, || {
        format!("attempt {attempt} starts after the request was answered or its client disconnected")
    });
}

/// Checks the time for which a lease was unclaimed until a server released it.
pub fn check_lease_time(unclaimed: Duration, lease_limit: Duration, request: &str) {
    let holds = unclaimed <= lease_limit + LEASE_LIMIT_TOLERANCE;
    check(holds, Invariant::LeaseInTime, request, || format!("released after {} ms", unclaimed.as_millis()));
}

/// Checks a request that is being rejected, which states to the client that a retry is safe.
pub fn check_rejection(machine: &Request, request: &str) {
    let holds = machine.policy().retry_safety != RetrySafety::AtMostOnce || !machine.may_have_run();
    check(holds, Invariant::SafeRejection, request, || "rejected although it may have run".into());
}

/// Checks that a finished request was answered.
pub fn check_end(machine: &Request, request: &str) {
    let is_unanswered = matches!(machine.response(), ResponseState::Pending | ResponseState::Streaming);
    check(!is_unanswered, Invariant::Answered, request, || "finished without a response".into());
}

/// Returns the name and the number of violations of each invariant, for the status report.
pub fn counts() -> impl Iterator<Item = (&'static str, u64)> {
    Invariant::ALL.into_iter().map(|invariant| (invariant.name(), violations(invariant)))
}

#[cfg(test)]
mod tests;
