//! Decides how long a request waits for a call of its hook. Pure functions; the caller measures the times.

use std::time::Duration;

use super::failure::HookFailure;

/// Time after the start of an evaluation at which its request continues without the result. It exceeds the evaluation's own
/// limit, so that only a built-in function that takes long reaches it.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(4);

/// Maximum time for which a call waits until its evaluation starts.
pub const QUEUE_TIMEOUT: Duration = Duration::from_millis(100);

/// Progress of a call as seen by its request.
#[derive(Clone, Copy, Debug)]
pub struct CallProgress {
    /// Time since the call was queued.
    pub queued_for: Duration,
    /// Time since the call's evaluation started; `None` before.
    pub evaluated_for: Option<Duration>,
    /// Time since the evaluation of any call started; `None` if the worker is idle.
    pub worker_busy_for: Option<Duration>,
}

/// What a request does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// It waits for the result, for this time at most.
    Wait(Duration),
    /// It continues without the result.
    GiveUp(HookFailure),
}

/// Returns the next step of a request whose call has no result yet.
pub fn next_step(progress: CallProgress) -> NextStep {
    let CallProgress { queued_for, evaluated_for, worker_busy_for } = progress;
    if let Some(evaluated_for) = evaluated_for {
        return match CALL_TIMEOUT.checked_sub(evaluated_for) {
            Some(rest) if !rest.is_zero() => NextStep::Wait(rest),
            _ => NextStep::GiveUp(HookFailure::TimeLimit),
        };
    }
    let until_overdue = CALL_TIMEOUT.saturating_sub(worker_busy_for.unwrap_or_default());
    let until_expired = QUEUE_TIMEOUT.saturating_sub(queued_for);
    let rest = until_overdue.min(until_expired);
    if rest.is_zero() {
        return NextStep::GiveUp(HookFailure::Busy);
    }
    NextStep::Wait(rest)
}
