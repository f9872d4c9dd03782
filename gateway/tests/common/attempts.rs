//! The engine client alone, before servers that answer with raw bytes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use glenrail::budget::Budget;
use glenrail::engine::{Engine, EngineLimits, ServerAddress, ServerApi};
use glenrail::exchange::{CancelToken, Payload};
use glenrail::upstream::{Call, CallError, ConnectionCheck, Frame, Reply};
use glenrail_request_lifecycle::response_timing::OnPause;
use glenrail_router::ServerId;
use http::{HeaderMap, HeaderValue, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tower::ServiceExt;

use super::{StandIn, AGES};

pub const SERVER: ServerId = ServerId(1);
/// How long an attempt's answer is waited for.
pub const PATIENCE: Duration = Duration::from_millis(1_500);

pub fn engine(idle: Duration, slots: usize) -> Engine {
    engine_with(idle, slots, true)
}

/// An engine that may probe servers or not.
pub fn engine_with(idle: Duration, slots: usize, probes: bool) -> Engine {
    let limits = EngineLimits {
        connect_timeout: Duration::from_secs(5),
        probes,
        idle_timeout: idle,
        server_api: ServerApi::Platform,
    };
    Engine::new(limits, Arc::new(Semaphore::new(slots)), Budget::new(1 << 20))
}

pub fn address(server: ServerId, at: &StandIn, serving: bool) -> ServerAddress {
    ServerAddress { server, address: at.address.to_string(), is_serving: serving, ..ServerAddress::default() }
}

pub fn payload(body: &str) -> Rc<Payload> {
    let mut headers = HeaderMap::new();
    headers.insert("req-kind", HeaderValue::from_static("item-query"));
    headers.insert("req-id", HeaderValue::from_static("spoofed"));
    headers.insert("connection", HeaderValue::from_static("close"));
    let uri = "/v1/chat/completions?a=b".parse().expect("a target");
    let body = body.to_string().into();
    Rc::new(Payload {
        request_id: "9b1f".into(),
        method: Method::POST,
        uri,
        headers,
        body,
        buffer_response: false,
    })
}

pub async fn attempt(engine: &Engine, body: &str) -> Result<Reply, CallError> {
    let call = Call::Attempt {
        server: SERVER,
        payload: payload(body),
        deadline: Instant::now() + PATIENCE,
        connect_timeout: None,
        connection_check: ConnectionCheck::None,
        on_pause: OnPause::Retry,
        cancel_token: CancelToken::default(),
    };
    engine.clone().oneshot(call).await
}

/// Lets a connection come back to the pool, or its end be seen.
pub async fn back_to_the_pool() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}

/// A server that answers each request with raw bytes, in pieces between which other tasks have turns; the
/// connection then stays open.
pub async fn raw_server(pieces: Vec<Vec<u8>>) -> (Engine, Rc<std::cell::Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let dial = listener.local_addr().expect("an address").to_string();
    let engine = engine(AGES, 8);
    engine.update_servers(
        true,
        &[ServerAddress { server: SERVER, address: dial, is_serving: true, ..ServerAddress::default() }],
        &[],
    );
    let connections = Rc::new(std::cell::Cell::new(0));
    let count = connections.clone();
    spawn_local(async move {
        while let Ok((mut peer, _)) = listener.accept().await {
            count.set(count.get() + 1);
            let pieces = pieces.clone();
            spawn_local(async move {
                let mut got = Vec::new();
                while peer.read_buf(&mut got).await.is_ok_and(|n| n > 0) {
                    if got.ends_with(b"last byte") {
                        got.clear();
                        for piece in &pieces {
                            let _ = peer.write_all(piece).await;
                            back_to_the_pool().await;
                        }
                    }
                }
            });
        }
    });
    (engine, connections)
}

/// How an attempt went: how its answer began, the bytes passed on, and how it ended.
pub async fn streamed(engine: &Engine) -> Result<(Vec<u8>, Option<CallError>), CallError> {
    let Reply::Response { frames, .. } = attempt(engine, "last byte").await? else { panic!("no stream") };
    let (mut bytes, mut frames) = (Vec::new(), frames);
    while let Some(frame) = frames.next().await {
        match frame {
            Ok(Frame::Data(data)) => bytes.extend_from_slice(&data),
            Ok(Frame::Ignored(data)) => bytes.extend_from_slice(&data),
            Ok(Frame::Progress(_)) => {}
            Ok(Frame::End { .. }) => return Ok((bytes, None)),
            Ok(Frame::HandedOver(_)) => panic!("nothing asked for a move"),
            Err(how) => return Ok((bytes, Some(how))),
        }
    }
    panic!("a stream has an end")
}

pub const OPENING: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
pub const EVENT: &str = "a\r\ndata: {}\n\n\r\n";
