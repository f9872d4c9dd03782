//! The journal: the keys that changed during this incarnation of a member, in order. Each key is listed once,
//! at its latest change.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

#[derive(Clone, Debug)]
pub struct Journal<K> {
    /// Sequence number of the latest change; 0 before the first one.
    last: u64,
    by_sequence: BTreeMap<u64, K>,
    by_key: HashMap<K, u64>,
}

impl<K: Clone + Eq + Hash> Journal<K> {
    pub fn new() -> Journal<K> {
        Journal { last: 0, by_sequence: BTreeMap::new(), by_key: HashMap::new() }
    }

    /// Records a change of the key and returns its sequence number.
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

    /// Returns at most `limit` keys that changed after `sequence`, the sequence number up to which they are
    /// complete, and whether there are more.
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
