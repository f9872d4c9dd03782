//! Sessions that were served, in bounded memory.

use std::collections::HashSet;

use super::Place;
use crate::Ms;

/// Two generations: the older one goes when the newer is full or has served its time. A session stays for at least
/// `most` others after its last turn, if they come within `age`, and never longer than twice the age.
#[derive(Clone, Debug)]
pub struct Served {
    most: usize,
    age: Ms,
    since: Ms,
    newer: HashSet<u64>,
    older: HashSet<u64>,
}

impl Served {
    /// Room for twice `most` sessions, eight bytes and a little each.
    pub fn new(most: usize, age: Ms, now: Ms) -> Self {
        Served { most: most.max(1), age, since: now, newer: HashSet::new(), older: HashSet::new() }
    }

    pub fn add(&mut self, now: Ms, place: Place) {
        self.turn(now);
        self.newer.insert(place.id());
    }

    pub fn has(&mut self, now: Ms, place: Place) -> bool {
        self.turn(now);
        self.newer.contains(&place.id()) || self.older.contains(&place.id())
    }

    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn turn(&mut self, now: Ms) {
        let passed = now.saturating_sub(self.since);
        if passed >= self.age.saturating_mul(2) {
            self.newer.clear();
        }
        if self.newer.len() >= self.most || passed >= self.age {
            self.older = std::mem::take(&mut self.newer);
            self.since = now;
        }
    }
}
