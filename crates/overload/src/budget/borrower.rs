//! A borrower's side: what it has asked for, and the leases that it holds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{MessageError, Units};
use crate::{Incarnation, Member, Ms};

/// A member asks another for a part, or says what it holds and lets go of the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The asking life.
    pub incarnation: Incarnation,
    /// Grows with each ask of this life to this member.
    pub sequence: u32,
    /// Nothing gives back what was lent.
    pub want: Units,
    /// The ask whose grant is still held; no other grant before this ask is or will be.
    pub held_request: Option<u32>,
}

/// The answer to an ask. It goes in place of what was held from this lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The life that asked.
    pub incarnation: Incarnation,
    /// The ask that it answers.
    pub sequence: u32,
    pub amount: Units,
    /// How long it may be spent, from the moment of asking, on the borrower's clock.
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
    /// The newest ask to this lender.
    last_request: u32,
    requested_at: Ms,
    is_pending: bool,
    lease: Option<Lease>,
}

/// What is held, by lender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Leases {
    /// Asks of this life, to whomever, so that no number comes twice when a side was forgotten.
    last_sequence: u32,
    lenders: BTreeMap<Member, LenderState>,
}

impl Leases {
    /// What may be spent of others' shares.
    pub fn total(&self, now: Ms) -> Units {
        self.active(now).fold(0, |total, (_, lease)| total.saturating_add(lease.amount))
    }

    pub fn active(&self, now: Ms) -> impl Iterator<Item = (Member, Lease)> + '_ {
        let is_active = move |lease: &Lease| lease.expires_at > now;
        self.lenders.iter().filter_map(move |(lender, state)| Some((*lender, state.lease.filter(is_active)?)))
    }

    /// Whether an ask to this lender may still be answered.
    pub fn is_pending(&self, now: Ms, lender: Member, lease_duration: Ms) -> bool {
        self.lenders
            .get(&lender)
            .is_some_and(|s| s.is_pending && now < s.requested_at.saturating_add(lease_duration))
    }

    /// The next ask to a lender. An ask for nothing gives up what is held, before anybody is told.
    pub fn request(
        &mut self, now: Ms, incarnation: Incarnation, lender: Member, want: Units, keep_returned: bool,
    ) -> LeaseRequest {
        self.last_sequence = self.last_sequence.saturating_add(1);
        let state = self.lenders.entry(lender).or_default();
        let held = state.lease.filter(|lease| lease.expires_at > now && want > 0);
        if !keep_returned {
            state.lease = held;
        }
        (state.last_request, state.requested_at, state.is_pending) = (self.last_sequence, now, true);
        LeaseRequest {
            incarnation,
            sequence: state.last_request,
            want,
            held_request: held.map(|lease| lease.sequence),
        }
    }

    /// Takes a grant, if it answers the newest ask, and that for the first time. Its lease counts from the ask, which
    /// came before the lender's promise, and no earlier than `earliest_start`; `accept_stale` takes every grant. Faults use both.
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

    /// Drops what has ended and what nobody waits for, so that the memory is bounded by who lends.
    pub fn prune(&mut self, now: Ms, lease_duration: Ms) {
        for state in self.lenders.values_mut() {
            state.lease = state.lease.filter(|l| l.expires_at > now);
            state.is_pending &= now < state.requested_at.saturating_add(lease_duration);
        }
        self.lenders.retain(|_, state| state.is_pending || state.lease.is_some());
    }
}
