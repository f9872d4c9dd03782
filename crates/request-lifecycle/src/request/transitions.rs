//! Transition table of a request.
//!
//! An input is processed in two steps: its handler changes the state that it concerns, and [`Request::reconcile`] then
//! applies whatever the resulting state requires, regardless of the input that led to it.

use super::planted_faults::Fault;
use super::{Effect, Effects, Input, Release, Request, SlotRequest};
use crate::InvalidTransition;

/// Error of a handler whose input is not valid in the current state. The handler has changed nothing.
pub(super) struct Unexpected;

impl Request {
    /// Processes one input and appends the resulting effects in the order in which they must be carried out.
    ///
    /// # Errors
    /// Returns [`InvalidTransition`] if the input is not valid in the current state, which is then unchanged.
    pub fn step(&mut self, input: Input, effects: &mut Effects) -> Result<(), InvalidTransition> {
        self.handle(input, effects).map_err(|Unexpected| InvalidTransition::new("request", &input, self))?;
        self.reconcile(effects);
        Ok(())
    }

    /// Applies the transition table. Commands and the client's disconnection are valid until the request has
    /// finished, other reports only in the states that their handlers expect.
    fn handle(&mut self, input: Input, effects: &mut Effects) -> Result<(), Unexpected> {
        if self.is_finished {
            return Err(Unexpected);
        }
        match input {
            Input::Send { server, stage, permitted } => {
                self.queue_attempt(server, stage, permitted, effects);
            }
            Input::Cancel { attempt } => self.cancel_attempt(attempt, effects),
            Input::Release => self.request_release(),
            Input::Respond(response) => self.respond(response, effects),
            Input::ReserveSlot { server } => self.request_slot(server, effects),
            Input::ClientDisconnected => self.on_client_disconnected(effects),
            Input::Replied { attempt, reply } => self.on_reply(attempt, reply, effects)?,
            Input::Delivered { attempt } => self.on_delivered(attempt)?,
            Input::StreamEnded { attempt, end } => self.on_stream_ended(attempt, end, effects)?,
            Input::TimedOut { attempt } => self.on_attempt_timeout(attempt, effects)?,
            Input::CancelCompleted { attempt } => self.on_cancel_completed(attempt, effects)?,
            Input::CloseConfirmed { attempt } => self.on_close_confirmed(attempt)?,
            Input::SlotAnswered { reserved } => self.on_slot_answered(reserved, effects)?,
            Input::ReleaseSent => self.on_release_sent()?,
            Input::Released => self.on_released()?,
            Input::TimerExpired(timer) => self.on_timer_expired(timer, effects)?,
        }
        Ok(())
    }

    /// Applies what the current state requires. The order matters, since a due release precedes the next attempt.
    fn reconcile(&mut self, effects: &mut Effects) {
        if self.is_closed() {
            self.release_reservations_of_closed(effects);
        }
        self.start_due_release(effects);
        self.start_queued_attempt(effects);
        self.update_timers(effects);
        self.finish_if_nothing_left(effects);
    }

    fn finish_if_nothing_left(&mut self, effects: &mut Effects) {
        let closed = self.is_closed() && !self.has_fault(Fault::NeverOver);
        let releasing = self.release != Release::None;
        let is_outstanding = self.slot_request != SlotRequest::None || self.has_unconfirmed_close();
        let pending = self.has_open_attempt() || releasing || is_outstanding;
        let pending = pending && !(self.has_fault(Fault::OverTooEarly) && releasing);
        if closed && !pending {
            self.is_finished = true;
            effects.push(Effect::Finished);
        }
    }
}
