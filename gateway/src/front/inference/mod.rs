//! Inference front: embeddings, rerank and chat in the formats of their public APIs.
//!
//! It reads the fields that routing needs from the JSON body, and forwards the body unchanged.

mod body_fields;
mod error;

use std::cell::Cell;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenrail_settings::server_id;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;
use tower::ServiceExt;

use self::body_fields::{read_chat, read_embeddings, read_rerank, BodyFields, BodyReader};
use self::error::ApiError;
use super::{arrival_of, collect, response, Body, BodyError, Front, RequestService};
use crate::budget::Budget;
use crate::config;
use crate::core::{duration, millis};
use crate::exchange::{self, ClientSide, Failure, Payload, ResponsePart};
use crate::metrics::{RequestCounter, RequestMetrics};

/// Class under which requests for embeddings and rerank to this front's own servers are counted.
pub const EMBEDDINGS: &str = "embeddings";
/// Class under which chat requests to this front's own servers are counted.
pub const CHAT: &str = "chat";

const READY_PATH: &str = "/ready";
const EMBEDDINGS_PATH: &str = "/v1/embeddings";
const RERANK_PATH: &str = "/v1/rerank";
const CHAT_PATH: &str = "/v1/chat/completions";
/// Request header with the client's timeout in seconds.
const TIMEOUT_HEADER: &str = "x-request-timeout";
/// Bytes of a body that are estimated as one token.
const CHARS_PER_TOKEN: f64 = 4.0;
/// Minimum `Retry-After` of a rejection.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// A rejection within this time before the deadline is reported as an exceeded deadline.
const DEADLINE_SLACK: Duration = Duration::from_millis(20);

/// Pool that serves the requests of an endpoint.
pub struct Target {
    /// Returns the pool's core behind the plug-in.
    pub service: Rc<dyn Fn() -> RequestService>,
    /// Returns whether the pool can serve requests.
    pub ready: Rc<dyn Fn() -> bool>,
    /// Class of the requests in that pool: its index in the settings and, for the platform's servers, its name.
    pub class: (u32, Option<String>),
}

/// Front for the public APIs. Clones share their state.
#[derive(Clone)]
pub struct Inference(Rc<Inner>);

struct Inner {
    max_body: usize,
    /// Timeout of clients that send none.
    deadline: Duration,
    max_deadline: Duration,
    embeddings: Option<Target>,
    chat: Option<Target>,
    budget: Budget,
    metrics: RequestMetrics,
    ids: RequestIds,
}

/// Generates request ids from a random start, which differs between processes, and a counter.
struct RequestIds {
    seed: u64,
    count: Cell<u64>,
}

impl RequestIds {
    fn new() -> RequestIds {
        RequestIds { seed: RandomState::new().hash_one("request ids"), count: Cell::new(0) }
    }

    fn next(&self) -> String {
        self.count.set(self.count.get() + 1);
        format!("{:016x}", self.seed.wrapping_add(self.count.get()))
    }
}

/// Endpoint of the public APIs.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Endpoint {
    Embeddings,
    Rerank,
    Chat,
}

impl Endpoint {
    fn of_path(path: &str) -> Option<Endpoint> {
        match path {
            EMBEDDINGS_PATH => Some(Endpoint::Embeddings),
            RERANK_PATH => Some(Endpoint::Rerank),
            CHAT_PATH => Some(Endpoint::Chat),
            _ => None,
        }
    }

    fn body_reader(self) -> BodyReader {
        match self {
            Endpoint::Embeddings => read_embeddings,
            Endpoint::Rerank => read_rerank,
            Endpoint::Chat => read_chat,
        }
    }
}

impl Inference {
    /// Creates a front from its configuration file. Paths of an endpoint without a target are answered with 404.
    pub fn new(
        file: &config::InferenceFrontConfig, embeddings: Option<Target>, chat: Option<Target>,
        budget: Budget, metrics: RequestMetrics,
    ) -> Self {
        Inference(Rc::new(Inner {
            max_body: file.max_body,
            deadline: Duration::from_millis(file.deadline_ms),
            max_deadline: Duration::from_millis(file.max_deadline_ms),
            embeddings,
            chat,
            budget,
            metrics,
            ids: RequestIds::new(),
        }))
    }

    fn target(&self, endpoint: Endpoint) -> Option<&Target> {
        match endpoint {
            Endpoint::Embeddings | Endpoint::Rerank => self.0.embeddings.as_ref(),
            Endpoint::Chat => self.0.chat.as_ref(),
        }
    }

    async fn exchange(&self, request: Request<Incoming>) -> Result<Response<Body>, ApiError> {
        let arrived = arrival_of(&request);
        let (parts, body) = request.into_parts();
        if parts.uri.path() == READY_PATH && parts.method == Method::GET {
            return Ok(self.ready());
        }
        let endpoint = Endpoint::of_path(parts.uri.path()).ok_or_else(ApiError::path_not_found)?;
        let target = self.target(endpoint).ok_or_else(ApiError::path_not_found)?;
        if parts.method != Method::POST {
            return Err(ApiError::method_not_allowed());
        }
        let client_timeout = self.client_timeout(&parts.headers)?;
        let body = collect(&parts.headers, body, self.0.max_body, &self.0.budget).await;
        let body = body.map_err(|error| self.body_error(error))?;
        let fields = endpoint.body_reader()(&body)?;
        let request = self.exchange_request(target, parts, body, &fields, client_timeout, arrived);
        let Ok(response_parts) = (target.service)().oneshot(request).await;
        respond(response_parts, arrived + client_timeout).await
    }

    fn exchange_request(
        &self, target: &Target, parts: Parts, body: Bytes, fields: &BodyFields, client_timeout: Duration,
        arrived: Instant,
    ) -> exchange::Request {
        let request_id = self.0.ids.next();
        let routing = glenrail_router::Request {
            class: target.class.0,
            session: fields.session.unwrap_or_else(|| server_id(&request_id).0),
            prefix: fields.prefix,
            prompt_tokens: body.len() as f64 / CHARS_PER_TOKEN,
            prefix_tokens: fields.prefix_tokens,
            max_tokens: fields.max_tokens,
            client_timeout: millis(client_timeout),
            ..glenrail_router::Request::default()
        };
        let mut headers = parts.headers;
        if let Some(class) = &target.class.1 {
            set_platform_headers(&mut headers, class, &routing);
        }
        let payload = Payload {
            request_id,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            buffer_response: !fields.stream,
        };
        exchange::Request { routing, arrived, payload: Rc::new(payload) }
    }

    fn body_error(&self, error: BodyError) -> ApiError {
        match error {
            BodyError::OutOfMemory => ApiError::overloaded(MIN_RETRY_AFTER),
            BodyError::TooLarge => ApiError::body_too_large(self.0.max_body),
            BodyError::TooSlow => ApiError::body_too_slow(),
            BodyError::Broken => ApiError::invalid("the body broke off"),
        }
    }

    fn ready(&self) -> Response<Body> {
        let mut targets = [&self.0.embeddings, &self.0.chat].into_iter().flatten();
        if targets.all(|target| (target.ready)()) {
            response(StatusCode::OK, "ready\n")
        } else {
            response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    /// Returns the client's timeout, up to the maximum; the default if the client sends none.
    fn client_timeout(&self, headers: &HeaderMap) -> Result<Duration, ApiError> {
        let Some(value) = headers.get(TIMEOUT_HEADER) else { return Ok(self.0.deadline) };
        let seconds = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
        let seconds = seconds.filter(|seconds| seconds.is_finite() && *seconds > 0.0);
        let seconds =
            seconds.ok_or_else(|| ApiError::invalid("X-Request-Timeout: seconds above 0 wanted"))?;
        Ok(duration(seconds * 1000.0).min(self.0.max_deadline))
    }
}

/// Sets the headers that the platform's servers expect, and replaces any that the client sent under these names.
fn set_platform_headers(headers: &mut HeaderMap, class: &str, routing: &glenrail_router::Request) {
    let prefix = routing.prefix.map_or(String::new(), |prefix| format!("prefix={prefix:016x},"));
    let (prompt_tokens, max_tokens) = (routing.prompt_tokens, routing.max_tokens);
    let extra = format!("{prefix}prompt_len={prompt_tokens:.0},max_out={max_tokens:.0}");
    let key = format!("{:016x}", routing.session);
    for (name, value) in [("req-kind", class), ("req-key", &key), ("req-extra", &extra)] {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
}

impl Front for Inference {
    fn max_body_bytes(&self) -> usize {
        self.0.max_body
    }

    fn request_counter(&self, request: &Request<Incoming>) -> Option<RequestCounter> {
        let endpoint = Endpoint::of_path(request.uri().path())?;
        if request.method() != Method::POST {
            return None;
        }
        let own_class = if endpoint == Endpoint::Chat { CHAT } else { EMBEDDINGS };
        let class = self.target(endpoint)?.class.1.as_deref();
        self.0.metrics.counter(class.unwrap_or(own_class))
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        self.exchange(request).await.unwrap_or_else(ApiError::into_response)
    }
}

/// Waits for the first part of the response, which decides the status.
async fn respond(mut response_parts: ClientSide, deadline: Instant) -> Result<Response<Body>, ApiError> {
    match response_parts.next_part().await {
        Some(ResponsePart::Head(head, first)) => {
            let mut response = Response::new(Body::Stream { first: Some(first), remaining: response_parts });
            *response.status_mut() = head.status;
            let content_type = head.headers.get(CONTENT_TYPE).cloned();
            let content_type = content_type.unwrap_or(HeaderValue::from_static("application/json"));
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            Ok(response)
        }
        // A rejection shortly before the deadline is no sign of overload.
        Some(ResponsePart::Rejected(_)) if Instant::now() + DEADLINE_SLACK >= deadline => {
            Err(ApiError::deadline_exceeded())
        }
        Some(ResponsePart::Rejected(after)) => Err(ApiError::overloaded(after.max(MIN_RETRY_AFTER))),
        Some(ResponsePart::Failed(Failure::DeadlineExceeded)) => Err(ApiError::deadline_exceeded()),
        _ => Err(ApiError::upstream_failed()),
    }
}

#[cfg(test)]
mod tests;
