//! Reading of the event stream of one response.

use std::error::Error;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use glenrail_request_lifecycle::response_timing::Progress;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::watch;

use super::body_read_state::BodyReadState;
use super::events::{BodyEnd, EventBuffer, MalformedEvent};
use super::response_fields::StreamTail;
use crate::upstream::{CallError, Malformation};

/// An event stream in progress.
pub(super) struct EventStream {
    body: Incoming,
    events: EventBuffer,
    /// The last bytes received, with the load report and the token counts.
    pub tail: StreamTail,
    /// Number of body bytes received from hyper, without the chunk framing.
    data_read: u64,
    body_state: Rc<BodyReadState>,
    /// Becomes true when the stream is to be handed over to the successor process.
    handing_over: watch::Receiver<bool>,
    body_end: BodyEnd,
    /// Bytes of an event that arrived together with ignored lines. After an event they extend no limit.
    unreported: Option<Progress>,
}

/// Result of one step of reading a stream.
pub(super) enum StreamStep {
    /// One or more complete events.
    Events(Bytes),
    /// Complete lines that readers ignore, or an event without data.
    Ignored(Bytes),
    /// Bytes that complete no line to be forwarded.
    Progress(Progress),
    /// The body has ended, and no event is incomplete.
    End,
    /// Reading has paused with all data returned, so the successor process can continue the stream.
    Paused,
}

impl EventStream {
    /// Creates a stream of which nothing has been read. `headers` are those of the response.
    pub fn new(
        body: Incoming, headers: &HeaderMap, body_state: Rc<BodyReadState>,
        handing_over: watch::Receiver<bool>,
    ) -> Self {
        let (events, tail) = (EventBuffer::default(), StreamTail::default());
        let body_end = body_end(headers);
        EventStream { body, events, tail, data_read: 0, body_state, handing_over, body_end, unreported: None }
    }

    /// Reads until the next step is complete. The end and a pause are the last step.
    pub async fn next(&mut self) -> Result<StreamStep, CallError> {
        if let Some(progress) = self.unreported.take() {
            return Ok(StreamStep::Progress(progress));
        }
        loop {
            // A stream is handed over between two chunks, and only where no event is incomplete.
            let pause_requested = *self.handing_over.borrow_and_update() && self.events.is_complete();
            self.body_state.set_pause_requested(pause_requested);
            if pause_requested && self.body_state.is_paused_after(self.data_read) {
                return Ok(StreamStep::Paused);
            }
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                // The engine owns the sender, so this cannot fail while the engine exists.
                _ = self.handing_over.changed() => continue,
                () = self.body_state.wait_paused() => continue,
                progress = self.body_state.wait_framing_read() => return Ok(StreamStep::Progress(progress)),
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| broken_response(&error))?;
            let Ok(data) = frame.into_data() else { continue };
            self.data_read += data.len() as u64;
            let complete = self.events.push(&data)?;
            return Ok(self.step_after(complete));
        }
        let Some(rest) = self.events.finish(self.body_end)? else { return Ok(StreamStep::End) };
        self.tail.push(&rest);
        Ok(StreamStep::Ignored(rest))
    }

    /// Returns the step after the buffer has returned these complete events and lines.
    fn step_after(&mut self, complete: Option<Bytes>) -> StreamStep {
        let progress = self.events.received().incomplete_progress();
        let Some(complete) = complete else {
            return StreamStep::Progress(progress.unwrap_or(Progress::OtherBytes));
        };
        self.tail.push(&complete);
        if self.events.received().completes_event {
            return StreamStep::Events(complete);
        }
        self.unreported = progress;
        StreamStep::Ignored(complete)
    }
}

/// Returns how a body with these response headers ends.
fn body_end(headers: &HeaderMap) -> BodyEnd {
    if headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH) {
        BodyEnd::Marked
    } else {
        BodyEnd::Unmarked
    }
}

impl From<MalformedEvent> for CallError {
    fn from(MalformedEvent: MalformedEvent) -> Self {
        CallError::MalformedResponse(Malformation::Event)
    }
}

/// Classifies a failed response as incomplete or malformed. In either case the request may have run.
pub(super) fn broken_response(error: &hyper::Error) -> CallError {
    let cause = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    let malformation = cause.and_then(|cause| cause.get_ref()?.downcast_ref());
    match (malformation, cause.map(io::Error::kind)) {
        (Some(malformation), _) => CallError::MalformedResponse(*malformation),
        // What the reader accepts hyper can still reject, such as the combination of a version and a header.
        (None, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)) => {
            CallError::MalformedResponse(Malformation::HeadUnreadable)
        }
        _ if error.is_parse() => CallError::MalformedResponse(Malformation::HeadUnreadable),
        _ => CallError::Reset,
    }
}
