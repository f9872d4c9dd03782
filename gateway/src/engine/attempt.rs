//! Attempts: sends a request once and streams or buffers its response.

use std::future::Future;

use bytes::Bytes;
use futures_util::stream::{iter, once, try_unfold, StreamExt};
use glenrail_request_lifecycle::evidence::Observation;
use glenrail_request_lifecycle::response_timing::{Expiry, OnPause, Progress, ResponseLimits};
use glenrail_router::{LoadReport, ServerId};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::connection::Connection;
use super::event_stream::{broken_response, EventStream, StreamStep};
use super::load_reports::ReceivedReport;
use super::response_fields::{cached_tokens, is_event_stream, is_rejection};
use super::server_request::ServerRequest;
use super::Engine;
use crate::exchange::{Payload, ResponseHead};
use crate::log;
use crate::response_clock::ResponseClock;
use crate::upstream::{CallError, Frame, Malformation, Reply};

/// Maximum size in bytes of a response that is buffered until it is complete.
const MAX_BUFFERED_BODY_BYTES: usize = 16 << 20;

/// How the response of an attempt is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseMode {
    /// Events are forwarded as they become complete.
    Streamed,
    /// The body is forwarded as one document once it is complete.
    Buffered,
}

impl ResponseMode {
    pub fn for_payload(payload: &Payload) -> Self {
        match payload.buffer_response {
            true => ResponseMode::Buffered,
            false => ResponseMode::Streamed,
        }
    }

    /// Returns the limits of a response in this mode. A document may pause until the attempt's deadline.
    pub fn limits(self, limits: ResponseLimits) -> ResponseLimits {
        match self {
            ResponseMode::Streamed => limits,
            ResponseMode::Buffered => limits.without_pause_limit(),
        }
    }
}

/// Whether the head of a response decides the outcome of its attempt, whatever the body contains.
fn is_decided_by_head(status: StatusCode) -> bool {
    !matches!(status, StatusCode::OK | StatusCode::ACCEPTED)
}

/// Waits for data of a response within the limits of its clock.
async fn within_limits<T>(clock: &ResponseClock, awaited: impl Future<Output = T>) -> Result<T, Expiry> {
    tokio::select! {
        biased;
        result = awaited => Ok(result),
        expiry = clock.expired() => Err(expiry),
    }
}

impl Engine {
    /// Sends an attempt once and converts its response to a [`Reply`].
    pub(super) async fn attempt(
        &self, server: ServerId, request: &ServerRequest, mode: ResponseMode,
    ) -> Result<Reply, CallError> {
        let (response, connection) = self.send(server, request).await?;
        let (parts, body) = response.into_parts();
        let head = ResponseHead { status: parts.status, headers: parts.headers };
        if head.status != StatusCode::OK {
            // The server's work on the attempt has ended, even if the rest of the response never arrives.
            request.cancel_token.record_observation(Observation::ResponseOnConnection);
        }
        if head.status == StatusCode::OK && mode == ResponseMode::Streamed {
            self.streamed_reply(server, head, body, connection).await
        } else {
            self.buffered_reply(server, head, body, connection).await
        }
    }

    /// Waits for the first event of a streamed response and returns the reply that streams the rest.
    async fn streamed_reply(
        &self, server: ServerId, head: ResponseHead, body: Incoming, mut connection: Connection,
    ) -> Result<Reply, CallError> {
        if !is_event_stream(&head) {
            log!("response of server {:x} has no event stream content type; treated as malformed", server.0);
            return Err(CallError::MalformedResponse(Malformation::ContentType));
        }
        let report = self.report_in_head(server, &head);
        // From here on the connection is dropped, and so closed, unless the stream is completed or handed over.
        let handing_over = self.0.handing_over.subscribe();
        let mut stream = EventStream::new(body, &head.headers, connection.body_state.clone(), handing_over);
        let clock = connection.clock.clone();
        let first = loop {
            let step = within_limits(&clock, stream.next()).await.map_err(CallError::ResponseExpired)?;
            match step? {
                StreamStep::Events(first) => break first,
                StreamStep::Progress(progress) => clock.observe(progress),
                StreamStep::Ignored(_) => clock.observe(Progress::IgnoredBytes),
                StreamStep::End | StreamStep::Paused => return Err(CallError::Reset),
            }
        };
        clock.observe(Progress::EventComplete);
        connection.begin_stream();
        let open = OpenStream { engine: self.clone(), server, report, stream, connection };
        let following = try_unfold(Some(open), |open| async move {
            match open {
                Some(open) => open.next_frame().await.map(Some),
                None => Ok(None),
            }
        });
        let frames = once(async { Ok(Frame::Data(first)) }).chain(following).boxed_local();
        Ok(Reply::Response { head, frames, timing: Box::new(clock.timing()) })
    }

    /// Reads the complete body of a response and returns the reply.
    async fn buffered_reply(
        &self, server: ServerId, head: ResponseHead, body: Incoming, connection: Connection,
    ) -> Result<Reply, CallError> {
        let report = self.report_in_head(server, &head);
        let clock = connection.clock.clone();
        if is_decided_by_head(head.status) {
            clock.set_limits(self.0.limits.server_api.response_limits(OnPause::Retry));
        }
        let body = match within_limits(&clock, self.buffer(body, &clock)).await {
            Ok(body) => body?,
            Err(_) if is_decided_by_head(head.status) => {
                return Ok(self.classify_response(head, Bytes::new(), report, &clock));
            }
            Err(expiry) => return Err(CallError::ResponseExpired(expiry)),
        };
        let Some(body) = body else {
            log!("response of server {:x} exceeds the size limit or the memory budget", server.0);
            return match head.status {
                // The prefill has succeeded, so the server holds a state lease although the body was not read.
                StatusCode::ACCEPTED => Err(CallError::MalformedResponse(Malformation::BodyTooLarge)),
                _ => Ok(Reply::Error { report }),
            };
        };
        self.recycle(server, connection);
        Ok(self.classify_response(head, body, report, &clock))
    }

    /// Returns the load report in the head of a server's response, if there is one that can be read.
    pub(super) fn report_in_head(&self, server: ServerId, head: &ResponseHead) -> Option<LoadReport> {
        self.0.unreadable_reports.check(ReceivedReport::from_headers(&head.headers), server)
    }

    /// Classifies a complete response by its status.
    fn classify_response(
        &self, head: ResponseHead, body: Bytes, report: Option<LoadReport>, clock: &ResponseClock,
    ) -> Reply {
        let public_api = self.0.limits.server_api.is_public();
        let is_rejection = is_rejection(&head, public_api);
        match head.status.as_u16() {
            202 => Reply::Prefilled { cached_tokens: cached_tokens(&body), report },
            410 if is_rejection => Reply::Rejected { state_missing: true, report },
            429 | 503 | 504 if is_rejection => Reply::Rejected { state_missing: false, report },
            status if status == 200 || (public_api && (400..500).contains(&status)) => {
                let end = Frame::End { cached_tokens: 0.0, report };
                let frames = iter([Ok(Frame::Data(body)), Ok(end)]).boxed_local();
                Reply::Response { head, frames, timing: Box::new(clock.timing()) }
            }
            400..=499 => Reply::Unprocessable { report },
            _ => Reply::Error { report },
        }
    }

    /// Reads a complete body and reports its progress. Returns `None` if it exceeds [`MAX_BUFFERED_BODY_BYTES`] or the memory budget.
    async fn buffer(&self, mut body: Incoming, clock: &ResponseClock) -> Result<Option<Bytes>, CallError> {
        let mut bytes = Vec::new();
        let mut claim = self.0.buffer_budget.claim(0).ok_or(CallError::Reset)?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| broken_response(&error))?;
            let Ok(data) = frame.into_data() else { continue };
            if bytes.len() + data.len() > MAX_BUFFERED_BODY_BYTES || !claim.grow(data.len()) {
                return Ok(None);
            }
            bytes.extend_from_slice(&data);
            clock.observe(Progress::BodyBytes);
        }
        Ok(Some(claim.attach(bytes.into())))
    }
}

/// A stream of which the first events have been forwarded.
struct OpenStream {
    engine: Engine,
    server: ServerId,
    /// Load report in the response head. A report at the end of the stream takes precedence.
    report: Option<LoadReport>,
    stream: EventStream,
    connection: Connection,
}

impl OpenStream {
    /// Returns the next frame, with the stream itself unless that was its last frame.
    async fn next_frame(mut self) -> Result<(Frame, Option<OpenStream>), CallError> {
        match self.stream.next().await? {
            StreamStep::Events(events) => Ok((Frame::Data(events), Some(self))),
            StreamStep::Ignored(lines) => Ok((Frame::Ignored(lines), Some(self))),
            StreamStep::Progress(progress) => Ok((Frame::Progress(progress), Some(self))),
            StreamStep::Paused => {
                let remainder = self.connection.into_remainder().map_err(|_| CallError::Reset)?;
                Ok((Frame::HandedOver(remainder), None))
            }
            StreamStep::End => {
                self.engine.recycle(self.server, self.connection);
                let tail = &self.stream.tail;
                let at_end = self.engine.0.unreadable_reports.check(tail.load_report(), self.server);
                let report = at_end.or(self.report);
                Ok((Frame::End { cached_tokens: tail.cached_tokens(), report }, None))
            }
        }
    }
}
