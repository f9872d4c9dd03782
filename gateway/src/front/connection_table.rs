//! All connections of one front, and which of them gives way at the cap.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use glenrail_request_lifecycle::client::{Effect, Input};
use tokio::task::yield_now;

use super::connection_watch::Watch;

/// So many connections are looked into for one that gives way. A socket with a request unread is read in the next
/// turn, so more of them than this at a time are hardly met.
const LOOKS: usize = 32;

/// All connections of one front.
#[derive(Default)]
pub struct Crowd {
    open: RefCell<BTreeMap<u64, Rc<Watch>>>,
    next: Cell<u64>,
}

/// A connection's place among all; it is free once this is dropped.
pub struct Place {
    crowd: Rc<Crowd>,
    number: u64,
    pub watch: Rc<Watch>,
}

/// Why a connection was over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    /// It has stood somewhere for too long.
    Late,
    /// Another client needs its place at once.
    GivesWay,
}

impl Place {
    /// Until the connection has stood somewhere for too long, or gives way to another.
    pub async fn over(&self) -> Over {
        loop {
            let input = self.watch.overdue().await;
            let closes = self.watch.feed(input) == Effect::Close;
            if closes && !self.watch.holds_request() {
                return if input == Input::Evicted { Over::GivesWay } else { Over::Late };
            }
            // A request has come between the choice and here: it is read and served, and has its place again.
            self.crowd.open.borrow_mut().insert(self.number, self.watch.clone());
            yield_now().await;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.crowd.open.borrow_mut().remove(&self.number);
    }
}

impl Crowd {
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    pub fn enter(self: &Rc<Self>) -> Place {
        let (number, watch) = (self.next.get(), Rc::new(Watch::default()));
        self.next.set(number + 1);
        self.open.borrow_mut().insert(number, watch.clone());
        Place { crowd: self.clone(), number, watch }
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
