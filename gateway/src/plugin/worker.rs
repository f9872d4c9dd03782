//! The thread that evaluates hooks, so that no hook can hold up the gateway's own thread.
//!
//! Calls are evaluated in the order in which they were made. A call that has not started within [`QUEUE_TIMEOUT`] is not
//! evaluated. The thread ends when its [`Worker`] is dropped.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Once};
use std::time::{Duration, Instant};
use std::{panic, thread};

use tokio::sync::oneshot;
use tokio::time::timeout;

use super::deadline::{next_step, CallProgress, NextStep, QUEUE_TIMEOUT};
use super::failure::HookFailure;
use super::script::{DefinedHooks, Script, ScriptError};

/// Maximum time until a script is ready.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of calls that wait for their evaluation.
const MAX_QUEUED_CALLS: usize = 1_024;

/// Stack size of the thread. Values that are nested as deeply as their size limits allow are freed recursively.
const STACK_BYTES: usize = 8 << 20;

/// Name of the thread.
const THREAD_NAME: &str = "hooks";

/// Value of a [`StartTime`] that is not set.
const NOT_STARTED: u64 = 0;

/// When an evaluation started. The worker sets it, and the gateway's thread reads it.
#[derive(Debug)]
struct StartTime {
    epoch: Instant,
    /// Microseconds since `epoch`, plus one.
    micros: AtomicU64,
}

impl StartTime {
    fn new(epoch: Instant) -> Self {
        StartTime { epoch, micros: AtomicU64::new(NOT_STARTED) }
    }

    fn set_now(&self) {
        let micros = self.epoch.elapsed().as_micros() as u64 + 1;
        self.micros.store(micros, Ordering::Release);
    }

    fn clear(&self) {
        self.micros.store(NOT_STARTED, Ordering::Release);
    }

    fn elapsed(&self) -> Option<Duration> {
        match self.micros.load(Ordering::Acquire) {
            NOT_STARTED => None,
            micros => Some(self.epoch.elapsed().saturating_sub(Duration::from_micros(micros - 1))),
        }
    }
}

/// Evaluates a call with the script, or reports why it is not evaluated.
type Evaluation = Box<dyn FnOnce(Result<&Script, HookFailure>) + Send>;

/// A call that waits for its evaluation.
struct QueuedCall {
    queued: Instant,
    evaluate: Evaluation,
}

/// Handle of the thread that evaluates the hooks of one script.
pub struct Worker {
    calls: SyncSender<QueuedCall>,
    /// Start of the evaluation in progress.
    current: Arc<StartTime>,
    epoch: Instant,
    hooks: DefinedHooks,
}

impl Worker {
    /// Starts the thread, which compiles and starts the script.
    pub fn start(source: &str) -> Result<Self, ScriptError> {
        let (calls, queue) = mpsc::sync_channel(MAX_QUEUED_CALLS);
        let (report, reported) = mpsc::channel();
        let epoch = Instant::now();
        let current = Arc::new(StartTime::new(epoch));
        let (source, evaluating) = (source.to_string(), current.clone());
        let builder = thread::Builder::new().name(THREAD_NAME.into()).stack_size(STACK_BYTES);
        silence_panics();
        let run = move || match Script::start(&source) {
            Ok(script) => {
                let _ = report.send(Ok(script.hooks()));
                evaluate_calls(&script, &queue, &evaluating);
            }
            Err(error) => {
                let _ = report.send(Err(error));
            }
        };
        builder.spawn(run).map_err(ScriptError::Thread)?;
        let hooks = reported.recv_timeout(START_TIMEOUT).map_err(|error| match error {
            RecvTimeoutError::Timeout => ScriptError::NotReady(START_TIMEOUT),
            RecvTimeoutError::Disconnected => ScriptError::TopLevel(HookFailure::Stopped),
        })??;
        Ok(Worker { calls, current, epoch, hooks })
    }

    /// Returns which hooks the script defines.
    pub fn hooks(&self) -> DefinedHooks {
        self.hooks
    }

    /// Has a call evaluated, and waits for its result within the limits of [`next_step`].
    pub async fn call<T: Send + 'static>(
        &self, call: impl FnOnce(&Script) -> Result<T, HookFailure> + Send + 'static,
    ) -> Result<T, HookFailure> {
        let queued = Instant::now();
        let started = Arc::new(StartTime::new(self.epoch));
        let (sender, mut result) = oneshot::channel();
        let progress = {
            let started = started.clone();
            move || CallProgress {
                queued_for: queued.elapsed(),
                evaluated_for: started.elapsed(),
                worker_busy_for: self.current.elapsed(),
            }
        };
        if let NextStep::GiveUp(failure) = next_step(progress()) {
            return Err(failure);
        }
        self.queue(queued, move |script| {
            // The request has given up on the call.
            if sender.is_closed() {
                return;
            }
            started.set_now();
            let _ = sender.send(script.and_then(call));
        })?;
        loop {
            let rest = match next_step(progress()) {
                NextStep::Wait(rest) => rest,
                NextStep::GiveUp(failure) => return result.try_recv().unwrap_or(Err(failure)),
            };
            if let Ok(result) = timeout(rest, &mut result).await {
                return result.unwrap_or(Err(HookFailure::Stopped));
            }
        }
    }

    /// Has a call evaluated without waiting for it. Its failure goes to `report`, on the thread of the worker.
    pub fn submit(
        &self, call: impl FnOnce(&Script) -> Result<(), HookFailure> + Send + 'static,
        report: impl FnOnce(&HookFailure) + Send + 'static,
    ) -> Result<(), HookFailure> {
        self.queue(Instant::now(), move |script| {
            if let Err(failure) = script.and_then(call) {
                report(&failure);
            }
        })
    }

    fn queue(
        &self, queued: Instant, evaluate: impl FnOnce(Result<&Script, HookFailure>) + Send + 'static,
    ) -> Result<(), HookFailure> {
        let call = QueuedCall { queued, evaluate: Box::new(evaluate) };
        self.calls.try_send(call).map_err(|error| match error {
            TrySendError::Full(_) => HookFailure::Busy,
            TrySendError::Disconnected(_) => HookFailure::Stopped,
        })
    }
}

/// Keeps panics of the thread out of standard error, where they would have no rate limit; they are counted and logged as
/// failures of their calls.
fn silence_panics() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        let report = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            if thread::current().name() != Some(THREAD_NAME) {
                report(info);
            }
        }));
    });
}

/// Evaluates calls until the worker's handle is dropped.
fn evaluate_calls(script: &Script, queue: &Receiver<QueuedCall>, current: &StartTime) {
    for call in queue {
        if call.queued.elapsed() > QUEUE_TIMEOUT {
            (call.evaluate)(Err(HookFailure::Busy));
            continue;
        }
        current.set_now();
        (call.evaluate)(Ok(script));
        current.clear();
    }
}
