//! How requests ended, by class, since the process began.

use std::cell::RefCell;
use std::rc::Rc;

use http::StatusCode;

/// A request's final outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Fulfilled,
    Throttled,
    Faulted,
}

impl Outcome {
    /// What the head of an answer alone says.
    pub fn of(status: StatusCode) -> Self {
        match status.as_u16() {
            429 | 503 => Outcome::Throttled,
            200..=299 => Outcome::Fulfilled,
            _ => Outcome::Faulted,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub fulfilled: u64,
    pub throttled: u64,
    pub faulted: u64,
}

/// Counts of all classes, by their names.
#[derive(Clone, Debug, Default)]
pub struct Counters(Rc<RefCell<Vec<(String, Counts)>>>);

impl Counters {
    pub fn new(classes: impl IntoIterator<Item = String>) -> Self {
        Counters(Rc::new(RefCell::new(classes.into_iter().map(|c| (c, Counts::default())).collect())))
    }

    /// A request of this class, to be counted once; `None` where there is no such class.
    pub fn tally(&self, class: &str) -> Option<Tally> {
        let place = self.0.borrow().iter().position(|c| c.0 == class)?;
        Some(Tally { counters: self.clone(), place })
    }

    pub fn all(&self) -> Vec<(String, Counts)> {
        self.0.borrow().clone()
    }
}

/// One request that will be counted at its end; one that its client abandoned is dropped uncounted.
#[derive(Debug)]
pub struct Tally {
    counters: Counters,
    place: usize,
}

impl Tally {
    pub fn class(&self) -> String {
        self.counters.0.borrow()[self.place].0.clone()
    }

    pub fn count(self, outcome: Outcome) {
        let mut all = self.counters.0.borrow_mut();
        let counts = &mut all[self.place].1;
        match outcome {
            Outcome::Fulfilled => counts.fulfilled += 1,
            Outcome::Throttled => counts.throttled += 1,
            Outcome::Faulted => counts.faulted += 1,
        }
    }
}
