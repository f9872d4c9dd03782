//! The core's timers: one queue for all requests, from which a request's own are removed when it finishes.
//!
//! A task for each timer used some 600 bytes until the timer's time, long after its request had finished, so that memory
//! grew with rate times deadline. The core owns the queue; the clock is tokio's.

use std::task::{Context, Poll};

use glenrail_request_lifecycle::request::Timer;
use tokio::time::Instant;
use tokio_util::time::delay_queue::{DelayQueue, Key};

/// The queue returns the memory of its peak once it is shorter than the peak by this factor ...
const COMPACT_RATIO: usize = 8;
/// ... and if the peak was at least this many timers.
const COMPACT_MIN_PEAK: usize = 4_096;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerPurpose {
    /// The router's own.
    Router {
        /// The router's name for it.
        key: u64,
        /// The request that it belongs to, if any.
        request: Option<u64>,
    },
    /// A timer of the machine of the request with this id.
    Request(u64, Timer),
}

impl TimerPurpose {
    /// The request that the timer belongs to.
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
    /// The most timers that were armed at once since the queue last returned memory.
    peak: usize,
}

impl Timers {
    /// Arms a timer; the key is for [`Timers::disarm`].
    pub fn arm(&mut self, at: Instant, purpose: TimerPurpose) -> Key {
        let key = self.queue.insert_at(purpose, at);
        self.peak = self.peak.max(self.queue.len());
        key
    }

    /// Removes a timer that has not expired.
    pub fn disarm(&mut self, key: &Key) {
        self.queue.try_remove(key);
        if self.peak >= COMPACT_MIN_PEAK && self.queue.len() * COMPACT_RATIO < self.peak {
            self.queue.compact();
            self.peak = self.queue.len();
        }
    }

    /// Timers that are armed.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// The next timer that has expired. Never ends, so that timers armed later wake the waiting task.
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
