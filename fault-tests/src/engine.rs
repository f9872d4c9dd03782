//! Stand-in engine, run as a separate process: a prefill server holds states, a decode server claims them and streams a
//! response. It writes its events to standard output, one [`Record`] per line.
//!
//! States are files in a folder that all engines of a run share; the engine that removes a file has claimed the state.

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

/// Number of events in a streamed response, and the pause after each.
const STREAM_EVENTS: usize = 6;
const EVENT_PAUSE: Duration = Duration::from_millis(25);
/// Time for the runtime to process the close of a connection before the work on it ends.
const CLOSE_DETECTION_TIME: Duration = Duration::from_millis(3);
const LEASES_PATH: &str = "/kv/leases/";

/// Role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Role {
    Prefill,
    Decode,
}

/// Options of the `engine` command.
#[derive(Clone, Debug, Args)]
pub struct Options {
    #[arg(long)]
    pub name: String,
    #[arg(long)]
    pub role: Role,
    #[arg(long)]
    pub listen: SocketAddr,
    /// Folder of the states, shared by all engines.
    #[arg(long)]
    pub states: PathBuf,
    /// Minimum time of a prefill, or of a decode server until its first token (ms).
    #[arg(long, default_value_t = 20)]
    pub least: u64,
    /// Maximum of the same time (ms).
    #[arg(long, default_value_t = 60)]
    pub most: u64,
    /// Whether a prefill that has begun is completed even after its connection has ended.
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
        // The process that reads the records may have exited first.
        let _ = writeln!(out, "{line}").and_then(|()| out.flush());
    }

    fn state_path(&self, request: &str) -> PathBuf {
        self.options.states.join(request)
    }

    async fn simulate_work(&self) {
        let range = self.options.least..=self.options.most.max(self.options.least);
        let time = rand::rng().random_range(range);
        sleep(Duration::from_millis(time)).await;
        // A close during the work is processed before the work ends, even after the process was paused.
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
        // The state may have been claimed or released before, which is no error.
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

/// Attempt in progress, whose end is recorded when this is dropped.
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

    /// Sets how the end of the attempt is recorded; [`WorkEnd::Dropped`] by default.
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

/// Returns a response that streams its events until the client closes the connection.
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

/// Serves requests until the process is terminated.
pub async fn run(options: Options) -> io::Result<()> {
    fs::create_dir_all(&options.states)?;
    let listener = TcpListener::bind(options.listen).await?;
    let engine = Arc::new(Engine { options });
    loop {
        let (socket, _) = listener.accept().await?;
        // Without this, small writes may be delayed.
        let _ = socket.set_nodelay(true);
        let engine = engine.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let engine = engine.clone();
                async move { Ok::<_, Infallible>(engine.respond(request).await) }
            });
            // An error on a connection ends its attempts, which record that themselves.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
        });
    }
}
