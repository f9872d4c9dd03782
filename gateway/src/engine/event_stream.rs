//! The stream of one answer, as it comes in.

use std::error::Error;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::watch;

use super::events::{Events, Spoilt};
use super::response_fields::Tail;
use super::response_reader::Tap;
use crate::upstream::CallError;

/// A stream of events that is coming in.
pub(super) struct Stream {
    pub body: Incoming,
    pub events: Events,
    pub tail: Tail,
    /// Bytes of its body that have come.
    pub read: u64,
    pub tap: Rc<Tap>,
    pub moving: watch::Receiver<bool>,
}

/// How a stream goes on.
pub(super) enum Next {
    Events(Bytes),
    /// Its last chunk has come.
    End,
    /// All that was read of it has passed, and reading has stopped for another process to go on.
    Stands,
}

impl Stream {
    pub async fn next(&mut self) -> Result<Next, CallError> {
        loop {
            // Between two chunks, but never within an event.
            let stop = *self.moving.borrow_and_update() && self.events.complete();
            self.tap.stop(stop);
            if stop && self.tap.stands(self.read) {
                return Ok(Next::Stands);
            }
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                // The sender lives as long as the engine does.
                _ = self.moving.changed() => continue,
                () = self.tap.reached() => continue,
            };
            let Some(frame) = frame else { break };
            if let Ok(data) = frame.map_err(|e| broken(&e))?.into_data() {
                self.read += data.len() as u64;
                if let Some(whole) = self.events.take(&data).map_err(|Spoilt| CallError::MalformedResponse)? {
                    self.tail.add(&whole);
                    return Ok(Next::Events(whole));
                }
            }
        }
        self.events.complete().then_some(Next::End).ok_or(CallError::MalformedResponse)
    }
}

/// Whether an answer broke off or could not be read. Either way the request may have run.
pub(super) fn broken(e: &hyper::Error) -> CallError {
    let io = e.source().and_then(|s| s.downcast_ref::<io::Error>()).map(io::Error::kind);
    match io {
        Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => CallError::MalformedResponse,
        _ if e.is_parse() => CallError::MalformedResponse,
        _ => CallError::Reset,
    }
}
