//! One attempt's call, and a probe's: sent once, and what becomes of it fed back.

use std::future::pending;

use tokio::time::sleep_until;

use super::*;

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Sends an attempt once and feeds the machine with what becomes of it.
    pub(super) async fn attempt(
        &self, id: u64, attempt: usize, call: Call, until: Instant, cancelled: oneshot::Receiver<()>,
    ) {
        if until <= Instant::now() {
            // What was to be let go before took all its time.
            return self.step(id, Input::Replied { attempt, reply: request::Reply::NotSent });
        }
        let Call::Attempt { cancel_token: wanted, server, .. } = &call else { return };
        let (wanted, server) = (wanted.clone(), *server);
        let call = self.upstream.clone().oneshot(call);
        let replied = async {
            tokio::select! {
                biased;
                reply = timeout_at(until, call) => reply,
                never = self.shows_arrival(id, attempt, server, &wanted) => match never {},
            }
        };
        let reply = tokio::select! {
            biased;
            // Called back while it was dialled, it never was out: the time of what is held for it has run on.
            _ = cancelled => return self.step(id, match wanted.is_written() {
                true => Input::CancelCompleted { attempt },
                false => Input::Replied { attempt, reply: request::Reply::NotSent },
            }),
            reply = replied => reply,
        };
        let Ok(reply) = reply else { return self.step(id, Input::TimedOut { attempt }) };
        let (reply, note, report) = match reply {
            Ok(Reply::Response { head, mut frames }) => {
                let Some(Ok(Frame::Data(first))) = frames.next().await else {
                    return self.step(id, Input::Replied { attempt, reply: request::Reply::Reset });
                };
                self.step(id, Input::Replied { attempt, reply: request::Reply::FirstEvent });
                let Some(pieces) = self.passes(id, attempt) else {
                    drop(frames);
                    return self.step(id, Input::CancelCompleted { attempt });
                };
                let passed = match pass(&pieces, ResponsePart::Head(head, first)).await {
                    true => rest(&pieces, frames).await,
                    false => request::StreamEnd::ClientStalled.into(),
                };
                return self.passed(id, attempt, passed);
            }
            Ok(Reply::Prefilled { cached_tokens: kept, report }) => (request::Reply::Prefilled, kept, report),
            Ok(Reply::Rejected { state_missing: no_state, report }) => {
                (request::Reply::Rejected, f64::from(u8::from(no_state)), report)
            }
            Ok(Reply::Unprocessable { report }) => (request::Reply::Unprocessable, 0.0, report),
            Ok(Reply::Error { report }) => (request::Reply::Error, 0.0, report),
            Ok(_) => (request::Reply::Error, 0.0, None),
            Err(CallError::ConnectFailed) => (request::Reply::ConnectFailed, 0.0, None),
            Err(CallError::Reset) => (request::Reply::Reset, 0.0, None),
            Err(CallError::MalformedResponse) => (request::Reply::MalformedResponse, 0.0, None),
            Err(CallError::NotSent) => (request::Reply::NotSent, 0.0, None),
        };
        self.keep(id, attempt, note, report);
        self.step(id, Input::Replied { attempt, reply });
    }

    /// Asks for a sign that an attempt has arrived, for as long as something waits for that; never ends. Its own answer may take
    /// any time, and what was written onto a way that has fallen silent never arrives, with no error.
    async fn shows_arrival(
        &self, id: u64, attempt: usize, server: ServerId, wanted: &CancelToken,
    ) -> Infallible {
        loop {
            let written = wanted.first_byte_written().await;
            let Some(at) = self.ask_arrival_at(id, written) else { return pending().await };
            sleep_until(at).await;
            // Meanwhile it may have gone to another connection.
            if wanted.first_byte_at() != Some(written) {
                continue;
            }
            if !self.waits_for_arrival(id) {
                // A place may come to be held later.
                let pause = self.inner.borrow().pin_limit.mul_f64(ARRIVAL_ASKED);
                sleep(pause).await;
                continue;
            }
            if self.check(server).await {
                self.has_arrived(id, attempt);
                return pending().await;
            }
            sleep(ARRIVAL_AGAIN).await;
        }
    }

    /// A sign shows that an attempt has come to its server.
    fn has_arrived(&self, id: u64, attempt: usize) {
        {
            let mut inner = self.inner.borrow_mut();
            let now = inner.clock.now();
            if let Some(job) = inner.jobs.get_mut(&id) {
                job.told.shown_to_arrive(attempt, now);
            }
        }
        self.step(id, Input::Delivered { attempt });
    }

    /// Whether something is held whose time runs on until an attempt is known to have arrived.
    fn waits_for_arrival(&self, id: u64) -> bool {
        self.inner.borrow().jobs.get(&id).is_some_and(|job| job.machine.is_armed(request::Timer::LeaseLimit))
    }

    fn ask_arrival_at(&self, id: u64, written: Instant) -> Option<Instant> {
        let inner = self.inner.borrow();
        inner.jobs.get(&id).map(|job| job.ask_arrival_at(written, inner.pin_limit))
    }

    /// Where the answer of this attempt goes, if the machine has made it the client's.
    fn passes(&self, id: u64, attempt: usize) -> Option<mpsc::Sender<ResponsePart>> {
        let inner = self.inner.borrow();
        let job = inner.jobs.get(&id)?;
        (job.machine.attempts()[attempt].state == AttemptState::Streaming).then(|| job.pieces.clone())?
    }

    fn passed(&self, id: u64, attempt: usize, passed: Passed) {
        let Passed { end, kept, report } = passed;
        self.keep(id, attempt, kept, report);
        self.step(id, Input::StreamEnded { attempt, end });
    }

    /// What a server said beside its reply, for the attempt's outcome.
    fn keep(&self, id: u64, attempt: usize, note: f64, report: Option<LoadReport>) {
        if let Some(job) = self.inner.borrow_mut().jobs.get_mut(&id) {
            (job.sent[attempt].note, job.sent[attempt].report) = (note, report);
        }
    }

    pub(super) async fn probe(&self, server: ServerId) {
        let sent = Instant::now();
        let (status, report) = match self.upstream.clone().oneshot(Call::Probe { server }).await {
            Ok(Reply::Probed { healthy: true, report }) => (AttemptStatus::Served, report),
            Ok(Reply::Probed { report, .. }) => (AttemptStatus::Error, report),
            Ok(_) | Err(CallError::NotSent | CallError::ConnectFailed) => {
                (AttemptStatus::ConnectFailed, None)
            }
            Err(CallError::Reset) => (AttemptStatus::Reset, None),
            Err(CallError::MalformedResponse) => (AttemptStatus::MalformedResponse, None),
        };
        let elapsed = sent.elapsed().as_secs_f64() * 1000.0;
        self.dispatch(Event::ProbeResult { server, status, elapsed, report });
    }
}
