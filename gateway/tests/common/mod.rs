//! Stand-in peers on loopback: servers whose answers a test scripts, and a plain client.
#![allow(dead_code)]

pub mod agent;
pub mod attempts;
pub mod checks;
pub mod child;
pub mod crossing;
pub mod deployed;
pub mod gateway;
pub mod member;
pub mod raw;
pub mod scripted;
pub mod signals;
pub mod stepwise;
pub mod upgrades;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, AbortHandle, LocalSet};

/// Far above what any step takes; only a hang reaches it.
pub const AGES: Duration = Duration::from_secs(30);

/// What a stand-in does with one request.
pub enum Act {
    Answer(Response<Full<Bytes>>),
    /// Closes the connection with nothing said.
    Break,
    /// Sends the head and this part of a chunked body, then closes.
    Part(&'static str),
    /// Sends the head of a stream and this part of its body, then no more.
    Stuck(&'static str),
    /// Sends the head of a stream, then closes.
    Head,
    /// Never answers.
    Silence,
    /// Sends the head of a stream, then these parts of its body, one at a time with a pause before each.
    Slowly(Vec<&'static str>, Duration),
    /// Says this after so long.
    Later(Duration, Response<Full<Bytes>>),
    /// Sends the head of a stream, then each part as it is told, and the end once the teller is gone.
    Told(mpsc::UnboundedReceiver<Bytes>),
    /// Says this once a test has set the flag.
    When(Rc<Cell<bool>>, Response<Full<Bytes>>),
}

/// What a stand-in was sent.
#[derive(Clone, Debug)]
pub struct Seen {
    pub method: String,
    pub path: String,
    pub id: String,
    pub body: Bytes,
    pub headers: http::HeaderMap,
    /// The count of connections before the one that it came on.
    pub connection: usize,
}

impl Seen {
    fn of(parts: http::request::Parts, body: Bytes, connection: usize) -> Seen {
        let id = parts.headers.get("req-id").map_or("", |v| v.to_str().unwrap_or(""));
        Seen {
            method: parts.method.to_string(),
            path: parts.uri.to_string(),
            id: id.to_string(),
            body,
            headers: parts.headers,
            connection,
        }
    }
}

type Script = Rc<dyn Fn(usize, &Seen) -> Act>;

#[derive(Clone)]
pub struct StandIn {
    pub address: SocketAddr,
    pub seen: Rc<RefCell<Vec<Seen>>>,
    pub connections: Rc<Cell<usize>>,
    pub closed: Rc<Cell<usize>>,
    /// Streams that were told to their end, and written.
    pub told: Rc<Cell<usize>>,
    /// Whether releases that only check a connection are the script's too; else they are answered, as engines do.
    pub scripts_checks: Rc<Cell<bool>>,
    tasks: Rc<RefCell<Vec<AbortHandle>>>,
}

pub fn answer(status: u16, headers: &[(&str, &str)], body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    response.body(Full::new(body.into())).expect("a response")
}

pub const STREAM: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"}}]}\n\n\
    data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":12}}}\n\n\
    data: [DONE]\n\n: Srv-Load: TEXT inflight=2, x0=0.25\n\n";

pub fn stream() -> Act {
    Act::Answer(answer(200, &[("content-type", "text/event-stream")], STREAM))
}

pub fn read() -> Act {
    Act::Answer(answer(202, &[("srv-load", "TEXT inflight=1, x0=0.1")], r#"{"cached_tokens":4}"#))
}

impl StandIn {
    /// Listens on a free port; the script is given the count of requests before and the request.
    pub async fn start(script: impl Fn(usize, &Seen) -> Act + 'static) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        StandIn::on(listener, script)
    }

    pub fn on(listener: TcpListener, script: impl Fn(usize, &Seen) -> Act + 'static) -> StandIn {
        let script: Script = Rc::new(script);
        let it = StandIn {
            address: listener.local_addr().expect("an address"),
            seen: Rc::default(),
            connections: Rc::default(),
            closed: Rc::default(),
            told: Rc::default(),
            scripts_checks: Rc::default(),
            tasks: Rc::default(),
        };
        let accepting = spawn_local({
            let it = it.clone();
            async move {
                while let Ok((socket, _)) = listener.accept().await {
                    let connection = it.connections.get();
                    it.connections.set(connection + 1);
                    let task = spawn_local(serve(socket, it.clone(), script.clone(), connection));
                    it.tasks.borrow_mut().push(task.abort_handle());
                }
            }
        });
        it.tasks.borrow_mut().push(accepting.abort_handle());
        it
    }

    /// Dies: its connections close, and new ones are refused.
    pub fn stop(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }

    pub fn count(&self, method: &str) -> usize {
        self.seen.borrow().iter().filter(|s| s.method == method).count()
    }
}

/// A port that refuses connections until its socket listens; no one else can get it meanwhile.
pub fn reserved() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = socket.local_addr().expect("an address");
    (socket, address)
}

async fn serve(socket: TcpStream, it: StandIn, script: Script, connection: usize) {
    let (cut, ended) = (Rc::new(tokio::sync::Notify::new()), it.closed.clone());
    let service = service_fn({
        let cut = cut.clone();
        move |request: Request<Incoming>| {
            let (it, script, cut) = (it.clone(), script.clone(), cut.clone());
            async move {
                let (parts, body) = request.into_parts();
                let Ok(body) = body.collect().await else { return std::future::pending().await };
                let seen = Seen::of(parts, body.to_bytes(), connection);
                if !seen.id.is_empty() {
                    checks::note_attempt(&seen.id);
                }
                if checks::is_check(&seen.method, &seen.path) && !it.scripts_checks.get() {
                    return Ok(answer(204, &[], "").map(Piecemeal::Whole));
                }
                let before = it.seen.borrow().len();
                let act = script(before, &seen);
                it.seen.borrow_mut().push(seen);
                match act {
                    Act::Answer(response) => Ok::<_, Infallible>(response.map(Piecemeal::Whole)),
                    Act::Later(time, response) => {
                        tokio::time::sleep(time).await;
                        Ok(response.map(Piecemeal::Whole))
                    }
                    Act::When(told, response) => {
                        until(|| told.get()).await;
                        Ok(response.map(Piecemeal::Whole))
                    }
                    Act::Part(part) => Ok(events(Piecemeal::Part(Some(part), false))),
                    Act::Stuck(part) => Ok(events(Piecemeal::Stuck(Some(part)))),
                    Act::Slowly(parts, pause) => {
                        let parts = parts.into_iter();
                        Ok(events(Piecemeal::Slowly(parts, pause, Box::pin(tokio::time::sleep(pause)))))
                    }
                    Act::Told(parts) => Ok(events(Piecemeal::Told(parts, it.told.clone()))),
                    Act::Head => Ok(events(Piecemeal::Part(None, false))),
                    Act::Break => {
                        cut.notify_one();
                        std::future::pending().await
                    }
                    Act::Silence => std::future::pending().await,
                }
            }
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        _ = connection => {}
        () = cut.notified() => {}
    }
    ended.set(ended.get() + 1);
}

fn events(body: Piecemeal) -> Response<Piecemeal> {
    Response::builder().header("content-type", "text/event-stream").body(body).expect("a response")
}

/// A body that is whole, or breaks off after a part.
pub enum Piecemeal {
    Whole(Full<Bytes>),
    /// The part, and whether a pause for its write has been made.
    Part(Option<&'static str>, bool),
    Stuck(Option<&'static str>),
    Slowly(std::vec::IntoIter<&'static str>, Duration, std::pin::Pin<Box<tokio::time::Sleep>>),
    Told(mpsc::UnboundedReceiver<Bytes>, Rc<Cell<usize>>),
}

impl http_body::Body for Piecemeal {
    type Data = Bytes;
    type Error = std::io::Error;
    fn poll_frame(
        self: std::pin::Pin<&mut Self>, cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<http_body::Frame<Bytes>, std::io::Error>>> {
        match self.get_mut() {
            Piecemeal::Whole(full) => std::pin::Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            Piecemeal::Slowly(parts, pause, wait) => {
                std::task::ready!(wait.as_mut().poll(cx));
                *wait = Box::pin(tokio::time::sleep(*pause));
                std::task::Poll::Ready(parts.next().map(|p| Ok(http_body::Frame::data(Bytes::from(p)))))
            }
            Piecemeal::Told(parts, ended) => {
                let part = std::task::ready!(parts.poll_recv(cx));
                ended.set(ended.get() + usize::from(part.is_none()));
                std::task::Poll::Ready(part.map(|p| Ok(http_body::Frame::data(p))))
            }
            Piecemeal::Stuck(part) => match part.take() {
                Some(part) => std::task::Poll::Ready(Some(Ok(http_body::Frame::data(Bytes::from(part))))),
                None => std::task::Poll::Pending,
            },
            Piecemeal::Part(part, paused) => std::task::Poll::Ready(Some(match part.take() {
                Some(part) => Ok(http_body::Frame::data(Bytes::from(part))),
                None if !std::mem::replace(paused, true) => {
                    // hyper writes what it has while a body is not ready.
                    cx.waker().wake_by_ref();
                    return std::task::Poll::Pending;
                }
                None => Err(std::io::Error::other("breaks off")),
            })),
        }
    }
}

/// Runs a test as the daemon runs: on one thread, with local tasks.
pub fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async { tokio::time::timeout(AGES, test).await.expect("no hang") })
}

/// Sends one request on a connection of its own; the body is `None` where it broke off.
pub async fn ask(address: SocketAddr, request: Request<Full<Bytes>>) -> Response<Option<Bytes>> {
    let socket = TcpStream::connect(address).await.expect("a connection");
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(socket)).await.expect("a handshake");
    spawn_local(connection);
    let response = sender.send_request(request).await.expect("an answer");
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok().map(http_body_util::Collected::to_bytes);
    Response::from_parts(parts, body)
}

pub fn post(path: &str, headers: &[(&str, &str)], body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    let mut request = Request::post(path).header("host", "api.internal");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::new(body.into())).expect("a request")
}

/// Waits for something that comes by itself.
pub async fn until(mut done: impl FnMut() -> bool) {
    while !done() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

pub fn poll_once<F: Future>(future: std::pin::Pin<&mut F>) -> std::task::Poll<F::Output> {
    future.poll(&mut std::task::Context::from_waker(std::task::Waker::noop()))
}

/// Returns a memory figure of a process in kilobytes: `VmRSS`, or `VmHWM` for its peak.
pub fn memory_kb(process: u32, figure: &str) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("a status");
    let line = status.lines().find(|line| line.starts_with(figure)).expect("a line");
    line.split_whitespace().nth(1).expect("a figure").parse().expect("a number")
}
