//! Attempts of a request, from the router's send command to the single outcome of each.

use super::planted_faults::Fault;
use super::transitions::Unexpected;
use super::{
    Attempt, AttemptState, Effect, Effects, Release, Reply, Request, Reservation, ResponseState, RetrySafety,
    Server, Stage, Status, StreamEnd,
};
use crate::evidence::InterruptedWork;

impl Request {
    fn attempt_state(&self, attempt: usize) -> Option<AttemptState> {
        self.attempts.get(attempt).map(|attempt| attempt.state)
    }

    /// Queues the attempt that the router requests, or ends it with [`Status::NotSent`] if it must not be sent.
    pub(super) fn queue_attempt(
        &mut self, server: Server, stage: Stage, permitted: bool, effects: &mut Effects,
    ) {
        let may_start = permitted && self.may_start_attempt(stage);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt::new(server, stage));
        if !may_start {
            self.end_attempt(attempt, Status::NotSent, effects);
        }
    }

    /// Checks the rules for a further attempt: one open at a time, none beyond the maximum, none for a closed
    /// request, and no repeated execution of a request that may have run unless it is idempotent.
    fn may_start_attempt(&self, stage: Stage) -> bool {
        let second = self.has_open_attempt() && !self.has_fault(Fault::SecondAttempt);
        let closed = self.is_closed() && !self.has_fault(Fault::SendsAfterEnd);
        let runs_again = self.policy.retry_safety == RetrySafety::AtMostOnce
            && stage == Stage::Execute
            && self.may_have_executed
            && !self.has_fault(Fault::RunsOrderTwice);
        !second && !closed && !runs_again && self.attempts.len() < self.policy.max_attempts
    }

    /// Starts the queued attempt, if there is one, once no release is due or in progress.
    pub(super) fn start_queued_attempt(&mut self, effects: &mut Effects) {
        let may_start = self.release == Release::None || self.has_fault(Fault::SendsBeforeRelease);
        if !may_start {
            return;
        }
        let queued = self.attempts.iter().position(|attempt| attempt.state == AttemptState::Queued);
        if let Some(attempt) = queued {
            self.attempts[attempt].state = AttemptState::InFlight;
            effects.push(Effect::StartAttempt { attempt });
        }
    }

    /// Cancels an attempt whose response has not begun; does nothing in any other state.
    pub(super) fn cancel_attempt(&mut self, attempt: usize, effects: &mut Effects) {
        match self.attempt_state(attempt) {
            // Nothing was sent.
            Some(AttemptState::Queued) => self.end_attempt(attempt, Status::NotSent, effects),
            Some(AttemptState::InFlight) => {
                self.attempts[attempt].state = AttemptState::Cancelling;
                effects.push(Effect::CancelAttempt { attempt });
            }
            // Already cancelled or ended, or its response is being forwarded to the client.
            Some(AttemptState::Cancelling | AttemptState::Streaming | AttemptState::Ended(_)) | None => {}
        }
    }

    /// Cancels attempts in flight whose delivery is not confirmed.
    pub(super) fn cancel_undelivered(&mut self, effects: &mut Effects) {
        if self.has_fault(Fault::KeepsUndelivered) {
            return;
        }
        for attempt in 0..self.attempts.len() {
            let Attempt { state, delivered, .. } = self.attempts[attempt];
            if state == AttemptState::InFlight && !delivered {
                self.attempts[attempt].undelivered = true;
                self.cancel_attempt(attempt, effects);
            }
        }
    }

    /// Cancels all attempts whose response has not begun, as far as the deployment's policy allows, because the
    /// client no longer waits for them.
    pub(super) fn cancel_all(&mut self, effects: &mut Effects) {
        if self.has_fault(Fault::KeepsCallAfterGone) {
            return;
        }
        for attempt in 0..self.attempts.len() {
            // A queued attempt was not sent to a server, so the cancellation policy does not apply to it.
            if self.policy.cancellation || self.attempts[attempt].state == AttemptState::Queued {
                self.cancel_attempt(attempt, effects);
            }
        }
    }

    /// Returns the outcome of a cancelled attempt.
    fn cancelled_status(&self, attempt: usize) -> Status {
        if self.attempts[attempt].undelivered {
            Status::Undelivered
        } else {
            Status::Cancelled
        }
    }

    /// Handles the result of an attempt's call.
    pub(super) fn on_reply(
        &mut self, attempt: usize, reply: Reply, effects: &mut Effects,
    ) -> Result<(), Unexpected> {
        match (self.attempt_state(attempt), reply) {
            (Some(AttemptState::InFlight), _) => self.on_reply_in_flight(attempt, reply, effects),
            // The first token was received during the cancellation. The attempt ends once the engine drops the call.
            (Some(AttemptState::Cancelling), Reply::FirstEvent) => {}
            // Nothing was written, so the attempt had no effect and never used its reservations.
            (Some(AttemptState::Cancelling), Reply::NotSent) => {
                self.end_attempt(attempt, Status::NotSent, effects);
            }
            // The call ended before the engine dropped it.
            (Some(AttemptState::Cancelling), reply) => {
                let status = self.cancelled_status(attempt);
                self.end_attempt_with(attempt, status, reply.known_work(), effects);
            }
            (Some(AttemptState::Queued | AttemptState::Streaming | AttemptState::Ended(_)) | None, _) => {
                return Err(Unexpected);
            }
        }
        Ok(())
    }

    pub(super) fn on_delivered(&mut self, attempt: usize) -> Result<(), Unexpected> {
        match self.attempt_state(attempt) {
            Some(AttemptState::InFlight) => self.attempts[attempt].delivered = true,
            // The delivery was confirmed only after the attempt was cancelled, began to stream or ended.
            Some(AttemptState::Cancelling | AttemptState::Streaming | AttemptState::Ended(_)) => {}
            Some(AttemptState::Queued) | None => return Err(Unexpected),
        }
        Ok(())
    }

    pub(super) fn on_stream_ended(
        &mut self, attempt: usize, end: StreamEnd, effects: &mut Effects,
    ) -> Result<(), Unexpected> {
        if self.attempt_state(attempt) != Some(AttemptState::Streaming) {
            return Err(Unexpected);
        }
        if !self.is_closed() {
            self.response = ResponseState::StreamEnded;
        }
        self.end_attempt(attempt, end.status(), effects);
        Ok(())
    }

    pub(super) fn on_attempt_timeout(
        &mut self, attempt: usize, effects: &mut Effects,
    ) -> Result<(), Unexpected> {
        if self.attempt_state(attempt) != Some(AttemptState::InFlight) {
            return Err(Unexpected);
        }
        self.end_attempt(attempt, Status::Timeout, effects);
        Ok(())
    }

    pub(super) fn on_cancel_completed(
        &mut self, attempt: usize, effects: &mut Effects,
    ) -> Result<(), Unexpected> {
        if self.attempt_state(attempt) != Some(AttemptState::Cancelling) {
            return Err(Unexpected);
        }
        self.end_attempt(attempt, self.cancelled_status(attempt), effects);
        Ok(())
    }

    /// Handles the result of a call in flight, which either begins the client's stream or ends the attempt.
    fn on_reply_in_flight(&mut self, attempt: usize, reply: Reply, effects: &mut Effects) {
        let status = match reply {
            Reply::FirstEvent => return self.begin_stream(attempt, effects),
            // The request did not run, so it left no reservation.
            Reply::Unprocessable => {
                self.respond_unprocessable(effects);
                Status::NotSent
            }
            Reply::Prefilled => Status::Prefilled,
            Reply::Rejected => Status::Rejected,
            Reply::Error => Status::Error,
            Reply::ConnectFailed => Status::ConnectFailed,
            Reply::Reset | Reply::ResetAndEnded => Status::Reset,
            Reply::MalformedResponse => Status::MalformedResponse,
            Reply::NotSent => Status::NotSent,
        };
        self.end_attempt_with(attempt, status, reply.known_work(), effects);
    }

    /// Handles the first event of an attempt: its response is forwarded to the client from now on, or the
    /// attempt is cancelled if the client no longer waits.
    fn begin_stream(&mut self, attempt: usize, effects: &mut Effects) {
        if self.response != ResponseState::Pending {
            // The client no longer waits. The attempt ends only once its call is dropped, so that nothing is released
            // while it may still run.
            self.attempts[attempt].state = AttemptState::Cancelling;
            effects.push(Effect::CancelAttempt { attempt });
            return;
        }
        self.attempts[attempt].state = AttemptState::Streaming;
        self.attempts[attempt].delivered = true;
        self.response = ResponseState::Streaming;
        self.may_have_executed = true;
        // The decode server has fetched the KV state, and the stream uses a slot that was reserved at this
        // server. A slot that was reserved at another server must still be released.
        let server = self.attempts[attempt].server;
        let slot_elsewhere = matches!(self.reservation, Reservation::Slot(holder) if holder != server);
        if !slot_elsewhere {
            self.reservation = Reservation::None;
        }
        effects.push(Effect::NotifyFirstToken { attempt });
        effects.push(Effect::ForwardStream { attempt });
    }

    /// Ends an attempt when nothing is known about its server's work beyond what the status shows.
    fn end_attempt(&mut self, attempt: usize, status: Status, effects: &mut Effects) {
        self.end_attempt_with(attempt, status, InterruptedWork::MayRun, effects);
    }

    /// Ends an attempt and reports its single outcome; `known` is what is known about its server's work.
    fn end_attempt_with(
        &mut self, attempt: usize, status: Status, known: InterruptedWork, effects: &mut Effects,
    ) {
        let Attempt { state, delivered, .. } = self.attempts[attempt];
        self.attempts[attempt].state = AttemptState::Ended(status);
        self.attempts[attempt].delivered = match status {
            Status::ConnectFailed | Status::NotSent => false,
            _ => delivered || status.proves_delivery(),
        };
        if state != AttemptState::Queued {
            self.record_residual_state(attempt, state, status, known);
        }
        if self.has_fault(Fault::LosesOutcome) && status == Status::Cancelled {
            return;
        }
        effects.push(Effect::NotifyOutcome { attempt, status, closed: self.is_closed() });
        if self.has_fault(Fault::TwoOutcomes) && status == Status::Timeout {
            effects.push(Effect::NotifyOutcome { attempt, status, closed: self.is_closed() });
        }
    }

    /// Records what a dispatched attempt may have left at its server; `state` is its state before it ended.
    fn record_residual_state(
        &mut self, attempt: usize, state: AttemptState, status: Status, known: InterruptedWork,
    ) {
        let stage = self.attempts[attempt].stage;
        let interrupted_by = status.interrupted_by().filter(|_| state != AttemptState::Streaming);
        // The flag is never cleared here, because an interrupted slot call may have set it; the next release
        // clears it and is delayed for it. If the server's work is known to have ended, the flag is not set,
        // as no delay is needed.
        self.interrupted_since_release |= interrupted_by.is_some() && known != InterruptedWork::Ended;
        // A prefill may have completed just as its connection was interrupted. The KV state that it left must be
        // released before the request is sent again, or the next attempt would find it.
        if let Some(observation) = interrupted_by.filter(|_| stage == Stage::Prefill) {
            self.record_interrupted_prefill(attempt, known.after(observation));
        }
        if status == Status::Prefilled {
            self.reserve(Reservation::KvState);
        }
        // After an error the prefill may have left KV state, but its server has stopped working on it.
        if status == Status::Error && stage == Stage::Prefill && !self.has_fault(Fault::ForgetsFailedRead) {
            self.reserve(Reservation::KvState);
            self.make_release_due();
        }
        self.may_have_executed |= stage == Stage::Execute && status.may_have_run();
    }

    fn record_interrupted_prefill(&mut self, attempt: usize, known: InterruptedWork) {
        if self.has_fault(Fault::ForgetsCutRead) {
            return;
        }
        self.attempts[attempt].unconfirmed_close = match known {
            InterruptedWork::MayRun => !self.has_fault(Fault::TakesCloseAsNoticed),
            InterruptedWork::Reset => !self.has_fault(Fault::TakesResetAsEnd),
            InterruptedWork::Ended => false,
        };
        self.reserve(Reservation::KvState);
        self.make_release_due();
    }
}
