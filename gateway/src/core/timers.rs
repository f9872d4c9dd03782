//! The core's timers: one queue on tokio's clock for all requests. A request's timers are removed when the
//! request finishes.
//!
//! One task for each timer would use about 600 bytes until the timer expires, long after its request has
//! finished, so memory would grow with the request rate times the deadline.

use std::task::{Context, Poll};

use glenrail_request_lifecycle::request::Timer;
use tokio::time::Instant;
use tokio_util::time::delay_queue::{DelayQueue, Key};

/// Ratio of the peak length to the current length above which the queue returns unused memory.
const COMPACT_RATIO: usize = 8;
/// Minimum peak length, in timers, for the queue to return unused memory.
const COMPACT_MIN_PEAK: usize = 4_096;

/// What a timer belongs to, and therefore what its expiry triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerPurpose {
    /// A timer that the router has set.
    Router {
        /// The router's key of the timer.
        key: u64,
        /// The request that the timer belongs to; `None` if it belongs to no request.
        request: Option<u64>,
    },
    /// A timer of the state machine of the request with this id.
    Request(u64, Timer),
}

impl TimerPurpose {
    /// Returns the request that the timer belongs to, if any.
    pub fn request(self) -> Option<u64> {
        match self {
            TimerPurpose::Router { request, .. } => request,
            TimerPurpose::Request(id, _) => Some(id),
        }
    }
}

/// The queue of all armed timers.
#[derive(Default)]
pub struct Timers {
    queue: DelayQueue<TimerPurpose>,
    /// Maximum number of timers armed at once since the queue last returned memory.
    peak: usize,
}

impl Timers {
    /// Arms a timer and returns its key for [`Timers::disarm`].
    pub fn arm(&mut self, at: Instant, purpose: TimerPurpose) -> Key {
        let key = self.queue.insert_at(purpose, at);
        self.peak = self.peak.max(self.queue.len());
        key
    }

    /// Removes a timer unless it has expired. Returns unused memory if the queue is now much shorter than at
    /// its peak.
    pub fn disarm(&mut self, key: &Key) {
        self.queue.try_remove(key);
        if self.peak >= COMPACT_MIN_PEAK && self.queue.len() * COMPACT_RATIO < self.peak {
            self.queue.compact();
            self.peak = self.queue.len();
        }
    }

    /// Returns the number of armed timers.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Polls for the next expired timer. Stays pending while the queue is empty; arming a timer then wakes
    /// the task.
    pub fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<(Key, TimerPurpose)> {
        match self.queue.poll_expired(context) {
            Poll::Ready(Some(expired)) => {
                let key = expired.key();
                Poll::Ready((key, expired.into_inner()))
            }
            // Empty: arming the next timer wakes the waiting task.
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
        }
    }
}
