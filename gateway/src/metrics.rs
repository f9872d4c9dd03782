//! How requests ended, by class, since the process began.

use std::cell::RefCell;
use std::rc::Rc;

use http::StatusCode;

/// A request's final outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Fulfilled,
    Throttled,
    Faulted,
}

impl RequestOutcome {
    /// What the head of an answer alone says.
    pub fn from_status(status: StatusCode) -> Self {
        match status.as_u16() {
            429 | 503 => RequestOutcome::Throttled,
            200..=299 => RequestOutcome::Fulfilled,
            _ => RequestOutcome::Faulted,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub fulfilled: u64,
    pub throttled: u64,
    pub faulted: u64,
}

/// Counts of all classes, by their names.
#[derive(Clone, Debug, Default)]
pub struct RequestMetrics(Rc<RefCell<Vec<(String, OutcomeCounts)>>>);

impl RequestMetrics {
    pub fn new(classes: impl IntoIterator<Item = String>) -> Self {
        RequestMetrics(Rc::new(RefCell::new(
            classes.into_iter().map(|c| (c, OutcomeCounts::default())).collect(),
        )))
    }

    /// A request of this class, to be counted once; `None` where there is no such class.
    pub fn counter(&self, class: &str) -> Option<RequestCounter> {
        let place = self.0.borrow().iter().position(|c| c.0 == class)?;
        Some(RequestCounter { counters: self.clone(), place })
    }

    pub fn snapshot(&self) -> Vec<(String, OutcomeCounts)> {
        self.0.borrow().clone()
    }
}

/// One request that will be counted at its end; one that its client abandoned is dropped uncounted.
#[derive(Debug)]
pub struct RequestCounter {
    counters: RequestMetrics,
    place: usize,
}

impl RequestCounter {
    pub fn class(&self) -> String {
        self.counters.0.borrow()[self.place].0.clone()
    }

    pub fn count(self, outcome: RequestOutcome) {
        let mut all = self.counters.0.borrow_mut();
        let counts = &mut all[self.place].1;
        match outcome {
            RequestOutcome::Fulfilled => counts.fulfilled += 1,
            RequestOutcome::Throttled => counts.throttled += 1,
            RequestOutcome::Faulted => counts.faulted += 1,
        }
    }
}
