//! The stream of one response, as it is read.

use std::error::Error;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::watch;

use super::body_tap::BodyTap;
use super::events::{EventBuffer, MalformedEvent};
use super::response_fields::StreamTail;
use crate::upstream::CallError;

/// A stream of events that is being read.
pub(super) struct EventStream {
    body: Incoming,
    events: EventBuffer,
    /// The last bytes of the stream so far.
    pub tail: StreamTail,
    /// Bytes of the body that were read.
    read: u64,
    tap: Rc<BodyTap>,
    /// Whether the stream is to be handed over to the successor process.
    handing_over: watch::Receiver<bool>,
}

/// One step of a stream.
pub(super) enum StreamStep {
    /// Complete events.
    Events(Bytes),
    /// The last chunk has come.
    End,
    /// All that was read has been returned, and reading has paused, so that the successor process can continue.
    Paused,
}

impl EventStream {
    /// A stream of which nothing was read.
    pub fn new(body: Incoming, tap: Rc<BodyTap>, handing_over: watch::Receiver<bool>) -> Self {
        let (events, tail) = (EventBuffer::default(), StreamTail::default());
        EventStream { body, events, tail, read: 0, tap, handing_over }
    }

    /// The next step; nothing follows one that is not events.
    pub async fn next(&mut self) -> Result<StreamStep, CallError> {
        loop {
            // Between two chunks, but never within an event.
            let pausing = *self.handing_over.borrow_and_update() && self.events.is_complete();
            self.tap.set_pausing(pausing);
            if pausing && self.tap.is_paused_after(self.read) {
                return Ok(StreamStep::Paused);
            }
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                // The sender lives as long as the engine does.
                _ = self.handing_over.changed() => continue,
                () = self.tap.paused() => continue,
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| broken_response(&error))?;
            let Ok(data) = frame.into_data() else { continue };
            self.read += data.len() as u64;
            let events = self.events.push(&data).map_err(|MalformedEvent| CallError::MalformedResponse)?;
            if let Some(events) = events {
                self.tail.push(&events);
                return Ok(StreamStep::Events(events));
            }
        }
        self.events.is_complete().then_some(StreamStep::End).ok_or(CallError::MalformedResponse)
    }
}

/// Whether a response broke off or could not be read. Either way the request may have run.
pub(super) fn broken_response(error: &hyper::Error) -> CallError {
    let cause = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    match cause.map(io::Error::kind) {
        Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => CallError::MalformedResponse,
        _ if error.is_parse() => CallError::MalformedResponse,
        _ => CallError::Reset,
    }
}
