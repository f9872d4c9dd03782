//! Why calls of hooks fail, and how often.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rhai::EvalAltResult;
use serde_json::{Map, Value};

use super::printed_text::printed_text;
use super::script::MAX_EVALUATION_TIME;
use crate::log;

/// Interval at which failures with one reason are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Why a call of a hook has no result. The request continues without it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HookFailure {
    /// The call was cut off at its time limit.
    #[error("cut off after {} ms", MAX_EVALUATION_TIME.as_millis())]
    TimeLimit,
    /// The call was cut off at the maximum number of operations.
    #[error("cut off after too many operations")]
    OperationLimit,
    /// A string, an array or a map exceeded its maximum size.
    #[error("a value is too large")]
    SizeLimit,
    /// Function calls or values are nested too deeply.
    #[error("function calls are nested too deeply")]
    DepthLimit,
    /// The script reported an error.
    #[error("{0}")]
    Script(String),
    /// The interpreter failed with a panic.
    #[error("the interpreter panicked")]
    Panic,
    /// Earlier calls took so long that this one was not made.
    #[error("not called, because earlier calls took too long")]
    Busy,
    /// The thread that evaluates hooks has ended.
    #[error("not called, because the thread for hooks has ended; restart the gateway")]
    Stopped,
}

impl HookFailure {
    /// Names of the reasons in the operators' counters.
    const REASONS: [&str; 8] = [
        "time_limit",
        "operation_limit",
        "size_limit",
        "depth_limit",
        "script_error",
        "panic",
        "busy",
        "stopped",
    ];

    /// Converts an error of the interpreter.
    pub fn from_script(error: &EvalAltResult) -> Self {
        match error.unwrap_inner() {
            EvalAltResult::ErrorTerminated(..) => HookFailure::TimeLimit,
            EvalAltResult::ErrorTooManyOperations(..) => HookFailure::OperationLimit,
            EvalAltResult::ErrorDataTooLarge(..) => HookFailure::SizeLimit,
            EvalAltResult::ErrorStackOverflow(..) => HookFailure::DepthLimit,
            _ => HookFailure::Script(printed_text(&error.to_string())),
        }
    }

    /// Returns the index of the reason in [`HookFailure::REASONS`].
    fn reason(&self) -> usize {
        match self {
            HookFailure::TimeLimit => 0,
            HookFailure::OperationLimit => 1,
            HookFailure::SizeLimit => 2,
            HookFailure::DepthLimit => 3,
            HookFailure::Script(_) => 4,
            HookFailure::Panic => 5,
            HookFailure::Busy => 6,
            HookFailure::Stopped => 7,
        }
    }
}

/// Number of failures with one reason, and when they were logged.
#[derive(Debug, Default)]
struct FailureCount {
    failures: AtomicU64,
    /// Milliseconds from [`HookFailures::since`] from which the next failure is logged.
    next_log_ms: AtomicU64,
}

/// Counts of failed calls by reason, since the start of the process. Shared by the threads that call and evaluate hooks.
#[derive(Debug)]
pub struct HookFailures {
    since: Instant,
    counts: [FailureCount; HookFailure::REASONS.len()],
}

impl Default for HookFailures {
    fn default() -> Self {
        HookFailures { since: Instant::now(), counts: Default::default() }
    }
}

impl HookFailures {
    /// Counts a failure, and logs it unless one with the same reason was logged in the last [`LOG_INTERVAL`].
    pub fn record(&self, hook: &str, failure: &HookFailure) {
        let count = &self.counts[failure.reason()];
        let failures = count.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let now_ms = self.since.elapsed().as_millis() as u64;
        let due_ms = count.next_log_ms.load(Ordering::Relaxed);
        let following_ms = now_ms + LOG_INTERVAL.as_millis() as u64;
        if now_ms < due_ms
            || count
                .next_log_ms
                .compare_exchange(due_ms, following_ms, Ordering::Relaxed, Ordering::Relaxed)
                .is_err()
        {
            return;
        }
        log!("plugin: {hook} failed: {failure} ({failures} times)");
    }

    /// Returns the counts by reason, for the operators' counters.
    pub fn to_json(&self) -> Value {
        let counts = HookFailure::REASONS.iter().zip(&self.counts);
        let counts: Map<String, Value> = counts
            .map(|(reason, count)| (reason.to_string(), count.failures.load(Ordering::Relaxed).into()))
            .collect();
        counts.into()
    }
}
