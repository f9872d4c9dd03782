//! Bodies of responses, which hyper writes, and of requests, which are collected within the memory budget.

use std::error::Error;
use std::io;
use std::pin::{pin, Pin};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use glenrail_request_lifecycle::framing::FramingError;
use http::header::CONTENT_LENGTH;
use http::HeaderMap;
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::budget::Budget;
use crate::exchange::{ClientSide, ResponsePart, StreamRemainder};

/// Time limit for receiving a complete request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum pause between two parts of a request body.
const BODY_PAUSE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Body of a response of a front.
pub enum Body {
    /// A body that is complete from the start.
    Full(Full<Bytes>),
    /// A stream from the core.
    Stream {
        /// First bytes of the body; `None` once they were passed on.
        first: Option<Bytes>,
        /// The parts of the response that follow.
        remaining: ClientSide,
    },
    /// A stream that another process continues; this process writes no more of it. `None` once the remainder
    /// was taken.
    HandedOver(Option<StreamRemainder>),
}

impl Body {
    /// Creates a full body from a short text.
    pub fn text(text: impl Into<Bytes>) -> Self {
        Body::Full(Full::new(text.into()))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let body = self.get_mut();
        let (first, remaining) = match body {
            Body::HandedOver(_) => return Poll::Pending,
            Body::Full(full) => return Pin::new(full).poll_frame(context).map_err(|never| match never {}),
            Body::Stream { first, remaining } => (first, remaining),
        };
        if let Some(first) = first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        match ready!(remaining.poll_part(context)) {
            Some(ResponsePart::Chunk(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(ResponsePart::End) => Poll::Ready(None),
            Some(ResponsePart::HandedOver(remainder)) => {
                *body = Body::HandedOver(Some(remainder));
                Poll::Pending
            }
            // The response was aborted: the error makes hyper close the connection without the last chunk.
            _ => Poll::Ready(Some(Err(io::Error::other("the response was aborted before its end")))),
        }
    }

    /// Returns the length of a full body, so that hyper writes a `Content-Length`.
    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(full) => full.size_hint(),
            _ => SizeHint::default(),
        }
    }
}

/// Why a request body was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the maximum of the front.
    TooLarge,
    /// It did not arrive within the time limit, or paused for too long.
    TooSlow,
    /// The connection ended within the body, or the framing of the body is invalid.
    Broken,
    /// It does not fit into the memory budget at present; a retry is safe.
    OutOfMemory,
}

impl BodyError {
    /// Returns why reading a body failed.
    fn from_read(error: &(dyn Error + 'static)) -> BodyError {
        if error.is::<LengthLimitError>() {
            return BodyError::TooLarge;
        }
        let cause = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        match cause.and_then(|cause| cause.get_ref()?.downcast_ref()) {
            Some(FramingError::ChunkTooLarge) => BodyError::TooLarge,
            _ => BodyError::Broken,
        }
    }
}

/// Collects a request body of at most `max_bytes`. Its announced length is claimed from the memory budget before any of it
/// is read; without one, each part is claimed as it arrives.
pub async fn collect(
    headers: &HeaderMap, body: Incoming, max_bytes: usize, budget: &Budget,
) -> Result<Bytes, BodyError> {
    let announced = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    let announced_bytes: usize = announced.unwrap_or(0);
    if announced_bytes > max_bytes {
        return Err(BodyError::TooLarge);
    }
    let mut claim = budget.claim(0).ok_or(BodyError::OutOfMemory)?;
    if !claim.grow_body(announced_bytes) {
        return Err(BodyError::OutOfMemory);
    }
    let mut body = pin!(Limited::new(body, max_bytes));
    let mut collected = BytesMut::with_capacity(announced_bytes);
    let read_all = async {
        while let Some(frame) =
            timeout(BODY_PAUSE_TIMEOUT, body.frame()).await.map_err(|_| BodyError::TooSlow)?
        {
            match frame {
                Ok(frame) => {
                    let data = frame.into_data().unwrap_or_default();
                    if announced.is_none() && !claim.grow_body(data.len()) {
                        return Err(BodyError::OutOfMemory);
                    }
                    collected.extend_from_slice(&data);
                }
                Err(error) => return Err(BodyError::from_read(&*error)),
            }
        }
        Ok(())
    };
    timeout(BODY_TIMEOUT, read_all).await.unwrap_or(Err(BodyError::TooSlow))?;
    Ok(claim.attach(collected.freeze()))
}
