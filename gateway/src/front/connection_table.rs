//! Table of the connections of one front, and the choice of the connection that is evicted when the table is full.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use glenrail_request_lifecycle::client::{Effect, Input};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

use super::connection_state::ConnectionState;

/// Maximum number of connections whose sockets are checked for unread requests per eviction. Unread requests
/// are read in the next turn of the event loop, so there are rarely more than this at the same time.
const MAX_EVICTION_CANDIDATES: usize = 32;

/// New connections wait for an eviction only if at least one in this many connections of the cap can be evicted
/// soon. With fewer, waiting would delay the rejection of new connections.
const EVICTABLE_DIVISOR: usize = 8;

/// Whether a new connection has to wait for an entry in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vacancy {
    /// No wait: the table is not full, a connection can be evicted now, or too few can be evicted soon.
    NoWait,
    /// Wait until this time, which is the earliest at which any connection can be evicted.
    WaitUntil(Instant),
}

/// Table of the connections of one front.
#[derive(Default)]
pub struct ConnectionTable {
    /// Connections by number, in order of arrival, without those that have been chosen for eviction.
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_number: Cell<u64>,
    /// Number of evicted connections that are being closed gracefully.
    lingering: Cell<usize>,
    max_lingering: usize,
    /// Notified when a connection has ended and its entry is free.
    entry_freed: Notify,
}

/// Entry of a connection in the table. Dropping it frees the entry and reports the end of the connection.
pub struct TableEntry {
    table: Rc<ConnectionTable>,
    number: u64,
    /// State of the connection, shared with its reader and its service.
    pub state: Rc<ConnectionState>,
}

/// Why the gateway closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The time limit of its stage has expired.
    TimedOut,
    /// Its entry is needed for another client.
    Evicted,
}

impl TableEntry {
    /// Waits until the connection has to close, because the time limit of its stage has expired or it is evicted.
    pub async fn close_required(&self) -> CloseReason {
        loop {
            let input = self.state.timed_out_or_evicted().await;
            let closes = self.state.feed(input) == Effect::Close && !self.state.has_unread_request();
            match input {
                Input::Evicted if closes && self.state.is_evictable_now() => return CloseReason::Evicted,
                Input::TimedOut if closes => return CloseReason::TimedOut,
                _ => {}
            }
            // Bytes of a request have arrived since the connection was chosen. The request is served, so
            // the connection is inserted into the table again.
            self.table.connections.borrow_mut().insert(self.number, self.state.clone());
            yield_now().await;
        }
    }
}

/// Permit to close an evicted connection gracefully; returned when it is dropped.
pub struct LingerPermit(Rc<ConnectionTable>);

impl Drop for LingerPermit {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
    }
}

impl TableEntry {
    /// Returns a permit to close the evicted connection gracefully. If the limit is reached, returns
    /// `None`, and the connection is dropped at once.
    pub fn try_linger(&self) -> Option<LingerPermit> {
        let lingering = self.table.lingering.get();
        (lingering < self.table.max_lingering).then(|| {
            self.table.lingering.set(lingering + 1);
            LingerPermit(self.table.clone())
        })
    }
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(&self.number);
        self.table.entry_freed.notify_waiters();
        self.state.report_end();
    }
}

impl ConnectionTable {
    /// Creates an empty table. At most `max_lingering` evicted connections are closed gracefully at the same time.
    pub fn new(max_lingering: usize) -> Self {
        ConnectionTable { max_lingering, ..ConnectionTable::default() }
    }

    /// Returns the number of connections that count against the cap.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns the number of evicted connections that are being closed gracefully.
    pub fn lingering(&self) -> usize {
        self.lingering.get()
    }

    /// Adds a new connection from the given address.
    pub fn insert(self: &Rc<Self>, client: Option<SocketAddr>) -> TableEntry {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let state = Rc::new(ConnectionState::new(client));
        self.connections.borrow_mut().insert(number, state.clone());
        TableEntry { table: self.clone(), number, state }
    }

    /// Waits while the table holds at least `cap` connections, of which many can be evicted soon but none now.
    pub async fn wait_for_vacancy(&self, cap: usize) {
        while let Vacancy::WaitUntil(at) = self.next_vacancy(cap) {
            tokio::select! {
                () = sleep_until(at) => {}
                () = self.entry_freed.notified() => {}
            }
        }
    }

    /// Returns whether [`ConnectionTable::wait_for_vacancy`] would wait.
    pub fn must_wait(&self, cap: usize) -> bool {
        self.next_vacancy(cap) != Vacancy::NoWait
    }

    fn next_vacancy(&self, cap: usize) -> Vacancy {
        let connections = self.connections.borrow();
        if connections.len() < cap {
            return Vacancy::NoWait;
        }
        let evictable: Vec<Instant> =
            connections.values().filter_map(|state| state.evictable_from()).collect();
        match evictable.iter().min() {
            Some(first) if *first > Instant::now() && evictable.len() * EVICTABLE_DIVISOR >= cap => {
                Vacancy::WaitUntil(*first)
            }
            _ => Vacancy::NoWait,
        }
    }

    /// Evicts the connection that has been idle longest, but first one that is already being closed. Returns
    /// whether a connection was evicted.
    pub fn evict(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        let mut candidates: Vec<_> =
            connections.iter().filter(|(_, state)| state.is_evictable_now()).collect();
        candidates.sort_by_key(|(_, state)| (!state.is_closing(), state.stage_since.get()));
        let mut candidates = candidates.into_iter().take(MAX_EVICTION_CANDIDATES);
        let chosen = candidates.find(|(_, state)| !state.has_unread_request());
        let Some(number) = chosen.map(|(number, _)| *number) else { return false };
        if let Some(state) = connections.remove(&number) {
            state.eviction_requested.notify_one();
        }
        true
    }
}

#[cfg(test)]
mod tests;
