//! The client side: what both fronts share.
//!
//! A front turns its protocol into an exchange request and the parts of the response back into its protocol; it takes no
//! decision. The accept loop ([`server`]) owns the connections, a state machine a connection
//! (`glenrail_request_lifecycle::client`) what may happen on each.

#![deny(missing_docs)]

mod accept_queue;
mod accept_watch;
mod body;
pub mod closed_connections;
mod connection;
mod connection_end;
mod connection_table;
mod connection_watch;
pub mod inference;
mod lingering_close;
pub mod platform;
mod request_reader;
mod response;
mod resumed_stream;
pub mod server;
mod tracked_body;
pub mod unanswered;

use std::convert::Infallible;
use std::future::Future;

use http::header::RETRY_AFTER;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;
use tower::util::UnsyncBoxService;
use tower::{service_fn, Service};

pub use self::body::{collect, Body, BodyError};
pub use self::response::{decimal_seconds, response, whole_seconds};
use crate::exchange::{self, ClientSide};
use crate::metrics::RequestCounter;

/// The core behind whatever layers wrap it, as a front calls it.
pub type RequestService = UnsyncBoxService<exchange::Request, ClientSide, Infallible>;

/// A front as the accept loop serves it.
pub trait HttpService:
    Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future: 'static> + Clone + 'static
{
}

impl<S> HttpService for S where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future: 'static>
        + Clone
        + 'static
{
}

/// When a request came, as its connection knows it.
#[derive(Clone, Copy, Debug)]
struct ArrivedAt(Instant);

/// When a request came: no later than its first byte was read.
fn arrival_of(request: &Request<Incoming>) -> Instant {
    request.extensions().get::<ArrivedAt>().map_or_else(Instant::now, |arrived| arrived.0)
}

/// One protocol in front of the core. It always has a response.
pub trait Front: Clone + 'static {
    /// The response to a request.
    fn answer(self, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;

    /// What counts this request, where it is one of a known class.
    fn request_counter(&self, request: &Request<Incoming>) -> Option<RequestCounter>;

    /// The response to a request that is rejected before the front sees it, with the time to come back.
    fn reject(&self, why: &'static str) -> Response<Body> {
        let mut rejection = response(StatusCode::SERVICE_UNAVAILABLE, why);
        rejection.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        rejection
    }

    /// The front as a tower service.
    fn service(self) -> impl HttpService {
        service_fn(move |request| {
            let front = self.clone();
            async move { Ok(front.answer(request).await) }
        })
    }
}
