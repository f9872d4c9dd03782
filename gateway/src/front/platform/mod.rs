//! The platform's protocol: the request's fields come in headers, the body passes on as it came.

use std::rc::Rc;
use std::str::Utf8Error;
use std::time::Duration;

use glenrail_router::{Limits, Millis};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;
use tower::ServiceExt;

use super::{collect, decimals, response, Body, BodyError, Front, RequestService};
use crate::budget::Budget;
use crate::core::duration;
use crate::exchange::{self, ClientSide, Failure, Payload, ResponsePart};
use crate::metrics::{RequestCounter, RequestMetrics};
use crate::shutdown::Shutdown;

const CHAT: &str = "/v1/chat/completions";
/// Most bytes of a body in this protocol.
const BODY: usize = 256 << 10;
/// Tokens that a body holds, at four characters each (the protocol's figure). What a client says beyond that is no guide: it
/// would move the router's mean of all prompts for hundreds of requests.
const MOST_TOKENS: f64 = (BODY / 4) as f64;
/// No request waits longer for its first token (ms), whatever its client says.
const MOST_PATIENCE: Millis = 60_000.0;
/// When nothing better is known, a refused client is told to come back after this time, and one that found the door full
/// after that; neither later than the settings allow.
const COME_BACK: Duration = Duration::from_millis(250);
const DOOR_FULL: Duration = Duration::from_millis(1_000);

/// What the front needs to know of the deployment to read a request.
pub struct PlatformNames {
    /// Each class and its deadline.
    pub classes: Vec<(String, Millis)>,
    pub tenants: Vec<String>,
    /// The longest time that a refused client is told to wait; zero where none is told.
    pub come_back: Duration,
}

impl PlatformNames {
    /// The longest time that these settings let a refused client be told to wait.
    pub fn come_back(limits: &Limits) -> Duration {
        if limits.retry_after {
            duration(limits.max_retry_after)
        } else {
            Duration::ZERO
        }
    }
}

#[derive(Clone)]
pub struct Platform {
    names: Rc<PlatformNames>,
    budget: Budget,
    entry: Rc<dyn Fn() -> RequestService>,
    ready: Rc<dyn Fn() -> bool>,
    shutdown: Shutdown,
    counters: RequestMetrics,
}

impl Platform {
    pub fn new(
        names: PlatformNames, budget: Budget, entry: Rc<dyn Fn() -> RequestService>,
        ready: Rc<dyn Fn() -> bool>, shutdown: Shutdown, counters: RequestMetrics,
    ) -> Self {
        Platform { names: Rc::new(names), budget, entry, ready, shutdown, counters }
    }

    async fn chat(self, request: Request<Incoming>) -> Response<Body> {
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let (name, ask) = match fields(&parts.headers, &self.names) {
            Ok(read) => read,
            Err(what) => return response(StatusCode::BAD_REQUEST, format!("{what}\n")),
        };
        let body = match collect(&parts.headers, body, BODY, &self.budget).await {
            Ok(taken) => taken,
            Err(BodyError::OutOfMemory) => return self.refusal(COME_BACK),
            Err(BodyError::TooLarge) => return response(StatusCode::PAYLOAD_TOO_LARGE, "body too large\n"),
            Err(BodyError::TooSlow) => return response(StatusCode::REQUEST_TIMEOUT, "body too slow\n"),
            Err(BodyError::Broken) => return response(StatusCode::BAD_REQUEST, "body broken off\n"),
        };
        // Its head came in time, its last byte did not.
        if self.shutdown.rejects_new_requests() {
            return self.refusal(COME_BACK);
        }
        let payload = Payload {
            request_id: name,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            buffer_response: false,
        };
        let request = exchange::Request { routing: ask, arrived, payload: Rc::new(payload) };
        let Ok(answer) = (self.entry)().oneshot(request).await;
        self.pass_back(answer).await
    }

    fn refusal(&self, after: Duration) -> Response<Body> {
        refusal("refused, try again\n", after.min(self.names.come_back))
    }

    /// The answer's first piece decides the status: 200 only once an engine's first event is there.
    async fn pass_back(&self, mut answer: ClientSide) -> Response<Body> {
        match answer.next_part().await {
            Some(ResponsePart::Head(head, first)) => {
                let stream = Body::Stream { first: Some(first), remaining: answer };
                let mut response = Response::new(stream);
                let kind = head.headers.get(CONTENT_TYPE).cloned();
                let kind = kind.unwrap_or(HeaderValue::from_static("text/event-stream"));
                response.headers_mut().insert(CONTENT_TYPE, kind);
                response
            }
            Some(ResponsePart::Rejected(after)) => self.refusal(after),
            Some(ResponsePart::Failed(Failure::DeadlineExceeded)) => {
                response(StatusCode::GATEWAY_TIMEOUT, "out of time\n")
            }
            Some(ResponsePart::Failed(Failure::DuplicateRequestId)) => {
                response(StatusCode::CONFLICT, "Req-Id: a request with this id is open\n")
            }
            Some(ResponsePart::Failed(Failure::Unprocessable)) => {
                response(StatusCode::BAD_REQUEST, "the servers cannot use it\n")
            }
            _ => response(StatusCode::BAD_GATEWAY, "failed\n"),
        }
    }
}

impl Front for Platform {
    fn request_counter(&self, request: &Request<Incoming>) -> Option<RequestCounter> {
        let chat = request.uri().path() == CHAT && request.method() == Method::POST;
        self.counters.counter(text(request.headers().get("Req-Kind").filter(|_| chat)?).ok()?.trim())
    }

    fn reject(&self, why: &'static str) -> Response<Body> {
        refusal(why, DOOR_FULL.min(self.names.come_back))
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/ready") if (self.ready)() => response(StatusCode::OK, "ready\n"),
            (&Method::GET, "/ready") => response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            (&Method::POST, CHAT) => self.chat(request).await,
            (_, "/ready" | CHAT) => response(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n"),
            _ => response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}

fn refusal(why: &'static str, after: Duration) -> Response<Body> {
    let mut refusal = response(StatusCode::SERVICE_UNAVAILABLE, why);
    if !after.is_zero() {
        let after = HeaderValue::from_str(&decimals(after));
        refusal.headers_mut().extend(after.ok().map(|v| (RETRY_AFTER, v)));
    }
    refusal
}

/// A header's value as text: an operator may name classes and tenants in any language.
fn text(value: &HeaderValue) -> Result<&str, Utf8Error> {
    std::str::from_utf8(value.as_bytes())
}

/// Reads what decisions need from the headers, or says which one is at fault.
fn fields(headers: &HeaderMap, names: &PlatformNames) -> Result<(String, glenrail_router::Request), String> {
    let get = |name: &str| {
        let mut values = headers.get_all(name).iter().map(text);
        match (values.next(), values.next()) {
            (None, _) => Ok(None),
            (Some(Ok(text)), None) => Ok(Some(text.trim())),
            (Some(Err(_)), None) => Err(format!("{name}: not text")),
            // Guards against a server that would take the other one.
            (_, Some(_)) => Err(format!("{name}: given more than once")),
        }
    };
    let id = get("Req-Id")?.ok_or("Req-Id: missing")?;
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if id.is_empty() || id.len() > 64 || !id.chars().all(plain) {
        return Err("Req-Id: 1 to 64 letters, digits, '-' or '_' wanted".into());
    }
    let kind = get("Req-Kind")?.ok_or("Req-Kind: missing")?;
    let class = names.classes.iter().position(|c| c.0 == kind).ok_or("Req-Kind: no such class")?;
    let tenant = match get("Req-Owner")? {
        Some(owner) => names.tenants.iter().position(|t| t == owner).ok_or("Req-Owner: no such tenant")?,
        None => 0,
    };
    let patience = match get("Req-Deadline")? {
        Some(text) => seconds(text).ok_or("Req-Deadline: seconds above 0 wanted")?.min(MOST_PATIENCE),
        None => names.classes[class].1,
    };
    let hint = match get("Req-Cost")? {
        Some(text) => Some(seconds(text).ok_or("Req-Cost: seconds above 0 wanted")?),
        None => None,
    };
    let mut ask = glenrail_router::Request {
        class: class as u32,
        tenant: tenant as u32,
        session: get("Req-Key")?.map_or(0, key),
        expected_duration: hint,
        client_timeout: patience,
        client_retry: get("Req-Retry")?.is_some(),
        resumed: get("Req-Retry")? == Some("again"),
        ..glenrail_router::Request::default()
    };
    for pair in get("Req-Extra")?.unwrap_or("").split(',').filter(|p| !p.trim().is_empty()) {
        let (name, value) = pair.split_once('=').ok_or("Req-Extra: name=value wanted")?;
        let field = match name.trim() {
            "prefix" => {
                ask.prefix = Some(key(value.trim())).filter(|p| *p != 0);
                continue;
            }
            "prompt_len" => &mut ask.prompt_tokens,
            "prefix_len" => &mut ask.prefix_tokens,
            "max_out" => &mut ask.max_tokens,
            _ => continue,
        };
        let number: f64 = value.trim().parse().unwrap_or(-1.0);
        if !number.is_finite() || number < 0.0 {
            return Err(format!("Req-Extra: {} is no count of tokens", name.trim()));
        }
        *field = number.min(MOST_TOKENS);
    }
    Ok((id.to_string(), ask))
}

fn seconds(text: &str) -> Option<Millis> {
    text.parse().ok().filter(|s: &f64| s.is_finite() && *s > 0.0).map(|s| s * 1000.0)
}

/// A name of a session or a beginning: 16 hex digits are its number, any other text is hashed.
pub fn key(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| glenrail_settings::server_id(text).0)
}

#[cfg(test)]
mod tests;
