//! Counters of how requests ended, by class, since the process began.
//!
//! [`RequestMetrics`] is a handle to the counts; fronts hold a [`RequestCounter`] for each request until its end.
#![deny(missing_docs)]

use std::cell::RefCell;
use std::rc::Rc;

use http::StatusCode;

/// A request's final outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Its complete response was sent.
    Fulfilled,
    /// It was rejected and may be sent again later.
    Throttled,
    /// It failed, or its response broke off.
    Faulted,
}

impl RequestOutcome {
    /// The outcome of a request whose response has no stream, by its status.
    pub fn from_status(status: StatusCode) -> Self {
        match status.as_u16() {
            429 | 503 => RequestOutcome::Throttled,
            200..=299 => RequestOutcome::Fulfilled,
            _ => RequestOutcome::Faulted,
        }
    }
}

/// Numbers of requests of one class by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests whose complete response was sent.
    pub fulfilled: u64,
    /// Requests that were rejected.
    pub throttled: u64,
    /// Requests that failed.
    pub faulted: u64,
}

/// Counts of all classes, by their names.
#[derive(Clone, Debug, Default)]
pub struct RequestMetrics(Rc<RefCell<Vec<(String, OutcomeCounts)>>>);

impl RequestMetrics {
    /// Zeros for these classes.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Self {
        let counts = classes.into_iter().map(|class| (class, OutcomeCounts::default())).collect();
        RequestMetrics(Rc::new(RefCell::new(counts)))
    }

    /// A request of this class, to be counted once; `None` where there is no such class.
    pub fn counter(&self, class: &str) -> Option<RequestCounter> {
        let class_index = self.0.borrow().iter().position(|(name, _)| name == class)?;
        Some(RequestCounter { metrics: self.clone(), class_index })
    }

    /// The counts of all classes at present, in their order.
    pub fn snapshot(&self) -> Vec<(String, OutcomeCounts)> {
        self.0.borrow().clone()
    }
}

/// One request that will be counted at its end. Dropped uncounted where its client abandons it.
#[derive(Debug)]
pub struct RequestCounter {
    metrics: RequestMetrics,
    class_index: usize,
}

impl RequestCounter {
    /// Name of the request's class.
    pub fn class(&self) -> String {
        self.metrics.0.borrow()[self.class_index].0.clone()
    }

    /// Counts the request.
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
