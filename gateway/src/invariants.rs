//! Invariants of every request, checked where the gateway acts: each violation is counted, and logged with its request.
//!
//! The guards elsewhere uphold the invariants; these checks say when one has failed all the same. A gateway runs on one
//! thread, and its counters are that thread's.

#![deny(missing_docs)]

use std::cell::Cell;
use std::time::Duration;

use glenrail_request_lifecycle::request::{Attempt, Request, ResponseState, RetrySafety, Stage};

/// A lease may be unclaimed for so much longer than the settings' limit, by the platform's rules.
const LEASE_LIMIT_TOLERANCE: Duration = Duration::from_millis(350);

/// Largest age of the deadline that a request states when its first byte is written; the platform allows 150 ms.
pub const MAX_STATED_DEADLINE_AGE: Duration = Duration::from_millis(100);

/// One invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A lease is claimed or released in time.
    LeaseInTime,
    /// No attempt starts while another one of its request is in flight.
    OneAttempt,
    /// A request that may run at most once is not sent again once it may have run.
    AtMostOnce,
    /// No attempt starts for a request that was answered, or whose client has disconnected.
    NothingAfterEnd,
    /// A request that was admitted is answered before it finishes.
    Answered,
    /// A request that may run at most once is rejected only while no attempt of it can have run, or may still.
    RejectionIsTrue,
}

impl Invariant {
    /// Every invariant, in the order of the operators' figures.
    pub const ALL: [Invariant; 6] = [
        Invariant::LeaseInTime,
        Invariant::OneAttempt,
        Invariant::AtMostOnce,
        Invariant::NothingAfterEnd,
        Invariant::Answered,
        Invariant::RejectionIsTrue,
    ];

    /// The invariant's name in the operators' figures.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::LeaseInTime => "held_in_time",
            Invariant::OneAttempt => "one_attempt",
            Invariant::AtMostOnce => "runs_once",
            Invariant::NothingAfterEnd => "nothing_after_end",
            Invariant::Answered => "answered",
            Invariant::RejectionIsTrue => "rejection_is_true",
        }
    }
}

thread_local! {
    static VIOLATIONS: [Cell<u64>; Invariant::ALL.len()] = const { [const { Cell::new(0) }; Invariant::ALL.len()] };
}

/// How often this process has violated an invariant.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS.with(|counts| counts[invariant as usize].get())
}

/// Counts and logs a violation, unless the invariant holds.
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

/// Checks an attempt that is about to start.
pub fn check_start(machine: &Request, attempt: usize, request: &str) {
    let others = || machine.attempts().iter().enumerate().filter(move |(other, _)| *other != attempt);
    let is_concurrent = others().any(|(_, other)| other.is_open());
    check(!is_concurrent, Invariant::OneAttempt, request, || {
        format!("attempt {attempt} starts while another is in flight")
    });
    let is_repeated = machine.policy().retry_safety == RetrySafety::AtMostOnce
        && machine.attempts()[attempt].stage == Stage::Execute
        && others().map(|(_, other)| other).any(Attempt::may_have_run);
    check(!is_repeated, Invariant::AtMostOnce, request, || {
        format!("attempt {attempt} repeats what may have run")
    });
    check(!machine.is_closed(), Invariant::NothingAfterEnd, request, || {
        format!("attempt {attempt} starts after the end")
    });
}

/// Checks a lease that was unclaimed for `unclaimed` when a server had released it.
pub fn check_lease_time(unclaimed: Duration, lease_limit: Duration, request: &str) {
    let holds = unclaimed <= lease_limit + LEASE_LIMIT_TOLERANCE;
    check(holds, Invariant::LeaseInTime, request, || format!("released after {} ms", unclaimed.as_millis()));
}

/// Checks a request whose client is told now that sending it again is harmless.
pub fn check_rejection(machine: &Request, request: &str) {
    let holds = machine.policy().retry_safety != RetrySafety::AtMostOnce || !machine.may_have_run();
    check(holds, Invariant::RejectionIsTrue, request, || "rejected although it may have run".into());
}

/// Checks a request that has finished.
pub fn check_end(machine: &Request, request: &str) {
    let is_unanswered = matches!(machine.response(), ResponseState::Pending | ResponseState::Streaming);
    check(!is_unanswered, Invariant::Answered, request, || "it finished without an answer".into());
}

/// The name and the violations of each invariant, for the operators.
pub fn counts() -> impl Iterator<Item = (&'static str, u64)> {
    Invariant::ALL.into_iter().map(|invariant| (invariant.name(), violations(invariant)))
}

#[cfg(test)]
mod tests;
