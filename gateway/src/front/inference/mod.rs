//! The second front: embeddings and rerank beside chat, by the shapes of their public APIs. It reads what
//! decisions need from the JSON body, and the body passes on as it came.

use std::cell::Cell;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;

use glenrail_settings::server_id;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;
use tokio::time::Instant;
use tower::ServiceExt;

use super::{collect, response, whole_seconds, Body, BodyError, Front, RequestService};
use crate::budget::Budget;
use crate::config;
use crate::core::duration;
use crate::exchange::{self, ClientSide, Failure, Payload, ResponsePart};
use crate::metrics::{RequestCounter, RequestMetrics};

/// Classes of requests to this front's own servers, by which they are counted.
pub const EMBEDDINGS: &str = "embeddings";
pub const CHAT: &str = "chat";
/// How long the client waits, in seconds.
const TIMEOUT: &str = "x-request-timeout";
/// Inputs or documents of one request.
const BATCH: usize = 2_048;
/// Tokens taken to be asked for by a chat that sets no limit.
const MAX_TOKENS: f64 = 512.0;
/// One token is about so many characters.
const CHARS: f64 = 4.0;
const COME_BACK: Duration = Duration::from_secs(1);
/// An answer of the module so shortly before the deadline is due to the deadline.
const AT_END: Duration = Duration::from_millis(20);

/// Where requests of one kind go.
pub struct Target {
    pub entry: Rc<dyn Fn() -> RequestService>,
    pub ready: Rc<dyn Fn() -> bool>,
    /// Its class there: the place in the settings and, on the platform's servers, the name.
    pub class: (u32, Option<String>),
}

#[derive(Clone)]
pub struct Inference(Rc<Inner>);

struct Inner {
    max_body: usize,
    deadline: Duration,
    max_deadline: Duration,
    embeddings: Option<Target>,
    chat: Option<Target>,
    budget: Budget,
    counters: RequestMetrics,
    /// Names of requests: a start that differs between processes, and a count.
    seed: u64,
    count: Cell<u64>,
}

/// An error as clients of these APIs expect it.
struct Fault {
    status: StatusCode,
    kind: &'static str,
    message: String,
    after: Option<Duration>,
}

impl Fault {
    fn new(status: StatusCode, kind: &'static str, message: impl Into<String>) -> Self {
        Fault { status, kind, message: message.into(), after: None }
    }
    fn invalid(message: impl Into<String>) -> Self {
        Fault::new(StatusCode::BAD_REQUEST, "invalid_request_error", message)
    }
    fn refused(after: Duration) -> Self {
        let fault =
            Fault::new(StatusCode::SERVICE_UNAVAILABLE, "overloaded_error", "overloaded, try again later");
        Fault { after: Some(after), ..fault }
    }
    fn response(self) -> Response<Body> {
        let error = json!({"message": self.message, "type": self.kind, "param": null, "code": null});
        let mut response = response(self.status, json!({ "error": error }).to_string());
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.after.and_then(|a| HeaderValue::from_str(&whole_seconds(a)).ok()) {
            response.headers_mut().insert(RETRY_AFTER, after);
        }
        response
    }
}

impl Inference {
    /// A path whose target is left out does not exist.
    pub fn new(
        file: &config::Front, embeddings: Option<Target>, chat: Option<Target>, budget: Budget,
        counters: RequestMetrics,
    ) -> Self {
        Inference(Rc::new(Inner {
            max_body: file.max_body,
            deadline: Duration::from_millis(file.deadline_ms),
            max_deadline: Duration::from_millis(file.max_deadline_ms),
            embeddings,
            chat,
            budget,
            counters,
            seed: RandomState::new().hash_one("names of requests"),
            count: Cell::new(0),
        }))
    }

    async fn exchange(&self, request: Request<Incoming>) -> Result<Response<Body>, Fault> {
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let me = &self.0;
        let no_path = || Fault::new(StatusCode::NOT_FOUND, "invalid_request_error", "no such path here");
        let (target, read): (_, Reader) = match parts.uri.path() {
            "/ready" if parts.method == Method::GET => return Ok(self.ready()),
            "/v1/embeddings" => (&me.embeddings, embeddings),
            "/v1/rerank" => (&me.embeddings, rerank),
            "/v1/chat/completions" => (&me.chat, chat),
            _ => return Err(no_path()),
        };
        let target = target.as_ref().ok_or_else(no_path)?;
        if parts.method != Method::POST {
            return Err(Fault::new(StatusCode::METHOD_NOT_ALLOWED, "invalid_request_error", "POST wanted"));
        }
        let patience = self.patience(&parts.headers)?;
        let body = collect(&parts.headers, body, me.max_body, &me.budget).await.map_err(|e| match e {
            BodyError::OutOfMemory => Fault::refused(COME_BACK),
            BodyError::TooLarge => {
                let message = format!("the body is larger than {} bytes", me.max_body);
                Fault::new(StatusCode::PAYLOAD_TOO_LARGE, "invalid_request_error", message)
            }
            BodyError::TooSlow => {
                Fault::new(StatusCode::REQUEST_TIMEOUT, "invalid_request_error", "body too slow")
            }
            BodyError::Broken => Fault::invalid("the body broke off"),
        })?;
        let asked = read(&body)?;
        me.count.set(me.count.get() + 1);
        let name = format!("{:016x}", me.seed.wrapping_add(me.count.get()));
        let prompt_tokens = body.len() as f64 / CHARS;
        let session = asked.session.unwrap_or_else(|| server_id(&name).0);
        let mut headers = parts.headers;
        if let (_, Some(class)) = &target.class {
            let prefix = asked.prefix.map_or(String::new(), |p| format!("prefix={p:016x},"));
            let extra = format!("{prefix}prompt_len={prompt_tokens:.0},max_out={:.0}", asked.max_tokens);
            let key = format!("{session:016x}");
            for (name, value) in [("req-kind", class), ("req-key", &key), ("req-extra", &extra)] {
                // In the place of what the client may have sent under these names.
                if let Ok(value) = HeaderValue::from_str(value) {
                    headers.insert(HeaderName::from_static(name), value);
                }
            }
        }
        let ask = glenrail_router::Request {
            class: target.class.0,
            session,
            prefix: asked.prefix,
            prompt_tokens,
            prefix_tokens: asked.prefix_tokens,
            max_tokens: asked.max_tokens,
            client_timeout: patience.as_secs_f64() * 1000.0,
            ..glenrail_router::Request::default()
        };
        let payload = Payload {
            request_id: name,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            buffer_response: !asked.stream,
        };
        let request = exchange::Request { routing: ask, arrived, payload: Rc::new(payload) };
        let Ok(answer) = (target.entry)().oneshot(request).await;
        pass_back(answer, arrived + patience).await
    }

    fn ready(&self) -> Response<Body> {
        let targets = [&self.0.embeddings, &self.0.chat];
        let serve = targets.into_iter().flatten().all(|t| (t.ready)());
        let status = if serve { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        response(status, if serve { "ready\n" } else { "not ready\n" })
    }

    /// How long the client says it waits, up to the cap; without a word, the default.
    fn patience(&self, headers: &HeaderMap) -> Result<Duration, Fault> {
        let Some(value) = headers.get(TIMEOUT) else { return Ok(self.0.deadline) };
        let seconds = value.to_str().ok().and_then(|v| v.trim().parse::<f64>().ok());
        let seconds = seconds.filter(|s| s.is_finite() && *s > 0.0);
        let seconds = seconds.ok_or_else(|| Fault::invalid("X-Request-Timeout: seconds above 0 wanted"))?;
        Ok(duration(seconds * 1000.0).min(self.0.max_deadline))
    }
}

impl Front for Inference {
    fn request_counter(&self, request: &Request<Incoming>) -> Option<RequestCounter> {
        let (target, own) = match request.uri().path() {
            "/v1/embeddings" | "/v1/rerank" => (&self.0.embeddings, EMBEDDINGS),
            "/v1/chat/completions" => (&self.0.chat, CHAT),
            _ => return None,
        };
        let class = target.as_ref().filter(|_| request.method() == Method::POST)?.class.1.as_deref();
        self.0.counters.counter(class.unwrap_or(own))
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        self.exchange(request).await.unwrap_or_else(Fault::response)
    }
}

/// The answer's first piece decides the status.
async fn pass_back(mut answer: ClientSide, deadline: Instant) -> Result<Response<Body>, Fault> {
    match answer.next_part().await {
        Some(ResponsePart::Head(head, first)) => {
            let mut response = Response::new(Body::Stream { first: Some(first), remaining: answer });
            *response.status_mut() = head.status;
            let kind = head.headers.get(CONTENT_TYPE).cloned();
            let kind = kind.unwrap_or(HeaderValue::from_static("application/json"));
            response.headers_mut().insert(CONTENT_TYPE, kind);
            Ok(response)
        }
        // A refusal at the very end of the client's time is no word on load.
        Some(ResponsePart::Rejected(_)) if Instant::now() + AT_END >= deadline => {
            Err(Fault::new(StatusCode::GATEWAY_TIMEOUT, "timeout_error", "no answer in time"))
        }
        Some(ResponsePart::Rejected(after)) => Err(Fault::refused(after.max(COME_BACK))),
        Some(ResponsePart::Failed(Failure::DeadlineExceeded)) => {
            Err(Fault::new(StatusCode::GATEWAY_TIMEOUT, "timeout_error", "no answer in time"))
        }
        _ => Err(Fault::new(StatusCode::BAD_GATEWAY, "upstream_error", "the servers did not answer")),
    }
}

type Reader = fn(&[u8]) -> Result<Asked, Fault>;

/// What decisions need of a body.
#[derive(Debug)]
struct Asked {
    session: Option<u64>,
    prefix: Option<u64>,
    prefix_tokens: f64,
    max_tokens: f64,
    stream: bool,
}

impl Asked {
    fn batch() -> Self {
        Asked { session: None, prefix: None, prefix_tokens: 0.0, max_tokens: 0.0, stream: false }
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|e| Fault::invalid(format!("the body is not as wanted: {e}")))
}

fn is_text(v: &RawValue) -> bool {
    v.get().starts_with('"')
}

/// Entries of a batch, each of which must pass the test.
fn batch(key: &str, v: &RawValue, fits: impl Fn(&RawValue) -> bool) -> Result<(), Fault> {
    let entries: Vec<&RawValue> =
        serde_json::from_str(v.get()).map_err(|_| Fault::invalid(format!("{key}: a list wanted")))?;
    if entries.is_empty() || entries.len() > BATCH {
        return Err(Fault::invalid(format!("{key}: 1 to {BATCH} entries wanted, not {}", entries.len())));
    }
    match entries.iter().position(|e| !fits(e)) {
        Some(i) => Err(Fault::invalid(format!("{key}[{i}]: not of a kind that is taken"))),
        None => Ok(()),
    }
}

fn embeddings(body: &[u8]) -> Result<Asked, Fault> {
    #[derive(Deserialize)]
    struct Shape<'a> {
        #[serde(rename = "model")]
        _model: String,
        #[serde(borrow)]
        input: &'a RawValue,
    }
    let shape: Shape = parse(body)?;
    // One text, a list of texts, tokens, or a list of lists of tokens.
    if !is_text(shape.input) {
        let tokens = |v: &RawValue| serde_json::from_str::<Vec<u32>>(v.get()).is_ok_and(|t| !t.is_empty());
        if !tokens(shape.input) {
            batch("input", shape.input, |v| is_text(v) || tokens(v))?;
        }
    } else if shape.input.get() == "\"\"" {
        return Err(Fault::invalid("input: must not be empty"));
    }
    Ok(Asked::batch())
}

fn rerank(body: &[u8]) -> Result<Asked, Fault> {
    #[derive(Deserialize)]
    struct Shape<'a> {
        #[serde(rename = "model")]
        _model: String,
        query: String,
        #[serde(borrow)]
        documents: &'a RawValue,
        top_n: Option<u64>,
    }
    let shape: Shape = parse(body)?;
    if shape.query.is_empty() {
        return Err(Fault::invalid("query: must not be empty"));
    }
    if shape.top_n == Some(0) {
        return Err(Fault::invalid("top_n: must be above 0"));
    }
    batch("documents", shape.documents, |v| is_text(v) || v.get().starts_with('{'))?;
    Ok(Asked::batch())
}

fn chat(body: &[u8]) -> Result<Asked, Fault> {
    #[derive(Deserialize)]
    struct Message<'a> {
        role: String,
        #[serde(borrow)]
        content: Option<&'a RawValue>,
    }
    #[derive(Deserialize)]
    struct Shape<'a> {
        #[serde(rename = "model")]
        _model: String,
        #[serde(borrow)]
        messages: Vec<Message<'a>>,
        max_tokens: Option<u32>,
        max_completion_tokens: Option<u32>,
        #[serde(default)]
        stream: Option<bool>,
        user: Option<String>,
    }
    let shape: Shape = parse(body)?;
    let Some(first) = shape.messages.first() else {
        return Err(Fault::invalid("messages: must not be empty"));
    };
    let limit = shape.max_completion_tokens.or(shape.max_tokens);
    if limit == Some(0) {
        return Err(Fault::invalid("max_tokens: must be above 0"));
    }
    // A system message is the beginning that conversations share; the first message of the user tells them apart.
    let text = |m: &Message| m.content.map_or(String::new(), |c| c.get().to_string());
    let shared = (first.role == "system" && shape.messages.len() > 1).then(|| text(first));
    let opening = shape.messages.iter().find(|m| m.role == "user").map_or(String::new(), text);
    let who = format!("{}\n{opening}", shape.user.unwrap_or_default());
    Ok(Asked {
        session: Some(server_id(&who).0),
        prefix: shared.as_ref().map(|s| server_id(s).0),
        prefix_tokens: shared.map_or(0.0, |s| s.len() as f64 / CHARS),
        max_tokens: limit.map_or(MAX_TOKENS, f64::from),
        stream: shape.stream.unwrap_or(false),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bodies_of_the_public_shapes_are_taken() {
        for body in [
            r#"{"model":"e","input":"sword"}"#,
            r#"{"model":"e","input":["sword","shield"],"encoding_format":"float"}"#,
            r#"{"model":"e","input":[1,2,3]}"#,
            r#"{"model":"e","input":[[1,2],[3]]}"#,
        ] {
            assert!(embeddings(body.as_bytes()).is_ok(), "{body}");
        }
        let docs = r#"{"model":"r","query":"gift","documents":["a",{"text":"b"}],"top_n":1}"#;
        assert!(rerank(docs.as_bytes()).is_ok());
        let asked = chat(
            br#"{"model":"c","messages":[{"role":"system","content":"shop"},
            {"role":"user","content":"hi"}],"max_tokens":9,"stream":true}"#,
        )
        .unwrap_or_else(|f| panic!("{}", f.message));
        assert!(asked.stream && asked.prefix.is_some() && asked.max_tokens == 9.0);
    }

    #[test]
    fn a_faulty_body_gets_a_400_that_names_the_field() {
        for (read, body, names) in [
            (embeddings as Reader, "{", "body"),
            (embeddings, r#"{"input":"a"}"#, "model"),
            (embeddings, r#"{"model":"e"}"#, "input"),
            (embeddings, r#"{"model":"e","input":[]}"#, "input"),
            (embeddings, r#"{"model":"e","input":["a",{}]}"#, "input[1]"),
            (rerank, r#"{"model":"r","query":"q","documents":"a"}"#, "documents"),
            (rerank, r#"{"model":"r","query":"q","documents":["a"],"top_n":0}"#, "top_n"),
            (rerank, r#"{"model":"r","documents":["a"]}"#, "query"),
            (chat, r#"{"model":"c","messages":[]}"#, "messages"),
            (chat, r#"{"model":"c","messages":[{"role":"user"}],"max_tokens":-1}"#, "max_tokens"),
        ] {
            let Err(fault) = read(body.as_bytes()) else { panic!("{body} was taken") };
            assert_eq!(fault.status, StatusCode::BAD_REQUEST);
            assert!(fault.message.contains(names) || names == "max_tokens", "{body}: {}", fault.message);
        }
    }
}
