//! The second front: embeddings and rerank beside chat, by the shapes of their public APIs. It reads what
//! decisions need from the JSON body, and the body passes on as it came.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use deckhub::{Class, Effect, Member, Ms, Scope, ServerState};
use glenrail_settings::server_id;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tower::ServiceExt;

use super::{collect, response, whole_seconds, Body, BodyError, Entry, Front};
use crate::budget::Budget;
use crate::config;
use crate::core::duration;
use crate::daemon::Pool;
use crate::engine::{Address, Limits};
use crate::exchange::{self, ClientSide, Failure, Payload, Piece};
use crate::plugin::Plugin;

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

/// The platform's own servers, for chat that comes over this front.
pub struct PlatformChat {
    /// Each class and its deadline.
    pub names: Vec<(String, Ms)>,
    pub classes: Vec<Class>,
    pub pool: Pool,
}

/// Where requests of one kind go.
#[derive(Clone)]
struct Target {
    pool: Pool,
    entry: Rc<dyn Fn() -> Entry>,
    /// The platform's class: its place and its name.
    class: Option<(u32, String)>,
    /// The servers as the file last had them, where they come from a file.
    file: Option<Rc<RefCell<config::Pool>>>,
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
    pub fn new(
        file: &config::Front, platform: Option<PlatformChat>, plugin: &Option<Rc<Plugin>>,
        slots: Arc<Semaphore>, budget: Budget,
    ) -> Result<Self, String> {
        let seed = std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), "names of requests");
        let own = |pool: &config::Pool, repeatable: bool| {
            let settings = config::one_stage(pool, file.max_deadline_ms as Ms, repeatable);
            let limits = Limits {
                connect_timeout: Duration::from_millis(pool.connect_ms),
                idle: Duration::from_millis(pool.idle_ms),
                public_api: true,
            };
            let made = Pool::new(seed, settings, limits, slots.clone(), budget.clone());
            list(&made, pool, None);
            let file = Some(Rc::new(RefCell::new(pool.clone())));
            Target { entry: made.entry(plugin), pool: made, class: None, file }
        };
        let chat = match (&file.chat, platform) {
            (Some(pool), _) => Some(own(pool, false)),
            (None, Some(platform)) => Some(chat_of(platform, file.chat_class.as_deref(), plugin)?),
            (None, None) => None,
        };
        Ok(Inference(Rc::new(Inner {
            max_body: file.max_body,
            deadline: Duration::from_millis(file.deadline_ms),
            max_deadline: Duration::from_millis(file.max_deadline_ms),
            embeddings: file.embeddings.as_ref().map(|pool| own(pool, true)),
            chat,
            budget,
            seed,
            count: Cell::new(0),
        })))
    }

    /// The pools that are this front's own.
    pub fn pools(&self) -> Vec<Pool> {
        let own = |t: &&Target| t.file.is_some();
        [&self.0.embeddings, &self.0.chat].into_iter().flatten().filter(own).map(|t| t.pool.clone()).collect()
    }

    /// Takes the servers of a file that has changed; what else it says holds from the next start on.
    pub fn reload(&self, file: &config::Front) {
        for (target, pool) in [(&self.0.embeddings, &file.embeddings), (&self.0.chat, &file.chat)] {
            if let (Some(target), Some(pool)) = (target, pool) {
                if let Some(before) = &target.file {
                    let before = before.replace(pool.clone());
                    list(&target.pool, pool, Some(&before));
                }
            }
        }
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
            BodyError::NoRoom => Fault::refused(COME_BACK),
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
        if let Some((_, class)) = &target.class {
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
        let ask = deckhub::Request {
            class: target.class.as_ref().map_or(0, |c| c.0),
            session,
            prefix: asked.prefix,
            prompt_tokens,
            prefix_tokens: asked.prefix_tokens,
            max_tokens: asked.max_tokens,
            patience: patience.as_secs_f64() * 1000.0,
            ..deckhub::Request::default()
        };
        let payload =
            Payload { name, method: parts.method, uri: parts.uri, headers, body, whole: !asked.stream };
        let request = exchange::Request { ask, arrived, payload: Rc::new(payload) };
        let Ok(answer) = (target.entry)().oneshot(request).await;
        pass_back(answer, arrived + patience).await
    }

    fn ready(&self) -> Response<Body> {
        let targets = [&self.0.embeddings, &self.0.chat];
        let serve = targets.into_iter().flatten().all(|t| t.pool.core.can_serve());
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
    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        self.exchange(request).await.unwrap_or_else(Fault::response)
    }
}

/// Makes the servers of a file known to its pool. Those in the first file are taken for warm; one that is new in
/// a later file, or serves again after a drain, has just started for all that is known, and is spared.
fn list(pool: &Pool, file: &config::Pool, before: Option<&config::Pool>) {
    let served = |name: &str, f: &config::Pool| f.servers.iter().any(|s| s.name == name && !s.drain);
    let fresh = |name: &str| before.is_some_and(|b| !served(name, b));
    let member = |s: &config::Server| Member {
        server: server_id(&s.name),
        weight: s.weight,
        started: fresh(&s.name).then(|| pool.clock.now()),
        state: if s.drain { ServerState::Draining } else { ServerState::Ready },
        ..Member::default()
    };
    let address =
        |s: &config::Server| Address { server: server_id(&s.name), dial: s.dial.clone(), serving: !s.drain };
    pool.engine.learn(true, &file.servers.iter().map(address).collect::<Vec<_>>(), &[]);
    pool.core.members(Scope::Full, file.servers.iter().map(member).collect());
}

/// Chat over the platform's servers is of the class that the file names; else of one that is never repeated.
fn chat_of(
    platform: PlatformChat, class: Option<&str>, plugin: &Option<Rc<Plugin>>,
) -> Result<Target, String> {
    let PlatformChat { names, classes, pool } = platform;
    let place = match class {
        Some(name) => names.iter().position(|n| n.0 == name),
        None => classes.iter().position(|c| c.effect == Effect::Unsafe).or(Some(0)),
    };
    let place = place.ok_or("configuration: chat_class: the platform has no such class")?;
    let class = Some((place as u32, names[place].0.clone()));
    Ok(Target { entry: pool.entry(plugin), pool, class, file: None })
}

/// The answer's first piece decides the status.
async fn pass_back(mut answer: ClientSide, deadline: Instant) -> Result<Response<Body>, Fault> {
    match answer.piece().await {
        Some(Piece::Begin(head, first)) => {
            let mut response = Response::new(Body::Stream { first: Some(first), rest: answer });
            *response.status_mut() = head.status;
            let kind = head.headers.get(CONTENT_TYPE).cloned();
            let kind = kind.unwrap_or(HeaderValue::from_static("application/json"));
            response.headers_mut().insert(CONTENT_TYPE, kind);
            Ok(response)
        }
        // A refusal at the very end of the client's time is no word on load.
        Some(Piece::Refused(_)) if Instant::now() + AT_END >= deadline => {
            Err(Fault::new(StatusCode::GATEWAY_TIMEOUT, "timeout_error", "no answer in time"))
        }
        Some(Piece::Refused(after)) => Err(Fault::refused(after.max(COME_BACK))),
        Some(Piece::Failed(Failure::Deadline)) => {
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
