//! Time limit of one evaluation.

use std::cell::Cell;
use std::time::{Duration, Instant};

use rustix::time::{clock_gettime, ClockId};

/// Limits the processor time of an evaluation, so that a thread that the system does not run loses none of it.
///
/// The wall clock is read at each check, and the thread's processor time, which costs a system call, only once enough time
/// has passed.
pub struct TimeLimit {
    limit: Duration,
    evaluation: Cell<Option<Evaluation>>,
}

#[derive(Clone, Copy)]
struct Evaluation {
    /// Processor time of the thread at the start.
    started_cpu: Duration,
    /// Earliest time at which the limit can be reached.
    check_at: Instant,
}

impl TimeLimit {
    /// Creates a limit without an evaluation in progress.
    pub fn new(limit: Duration) -> Self {
        TimeLimit { limit, evaluation: Cell::new(None) }
    }

    /// Starts an evaluation on this thread.
    pub fn start(&self) {
        let check_at = Instant::now() + self.limit;
        self.evaluation.set(Some(Evaluation { started_cpu: thread_cpu_time(), check_at }));
    }

    /// Returns whether the evaluation has reached its limit.
    pub fn is_reached(&self) -> bool {
        let Some(mut evaluation) = self.evaluation.get() else { return false };
        let now = Instant::now();
        if now < evaluation.check_at {
            return false;
        }
        let used = thread_cpu_time().saturating_sub(evaluation.started_cpu);
        let rest = self.limit.saturating_sub(used);
        evaluation.check_at = now + rest;
        self.evaluation.set(Some(evaluation));
        rest.is_zero()
    }
}

/// Returns the processor time that this thread has used.
pub fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
