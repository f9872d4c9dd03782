//! Counters of request outcomes by class, since the start of the process.
//!
//! [`RequestMetrics`] is a shared handle to the counts; fronts hold a [`RequestCounter`] for each open request.
#![deny(missing_docs)]

use std::cell::RefCell;
use std::rc::Rc;

use http::StatusCode;

/// A request's final outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response was sent.
    Fulfilled,
    /// The request was rejected; the client may retry later.
    Throttled,
    /// The request failed or its response was aborted.
    Faulted,
}

impl RequestOutcome {
    /// Returns the outcome of a request with a non-streaming response of this status.
    pub fn from_status(status: StatusCode) -> Self {
        match status.as_u16() {
            429 | 503 => RequestOutcome::Throttled,
            200..=299 => RequestOutcome::Fulfilled,
            _ => RequestOutcome::Faulted,
        }
    }
}

/// Numbers of finished requests of one class, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests whose complete response was sent.
    pub fulfilled: u64,
    /// Requests that were rejected.
    pub throttled: u64,
    /// Requests that failed or whose response was aborted.
    pub faulted: u64,
}

/// Counts of all classes, by name. Clones share the same counts.
#[derive(Clone, Debug, Default)]
pub struct RequestMetrics(Rc<RefCell<Vec<(String, OutcomeCounts)>>>);

impl RequestMetrics {
    /// Creates zeroed counts for these classes.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Self {
        let counts = classes.into_iter().map(|class| (class, OutcomeCounts::default())).collect();
        RequestMetrics(Rc::new(RefCell::new(counts)))
    }

    /// Returns the counter of one request of this class; `None` if the class is unknown.
    pub fn counter(&self, class: &str) -> Option<RequestCounter> {
        let class_index = self.0.borrow().iter().position(|(name, _)| name == class)?;
        Some(RequestCounter { metrics: self.clone(), class_index })
    }

    /// Returns a copy of the counts, in the order of the classes.
    pub fn snapshot(&self) -> Vec<(String, OutcomeCounts)> {
        self.0.borrow().clone()
    }
}

/// Counts one request at its end. A request whose client disconnects is not counted: its counter is dropped.
#[derive(Debug)]
pub struct RequestCounter {
    metrics: RequestMetrics,
    class_index: usize,
}

impl RequestCounter {
    /// Returns the name of the request's class.
    pub fn class(&self) -> String {
        self.metrics.0.borrow()[self.class_index].0.clone()
    }

    /// Adds the request to the counts of its class.
    pub fn count(self, outcome: RequestOutcome) {
        let mut classes = self.metrics.0.borrow_mut();
        let (_, counts) = &mut classes[self.class_index];
        match outcome {
            RequestOutcome::Fulfilled => counts.fulfilled += 1,
            RequestOutcome::Throttled => counts.throttled += 1,
            RequestOutcome::Faulted => counts.faulted += 1,
        }
    }
}
