//! Upgrades: two real processes at one address, before stand-in servers and under a stand-in's load.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::gateway::CHAT;
use common::*;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

struct Process {
    child: Child,
    ops: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Place {
    dir: PathBuf,
    listen: SocketAddr,
    settings: Value,
}

impl Place {
    fn new(name: &str, agent: &StandIn, hosts: &Value) -> Place {
        let dir =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("upgrade-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("a directory");
        let settings = json!({"name": "n0", "seed": "8c1f30d27a5be964", "discovery": agent.address.to_string(),
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"seq": 7, "whole": true, "hosts": hosts},
            "settings": {"quantum": 4.0, "zones": ["dc"], "kinds": ["prompt-side", "answer-side"],
                "services": [{"name": "item-query", "aim": 8000.0, "deadline": 10000.0, "semantics": "free"}],
                "domain": {"stage-of-kind": ["read", "write"], "pin-limit": 500.0},
                "policy-limits": {"max-attempts": 5, "cancel": true, "dial-timeout": 5000.0}}});
        Place { dir, listen: free(), settings }
    }

    fn orders(&self) -> PathBuf {
        self.dir.join(format!("glenrail-{}", self.listen).replace(':', "-")).join("offline")
    }

    /// Starts a process here; the platform waits until it says yes.
    async fn start(&self) -> Process {
        let ops = free();
        let mut config = self.settings.clone();
        config["listen"] = self.listen.to_string().into();
        config["ops"] = ops.to_string().into();
        let file = self.dir.join(format!("config-{}.json", ops.port()));
        std::fs::write(&file, config.to_string()).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenrail"));
        let command = command.env("EDGE_CONFIG", &file).env("TMPDIR", &self.dir).stderr(Stdio::null());
        let process = Process { child: command.spawn().expect("the program starts"), ops };
        while process.call("GET", "/control/ready").await != Some(200) {
            sleep(Duration::from_millis(5)).await;
        }
        process
    }
}

/// An address that was free just now, for a process to listen on.
fn free() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

impl Process {
    async fn call(&self, method: &str, path: &str) -> Option<u16> {
        let mut raw = TcpStream::connect(self.ops).await.ok()?;
        raw.write_all(format!("{method} {path} HTTP/1.1\r\nhost: ops\r\n\r\n").as_bytes()).await.ok()?;
        let mut said = String::new();
        raw.read_to_string(&mut said).await.ok()?;
        said.get(9..12)?.parse().ok()
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    async fn ended(&mut self) -> bool {
        let mut status = None;
        until(|| {
            status = self.child.try_wait().expect("a state");
            status.is_some()
        })
        .await;
        status.expect("an end").success()
    }
}

/// A client that keeps its connection for as long as the gateway does.
struct Client {
    address: SocketAddr,
    kept: Option<SendRequest<Full<Bytes>>>,
    opened: usize,
}

impl Client {
    fn new(address: SocketAddr) -> Self {
        Client { address, kept: None, opened: 0 }
    }

    async fn ask(&mut self, id: String) -> hyper::Result<Response<Option<Bytes>>> {
        let mut sender = match self.kept.take() {
            Some(sender) => sender,
            None => {
                let socket = TcpStream::connect(self.address).await.expect("a connection");
                let (sender, connection) = handshake(TokioIo::new(socket)).await.expect("a handshake");
                spawn_local(connection);
                self.opened += 1;
                sender
            }
        };
        let request =
            Request::post(CHAT).header("host", "a").header("req-id", id).header("req-kind", "item-query");
        let response = sender.send_request(request.body(Full::new("{}".into())).expect("a request")).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.ok().map(http_body_util::Collected::to_bytes);
        if sender.ready().await.is_ok() {
            self.kept = Some(sender);
        }
        Ok(Response::from_parts(parts, body))
    }
}

const PARTS: [&str; 9] = [
    "data: {\"n\":0}\n\n",
    "data: {\"n\":1}\n\n",
    "data: {\"n\":2}\n\nda",
    "ta: {\"n\":3}\n\n",
    "data: {\"n\":4}\n\n",
    "data: {\"n\":5}\n\n",
    "data: {\"n\":6}\n\n",
    "data: {\"n\":7}\n\n",
    "data: [DONE]\n\n",
];

fn host(name: &str, kind: &str, at: &StandIn) -> Value {
    json!({"host": name, "dial": at.address.to_string(), "site": "dc", "class": kind, "block": 0,
        "health": "SERVING", "share": 1.0, "born_ms": 0})
}

/// Guards an upgrade under load, and then another: no request is lost or turned away, clients keep their connections,
/// a stream that outlives both processes that began it comes whole and once, and an engine that operators took out
/// stays out. Each process ends by itself once told to.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn an_upgrade_loses_no_request_and_keeps_the_orders() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, seen| match seen.id.as_str() {
            "long" => Act::Slowly(PARTS.to_vec(), Duration::from_millis(700)),
            _ => stream(),
        })
        .await;
        let banned = StandIn::start(|_, _| stream()).await;
        let hosts = json!([
            host("r", "prompt-side", &reader),
            host("w", "answer-side", &writer),
            host("out", "answer-side", &banned)
        ]);
        let list = json!({"seq": 8, "whole": true, "hosts": hosts}).to_string();
        let agent = StandIn::start(move |_, seen| match seen.path.as_str() {
            "/v1/endpoints" => Act::Answer(answer(200, &[], list.clone())),
            _ => Act::Silence,
        })
        .await;
        let place = Place::new("load", &agent, &hosts);
        let mut first = place.start().await;
        assert_eq!(first.call("POST", "/control/engines/out/offline").await, Some(200));
        let over = Rc::new(Cell::new(false));
        let clients = (0..6).map(|n| {
            let (over, listen) = (over.clone(), place.listen);
            spawn_local(async move {
                let (mut client, mut asked) = (Client::new(listen), 0);
                while !over.get() {
                    let answer = client.ask(format!("c{n}-{asked}")).await.expect("an answer");
                    assert_eq!(
                        (answer.status().as_u16(), answer.body().as_deref()),
                        (200, Some(STREAM.as_bytes()))
                    );
                    asked += 1;
                    sleep(Duration::from_millis(3 * n)).await;
                }
                (client.opened, asked)
            })
        });
        let clients: Vec<_> = clients.collect();
        let mut idle = Client::new(place.listen);
        assert_eq!(idle.ask("idle-0".into()).await.expect("an answer").status(), 200);
        let long = spawn_local({
            let mut client = Client::new(place.listen);
            async move {
                let answer = client.ask("long".into()).await.expect("an answer");
                let next = client.ask("after".into()).await.expect("an answer");
                (answer, next, client.opened)
            }
        });
        until(|| writer.seen.borrow().iter().any(|s| s.id == "long")).await;

        assert_eq!(std::fs::read_dir(place.orders()).expect("a directory").count(), 1);
        let mut second = place.start().await;
        first.signal("-TERM");
        assert_eq!(idle.ask("idle-1".into()).await.expect("an answer").status(), 200);
        assert!(first.ended().await);
        let third = place.start().await;
        second.signal("-TERM");
        assert!(second.ended().await);

        let (answer, next, opened) = long.await.expect("an end");
        assert_eq!(
            (answer.status().as_u16(), answer.body().as_deref()),
            (200, Some(PARTS.concat().as_bytes()))
        );
        assert_eq!((next.status().as_u16(), opened), (200, 1));
        over.set(true);
        for client in clients {
            let (opened, asked) = client.await.expect("an end");
            assert!(opened == 1 && asked > 1, "{opened} connections for {asked} requests");
        }
        assert_eq!((idle.opened, banned.count("POST")), (1, 0));
        assert_eq!(writer.seen.borrow().iter().filter(|s| s.id == "long").count(), 1);
        // The third process, which never took the order, can take it back.
        assert_eq!(third.call("POST", "/control/engines/out/online").await, Some(200));
        assert!(std::fs::read_dir(place.orders()).expect("a directory").next().is_none());
    });
}

/// Guards a stream from the kill where deadlines are short: told to end, the first process has handed it over before, and it
/// comes whole and once.
#[test]
fn a_stream_goes_over_before_the_kill_of_short_deadlines() {
    // A second, and the page's 0.7.
    const DEADLINE: f64 = 1_000.0;
    const KILL: Duration = Duration::from_millis(1_700);
    run(async {
        let (tell, parts) = tokio::sync::mpsc::unbounded_channel();
        let parts = Cell::new(Some(parts));
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(move |_, _| Act::Told(parts.take().expect("one request"))).await;
        let hosts = json!([host("r", "prompt-side", &reader), host("w", "answer-side", &writer)]);
        let list = json!({"seq": 8, "whole": true, "hosts": hosts}).to_string();
        let agent = StandIn::start(move |_, seen| match seen.path.as_str() {
            "/v1/endpoints" => Act::Answer(answer(200, &[], list.clone())),
            _ => Act::Silence,
        })
        .await;
        let mut place = Place::new("short", &agent, &hosts);
        let class = &mut place.settings["settings"]["services"][0];
        (class["aim"], class["deadline"]) = (json!(0.8 * DEADLINE), json!(DEADLINE));
        let mut first = place.start().await;
        let mut client = Client::new(place.listen);
        let asked = spawn_local(async move { client.ask("long".into()).await });
        tell.send(PARTS[0].into()).expect("it waits");
        until(|| writer.count("POST") == 1).await;
        let _second = place.start().await;
        let told = Instant::now();
        first.signal("-TERM");
        assert!(first.ended().await);
        assert!(told.elapsed() < KILL, "{:?}", told.elapsed());
        PARTS[1..].iter().for_each(|part| tell.send((*part).into()).expect("it goes on"));
        drop(tell);
        let answer = asked.await.expect("an end").expect("an answer");
        assert_eq!(
            (answer.status().as_u16(), answer.body().as_deref()),
            (200, Some(PARTS.concat().as_bytes()))
        );
    });
}

/// Guards the first process from a second one that dies before or after it serves: the first goes on, or again.
#[test]
fn a_successor_that_dies_returns_all_connections() {
    run(async {
        let (reader, writer) = (StandIn::start(|_, _| read()).await, StandIn::start(|_, _| stream()).await);
        let hosts = json!([host("r", "prompt-side", &reader), host("w", "answer-side", &writer)]);
        let list = json!({"seq": 8, "whole": true, "hosts": hosts}).to_string();
        let agent = StandIn::start(move |_, seen| match seen.path.as_str() {
            "/v1/endpoints" => Act::Answer(answer(200, &[], list.clone())),
            _ => Act::Silence,
        })
        .await;
        let place = Place::new("dies", &agent, &hosts);
        let first = place.start().await;
        let mut client = Client::new(place.listen);
        for (n, signal) in ["-KILL", "-TERM"].into_iter().enumerate() {
            let mut second = place.start().await;
            assert_eq!(client.ask(format!("a{n}")).await.expect("an answer").status(), 200);
            second.signal(signal);
            assert_eq!(second.ended().await, signal == "-TERM");
            client = Client::new(place.listen);
            assert_eq!(client.ask(format!("b{n}")).await.expect("an answer").status(), 200);
        }
        assert_eq!(first.call("GET", "/control/ready").await, Some(200));
    });
}
