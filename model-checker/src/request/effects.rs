//! Carries out what the request's machine asks for, as the gateway's driver does, and checks each effect.

use glenrail_request_lifecycle::request::{Attempt, AttemptState, Effect, FinalResponse, RetrySafety};

use super::calls::{Call, CallState, ServerWork};
use super::reservations::{ReleaseCall, SlotCall};
use super::{Setup, World};
use crate::rules::Rule;

impl World {
    /// Carries out the effects in their order.
    pub(super) fn carry_out(&mut self, setup: &Setup, effects: Vec<Effect>) {
        for effect in effects {
            if self.is_finished {
                self.violate(Rule::NothingAfterEnd);
            }
            match effect {
                Effect::StartAttempt { attempt } => self.start_attempt(setup, attempt),
                Effect::Release { after_interruption } => self.start_release(after_interruption),
                Effect::RequestSlot { server } => {
                    self.slot_call = SlotCall::InFlight { server: server as u8, reserved: false };
                }
                Effect::CancelSlotRequest => self.cancel_slot_call(),
                Effect::Respond(response) => self.respond(response),
                Effect::ForwardStream { .. } => self.forward_stream(),
                Effect::NotifyOutcome { attempt, .. } => self.note_outcome(attempt),
                Effect::ArmTimer(timer) => self.armed[timer as usize] = true,
                Effect::DisarmTimer(timer) => self.armed[timer as usize] = false,
                Effect::Finished => self.finish(),
                // The call of a cancelled attempt is dropped by an action of its own; the router here ignores what it
                // is notified of.
                Effect::CancelAttempt { .. }
                | Effect::NotifySlot { .. }
                | Effect::NotifyFirstToken { .. }
                | Effect::NotifyClientDisconnected => {}
            }
        }
    }

    fn has_open_call(&self) -> bool {
        self.calls.iter().any(Call::is_open)
    }

    fn start_attempt(&mut self, setup: &Setup, attempt: usize) {
        if self.has_open_call() {
            self.violate(Rule::NoSecondAttempt);
        }
        if self.release.is_some() {
            self.violate(Rule::NoSendBesideRelease);
        }
        if self.machine.is_closed() {
            self.violate(Rule::NothingAfterEnd);
        }
        let call = &mut self.calls[attempt];
        call.connection.plant(setup.connection_fault);
        call.state = CallState::Starting;
    }

    /// Whether an attempt is in flight whose answer the client does not receive yet.
    fn has_waiting_call(&self) -> bool {
        let waits =
            |(call, attempt): (&Call, &Attempt)| call.is_open() && attempt.state != AttemptState::Streaming;
        self.calls.iter().zip(self.machine.attempts()).any(waits)
    }

    fn start_release(&mut self, after_cut: bool) {
        if self.has_waiting_call() {
            self.violate(Rule::NoReleaseBesideAttempt);
        }
        let call = if after_cut { ReleaseCall::Waiting } else { ReleaseCall::Sent { after_cut } };
        if self.release.replace(call).is_some() {
            self.violate(Rule::NoSendBesideRelease);
        }
    }

    fn cancel_slot_call(&mut self) {
        if let SlotCall::InFlight { server, reserved } = self.slot_call {
            self.slot_call = if reserved { SlotCall::None } else { SlotCall::Abandoned { server } };
        }
    }

    fn respond(&mut self, response: FinalResponse) {
        self.final_responses += 1;
        self.was_rejected |= response == FinalResponse::Rejected;
        let is_at_most_once = self.machine.policy().retry_safety == RetrySafety::AtMostOnce;
        if response == FinalResponse::Rejected && is_at_most_once && self.may_still_run() {
            self.violate(Rule::RefusalIsTrue);
        }
        if self.final_responses > 1 || self.streams > 0 || self.client_disconnected {
            self.violate(Rule::OneFinalAnswer);
        }
    }

    /// Whether a server works on an attempt, a prefill too, or may still.
    fn may_still_run(&self) -> bool {
        let may_run = |call: &Call| matches!(call.work, ServerWork::Received | ServerWork::Abandoned);
        self.calls.iter().any(may_run)
    }

    fn forward_stream(&mut self) {
        self.streams += 1;
        if self.streams > 1 || self.final_responses > 0 || self.client_disconnected {
            self.violate(Rule::OneFinalAnswer);
        }
    }

    fn note_outcome(&mut self, attempt: usize) {
        self.outcomes[attempt] += 1;
        if self.outcomes[attempt] > 1 {
            self.violate(Rule::OneOutcomePerSend);
        }
    }

    /// The request has finished: nothing of it may be left.
    fn finish(&mut self) {
        self.is_finished = true;
        let slot_call_in_flight = matches!(self.slot_call, SlotCall::InFlight { .. });
        if self.has_open_call() || self.release.is_some() || slot_call_in_flight {
            self.violate(Rule::NothingAfterEnd);
        }
        if self.armed != [false; 2] {
            self.violate(Rule::NothingLeftAtRest);
        }
        if self.outcomes.iter().any(|outcomes| *outcomes != 1) {
            self.violate(Rule::OneOutcomePerSend);
        }
    }
}
