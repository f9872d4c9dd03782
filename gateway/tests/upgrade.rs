//! Upgrades: two real processes at one address, before stand-in servers and under a stand-in's load.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::gateway::CHAT;
use common::upgrades::{discovery, host, Place, PARTS};
use common::*;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

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
        let agent = discovery(&hosts).await;
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
        let agent = discovery(&hosts).await;
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
        let agent = discovery(&hosts).await;
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
