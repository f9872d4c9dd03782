//! Estimates since when an accepted connection may have waited in the kernel's accept queue.
//!
//! The accept loop does not poll the queue while the connection table is full or the process is paused. The
//! time of a request that waited meanwhile counts from the earliest moment at which it can have arrived. The
//! accept loop owns the state and passes the current time.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Maximum time between two turns of the accept loop, so that it notices a pause of the process.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(100);
/// A heartbeat that is late by more than this means that the process was paused, or too busy to poll the queue.
const HEARTBEAT_SLACK: Duration = Duration::from_millis(20);
/// Maximum wait that is counted. If the queue never becomes empty, the real wait of a connection is unknown.
const MAX_COUNTED_WAIT: Duration = Duration::from_secs(1);

/// Records when an accept loop polled its queue.
pub(super) struct AcceptQueueMonitor {
    last_turn: Cell<Instant>,
    /// Start of the time in which connections may have queued up without being accepted; `None` once the queue
    /// was empty.
    unpolled_since: Cell<Option<Instant>>,
}

impl AcceptQueueMonitor {
    /// Creates the record of a loop that begins at `now`.
    pub fn new(now: Instant) -> Self {
        AcceptQueueMonitor { last_turn: Cell::new(now), unpolled_since: Cell::default() }
    }

    /// Returns the latest time at which the loop has to wake up.
    pub fn next_heartbeat(&self) -> Instant {
        self.last_turn.get() + HEARTBEAT
    }

    /// Records a turn of the loop, and detects a pause of the process since the last one.
    pub fn note_turn(&self, now: Instant) {
        if now > self.next_heartbeat() + HEARTBEAT_SLACK {
            self.note_unpolled(self.last_turn.get());
        }
        self.last_turn.set(now);
    }

    /// Records that the loop has not polled the queue since `since`.
    pub fn note_unpolled(&self, since: Instant) {
        self.unpolled_since.set(self.unpolled_since.get().or(Some(since)));
    }

    /// Records that the queue is empty, so that a connection accepted later cannot have waited since before
    /// now.
    pub fn note_empty(&self) {
        self.unpolled_since.set(None);
    }

    /// Returns the earliest time at which a connection that is accepted at `now` can have arrived.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        self.note_turn(now);
        let earliest = self.unpolled_since.get().unwrap_or(now);
        now.checked_sub(MAX_COUNTED_WAIT).map_or(earliest, |bound| earliest.max(bound))
    }
}

#[cfg(test)]
mod tests;
