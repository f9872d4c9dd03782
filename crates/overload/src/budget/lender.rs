//! Ledger of a lender: which of its units are lent, and until when they stay reserved.

use std::collections::BTreeMap;

use super::{LeaseRequest, MessageError, Units};
use crate::{Incarnation, Member, Ms};

/// Maximum number of borrowing incarnations that one lender keeps records of.
const MAX_BORROWERS: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    sequence: u32,
    amount: Units,
    /// Duration on the borrower's clock, from the time of its request.
    duration: Ms,
    /// Time on the lender's clock from which the lease has certainly expired at the borrower.
    expires_at: Ms,
}

/// Leases granted to one incarnation of a borrower. A later incarnation does not report which of them are
/// still held, so that they stay reserved until they expire.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct BorrowerRecord {
    /// Sequence number of the newest request received.
    last_request: u32,
    /// Time until which the record is kept even without leases, so that a late request is not taken for a new
    /// one.
    retain_until: Ms,
    leases: Vec<GrantedLease>,
}

impl BorrowerRecord {
    /// Returns the units reserved for the borrower: it holds at most one of these leases, and the lender
    /// cannot tell which.
    fn reserved(&self, now: Ms) -> Units {
        self.leases.iter().filter(|lease| lease.expires_at > now).map(|lease| lease.amount).max().unwrap_or(0)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct LenderLedger {
    borrowers: BTreeMap<(Member, Incarnation), BorrowerRecord>,
}

impl LenderLedger {
    /// Returns the units reserved for all borrowers.
    pub fn reserved(&self, now: Ms) -> Units {
        self.borrowers.values().fold(0, |sum, record| sum.saturating_add(record.reserved(now)))
    }

    /// Returns the units reserved for all borrowers except the incarnation `borrower`.
    pub fn reserved_except(&self, now: Ms, borrower: (Member, Incarnation)) -> Units {
        let excepted = self.borrowers.get(&borrower).map_or(0, |record| record.reserved(now));
        self.reserved(now) - excepted
    }

    /// Registers a request. If it repeats one that was granted, returns the amount and duration of that grant
    /// again; if it is new, returns `None` and nothing is granted yet.
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
        // Earlier grants that the borrower does not hold now will never be accepted.
        record.leases.retain(|lease| lease.expires_at > now && Some(lease.sequence) == request.held_request);
        Ok(None)
    }

    /// Removes expired leases, and records that have no lease and are past their retention.
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

    /// Removes all but the newest grant to an incarnation of a member.
    #[cfg(feature = "mutants")]
    pub fn drop_former_grants(&mut self, borrower: (Member, Incarnation)) {
        if let Some(record) = self.borrowers.get_mut(&borrower) {
            let last = record.leases.len().saturating_sub(1);
            record.leases.drain(..last);
        }
    }
}
