//! All connections of one front, and which of them gives way at the cap.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use glenrail_request_lifecycle::client::{Effect, Input};
use tokio::task::yield_now;

use super::connection_watch::ConnectionWatch;

/// So many connections are looked into for one that gives way. A socket with a request unread is read in the next
/// turn, so more of them than this at a time are hardly met.
const LOOKS: usize = 32;

/// All connections of one front.
#[derive(Default)]
pub struct ConnectionTable {
    open: RefCell<BTreeMap<u64, Rc<ConnectionWatch>>>,
    next: Cell<u64>,
}

/// A connection's place among all; it is free once this is dropped.
pub struct TableEntry {
    crowd: Rc<ConnectionTable>,
    number: u64,
    pub watch: Rc<ConnectionWatch>,
}

/// Why a connection was over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It has stood somewhere for too long.
    TimedOut,
    /// Another client needs its place at once.
    Evicted,
}

impl TableEntry {
    /// Until the connection has stood somewhere for too long, or gives way to another.
    pub async fn over(&self) -> CloseReason {
        loop {
            let input = self.watch.overdue().await;
            let closes = self.watch.feed(input) == Effect::Close;
            if closes && !self.watch.holds_request() {
                return if input == Input::Evicted { CloseReason::Evicted } else { CloseReason::TimedOut };
            }
            // A request has come between the choice and here: it is read and served, and has its place again.
            self.crowd.open.borrow_mut().insert(self.number, self.watch.clone());
            yield_now().await;
        }
    }
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.crowd.open.borrow_mut().remove(&self.number);
    }
}

impl ConnectionTable {
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    pub fn enter(self: &Rc<Self>) -> TableEntry {
        let (number, watch) = (self.next.get(), Rc::new(ConnectionWatch::default()));
        self.next.set(number + 1);
        self.open.borrow_mut().insert(number, watch.clone());
        TableEntry { crowd: self.clone(), number, watch }
    }

    /// The connection that has stood longest without an open request is told to close; before it, one that only waits
    /// for its client's end.
    pub fn evict(&self) -> bool {
        let mut open = self.open.borrow_mut();
        let mut resting: Vec<_> = open.iter().filter(|(_, w)| w.gives_way()).collect();
        resting.sort_by_key(|(_, w)| (!w.closing(), w.since.get()));
        let first = resting.into_iter().take(LOOKS).find(|(_, w)| !w.holds_request());
        let Some(number) = first.map(|(n, _)| *n) else { return false };
        if let Some(watch) = open.remove(&number) {
            watch.evicted.notify_one();
        }
        true
    }
}
