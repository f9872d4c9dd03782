//! Client side of the gateway: accepts connections, reads requests and writes responses.
//!
//! A front translates the requests of its protocol into exchange requests, and the parts of the responses back
//! into its protocol; it makes no routing decisions. The accept loop ([`server`]) owns the connections. A state
//! machine for each connection (`glenrail_request_lifecycle::client`) decides what may happen on it.

#![deny(missing_docs)]

mod accept_queue;
mod accept_queue_monitor;
mod body;
pub mod closed_connections;
mod connection;
mod connection_end;
mod connection_state;
mod connection_table;
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

/// The core and the layers around it, such as the plug-in, as a front calls them.
pub type RequestService = UnsyncBoxService<exchange::Request, ClientSide, Infallible>;

/// HTTP service of a front, which the accept loop runs on each connection.
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

/// Arrival time of a request, attached to the request as an extension by its connection.
#[derive(Clone, Copy, Debug)]
struct ArrivedAt(Instant);

/// Returns when a request arrived, which is no later than the read of its first byte. Without a recorded
/// arrival it is the current time.
fn arrival_of(request: &Request<Incoming>) -> Instant {
    request.extensions().get::<ArrivedAt>().map_or_else(Instant::now, |arrived| arrived.0)
}

/// Client-facing protocol handler: translates requests and responses between its protocol and the core.
pub trait Front: Clone + 'static {
    /// Handles a request. Every request gets a response; failures are error responses.
    fn handle(self, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;

    /// Returns the counter for a request; `None` if the request belongs to no known class.
    fn request_counter(&self, request: &Request<Incoming>) -> Option<RequestCounter>;

    /// Returns the maximum size of a request body. A chunk that states more is refused before it arrives.
    fn max_body_bytes(&self) -> usize;

    /// Returns the response to a request that is rejected before it reaches the front, with a `Retry-After` header.
    fn reject(&self, why: &'static str) -> Response<Body> {
        let mut rejection = response(StatusCode::SERVICE_UNAVAILABLE, why);
        rejection.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        rejection
    }

    /// Returns the front as a tower service.
    fn service(self) -> impl HttpService {
        service_fn(move |request| {
            let front = self.clone();
            async move { Ok(front.handle(request).await) }
        })
    }
}
