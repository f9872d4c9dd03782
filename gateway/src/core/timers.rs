//! The core's timers: one queue, from which a request's own are taken out at its end.
//!
//! A task for each timer held some 600 bytes until the timer's time, long after its request had ended, so that
//! memory went with rate times deadline.

use std::task::{Context, Poll};

use glenrail_request_lifecycle::request;
use tokio::time::Instant;
use tokio_util::time::delay_queue::{DelayQueue, Key};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// The router's own, by its key; some belong to a request.
    Router {
        key: u64,
        of: Option<u64>,
    },
    Request(u64, request::Timer),
}

#[derive(Default)]
pub struct Timers {
    queue: DelayQueue<Due>,
    /// The most that were armed at once since the queue last gave room back.
    peak: usize,
}

/// The queue gives back room that its peak took once it holds a part of it so small, and the peak was as large.
const SHRINK: usize = 8;
const WORTH: usize = 4_096;

impl Timers {
    pub fn arm(&mut self, at: Instant, due: Due) -> Key {
        let key = self.queue.insert_at(due, at);
        self.peak = self.peak.max(self.queue.len());
        key
    }

    /// Takes a timer out that has not come due.
    pub fn disarm(&mut self, key: &Key) {
        self.queue.try_remove(key);
        if self.peak >= WORTH && self.queue.len() * SHRINK < self.peak {
            self.queue.compact();
            self.peak = self.queue.len();
        }
    }

    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// The next that is due. Never ends, so that timers armed later wake whoever waits.
    pub fn poll_due(&mut self, cx: &mut Context<'_>) -> Poll<(Key, Due)> {
        match self.queue.poll_expired(cx) {
            Poll::Ready(Some(expired)) => {
                let key = expired.key();
                Poll::Ready((key, expired.into_inner()))
            }
            // Empty: whoever arms the next one wakes the waiter.
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
        }
    }
}
