//! The state that a member keeps about another member.

use std::collections::BTreeMap;

use super::messages::{JournalPosition, Lessees};

/// Maximum number of requests to one member that await a response. The oldest ones are dropped.
const MAX_PENDING_REQUESTS: usize = 16;

#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// The latest known incarnation of the peer.
    pub incarnation: u64,
    /// The sequence number in the journal of that incarnation up to which this member has all changes.
    pub received_up_to: u64,
    /// Number of the latest request received from that incarnation.
    pub last_request: u64,
    /// Number of requests sent to the peer.
    sent_requests: u64,
    /// The time at which each pending request was sent, by number.
    pending_requests: BTreeMap<u64, u64>,
    /// The time at which this member sent the request behind its latest lease from the peer.
    pub lease_start: Option<u64>,
    /// The time, on this member's clock, until which each incarnation of the peer may use a lease from this
    /// member.
    pub granted_leases: BTreeMap<u64, u64>,
    /// The sequence number in this member's journal up to which the peer enforces all changes.
    pub confirmed_up_to: u64,
    /// Whether the peer's latest request had the same voter configuration as this member.
    pub same_voter_config: bool,
    /// The lessees in the peer's latest request; `None` before the first one.
    pub lessees: Option<Lessees>,
    /// Whether the peer needs this member's lessees.
    pub wants_lessees: bool,
}

impl Peer {
    /// Returns whether this is the peer's current incarnation. A later one becomes the current one and resets
    /// the state, because the data of the earlier one may be lost.
    pub fn accept_incarnation(&mut self, incarnation: u64) -> bool {
        if incarnation > self.incarnation {
            self.reset(incarnation);
        }
        incarnation == self.incarnation
    }

    /// Resets the state for a new incarnation. Leases in both directions are kept until they expire: an
    /// earlier incarnation may still run, as during a handover, and its successor may answer requests that
    /// were sent to it.
    pub fn reset(&mut self, incarnation: u64) {
        *self = Peer {
            incarnation,
            granted_leases: std::mem::take(&mut self.granted_leases),
            lease_start: self.lease_start,
            sent_requests: self.sent_requests,
            pending_requests: std::mem::take(&mut self.pending_requests),
            ..Peer::default()
        };
    }

    /// Records a lease of the peer's current incarnation that may be valid until `until`.
    pub fn grant_lease(&mut self, now: u64, until: u64) {
        self.granted_leases.retain(|_, end| *end > now);
        let end = self.granted_leases.entry(self.incarnation).or_default();
        *end = until.max(*end);
    }

    /// Records a new request. Returns its number and the position in the peer's journal that it reports.
    pub fn start_request(&mut self, now: u64) -> (u64, JournalPosition) {
        self.sent_requests += 1;
        self.pending_requests.insert(self.sent_requests, now);
        while self.pending_requests.len() > MAX_PENDING_REQUESTS {
            self.pending_requests.pop_first();
        }
        (self.sent_requests, JournalPosition { incarnation: self.incarnation, sequence: self.received_up_to })
    }

    /// Removes a pending request and returns the time at which it was sent; `None` if it is not pending.
    pub fn finish_request(&mut self, number: u64) -> Option<u64> {
        self.pending_requests.remove(&number)
    }
}
