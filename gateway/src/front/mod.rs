//! The client side: what both fronts share. A front turns its wire into an exchange request and the pieces of
//! the answer back into its wire; it takes no decision.

mod connection_table;
mod connection_watch;
pub mod inference;
pub mod platform;
mod request_reader;
mod resumed_stream;
pub mod server;
mod tracked_body;

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;
use tower::util::UnsyncBoxService;
use tower::{service_fn, Service};

use crate::budget::Budget;
use crate::exchange::{self, ClientSide, ResponsePart, StreamRemainder};
use crate::metrics::RequestCounter;

/// A body must have come by then ...
const BODY_WAIT: Duration = Duration::from_secs(10);
/// ... and no pause in it may last so long.
const BODY_PAUSE: Duration = Duration::from_millis(2_000);

/// The core behind whatever layers wrap it, as a front calls it.
pub type RequestService = UnsyncBoxService<exchange::Request, ClientSide, Infallible>;

/// What a front answers with.
pub enum Body {
    Full(Full<Bytes>),
    Stream {
        first: Option<Bytes>,
        remaining: ClientSide,
    },
    /// Another process goes on with the stream: nothing more comes here.
    HandedOver(Option<StreamRemainder>),
}

impl Body {
    pub fn text(text: impl Into<Bytes>) -> Self {
        Body::Full(Full::new(text.into()))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let me = self.get_mut();
        match me {
            Body::HandedOver(_) => Poll::Pending,
            Body::Full(full) => Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            Body::Stream { first, remaining: rest } => {
                if let Some(first) = first.take() {
                    return Poll::Ready(Some(Ok(Frame::data(first))));
                }
                Poll::Ready(match ready!(rest.poll_part(cx)) {
                    Some(ResponsePart::Chunk(bytes)) => Some(Ok(Frame::data(bytes))),
                    Some(ResponsePart::End) => None,
                    Some(ResponsePart::HandedOver(rest)) => {
                        *me = Body::HandedOver(Some(rest));
                        return Poll::Pending;
                    }
                    // Broken off: an error ends the connection without the last chunk.
                    _ => Some(Err(io::Error::other("the answer broke off"))),
                })
            }
        }
    }

    /// Tells a whole body's length, so that it goes out with one.
    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(full) => full.size_hint(),
            _ => SizeHint::default(),
        }
    }
}

/// Why a body was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    TooLarge,
    TooSlow,
    Broken,
    /// No memory for it at present: trying again is harmless.
    OutOfMemory,
}

/// Collects a body of at most `most` bytes, counted against the budget before it is read.
pub async fn collect(
    headers: &HeaderMap, body: Incoming, most: usize, budget: &Budget,
) -> Result<Bytes, BodyError> {
    let told = headers.get(http::header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    let size: usize = told.unwrap_or(most);
    if size > most {
        return Err(BodyError::TooLarge);
    }
    let claim = budget.claim(size).ok_or(BodyError::OutOfMemory)?;
    let mut body = pin!(Limited::new(body, most));
    let mut all = BytesMut::with_capacity(told.unwrap_or(0));
    let take = async {
        while let Some(frame) = timeout(BODY_PAUSE, body.frame()).await.map_err(|_| BodyError::TooSlow)? {
            match frame {
                Ok(frame) => all.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(e) if e.is::<LengthLimitError>() => return Err(BodyError::TooLarge),
                Err(_) => return Err(BodyError::Broken),
            }
        }
        Ok(())
    };
    timeout(BODY_WAIT, take).await.unwrap_or(Err(BodyError::TooSlow))?;
    Ok(claim.hold(all.freeze()))
}

/// `Retry-After` in seconds with decimals, as the platform takes it.
pub fn decimals(after: Duration) -> String {
    format!("{:.3}", after.as_secs_f64())
}

/// `Retry-After` in whole seconds, as public clients read it.
pub fn whole_seconds(after: Duration) -> String {
    after.as_secs_f64().ceil().max(1.0).to_string()
}

pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::text(body));
    *response.status_mut() = status;
    response
}

/// One wire before the core. It always has an answer.
pub trait Front: Clone + 'static {
    fn answer(self, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;

    /// What will count this request, where it is one of a class.
    fn request_counter(&self, request: &Request<Incoming>) -> Option<RequestCounter>;

    /// The answer to what is turned away before it is looked at, and when its client is told to come back.
    fn reject(&self, why: &'static str) -> Response<Body> {
        let mut refusal = response(StatusCode::SERVICE_UNAVAILABLE, why);
        refusal.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        refusal
    }

    /// The front as a tower service.
    fn service(
        self,
    ) -> impl Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future: 'static>
           + Clone
           + 'static {
        service_fn(move |request| {
            let front = self.clone();
            async move { Ok(front.answer(request).await) }
        })
    }
}
