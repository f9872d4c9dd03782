//! Queue of the pending timers of the member's state machine. Owned by [`super::driver::Driver`]; times are on its
//! clock.

use std::cell::RefCell;
use std::collections::BTreeSet;

use tokio::sync::Notify;

/// Pending timers, ordered by due time.
#[derive(Default)]
pub(super) struct TimerQueue {
    /// Due time, in milliseconds since the start of the driver, and token.
    due: RefCell<BTreeSet<(u64, u64)>>,
    earlier: Notify,
}

impl TimerQueue {
    /// Adds a timer that is due at `due_at`.
    pub(super) fn add(&self, due_at: u64, token: u64) {
        let mut due = self.due.borrow_mut();
        due.insert((due_at, token));
        if due.first() == Some(&(due_at, token)) {
            self.earlier.notify_one();
        }
    }

    /// Removes a timer that is due at `now`, and returns its token.
    pub(super) fn pop_due(&self, now: u64) -> Option<u64> {
        let mut due = self.due.borrow_mut();
        let (_, token) = due.first().filter(|(due_at, _)| *due_at <= now).copied()?;
        due.pop_first();
        Some(token)
    }

    /// Returns the due time of the next timer; `None` if there is none.
    pub(super) fn next_due(&self) -> Option<u64> {
        self.due.borrow().first().map(|(due_at, _)| *due_at)
    }

    /// Completes when a timer has been added that is due before all others.
    pub(super) async fn earlier_added(&self) {
        self.earlier.notified().await;
    }
}
