//! A lender's books: what of its own share is out, and until when it must be set aside.

use std::collections::BTreeMap;

use super::{LeaseRequest, MessageError, Units};
use crate::{Incarnation, Member, Ms};

/// Most lives of members that hold leases from one lender.
const MAX_BORROWERS: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    sequence: u32,
    amount: Units,
    /// On its borrower's clock, from its asking.
    duration: Ms,
    /// On the lender's clock: from here on it has surely ended at its borrower.
    expires_at: Ms,
}

/// One life of a borrower. A later life says nothing of an earlier one's leases: those run out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct BorrowerRecord {
    /// The newest ask that was heard.
    last_request: u32,
    /// Until here the book is kept though nothing is promised, so that a late ask is not taken for a new one.
    retain_until: Ms,
    leases: Vec<GrantedLease>,
}

impl BorrowerRecord {
    /// The borrower holds at most one of its promises, and nobody here knows which.
    fn reserved(&self, now: Ms) -> Units {
        self.leases.iter().filter(|lease| lease.expires_at > now).map(|lease| lease.amount).max().unwrap_or(0)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct LenderLedger {
    borrowers: BTreeMap<(Member, Incarnation), BorrowerRecord>,
}

impl LenderLedger {
    /// What is set aside for others.
    pub fn reserved(&self, now: Ms) -> Units {
        self.borrowers.values().fold(0, |sum, record| sum.saturating_add(record.reserved(now)))
    }

    /// What is set aside for all but one life of a member.
    pub fn reserved_except(&self, now: Ms, borrower: (Member, Incarnation)) -> Units {
        let excepted = self.borrowers.get(&borrower).map_or(0, |record| record.reserved(now));
        self.reserved(now) - excepted
    }

    /// Takes an ask into the books. What was promised to it already is answered again as it was; otherwise nothing
    /// is promised yet.
    pub fn register_request(
        &mut self, now: Ms, sender: Member, request: &LeaseRequest, retention: Ms,
    ) -> Result<Option<(Units, Ms)>, MessageError> {
        self.prune(now);
        if self.borrowers.len() >= MAX_BORROWERS
            && !self.borrowers.contains_key(&(sender, request.incarnation))
        {
            return Err(MessageError::TableFull { sender, max: MAX_BORROWERS });
        }
        let record = self.borrowers.entry((sender, request.incarnation)).or_default();
        if request.sequence < record.last_request {
            return Err(MessageError::StaleRequest);
        }
        if request.sequence == record.last_request {
            let repeated = record
                .leases
                .iter()
                .find(|lease| lease.sequence == request.sequence && lease.expires_at > now);
            return repeated
                .map(|lease| Some((lease.amount, lease.duration)))
                .ok_or(MessageError::StaleRequest);
        }
        (record.last_request, record.retain_until) = (request.sequence, now.saturating_add(retention));
        // Whatever was granted before this ask and is not held now will never be taken.
        record.leases.retain(|lease| lease.expires_at > now && Some(lease.sequence) == request.held_request);
        Ok(None)
    }

    /// Forgets what has ended.
    pub fn prune(&mut self, now: Ms) {
        for record in self.borrowers.values_mut() {
            record.leases.retain(|lease| lease.expires_at > now);
        }
        self.borrowers.retain(|_, record| record.retain_until > now || !record.leases.is_empty());
    }

    pub fn record_grant(
        &mut self, sender: Member, request: &LeaseRequest, amount: Units, duration: Ms, expires_at: Ms,
    ) {
        let record = self.borrowers.entry((sender, request.incarnation)).or_default();
        record.leases.push(GrantedLease { sequence: request.sequence, amount, duration, expires_at });
    }

    /// Forgets all but the newest promise to a life of a member.
    #[cfg(feature = "mutants")]
    pub fn drop_former_grants(&mut self, borrower: (Member, Incarnation)) {
        if let Some(record) = self.borrowers.get_mut(&borrower) {
            let last = record.leases.len().saturating_sub(1);
            record.leases.drain(..last);
        }
    }
}
