//! Platform front: the fields of a request are in `Req-*` headers, and its body is forwarded unchanged.

mod fields;

use std::rc::Rc;
use std::time::Duration;

use glenrail_router::{Limits, Millis};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tower::ServiceExt;

pub use self::fields::key_number;
use self::fields::{header_text, read_fields};
use super::{arrival_of, collect, decimal_seconds, response, Body, BodyError, Front, RequestService};
use crate::budget::Budget;
use crate::core::duration;
use crate::exchange::{self, ClientSide, Failure, Payload, ResponsePart};
use crate::metrics::{RequestCounter, RequestMetrics};
use crate::shutdown::Shutdown;

/// Path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of the readiness check.
const READY_PATH: &str = "/ready";
/// Maximum size of a request body in bytes, as the protocol defines it.
const MAX_BODY_BYTES: usize = 256 << 10;
/// `Retry-After` of a rejection by the front, if the settings allow one; for others the router gives the time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// `Retry-After` of a request that is rejected before it reaches the front (connection cap, out of service), if the
/// settings allow one.
const OVER_CAP_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Settings of the deployment that the front needs to read and reject requests.
pub struct PlatformSettings {
    /// Names and default deadlines of the classes, by index.
    pub classes: Vec<(String, Millis)>,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Maximum `Retry-After` of a rejection; zero if rejections have none.
    pub max_retry_after: Duration,
}

impl PlatformSettings {
    /// Returns the maximum `Retry-After` that the settings allow; zero if they allow none.
    pub fn max_retry_after(limits: &Limits) -> Duration {
        if limits.retry_after {
            duration(limits.max_retry_after)
        } else {
            Duration::ZERO
        }
    }
}

/// Front for the platform's protocol.
#[derive(Clone)]
pub struct Platform {
    names: Rc<PlatformSettings>,
    budget: Budget,
    core: Rc<dyn Fn() -> RequestService>,
    ready: Rc<dyn Fn() -> bool>,
    shutdown: Shutdown,
    metrics: RequestMetrics,
}

impl Platform {
    /// Creates a front that sends requests to `core`; `ready` decides the result of the readiness check.
    pub fn new(
        names: PlatformSettings, budget: Budget, core: Rc<dyn Fn() -> RequestService>,
        ready: Rc<dyn Fn() -> bool>, shutdown: Shutdown, metrics: RequestMetrics,
    ) -> Self {
        Platform { names: Rc::new(names), budget, core, ready, shutdown, metrics }
    }

    async fn chat(self, request: Request<Incoming>) -> Response<Body> {
        let arrived = arrival_of(&request);
        let (parts, body) = request.into_parts();
        let fields = match read_fields(&parts.headers, &self.names) {
            Ok(fields) => fields,
            Err(error) => return response(StatusCode::BAD_REQUEST, format!("{error}\n")),
        };
        let body = match collect(&parts.headers, body, MAX_BODY_BYTES, &self.budget).await {
            Ok(body) => body,
            Err(error) => return self.body_error_response(error),
        };
        // The gateway may have begun to reject new requests while the body was being read.
        if self.shutdown.rejects_new_requests() {
            return self.rejection(DEFAULT_RETRY_AFTER);
        }
        let payload = Payload {
            request_id: fields.request_id,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            buffer_response: false,
        };
        let request = exchange::Request { routing: fields.routing, arrived, payload: Rc::new(payload) };
        let Ok(response_parts) = (self.core)().oneshot(request).await;
        self.respond(response_parts).await
    }

    fn body_error_response(&self, error: BodyError) -> Response<Body> {
        match error {
            BodyError::OutOfMemory => self.rejection(DEFAULT_RETRY_AFTER),
            BodyError::TooLarge => response(StatusCode::PAYLOAD_TOO_LARGE, "body too large\n"),
            BodyError::TooSlow => response(StatusCode::REQUEST_TIMEOUT, "body too slow\n"),
            BodyError::Broken => response(StatusCode::BAD_REQUEST, "body broken off\n"),
        }
    }

    fn rejection(&self, after: Duration) -> Response<Body> {
        rejection("refused, try again\n", after.min(self.names.max_retry_after))
    }

    /// Waits for the first part of the response, which decides the status: it is 200 only if a server has sent
    /// its first event.
    async fn respond(&self, mut response_parts: ClientSide) -> Response<Body> {
        match response_parts.next_part().await {
            Some(ResponsePart::Head(head, first)) => {
                let stream = Body::Stream { first: Some(first), remaining: response_parts };
                let mut response = Response::new(stream);
                let content_type = head.headers.get(CONTENT_TYPE).cloned();
                let content_type = content_type.unwrap_or(HeaderValue::from_static("text/event-stream"));
                response.headers_mut().insert(CONTENT_TYPE, content_type);
                response
            }
            Some(ResponsePart::Rejected(after)) => self.rejection(after),
            Some(ResponsePart::Failed(failure)) => failure_response(failure),
            _ => failure_response(Failure::Upstream),
        }
    }
}

fn failure_response(failure: Failure) -> Response<Body> {
    match failure {
        Failure::DeadlineExceeded => response(StatusCode::GATEWAY_TIMEOUT, "out of time\n"),
        Failure::DuplicateRequestId => {
            response(StatusCode::CONFLICT, "Req-Id: a request with this id is open\n")
        }
        Failure::Unprocessable => response(StatusCode::BAD_REQUEST, "the servers cannot use it\n"),
        Failure::Upstream => response(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}

impl Front for Platform {
    fn max_body_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }

    fn request_counter(&self, request: &Request<Incoming>) -> Option<RequestCounter> {
        if request.uri().path() != CHAT_PATH || request.method() != Method::POST {
            return None;
        }
        let class = header_text(request.headers().get("Req-Kind")?).ok()?;
        self.metrics.counter(class.trim())
    }

    fn reject(&self, why: &'static str) -> Response<Body> {
        rejection(why, OVER_CAP_RETRY_AFTER.min(self.names.max_retry_after))
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, READY_PATH) if (self.ready)() => response(StatusCode::OK, "ready\n"),
            (&Method::GET, READY_PATH) => response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            (&Method::POST, CHAT_PATH) => self.chat(request).await,
            (_, READY_PATH | CHAT_PATH) => response(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n"),
            _ => response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}

fn rejection(why: &'static str, after: Duration) -> Response<Body> {
    let mut rejection = response(StatusCode::SERVICE_UNAVAILABLE, why);
    if !after.is_zero() {
        let retry_after = HeaderValue::from_str(&decimal_seconds(after));
        rejection.headers_mut().extend(retry_after.ok().map(|value| (RETRY_AFTER, value)));
    }
    rejection
}

#[cfg(test)]
mod tests;
