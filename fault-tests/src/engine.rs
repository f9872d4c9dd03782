//! A stand-in engine, run as a process of its own: a reader holds states, a writer fetches them and answers. What it
//! does goes to standard output, one [`Record`] a line.
//!
//! States are files of a folder that all engines of a trial share, so that whoever removes a file has taken the state.

use std::convert::Infallible;
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clap::{Args, ValueEnum};
use http::{Method, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::clock;
use crate::record::{Event, Record, Stage, WorkEnd};

/// Events of one answer, and the pause between two.
const STREAM_EVENTS: usize = 6;
const EVENT_PAUSE: Duration = Duration::from_millis(25);
const CLOSE_DETECTION_TIME: Duration = Duration::from_millis(3);
const LEASES_PATH: &str = "/kv/leases/";

/// What an engine does with prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Role {
    Prefill,
    Decode,
}

/// How an engine is started.
#[derive(Clone, Debug, Args)]
pub struct Options {
    #[arg(long)]
    pub name: String,
    #[arg(long)]
    pub role: Role,
    #[arg(long)]
    pub listen: SocketAddr,
    /// The folder of the states, shared by all engines.
    #[arg(long)]
    pub states: PathBuf,
    /// The least and the most time that a read, or the wait for a writer's first token, takes (ms).
    #[arg(long, default_value_t = 20)]
    pub least: u64,
    #[arg(long, default_value_t = 60)]
    pub most: u64,
    /// A prefill that has begun is ended, also once its connection has.
    #[arg(long)]
    pub finishes_prefills: bool,
}

type EngineResponse = Response<BoxBody<Bytes, Infallible>>;

struct Engine {
    options: Options,
}

impl Engine {
    fn record(&self, event: Event) {
        let record = Record { at: clock::now(), source: self.options.name.clone(), event };
        let Ok(line) = serde_json::to_string(&record) else { return };
        let mut out = io::stdout().lock();
        // Whoever reads it may have ended first.
        let _ = writeln!(out, "{line}").and_then(|()| out.flush());
    }

    fn state_path(&self, request: &str) -> PathBuf {
        self.options.states.join(request)
    }

    async fn simulate_work(&self) {
        let range = self.options.least..=self.options.most.max(self.options.least);
        let time = rand::rng().random_range(range);
        sleep(Duration::from_millis(time)).await;
        // A connection that was closed meanwhile is seen first, also by a process that stood still.
        sleep(CLOSE_DETECTION_TIME).await;
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> EngineResponse {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        if body.collect().await.is_err() {
            return fixed_response(StatusCode::BAD_REQUEST, "");
        }
        if let Some(id) = path.strip_prefix(LEASES_PATH) {
            return match parts.method {
                Method::DELETE => self.release(id),
                _ => fixed_response(StatusCode::NOT_FOUND, ""),
            };
        }
        if matches!(path, "/status/load" | "/health") {
            return fixed_response(StatusCode::OK, "TEXT inflight=1, x0=0.1");
        }
        let Some(id) = parts.headers.get("req-id").and_then(|id| id.to_str().ok()) else {
            return fixed_response(StatusCode::NOT_FOUND, "");
        };
        match self.options.role {
            Role::Prefill if self.options.finishes_prefills => self.prefill_to_completion(id).await,
            Role::Prefill => self.prefill(id).await,
            Role::Decode => self.decode(id).await,
        }
    }

    fn release(&self, id: &str) -> EngineResponse {
        // Nothing may be held any more; that is no fault.
        let _ = fs::remove_file(self.state_path(id));
        self.record(Event::Released { request: id.into() });
        fixed_response(StatusCode::NO_CONTENT, "")
    }

    async fn prefill(self: Arc<Self>, id: &str) -> EngineResponse {
        let mut work = Work::begin(self.clone(), id, Stage::Prefill);
        self.simulate_work().await;
        if fs::write(self.state_path(id), &self.options.name).is_ok() {
            self.record(Event::StateLeased { request: id.into() });
        }
        work.set_end(WorkEnd::Answered);
        fixed_response(StatusCode::ACCEPTED, r#"{"cached_tokens":0}"#)
    }

    async fn prefill_to_completion(self: Arc<Self>, id: &str) -> EngineResponse {
        let id = id.to_string();
        let prefill_task = tokio::spawn(async move { self.prefill(&id).await });
        prefill_task.await.unwrap_or_else(|_| fixed_response(StatusCode::INTERNAL_SERVER_ERROR, ""))
    }

    async fn decode(self: Arc<Self>, id: &str) -> EngineResponse {
        let mut work = Work::begin(self.clone(), id, Stage::Decode);
        self.simulate_work().await;
        if fs::remove_file(self.state_path(id)).is_err() {
            work.set_end(WorkEnd::Rejected);
            return declined_response(StatusCode::GONE);
        }
        self.record(Event::StateClaimed { request: id.into() });
        stream_response(work)
    }
}

/// An attempt under way; its end is recorded when it is dropped, however that comes.
struct Work {
    engine: Arc<Engine>,
    request: String,
    stage: Stage,
    end: WorkEnd,
}

impl Work {
    fn begin(engine: Arc<Engine>, id: &str, stage: Stage) -> Work {
        engine.record(Event::Delivered { request: id.into(), stage });
        Work { engine, request: id.into(), stage, end: WorkEnd::Dropped }
    }

    /// What its end is to be recorded as.
    fn set_end(&mut self, end: WorkEnd) {
        self.end = end;
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let (request, stage, outcome) = (self.request.clone(), self.stage, self.end);
        self.engine.record(Event::Ended { request, stage, end: outcome });
    }
}

fn fixed_response(status: StatusCode, body: &'static str) -> EngineResponse {
    let mut response = Response::new(Full::new(Bytes::from_static(body.as_bytes())).boxed());
    *response.status_mut() = status;
    let load = http::HeaderValue::from_static("TEXT inflight=1, x0=0.1");
    response.headers_mut().insert("srv-load", load);
    response
}

fn declined_response(status: StatusCode) -> EngineResponse {
    let mut response = fixed_response(status, "");
    response.headers_mut().insert("srv-declined", http::HeaderValue::from_static("1"));
    response
}

/// An answer's events, one after the other, for as long as somebody reads them.
fn stream_response(mut work: Work) -> EngineResponse {
    let (sender, receiver) = mpsc::channel::<Bytes>(1);
    tokio::spawn(async move {
        for _ in 0..STREAM_EVENTS {
            let event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"}}]}\n\n";
            if sender.send(Bytes::from_static(event.as_bytes())).await.is_err() {
                return;
            }
            sleep(EVENT_PAUSE).await;
        }
        if sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await.is_ok() {
            work.set_end(WorkEnd::Answered);
        }
    });
    let frames = frame_stream(receiver);
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let content_type = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}

fn frame_stream(
    receiver: mpsc::Receiver<Bytes>,
) -> impl futures_util::Stream<Item = Result<Frame<Bytes>, Infallible>> + Send + Sync {
    futures_util::stream::unfold(receiver, |mut receiver| async move {
        let bytes = receiver.recv().await?;
        Some((Ok(Frame::data(bytes)), receiver))
    })
}

/// Serves until the process is ended.
pub async fn run(options: Options) -> io::Result<()> {
    fs::create_dir_all(&options.states)?;
    let listener = TcpListener::bind(options.listen).await?;
    let engine = Arc::new(Engine { options });
    loop {
        let (socket, _) = listener.accept().await?;
        // Small writes are not held back.
        let _ = socket.set_nodelay(true);
        let engine = engine.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let engine = engine.clone();
                async move { Ok::<_, Infallible>(engine.respond(request).await) }
            });
            // A connection that breaks ends its work; nobody else has to know.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
        });
    }
}
