//! Reservations that servers hold for a request (KV state and slots), and their release.

use super::planted_faults::Fault;
use super::transitions::Unexpected;
use super::{Effect, Effects, Release, Request, Reservation, Server, SlotRequest};

impl Request {
    /// Handles the router's command to release all reservations.
    ///
    /// Nothing is done if no server can hold a reservation: a needless call costs a server work, and could
    /// affect another request with the same identifier. Nothing is done either if a release has started: it
    /// is still delayed and covers all reservations, or [`Request::reserve`] has scheduled another one for
    /// those made since.
    pub(super) fn request_release(&mut self) {
        let has_started = matches!(self.release, Release::Waiting | Release::InProgress { .. });
        if self.has_reservation() && !has_started {
            self.make_release_due();
        }
    }

    /// Calls a decode server to reserve a slot, but only while an attempt is dispatched: a slot that no attempt is
    /// going to use would pin the decode server's memory.
    pub(super) fn request_slot(&mut self, server: Server, effects: &mut Effects) {
        if self.slot_request == SlotRequest::None && !self.is_closed() && self.has_dispatched_attempt() {
            self.slot_request = SlotRequest::InFlight(server);
            effects.push(Effect::RequestSlot { server });
        }
    }

    pub(super) fn on_slot_answered(
        &mut self, reserved: Option<bool>, effects: &mut Effects,
    ) -> Result<(), Unexpected> {
        let SlotRequest::InFlight(server) = self.slot_request else { return Err(Unexpected) };
        self.slot_request = SlotRequest::None;
        // With an unknown result the slot may be reserved, even if a stream has begun without it in the meantime.
        let may_be_reserved = reserved != Some(false) && !self.has_fault(Fault::ForgetsPlace);
        if may_be_reserved {
            self.reserve(Reservation::Slot(server));
        }
        if let Some(reserved) = reserved {
            effects.push(Effect::NotifySlot { server, reserved });
        }
        Ok(())
    }

    /// Handles the sending of a delayed release, which does not cover what servers reserve from now on.
    pub(super) fn on_release_sent(&mut self) -> Result<(), Unexpected> {
        if self.release != Release::Waiting {
            return Err(Unexpected);
        }
        self.release = Release::InProgress { repeat: false };
        Ok(())
    }

    pub(super) fn on_released(&mut self) -> Result<(), Unexpected> {
        let repeat = match self.release {
            Release::InProgress { repeat } => repeat,
            Release::Waiting => false,
            Release::None | Release::Due => return Err(Unexpected),
        };
        if repeat {
            self.release = Release::Due;
            return Ok(());
        }
        self.release = Release::None;
        self.reservation = Reservation::None;
        if self.has_fault(Fault::TakesReleaseAsNotice) {
            self.discard_unconfirmed_closes();
        }
        Ok(())
    }

    /// Handles the proof that the server of an interrupted prefill has stopped working on it. A release that is sent
    /// from now on covers whatever the prefill has left.
    pub(super) fn on_close_confirmed(&mut self, attempt: usize) -> Result<(), Unexpected> {
        if !self.take_unconfirmed_close(attempt)? {
            return Ok(());
        }
        if self.release == Release::Waiting {
            return Ok(());
        }
        self.reserve(Reservation::KvState);
        // If an attempt may use or renew the reservations, its outcome decides whether they are released.
        if !self.may_use_reservations() {
            self.make_release_due();
        }
        Ok(())
    }

    /// Clears the attempt's flag for an unconfirmed close, and returns whether it was set.
    fn take_unconfirmed_close(&mut self, attempt: usize) -> Result<bool, Unexpected> {
        let attempt = self.attempts.get_mut(attempt).ok_or(Unexpected)?;
        if attempt.is_open() {
            return Err(Unexpected);
        }
        Ok(std::mem::take(&mut attempt.unconfirmed_close))
    }

    /// Clears the flags for unconfirmed closes. Only planted faults do so, which accept insufficient evidence.
    pub(super) fn discard_unconfirmed_closes(&mut self) {
        for attempt in &mut self.attempts {
            attempt.unconfirmed_close = false;
        }
    }

    /// Records that servers may hold this reservation from now on. A recorded slot is kept, since it also
    /// covers KV state. A release in progress may not cover the reservation, so another release must follow
    /// it.
    pub(super) fn reserve(&mut self, reservation: Reservation) {
        if !matches!(self.reservation, Reservation::Slot(_)) {
            self.reservation = reservation;
        }
        if let Release::InProgress { repeat } = &mut self.release {
            *repeat = true;
        }
    }

    /// Schedules a release as soon as one may start, or another one after the release in progress.
    pub(super) fn make_release_due(&mut self) {
        match &mut self.release {
            Release::InProgress { repeat } => *repeat = true,
            // The delayed release is sent later, so it covers this too.
            Release::Waiting => {}
            release => *release = Release::Due,
        }
    }

    /// Cancels the call that was to reserve a slot. The server may have reserved it, so it must be released.
    pub(super) fn cancel_slot_request(&mut self, effects: &mut Effects) {
        if let SlotRequest::InFlight(server) = self.slot_request {
            self.slot_request = SlotRequest::None;
            self.interrupted_since_release = true;
            self.reserve(Reservation::Slot(server));
            effects.push(Effect::CancelSlotRequest);
        }
    }

    /// Cancels the slot call of a closed request and schedules the release of its reservations.
    pub(super) fn release_reservations_of_closed(&mut self, effects: &mut Effects) {
        self.cancel_slot_request(effects);
        let needs_release = self.reservation != Reservation::None && self.release == Release::None;
        if needs_release && !self.has_fault(Fault::ForgetsHeldAtEnd) {
            self.release = Release::Due;
        }
    }

    /// Starts a release that is due, once no dispatched attempt may use or renew the reservations.
    pub(super) fn start_due_release(&mut self, effects: &mut Effects) {
        let may_start = !self.may_use_reservations() || self.has_fault(Fault::ReleasesWhileOut);
        if self.release == Release::Due && may_start {
            let after_interruption = std::mem::take(&mut self.interrupted_since_release);
            self.release =
                if after_interruption { Release::Waiting } else { Release::InProgress { repeat: false } };
            effects.push(Effect::Release { after_interruption });
        }
    }
}
