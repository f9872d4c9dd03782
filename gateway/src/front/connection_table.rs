//! All connections of one front, and which of them is closed when there are too many.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use glenrail_request_lifecycle::client::{Effect, Input};
use tokio::task::yield_now;

use super::connection_watch::ConnectionWatch;

/// Connections whose sockets are looked into for one to evict. A socket with an unread request is read in the next turn
/// of the loop, so more of them than this at a time are hardly met.
const MAX_EVICTION_CANDIDATES: usize = 32;

/// All connections of one front.
#[derive(Default)]
pub struct ConnectionTable {
    /// By number, in order of arrival; without those that have been chosen for eviction.
    connections: RefCell<BTreeMap<u64, Rc<ConnectionWatch>>>,
    next_number: Cell<u64>,
}

/// A connection's entry; it is free once this is dropped.
pub struct TableEntry {
    table: Rc<ConnectionTable>,
    number: u64,
    /// The connection.
    pub watch: Rc<ConnectionWatch>,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It has been in a stage for too long.
    TimedOut,
    /// Another client needs its entry at once.
    Evicted,
}

impl TableEntry {
    /// Until the connection has been in a stage for too long, or is evicted.
    pub async fn must_close(&self) -> CloseReason {
        loop {
            let input = self.watch.overdue().await;
            let closes = self.watch.feed(input) == Effect::Close;
            if closes && !self.watch.has_unread_request() {
                return if input == Input::Evicted { CloseReason::Evicted } else { CloseReason::TimedOut };
            }
            // A request has come between the choice and here: it is read and served, and has its entry again.
            self.table.connections.borrow_mut().insert(self.number, self.watch.clone());
            yield_now().await;
        }
    }
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(&self.number);
    }
}

impl ConnectionTable {
    /// Connections that count against the cap.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Enters a new connection.
    pub fn enter(self: &Rc<Self>) -> TableEntry {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let watch = Rc::new(ConnectionWatch::default());
        self.connections.borrow_mut().insert(number, watch.clone());
        TableEntry { table: self.clone(), number, watch }
    }

    /// Evicts the connection that has been idle longest, or before it one that only waits for its client's end. Says
    /// whether there was one.
    pub fn evict(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        let mut candidates: Vec<_> = connections.iter().filter(|(_, watch)| watch.is_evictable()).collect();
        candidates.sort_by_key(|(_, watch)| (!watch.is_closing(), watch.since.get()));
        let mut candidates = candidates.into_iter().take(MAX_EVICTION_CANDIDATES);
        let chosen = candidates.find(|(_, watch)| !watch.has_unread_request());
        let Some(number) = chosen.map(|(number, _)| *number) else { return false };
        if let Some(watch) = connections.remove(&number) {
            watch.evicted.notify_one();
        }
        true
    }
}
