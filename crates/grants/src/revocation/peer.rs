//! What a member remembers of another one.

use std::collections::BTreeMap;

use super::messages::{JournalPosition, Lessees};

/// Questions to one member that wait for an answer; the oldest are given up.
const MAX_PENDING_REQUESTS: usize = 16;

#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// The latest life heard of.
    pub incarnation: u64,
    /// How far its journal in that life is taken.
    pub received_up_to: u64,
    /// Its latest question in that life.
    pub last_request: u64,
    sent_requests: u64,
    pending_requests: BTreeMap<u64, u64>,
    /// When the question was sent whose answer counts longest.
    pub lease_start: Option<u64>,
    /// Until when on this member's clock each of its lives may know by this member's word.
    pub granted_leases: BTreeMap<u64, u64>,
    /// How much of this member's journal it enforces.
    pub confirmed_up_to: u64,
    /// Whether it said so with the same roster.
    pub same_voter_config: bool,
    pub lessees: Option<Lessees>,
    /// Whether it needs this member's.
    pub wants_lessees: bool,
}

impl Peer {
    /// Whether the life is its present one. A later one is taken up: what the earlier one had may be lost.
    pub fn accept_incarnation(&mut self, incarnation: u64) -> bool {
        if incarnation > self.incarnation {
            self.reset(incarnation);
        }
        incarnation == self.incarnation
    }

    /// Forgets what it had. What was lent on either side ends by itself: an earlier life may still run, as during
    /// a hand-over, and a question to it may be answered by the next.
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

    /// Its present life may know by this member's word until then.
    pub fn grant_lease(&mut self, now: u64, until: u64) {
        self.granted_leases.retain(|_, end| *end > now);
        let end = self.granted_leases.entry(self.incarnation).or_default();
        *end = until.max(*end);
    }

    pub fn start_request(&mut self, now: u64) -> (u64, JournalPosition) {
        self.sent_requests += 1;
        self.pending_requests.insert(self.sent_requests, now);
        while self.pending_requests.len() > MAX_PENDING_REQUESTS {
            self.pending_requests.pop_first();
        }
        (self.sent_requests, JournalPosition { incarnation: self.incarnation, sequence: self.received_up_to })
    }

    /// When the question was sent, once.
    pub fn finish_request(&mut self, number: u64) -> Option<u64> {
        self.pending_requests.remove(&number)
    }
}
