//! What a member remembers of another one.

use std::collections::BTreeMap;

use super::messages::{Lessees, Mark};

/// Questions to one member that wait for an answer; the oldest are given up.
const MOST_ASKS: usize = 16;

#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// The latest life heard of.
    pub incarnation: u64,
    /// How far its journal in that life is taken.
    pub knows: u64,
    /// Its latest question in that life.
    pub heard: u64,
    number: u64,
    asks: BTreeMap<u64, u64>,
    /// When the question was sent whose answer counts longest.
    pub known_since: Option<u64>,
    /// Until when on this member's clock each of its lives may know by this member's word.
    pub lent: BTreeMap<u64, u64>,
    /// How much of this member's journal it enforces.
    pub confirmed: u64,
    /// Whether it said so with the same roster.
    pub same_roster: bool,
    pub lessees: Option<Lessees>,
    /// Whether it needs this member's.
    pub follows: bool,
}

impl Peer {
    /// Whether the life is its present one. A later one is taken up: what the earlier one had may be lost.
    pub fn lives(&mut self, incarnation: u64) -> bool {
        if incarnation > self.incarnation {
            self.begin(incarnation);
        }
        incarnation == self.incarnation
    }

    /// Forgets what it had. What was lent on either side ends by itself: an earlier life may still run, as during
    /// a hand-over, and a question to it may be answered by the next.
    pub fn begin(&mut self, incarnation: u64) {
        *self = Peer {
            incarnation,
            lent: std::mem::take(&mut self.lent),
            known_since: self.known_since,
            number: self.number,
            asks: std::mem::take(&mut self.asks),
            ..Peer::default()
        };
    }

    /// Its present life may know by this member's word until then.
    pub fn lend(&mut self, now: u64, until: u64) {
        self.lent.retain(|_, end| *end > now);
        let end = self.lent.entry(self.incarnation).or_default();
        *end = until.max(*end);
    }

    pub fn ask(&mut self, now: u64) -> (u64, Mark) {
        self.number += 1;
        self.asks.insert(self.number, now);
        while self.asks.len() > MOST_ASKS {
            self.asks.pop_first();
        }
        (self.number, Mark { incarnation: self.incarnation, sequence: self.knows })
    }

    /// When the question was sent, once.
    pub fn sent(&mut self, number: u64) -> Option<u64> {
        self.asks.remove(&number)
    }
}
