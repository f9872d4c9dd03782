//! Since when a connection that is accepted now may have waited in the machine's queue.
//!
//! The accept loop does not look at the queue while its table is full and while its process stands still. A request that came with
//! such a connection counts from the earliest moment at which it can have come. The caller owns the clock.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// The accept loop wakes up at least this often, so that it notices that its process stood still.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(100);
/// A heartbeat that is later than this says that the process stood still, or was too busy to look.
const HEARTBEAT_SLACK: Duration = Duration::from_millis(20);
/// Most that is counted of a wait: where the queue never becomes empty, nobody knows how long one of it has waited.
const MAX_COUNTED_WAIT: Duration = Duration::from_secs(1);

/// What an accept loop knows of its looks at the queue.
pub(super) struct AcceptWatch {
    last_turn: Cell<Instant>,
    /// Since when the queue may have filled with nobody looking; `None` once it was seen to be empty.
    unattended_since: Cell<Option<Instant>>,
}

impl AcceptWatch {
    /// Of a loop that begins now.
    pub fn new(now: Instant) -> Self {
        AcceptWatch { last_turn: Cell::new(now), unattended_since: Cell::default() }
    }

    /// When the loop has to wake up at the latest.
    pub fn next_heartbeat(&self) -> Instant {
        self.last_turn.get() + HEARTBEAT
    }

    /// The loop runs.
    pub fn note_turn(&self, now: Instant) {
        if now > self.next_heartbeat() + HEARTBEAT_SLACK {
            self.note_unattended(self.last_turn.get());
        }
        self.last_turn.set(now);
    }

    /// The loop does not look at the queue from `since` on.
    pub fn note_unattended(&self, since: Instant) {
        self.unattended_since.set(self.unattended_since.get().or(Some(since)));
    }

    /// The queue is empty.
    pub fn note_empty(&self) {
        self.unattended_since.set(None);
    }

    /// The earliest moment at which a connection that is accepted now can have come.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        self.note_turn(now);
        let earliest = self.unattended_since.get().unwrap_or(now);
        now.checked_sub(MAX_COUNTED_WAIT).map_or(earliest, |bound| earliest.max(bound))
    }
}

#[cfg(test)]
mod tests;
