//! What servers hold for a request: KV state, a slot, and their release.

use super::planted_faults::Fault;
use super::transitions::Unexpected;
use super::{Effect, Effects, Release, Request, Reservation, Server, SlotRequest};

impl Request {
    /// The router orders a release.
    ///
    /// Only what may be reserved is released: a needless call costs a server work, and could hit another request of
    /// the same identifier. What was reserved after a release began has asked for another release by itself.
    pub(super) fn order_release(&mut self) {
        let has_started = matches!(self.release, Release::Waiting | Release::InProgress { .. });
        if self.has_reservation() && !has_started {
            self.make_release_due();
        }
    }

    /// Asks a decode server to reserve a slot, only while an attempt is at a server: a slot that no attempt is going
    /// to use would pin the decode server's memory.
    pub(super) fn request_slot(&mut self, server: Server, effects: &mut Effects) {
        if self.slot_request == SlotRequest::None && !self.is_closed() && self.at_server() {
            self.slot_request = SlotRequest::InFlight(server);
            effects.push(Effect::RequestSlot { server });
        }
    }

    pub(super) fn on_slot_answered(
        &mut self, reserved: Option<bool>, effects: &mut Effects,
    ) -> Result<(), Unexpected> {
        let SlotRequest::InFlight(server) = self.slot_request else { return Err(Unexpected) };
        self.slot_request = SlotRequest::None;
        // An unknown answer may mean a reserved slot, even while a stream runs that has begun without it.
        let may_be_reserved = reserved != Some(false) && !self.has_fault(Fault::ForgetsPlace);
        if may_be_reserved {
            self.reserve(Reservation::Slot(server));
        }
        if let Some(reserved) = reserved {
            effects.push(Effect::NotifySlot { server, reserved });
        }
        Ok(())
    }

    /// The release that waited is sent: what servers reserve from now on is met only by another one.
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
            self.forget_unnoticed_closes();
        }
        Ok(())
    }

    /// The server of a prefill that was cut off works on it no more: what it has left is met by a release sent from now on.
    pub(super) fn on_close_confirmed(&mut self, attempt: usize) -> Result<(), Unexpected> {
        if !self.take_unnoticed_close(attempt)? {
            return Ok(());
        }
        if self.release == Release::Waiting {
            return Ok(());
        }
        self.reserve(Reservation::KvState);
        // Of an attempt that may use or renew what is released the end decides.
        if !self.may_use_reservations() {
            self.make_release_due();
        }
        Ok(())
    }

    /// Whether nothing had proved so far that the attempt's server has noticed.
    fn take_unnoticed_close(&mut self, attempt: usize) -> Result<bool, Unexpected> {
        let attempt = self.attempts.get_mut(attempt).ok_or(Unexpected)?;
        if attempt.is_open() {
            return Err(Unexpected);
        }
        Ok(std::mem::take(&mut attempt.unnoticed_close))
    }

    /// What the planted faults take for proof that servers have noticed.
    pub(super) fn forget_unnoticed_closes(&mut self) {
        for attempt in &mut self.attempts {
            attempt.unnoticed_close = false;
        }
    }

    /// Notes that servers may hold this from now on. A slot is the larger reservation and stays noted.
    pub(super) fn reserve(&mut self, reservation: Reservation) {
        if !matches!(self.reservation, Reservation::Slot(_)) {
            self.reservation = reservation;
        }
        if let Release::InProgress { repeat } = &mut self.release {
            *repeat = true;
        }
    }

    /// Has a release start as soon as it may, or another follow the one in progress.
    pub(super) fn make_release_due(&mut self) {
        match &mut self.release {
            Release::InProgress { repeat } => *repeat = true,
            // It is sent later, so it meets this too.
            Release::Waiting => {}
            release => *release = Release::Due,
        }
    }

    /// Drops the call for a slot that nobody will use; what it may have reserved has to be released.
    pub(super) fn cancel_slot_request(&mut self, effects: &mut Effects) {
        if let SlotRequest::InFlight(server) = self.slot_request {
            self.slot_request = SlotRequest::None;
            self.cut_since_release = true;
            self.reserve(Reservation::Slot(server));
            effects.push(Effect::CancelSlotRequest);
        }
    }

    /// A closed request gives up its call for a slot and has everything released.
    pub(super) fn release_reservations_of_closed(&mut self, effects: &mut Effects) {
        self.cancel_slot_request(effects);
        let needs_release = self.reservation != Reservation::None && self.release == Release::None;
        if needs_release && !self.has_fault(Fault::ForgetsHeldAtEnd) {
            self.release = Release::Due;
        }
    }

    /// Starts a release that is due once no attempt is at a server that could still use or renew what is released.
    pub(super) fn start_due_release(&mut self, effects: &mut Effects) {
        let may_start = !self.may_use_reservations() || self.has_fault(Fault::ReleasesWhileOut);
        if self.release == Release::Due && may_start {
            let after_cut = std::mem::take(&mut self.cut_since_release);
            self.release = if after_cut { Release::Waiting } else { Release::InProgress { repeat: false } };
            effects.push(Effect::Release { after_cut });
        }
    }
}
