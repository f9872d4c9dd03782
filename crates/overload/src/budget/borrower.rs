//! A borrower's side: what it has asked for, and the leases that it holds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{HearError, Units};
use crate::{Life, Member, Ms};

/// A member asks another for a part, or says what it holds and lets go of the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ask {
    /// The asking life.
    pub life: Life,
    /// Grows with each ask of this life to this member.
    pub number: u32,
    /// Nothing gives back what was lent.
    pub want: Units,
    /// The ask whose grant is still held; no other grant before this ask is or will be.
    pub holding: Option<u32>,
}

/// The answer to an ask. It goes in place of what was held from this lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The life that asked.
    pub life: Life,
    /// The ask that it answers.
    pub number: u32,
    pub amount: Units,
    /// How long it may be spent, from the moment of asking, on the borrower's clock.
    pub length: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Lease {
    pub number: u32,
    pub amount: Units,
    pub until: Ms,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Side {
    /// The newest ask to this lender.
    asked: u32,
    asked_at: Ms,
    waits: bool,
    lease: Option<Lease>,
}

/// What is held, by lender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Held {
    /// Asks of this life, to whomever, so that no number comes twice when a side was forgotten.
    asks: u32,
    sides: BTreeMap<Member, Side>,
}

impl Held {
    /// What may be spent of others' shares.
    pub fn sum(&self, now: Ms) -> Units {
        self.leases(now).fold(0, |sum, (_, lease)| sum.saturating_add(lease.amount))
    }

    pub fn leases(&self, now: Ms) -> impl Iterator<Item = (Member, Lease)> + '_ {
        let live = move |lease: &Lease| lease.until > now;
        self.sides.iter().filter_map(move |(lender, side)| Some((*lender, side.lease.filter(live)?)))
    }

    /// Whether an ask to this lender may still be answered.
    pub fn waits(&self, now: Ms, lender: Member, lease: Ms) -> bool {
        self.sides.get(&lender).is_some_and(|s| s.waits && now < s.asked_at.saturating_add(lease))
    }

    /// The next ask to a lender. An ask for nothing gives up what is held, before anybody is told.
    pub fn ask(&mut self, now: Ms, life: Life, lender: Member, want: Units, keep: bool) -> Ask {
        self.asks = self.asks.saturating_add(1);
        let side = self.sides.entry(lender).or_default();
        let held = side.lease.filter(|lease| lease.until > now && want > 0);
        if !keep {
            side.lease = held;
        }
        (side.asked, side.asked_at, side.waits) = (self.asks, now, true);
        Ask { life, number: side.asked, want, holding: held.map(|lease| lease.number) }
    }

    /// Takes a grant, if it answers the newest ask, and that for the first time. Its lease counts from the ask, which
    /// came before the lender's promise, and no earlier than `from`; `any` takes every grant. Faults use both.
    pub fn take(&mut self, from: Ms, lender: Member, grant: &Grant, any: bool) -> Result<(), HearError> {
        let side = self.sides.get_mut(&lender).ok_or(HearError::OldGrant)?;
        let answers = side.waits && side.asked == grant.number;
        if !(answers || any) {
            return Err(HearError::OldGrant);
        }
        let until = from.max(side.asked_at).saturating_add(grant.length);
        side.waits = false;
        let lease = Lease { number: grant.number, amount: grant.amount, until };
        side.lease = Some(lease).filter(|lease| lease.amount > 0);
        Ok(())
    }

    /// Drops what has ended and what nobody waits for, so that the memory is bounded by who lends.
    pub fn prune(&mut self, now: Ms, lease: Ms) {
        for side in self.sides.values_mut() {
            side.lease = side.lease.filter(|l| l.until > now);
            side.waits &= now < side.asked_at.saturating_add(lease);
        }
        self.sides.retain(|_, side| side.waits || side.lease.is_some());
    }
}
