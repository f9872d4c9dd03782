//! Retention: an id stays in use for some time after the client of its request has left.
//!
//! A client that has left does not know whether its request has run, so the same id must not run again. The driver of a
//! [`RequestIdTable`](super::RequestIdTable) owns the queue and the clock, and releases an id in the table when it leaves the queue.

use std::collections::VecDeque;

/// Maximum number of ids that are retained. Beyond it the oldest one is released.
pub const MAX_RETAINED_IDS: usize = 8_192;

/// The ids that are retained, in the order of their ends. `K` identifies a use of an id, `T` is a point in time.
#[derive(Clone, Debug)]
pub struct RetentionQueue<K, T> {
    entries: VecDeque<RetainedId<K, T>>,
}

#[derive(Clone, Debug)]
struct RetainedId<K, T> {
    key: K,
    until: T,
}

impl<K, T> Default for RetentionQueue<K, T> {
    fn default() -> Self {
        RetentionQueue { entries: VecDeque::new() }
    }
}

impl<K, T: PartialOrd> RetentionQueue<K, T> {
    /// Adds an id until a time that is not before those of earlier ids. Returns the id that is released for it, if the queue is
    /// full.
    #[must_use]
    pub fn retain(&mut self, key: K, until: T) -> Option<K> {
        let released = if self.entries.len() >= MAX_RETAINED_IDS { self.entries.pop_front() } else { None };
        self.entries.push_back(RetainedId { key, until });
        released.map(|entry| entry.key)
    }

    /// Removes and returns an id whose time has passed.
    #[must_use]
    pub fn pop_expired(&mut self, now: T) -> Option<K> {
        if self.entries.front()?.until > now {
            return None;
        }
        self.entries.pop_front().map(|entry| entry.key)
    }

    /// Number of retained ids.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no id is retained.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
