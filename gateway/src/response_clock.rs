//! The time limits of a response on tokio's clock.
//!
//! [`ResponseClock`] is shared by the parts of the engine that read one response: they report what they observe, and the
//! task of the attempt waits for a limit to pass. [`expired`] is the same wait for a caller that owns its
//! [`ResponseTiming`].

use std::cell::RefCell;
use std::rc::Rc;

use glenrail_request_lifecycle::response_timing::{
    Expiry, Limit, OnPause, Progress, ResponseLimits, ResponseTiming,
};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

/// Number of turns of the runtime for which a limit that has passed waits. In them the socket is looked at, the task of
/// the connection reads it, and the response is parsed: bytes that came while this process stood still precede the limit.
const TURNS_BEFORE_EXPIRY: usize = 3;

/// Waits until a limit has passed, after bytes that arrived before it could be read. Never returns without a limit.
pub async fn expired(limit: Option<Limit<Instant>>) -> Expiry {
    let Some(Limit { at, reason }) = limit else { return std::future::pending().await };
    sleep_until(at).await;
    for _ in 0..TURNS_BEFORE_EXPIRY {
        yield_now().await;
    }
    reason
}

/// The time limits of the response that a connection is reading. Clones share the same state.
#[derive(Clone)]
pub struct ResponseClock(Rc<Shared>);

struct Shared {
    timing: RefCell<ResponseTiming<Instant>>,
    /// Notified when a limit begins to apply.
    limited: Notify,
}

impl ResponseClock {
    /// Creates the clock of a connection without a response.
    pub fn new() -> Self {
        let timing = RefCell::new(ResponseTiming::new(ResponseLimits::platform(OnPause::Retry)));
        ResponseClock(Rc::new(Shared { timing, limited: Notify::new() }))
    }

    /// Begins the response to a request that is about to be written.
    pub fn begin(&self, limits: ResponseLimits) {
        self.0.timing.replace(ResponseTiming::new(limits));
    }

    /// Replaces the limits of the response that is being read.
    pub fn set_limits(&self, limits: ResponseLimits) {
        self.0.timing.borrow_mut().set_limits(limits);
        self.0.limited.notify_one();
    }

    /// Reports what was observed now.
    pub fn observe(&self, progress: Progress) {
        self.0.timing.borrow_mut().observe(progress, Instant::now());
        self.0.limited.notify_one();
    }

    /// Returns a copy of the machine, for the part that reads the rest of the response.
    pub fn timing(&self) -> ResponseTiming<Instant> {
        self.0.timing.borrow().clone()
    }

    /// Waits until the response has to be ended.
    pub async fn expired(&self) -> Expiry {
        loop {
            let limit = self.0.timing.borrow().limit();
            if limit.is_none() {
                self.0.limited.notified().await;
                continue;
            }
            expired(limit).await;
            // Further bytes may have moved the limit.
            let expiry = self.0.timing.borrow().expired(Instant::now());
            if let Some(expiry) = expiry {
                return expiry;
            }
        }
    }
}
