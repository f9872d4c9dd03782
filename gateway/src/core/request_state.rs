//! What the core keeps of one request beside its machine.

use super::*;

/// What the core keeps of one attempt beside its machine.
pub(super) struct AttemptCall {
    pub at: Instant,
    pub until: Instant,
    /// Tells when its first byte went out.
    pub wanted: CancelToken,
    /// Dropping it calls the attempt back.
    pub cancel: Option<oneshot::Sender<()>>,
    pub note: f64,
    pub report: Option<LoadReport>,
}

/// What the core keeps of one request beside its machine.
pub(super) struct RequestState {
    pub machine: request::Request,
    pub payload: Rc<Payload>,
    /// Gone once the client is owed nothing more.
    pub pieces: Option<mpsc::Sender<ResponsePart>>,
    pub watch: AbortHandle,
    pub deadline: Instant,
    pub sent: Vec<AttemptCall>,
    /// Since when what is held waits for an attempt to take it. Of one that is not known to have arrived, that time ran on.
    pub unclaimed_since: Instant,
    pub place: Option<AbortHandle>,
    pub retry_after: Duration,
    /// For so long after the first attempt that may have run it may be repeated; `None`: for ever, or never.
    pub window: Option<Duration>,
    /// It may be refused whatever became of it.
    pub safe: bool,
    pub timers: Vec<(Due, Key)>,
    pub told: RecordBuilder,
}

impl RequestState {
    /// Rule 2: whether a refusal would be true.
    pub fn may_refuse(&self) -> bool {
        self.safe || !self.machine.may_have_run()
    }

    /// Rule 2: until when a further attempt may be written, once one may have run.
    pub fn repeat_by(&self) -> Option<Instant> {
        let first = self.machine.attempts().iter().position(request::Attempt::may_have_run)?;
        Some(self.sent[first].at + self.window?)
    }

    /// When a sign of its arrival is asked for after an attempt was written; what is held may not wait for long.
    pub fn ask_arrival_at(&self, written: Instant, pin_limit: Duration) -> Instant {
        let usual = written + pin_limit.mul_f64(ARRIVAL_ASKED);
        let latest = self.unclaimed_since + pin_limit.mul_f64(ARRIVAL_ASKED_LATEST);
        usual.min(latest).max(written)
    }

    /// By when an attempt for which something is held must be written, so that there is time to hear whether it arrived.
    pub fn written_by(&self, pin_limit: Duration) -> Option<Instant> {
        self.machine.has_reservation().then(|| self.unclaimed_since + pin_limit.mul_f64(WRITTEN_BY))
    }

    pub fn elapsed(&self, attempt: usize) -> Millis {
        self.sent[attempt].at.elapsed().as_secs_f64() * 1000.0
    }
}
