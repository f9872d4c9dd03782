//! What has to hold for each request, checked where the gateway acts: each break is counted, and logged with its request.
//!
//! The guards keep the invariants; these checks say when one has failed all the same. A gateway runs on one thread, and so do
//! the counters.

use std::cell::Cell;
use std::time::Duration;

use glenrail_request_lifecycle::request::{Request, ResponseState, RetrySafety, Stage};

/// What is held may wait so much longer than the settings say, by the platform's word.
const HELD_SLACK: Duration = Duration::from_millis(350);
/// A deadline that is told may be so old when its first byte goes out: the platform allows 150 ms.
pub const TOLD_AGE: Duration = Duration::from_millis(100);

/// One thing that has to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// What is held for a request is taken or let go in time.
    HeldInTime,
    /// No attempt starts while another one of its request is open.
    OneAttempt,
    /// What must not be repeated is not sent again once it may have run.
    AtMostOnce,
    /// No attempt starts for a request that has had its answer, or whose client has left.
    NothingAfterEnd,
    /// A request that was taken has its answer at its end.
    Answered,
}

impl Invariant {
    pub const ALL: [Invariant; 5] = [
        Invariant::HeldInTime,
        Invariant::OneAttempt,
        Invariant::AtMostOnce,
        Invariant::NothingAfterEnd,
        Invariant::Answered,
    ];

    /// Its name in the operators' figures.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::HeldInTime => "held_in_time",
            Invariant::OneAttempt => "one_attempt",
            Invariant::AtMostOnce => "runs_once",
            Invariant::NothingAfterEnd => "nothing_after_end",
            Invariant::Answered => "answered",
        }
    }
}

thread_local! {
    static BROKEN: [Cell<u64>; Invariant::ALL.len()] = const { [const { Cell::new(0) }; Invariant::ALL.len()] };
}

/// How often it has been broken in this process.
pub fn broken(invariant: Invariant) -> u64 {
    BROKEN.with(|counts| counts[invariant as usize].get())
}

/// Counts and logs a break, unless it holds.
pub fn check(holds: bool, invariant: Invariant, request: &str, what: impl FnOnce() -> String) {
    if !holds {
        BROKEN.with(|counts| counts[invariant as usize].set(counts[invariant as usize].get() + 1));
        crate::log!("invariant broken: {}: request {request}: {}", invariant.name(), what());
    }
}

/// Checks an attempt that is about to start.
pub fn check_start(machine: &Request, attempt: usize, request: &str) {
    let others = || machine.attempts().iter().enumerate().filter(move |(other, _)| *other != attempt);
    let open = others().any(|(_, a)| a.is_open());
    check(!open, Invariant::OneAttempt, request, || format!("attempt {attempt} starts beside another"));
    let runs = machine.attempts()[attempt].stage == Stage::Execute;
    let again = machine.policy().retry_safety == RetrySafety::AtMostOnce
        && runs
        && others().any(|(_, a)| a.may_have_run());
    check(!again, Invariant::AtMostOnce, request, || format!("attempt {attempt} repeats what may have run"));
    let ended = machine.is_closed();
    check(!ended, Invariant::NothingAfterEnd, request, || format!("attempt {attempt} starts after the end"));
}

/// Checks what was held for so long when a server had let go of it.
pub fn check_held(held: Duration, pin_limit: Duration, request: &str) {
    let holds = held <= pin_limit + HELD_SLACK;
    check(holds, Invariant::HeldInTime, request, || format!("let go after {} ms", held.as_millis()));
}

/// Checks a request of which nothing is left.
pub fn check_end(machine: &Request, request: &str) {
    let owed = matches!(machine.response(), ResponseState::Pending | ResponseState::Streaming);
    check(!owed, Invariant::Answered, request, || "it ends with no answer".into());
}

/// All counts, for the operators.
pub fn counts() -> impl Iterator<Item = (&'static str, u64)> {
    Invariant::ALL.into_iter().map(|invariant| (invariant.name(), broken(invariant)))
}

#[cfg(test)]
mod tests;
