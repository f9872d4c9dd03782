//! What this life of a member has taken, in order; each key once, at its latest.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

#[derive(Clone, Debug)]
pub struct Journal<K> {
    last: u64,
    by_sequence: BTreeMap<u64, K>,
    by_key: HashMap<K, u64>,
}

impl<K: Clone + Eq + Hash> Journal<K> {
    pub fn new() -> Journal<K> {
        Journal { last: 0, by_sequence: BTreeMap::new(), by_key: HashMap::new() }
    }

    pub fn push(&mut self, key: K) -> u64 {
        self.last += 1;
        self.by_sequence.insert(self.last, key.clone());
        if let Some(old) = self.by_key.insert(key, self.last) {
            self.by_sequence.remove(&old);
        }
        self.last
    }

    pub fn last(&self) -> u64 {
        self.last
    }

    /// Up to so many keys after the sequence, how far they reach, and whether there are more.
    pub fn after(&self, sequence: u64, limit: usize) -> (Vec<K>, u64, bool) {
        let mut rest = self.by_sequence.range(sequence.saturating_add(1)..);
        let taken: Vec<(u64, K)> = rest.by_ref().take(limit).map(|(&at, key)| (at, key.clone())).collect();
        let has_more = rest.next().is_some();
        let up_to = match taken.last() {
            Some(&(at, _)) if has_more => at,
            _ => self.last,
        };
        (taken.into_iter().map(|(_, key)| key).collect(), up_to, has_more)
    }
}
