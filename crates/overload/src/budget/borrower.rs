//! Leases of a borrower: what it has requested, and what it holds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{MessageError, Units};
use crate::{Incarnation, Member, Ms};

/// Request for units of the receiver's share. It also reports which grant from the receiver the sender still
/// holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Grows with each request of this incarnation to this member.
    pub sequence: u32,
    /// Units wanted in all; 0 gives back what was lent.
    pub wanted_units: Units,
    /// Sequence number of the request whose grant is still held. The sender holds no other grant from the
    /// receiver, and accepts none for earlier requests any more.
    pub held_request: Option<u32>,
}

/// Reply to a lease request. It replaces what was held from this lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Incarnation that sent the request.
    pub incarnation: Incarnation,
    /// Sequence number of the request.
    pub sequence: u32,
    pub amount: Units,
    /// Time for which the units may be spent, counted from the request on the borrower's clock.
    pub duration: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Lease {
    pub sequence: u32,
    pub amount: Units,
    pub expires_at: Ms,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct LenderState {
    /// Sequence number of the newest request to this lender.
    last_request: u32,
    requested_at: Ms,
    is_pending: bool,
    lease: Option<Lease>,
}

/// Leases held, by lender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Leases {
    /// Sequence number of the newest request to any lender. It is common to all lenders, so that no number is
    /// used twice after the state of a lender was removed.
    last_sequence: u32,
    lenders: BTreeMap<Member, LenderState>,
}

impl Leases {
    /// Returns the units that may be spent of other members' shares.
    pub fn total(&self, now: Ms) -> Units {
        self.active(now).fold(0, |total, (_, lease)| total.saturating_add(lease.amount))
    }

    /// Returns the leases that have not expired, with their lenders.
    pub fn active(&self, now: Ms) -> impl Iterator<Item = (Member, Lease)> + '_ {
        let is_active = move |lease: &Lease| lease.expires_at > now;
        self.lenders.iter().filter_map(move |(lender, state)| Some((*lender, state.lease.filter(is_active)?)))
    }

    /// Returns whether a request to this lender may still be answered.
    pub fn is_pending(&self, now: Ms, lender: Member, lease_duration: Ms) -> bool {
        self.lenders
            .get(&lender)
            .is_some_and(|s| s.is_pending && now < s.requested_at.saturating_add(lease_duration))
    }

    /// Creates the next request to a lender. A request for 0 units gives up what is held before any message
    /// is sent. `keep_returned` plants a fault.
    pub fn request(
        &mut self, now: Ms, incarnation: Incarnation, lender: Member, wanted_units: Units,
        keep_returned: bool,
    ) -> LeaseRequest {
        self.last_sequence = self.last_sequence.saturating_add(1);
        let state = self.lenders.entry(lender).or_default();
        let held = state.lease.filter(|lease| lease.expires_at > now && wanted_units > 0);
        if !keep_returned {
            state.lease = held;
        }
        (state.last_request, state.requested_at, state.is_pending) = (self.last_sequence, now, true);
        LeaseRequest {
            incarnation,
            sequence: state.last_request,
            wanted_units,
            held_request: held.map(|lease| lease.sequence),
        }
    }

    /// Accepts a grant if it is the first answer to the newest request. Its duration counts from the request,
    /// which came before the lender's grant, and from no earlier than `earliest_start`; with `accept_stale`,
    /// any grant is accepted. Only planted faults use these two parameters.
    pub fn accept_grant(
        &mut self, earliest_start: Ms, lender: Member, grant: &LeaseGrant, accept_stale: bool,
    ) -> Result<(), MessageError> {
        let state = self.lenders.get_mut(&lender).ok_or(MessageError::StaleReply)?;
        let is_expected = state.is_pending && state.last_request == grant.sequence;
        if !(is_expected || accept_stale) {
            return Err(MessageError::StaleReply);
        }
        let expires_at = earliest_start.max(state.requested_at).saturating_add(grant.duration);
        state.is_pending = false;
        let lease = Lease { sequence: grant.sequence, amount: grant.amount, expires_at };
        state.lease = Some(lease).filter(|lease| lease.amount > 0);
        Ok(())
    }

    /// Removes expired leases and requests that cannot be answered any more, so that the memory is bounded by
    /// the number of lenders.
    pub fn prune(&mut self, now: Ms, lease_duration: Ms) {
        for state in self.lenders.values_mut() {
            state.lease = state.lease.filter(|l| l.expires_at > now);
            state.is_pending &= now < state.requested_at.saturating_add(lease_duration);
        }
        self.lenders.retain(|_, state| state.is_pending || state.lease.is_some());
    }
}
