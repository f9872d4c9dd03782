//! Whether a process that has just started says that it is ready, while discovery is down and clients fill its door.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::agent::Agent;
use common::deployed::*;
use common::*;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

const PUSHED: &str = "automatic";
/// So soon a process has to be ready (the operators' figure for nine in ten).
const READY: Duration = Duration::from_secs(10);
const SOCKETS: usize = 64;

/// What `/ready` answers, if anything.
async fn asked(at: SocketAddr) -> Option<u16> {
    let ask = async {
        let mut socket = TcpStream::connect(at).await.ok()?;
        socket.write_all(b"GET /ready HTTP/1.1\r\nhost: a\r\n\r\n").await.ok()?;
        let mut text = Vec::new();
        while !text.windows(2).any(|w| w == b"\r\n") && socket.read_buf(&mut text).await.ok()? > 0 {}
        String::from_utf8(text).ok()?.get(9..12)?.parse().ok()
    };
    timeout(Duration::from_secs(1), ask).await.ok().flatten()
}

async fn ready_within(at: SocketAddr, bound: Duration) {
    let since = Instant::now();
    while asked(at).await != Some(200) {
        assert!(since.elapsed() < bound, "not ready after {bound:?}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Clients that come and stay without a word, and come again as soon as they are sent away, refused or not.
fn clients_fill(at: SocketAddr, count: usize) {
    for _ in 0..count {
        spawn_local(async move {
            loop {
                if let Ok(mut socket) = TcpStream::connect(at).await {
                    let _ = socket.read(&mut [0; 64]).await;
                }
                sleep(Duration::from_millis(20)).await;
            }
        });
    }
}

fn limited(discovery: SocketAddr, known: &Value) -> Value {
    let mut config = config(discovery, known, PUSHED);
    config["limits"]["sockets"] = SOCKETS.into();
    config
}

/// Guards a restart by the list known, and one without any as soon as discovery answers.
#[test]
fn a_process_is_ready_though_clients_use_all_its_connections() {
    run(async {
        let engines = Engines::start().await;
        let (socket, down) = reserved();
        let mut config = limited(down, &engines.list(1, None));
        let mut first = Deployed::start("ready", &config);
        let at = first.clients().await;
        clients_fill(at, 2 * SOCKETS);
        ready_within(at, READY).await;
        first.process.kill();
        config["listen"] = at.to_string().into();
        let mut second = Deployed::start("ready-again", &config);
        ready_within(at, READY).await;
        engines.sent(at).await;
        second.process.kill();
        config["known"] = Value::Null;
        let third = Deployed::start("ready-unknown", &config);
        until(|| third.process.has_said("8 failed polls").is_some()).await;
        assert_ne!(asked(at).await, Some(200), "there is nobody to send to");
        let _agent = Agent::on(socket.listen(64).expect("it listens"), engines.list(2, None));
        ready_within(at, READY).await;
        engines.sent(at).await;
    });
}

/// Guards `/ready` against a door of which every place has an open request: whoever asks is not refused like a client.
#[test]
fn a_process_is_ready_though_requests_use_all_its_connections() {
    run(async {
        let mut engines = Engines::start().await;
        let silent = Rc::new(Cell::new(0));
        let count = silent.clone();
        engines.reader = StandIn::start(move |_, seen| {
            count.set(count.get() + usize::from(seen.method == "POST"));
            Act::Silence
        })
        .await;
        let (_socket, down) = reserved();
        let gateway = Deployed::start("ready-open", &limited(down, &engines.list(1, None)));
        let at = gateway.clients().await;
        let head =
            "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nreq-kind: order-chat\r\nreq-deadline: 12\r\n";
        let (mut open, mut said) = (Vec::new(), String::new());
        while !said.contains("too many connections") {
            let mut socket = TcpStream::connect(at).await.expect("a connection");
            let request = format!("{head}req-id: {}\r\ncontent-length: 2\r\n\r\n{{}}", open.len());
            socket.write_all(request.as_bytes()).await.expect("sent");
            let mut text = Vec::with_capacity(1_024);
            let _ = timeout(Duration::from_millis(300), socket.read_buf(&mut text)).await;
            said = String::from_utf8(text).expect("text");

            open.push(socket);
        }
        assert_eq!(asked(at).await, Some(200));
    });
}
