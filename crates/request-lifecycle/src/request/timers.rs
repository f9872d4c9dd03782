//! Timers of a request: its deadline, and the limit on how long servers hold reservations for it.

use super::planted_faults::Fault;
use super::transitions::Unexpected;
use super::{
    Attempt, AttemptState, Effect, Effects, FinalResponse, Release, Request, ResponseState, SlotRequest,
    Timer,
};

impl Request {
    pub(super) fn on_timer_expired(&mut self, timer: Timer, effects: &mut Effects) -> Result<(), Unexpected> {
        if !self.is_armed(timer) {
            return Err(Unexpected);
        }
        match timer {
            Timer::Deadline => self.on_deadline(effects),
            Timer::LeaseLimit => self.on_lease_limit(effects),
        }
        Ok(())
    }

    fn on_deadline(&mut self, effects: &mut Effects) {
        self.deadline_armed = false;
        if self.has_fault(Fault::TakesDeadlineAsNotice) {
            self.discard_unconfirmed_closes();
        }
        if self.response == ResponseState::Pending {
            self.respond(FinalResponse::DeadlineExceeded, effects);
            // For the router this equals a disconnected client: the response is no longer awaited.
            effects.push(Effect::NotifyClientDisconnected);
        }
    }

    /// Handles the lease limit: reservations are released, because no attempt that would use them is known to have
    /// been delivered in time.
    fn on_lease_limit(&mut self, effects: &mut Effects) {
        self.lease_armed = false;
        self.cancel_slot_request(effects);
        self.cancel_undelivered(effects);
        self.make_release_due();
    }

    /// Arms the timers that the current state needs and disarms the others.
    pub(super) fn update_timers(&mut self, effects: &mut Effects) {
        let needs_deadline = self.needs_deadline();
        let needs_lease_limit = self.needs_lease_limit();
        set_timer(&mut self.deadline_armed, Timer::Deadline, needs_deadline, effects);
        set_timer(&mut self.lease_armed, Timer::LeaseLimit, needs_lease_limit, effects);
    }

    /// Returns whether the deadline timer stays armed: until it expires, a response begins or is sent, or the
    /// client disconnects.
    fn needs_deadline(&self) -> bool {
        let awaits_response = self.response == ResponseState::Pending || self.has_fault(Fault::LeavesTimer);
        self.deadline_armed && awaits_response && !self.has_fault(Fault::NoDeadline)
    }

    /// Returns whether servers may hold a reservation that no delivered attempt uses and no release in progress
    /// covers.
    fn needs_lease_limit(&self) -> bool {
        // A slot may be reserved before the response to the call that reserves it is received.
        let may_be_reserved = self.has_reservation() || self.slot_request != SlotRequest::None;
        // An attempt that was only written may never arrive, so it must neither stop the timer nor delay a release
        // indefinitely.
        let timer_runs = match self.release {
            Release::None => !self.is_closed() || self.has_unconfirmed_close(),
            Release::Due => self
                .attempts
                .iter()
                .any(|attempt| attempt.state == AttemptState::InFlight && !attempt.delivered),
            Release::Waiting | Release::InProgress { .. } => false,
        };
        may_be_reserved && !self.has_delivered_attempt() && timer_runs && !self.has_fault(Fault::NoPinLimit)
    }

    /// Returns whether an attempt that awaits its response is known to have been delivered to its server.
    fn has_delivered_attempt(&self) -> bool {
        if self.has_fault(Fault::CountsWrittenAsArrived) {
            return self.has_open_attempt();
        }
        let is_awaiting_response =
            |attempt: &Attempt| attempt.is_open() && attempt.state != AttemptState::Streaming;
        self.attempts.iter().any(|attempt| is_awaiting_response(attempt) && attempt.delivered)
    }
}

fn set_timer(armed: &mut bool, timer: Timer, needed: bool, effects: &mut Effects) {
    if *armed == needed {
        return;
    }
    *armed = needed;
    effects.push(if needed { Effect::ArmTimer(timer) } else { Effect::DisarmTimer(timer) });
}
