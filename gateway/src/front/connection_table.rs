//! All connections of one front, and which of them is closed when there are too many.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use glenrail_request_lifecycle::client::{Effect, Input};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

use super::connection_watch::ConnectionWatch;

/// Connections whose sockets are looked into for one to evict. A socket with an unread request is read in the next turn
/// of the loop, so more of them than this at a time are hardly met.
const MAX_EVICTION_CANDIDATES: usize = 32;

/// New connections wait for evictions only where at least this part of the table can be evicted soon: the few others would
/// hold up the rejection of whoever comes.
const MIN_EVICTABLE_PART: usize = 8;

/// Whether a full table makes room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vacancy {
    /// A connection can be evicted, or none ever will be.
    Decided,
    /// Some can be evicted from then on.
    From(Instant),
}

/// All connections of one front.
#[derive(Default)]
pub struct ConnectionTable {
    /// By number, in order of arrival; without those that have been chosen for eviction.
    connections: RefCell<BTreeMap<u64, Rc<ConnectionWatch>>>,
    next_number: Cell<u64>,
    /// Evicted connections whose clients have not ended them yet, and most of them.
    lingering: Cell<usize>,
    max_lingering: usize,
    /// A connection has left the table.
    left: Notify,
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
            let closes = self.watch.feed(input) == Effect::Close && !self.watch.has_unread_request();
            match input {
                Input::Evicted if closes && self.watch.is_evictable_now() => return CloseReason::Evicted,
                Input::TimedOut if closes => return CloseReason::TimedOut,
                _ => {}
            }
            // A request has come between the choice and here, or some of it: it is served, and has its entry again.
            self.table.connections.borrow_mut().insert(self.number, self.watch.clone());
            yield_now().await;
        }
    }
}

/// An evicted connection that is ended in order; its place beyond the cap is free once this is dropped.
pub struct Lingering(Rc<ConnectionTable>);

impl Drop for Lingering {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
    }
}

impl TableEntry {
    /// Has the evicted connection ended in order, where so many more may be; else it is dropped at once.
    pub fn linger(&self) -> Option<Lingering> {
        let lingering = self.table.lingering.get();
        (lingering < self.table.max_lingering).then(|| {
            self.table.lingering.set(lingering + 1);
            Lingering(self.table.clone())
        })
    }
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(&self.number);
        self.table.left.notify_waiters();
        self.watch.report_end();
    }
}

impl ConnectionTable {
    /// An empty table; so many evicted connections may be ended in order at the same time.
    pub fn new(max_lingering: usize) -> Self {
        ConnectionTable { max_lingering, ..ConnectionTable::default() }
    }

    /// Connections that count against the cap.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Evicted connections that are still open.
    pub fn lingering(&self) -> usize {
        self.lingering.get()
    }

    /// Enters a new connection of this client.
    pub fn enter(self: &Rc<Self>, client: Option<SocketAddr>) -> TableEntry {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let watch = Rc::new(ConnectionWatch::new(client));
        self.connections.borrow_mut().insert(number, watch.clone());
        TableEntry { table: self.clone(), number, watch }
    }

    /// Waits while the table holds `cap` connections of which many can be evicted soon, but none yet.
    pub async fn vacancy(&self, cap: usize) {
        while let Vacancy::From(at) = self.next_vacancy(cap) {
            tokio::select! {
                () = sleep_until(at) => {}
                () = self.left.notified() => {}
            }
        }
    }

    /// Whether [`ConnectionTable::vacancy`] would wait.
    pub fn must_wait(&self, cap: usize) -> bool {
        self.next_vacancy(cap) != Vacancy::Decided
    }

    fn next_vacancy(&self, cap: usize) -> Vacancy {
        let connections = self.connections.borrow();
        if connections.len() < cap {
            return Vacancy::Decided;
        }
        let evictable: Vec<Instant> =
            connections.values().filter_map(|watch| watch.evictable_from()).collect();
        match evictable.iter().min() {
            Some(first) if *first > Instant::now() && evictable.len() * MIN_EVICTABLE_PART >= cap => {
                Vacancy::From(*first)
            }
            _ => Vacancy::Decided,
        }
    }

    /// Evicts the connection that has been idle longest, or before it one that only waits for its client's end. Says
    /// whether there was one.
    pub fn evict(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        let mut candidates: Vec<_> =
            connections.iter().filter(|(_, watch)| watch.is_evictable_now()).collect();
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

#[cfg(test)]
mod tests;
