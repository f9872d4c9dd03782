//! Bounded memory of the sessions that a gateway has served.

use std::collections::HashSet;

use super::SessionHash;
use crate::Ms;

/// Two generations of sessions: the previous one is dropped when the current one is full or has reached its
/// maximum age. A session is remembered at least while the next `generation_capacity - 1` other sessions are
/// added, if they come within `max_generation_age`, and always for less than three times that age.
#[derive(Clone, Debug)]
pub struct ServedSessions {
    generation_capacity: usize,
    max_generation_age: Ms,
    rotated_at: Ms,
    current: HashSet<u64>,
    previous: HashSet<u64>,
}

impl ServedSessions {
    /// Remembers at most twice `generation_capacity` sessions; each takes eight bytes plus overhead.
    pub fn new(generation_capacity: usize, max_generation_age: Ms, now: Ms) -> Self {
        ServedSessions {
            generation_capacity: generation_capacity.max(1),
            max_generation_age,
            rotated_at: now,
            current: HashSet::new(),
            previous: HashSet::new(),
        }
    }

    pub fn insert(&mut self, now: Ms, session: SessionHash) {
        self.rotate(now);
        self.current.insert(session.id());
    }

    pub fn contains(&mut self, now: Ms, session: SessionHash) -> bool {
        self.rotate(now);
        self.current.contains(&session.id()) || self.previous.contains(&session.id())
    }

    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn rotate(&mut self, now: Ms) {
        let elapsed = now.saturating_sub(self.rotated_at);
        if elapsed >= self.max_generation_age.saturating_mul(2) {
            self.current.clear();
        }
        if self.current.len() >= self.generation_capacity || elapsed >= self.max_generation_age {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
    }
}
