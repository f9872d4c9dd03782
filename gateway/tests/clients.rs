//! Bad clients and crowds before the platform's front: raw sockets, stand-in servers.

mod common;

use std::time::Duration;

use common::gateway::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{pause, Instant};

/// A request of one class with an id of its own; what stands in `more` are further header lines.
fn request(id: &str, more: &str, body: &str) -> String {
    format!("POST {CHAT} HTTP/1.1\r\nhost: a\r\nreq-id: {id}\r\nreq-kind: item-query\r\nreq-deadline: 5\r\n{more}\r\n{body}")
}

async fn connected(g: &Gateway, text: &str) -> TcpStream {
    let mut raw = TcpStream::connect(g.address).await.expect("a connection");
    raw.write_all(text.as_bytes()).await.expect("sent");
    raw
}

/// Everything until the connection ends.
async fn rest(mut raw: TcpStream) -> String {
    let mut said = Vec::new();
    // A reset after the answer is an end too.
    let _ = raw.read_to_end(&mut said).await;
    String::from_utf8_lossy(&said).into_owned()
}

async fn status(raw: &mut TcpStream) -> u16 {
    let mut start = [0; 12];
    raw.read_exact(&mut start).await.expect("an answer");
    std::str::from_utf8(&start[9..]).expect("a status").parse().expect("a status")
}

/// Guards descriptors and memory: whoever says nothing, half a head or half a body, and whoever keeps a
/// connection without asking, is answered or closed in less than 3 s.
#[test]
fn a_connection_without_an_open_request_is_closed_in_time() {
    run(async {
        let server = StandIn::start(|_, _| read()).await;
        let g = gateway(&[&server], &[&server], None, 50).await;
        let half = request("a1", "content-length: 10\r\n", "12345");
        let kept = "GET /ready HTTP/1.1\r\nhost: a\r\n\r\n";
        for (said, wanted) in [("", ""), ("POST /v1", ""), (half.as_str(), "408"), (kept, "200")] {
            let raw = connected(&g, said).await;
            // From here on time passes at once, as nothing else is under way.
            pause();
            let start = Instant::now();
            let answer = rest(raw).await;
            assert!(answer.get(9..12).unwrap_or("") == wanted, "{said:?}: {answer:?}");
            let passed = start.elapsed();
            assert!(passed < Duration::from_secs(3), "{said:?} stood for {passed:?}");
            assert!(wanted != "200" || passed >= Duration::from_secs(2), "closed after {passed:?}");
            tokio::time::resume();
        }
        assert_eq!(server.seen.borrow().len(), 0);
    });
}

/// Guards a request that crosses the end of its kept connection's time: here before the connection is closed, though
/// after the last look at the socket, it is served; behind the end, it is its client's to send again, and the end is no
/// reset.
#[test]
fn a_request_beside_the_idle_time_is_served_or_left_in_order() {
    const IDLE: Duration = Duration::from_millis(2_500);
    let tick = Duration::from_millis(1);
    for (at, served) in [(IDLE - tick, true), (IDLE, true), (IDLE + tick, false)] {
        run(async {
            let reader = StandIn::start(|_, _| read()).await;
            let writer = StandIn::start(|_, _| stream()).await;
            let g = gateway(&[&reader], &[&writer], None, 50).await;
            // No time passes while somebody has something to do.
            pause();
            let busy = tokio::task::spawn_local(async {
                loop {
                    tokio::task::yield_now().await;
                }
            });
            let mut kept = raw::connect(g.address).await;
            raw::say(&kept, &raw::request("g1"));
            assert!(raw::answer_of(&mut kept).await.starts_with("HTTP/1.1 200"));
            let rests = Instant::now();
            busy.abort();
            // Woken by the same tick as the connection, and before it.
            tokio::time::sleep_until(rests + at).await;
            raw::say(&kept, &raw::request("g2").replace("host: a", "host: a\r\nconnection: close"));
            tokio::time::resume();
            let (answer, reset) = raw::to_the_end(&mut kept).await;
            assert_eq!((answer.contains("[DONE]"), reset), (served, false), "{at:?}: {answer:?}");
            assert_eq!(writer.count("POST"), 1 + usize::from(served));
        });
    }
}

/// Guards against requests smuggled past a reader that frames them otherwise: such a head is refused, its
/// connection ends, and neither it nor what it hides reaches a server.
#[test]
fn a_framing_that_could_hide_a_request_is_refused() {
    run(async {
        let server = StandIn::start(|_, _| read()).await;
        let g = gateway(&[&server], &[&server], None, 50).await;
        let hidden = request("b2", "content-length: 2\r\n", "{}");
        for lines in [
            "content-length: 4\r\ntransfer-encoding: chunked\r\n",
            "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
            "Transfer-Encoding : chunked\r\ncontent-length: 4\r\n",
            "transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n",
            "transfer-encoding: chunked, identity\r\n",
            "content-length: 5\r\ncontent-length: 4\r\n",
            "content-length: 5\r\ncontent-length: 5\r\n",
            "content-length: -1\r\n",
            "content-length: +5\r\n",
            "content-length: 5, 5\r\n",
            "content-length: 99999999999999999999\r\n",
            "content-length: many\r\n",
        ] {
            let said = request("b1", lines, &format!("0\r\n\r\n{hidden}"));
            let answer = rest(connected(&g, &said).await).await;
            assert!(answer.starts_with("HTTP/1.1 4"), "{lines}: {answer}");
            assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{lines}: {answer}");
        }
        assert_eq!(server.seen.borrow().len(), 0);
    });
}

/// Guards requests sent ahead of the answer before: each is served in its turn, one at a time.
#[test]
fn requests_sent_ahead_are_served_in_turn() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, _| stream()).await;
        let g = gateway(&[&reader], &[&writer], None, 50).await;
        let chunked = request("c3", "transfer-encoding: chunked\r\n", "2\r\n{}\r\n0\r\n\r\n");
        let plain = |id| request(id, "content-length: 2\r\n", "{}");
        // A chunked request is the last on its connection.
        let all = [plain("c1"), plain("c2"), chunked, plain("c4")].concat();
        let answer = rest(connected(&g, &all).await).await;
        assert_eq!(answer.matches("HTTP/1.1 200").count(), 3, "{answer}");
        let ids: Vec<String> =
            writer.seen.borrow().iter().filter(|s| s.method == "POST").map(|s| s.id.clone()).collect();
        assert_eq!(ids, ["c1", "c2", "c3"]);
    });
}

/// Guards the word that a client is owed: it sends on, and a close with bytes unread would reset the answer away.
#[test]
fn an_early_refusal_reaches_a_client_that_still_sends() {
    run(async {
        let server = StandIn::start(|_, _| read()).await;
        let g = gateway(&[&server], &[&server], None, 50).await;
        for (lines, wanted) in [("content-length: 2000000\r\n", 413), ("transfer-encoding: chunked\r\n", 413)]
        {
            let mut raw = connected(&g, &request("d1", lines, "")).await;
            let chunk = format!("{:x}\r\n{}\r\n", 100_000, "x".repeat(100_000));
            for _ in 0..20 {
                raw.write_all(chunk.as_bytes()).await.expect("still taken");
            }
            let answer = rest(raw).await;
            assert_eq!(answer.get(9..12).and_then(|s| s.parse().ok()), Some(wanted), "{answer}");
        }
        let nameless = format!("POST {CHAT} HTTP/1.1\r\nhost: a\r\ncontent-length: 200000\r\n\r\n");
        let mut raw = connected(&g, &nameless).await;
        assert_eq!(status(&mut raw).await, 400);
        raw.write_all(&vec![b'x'; 200_000]).await.expect("still taken");
        assert!(rest(raw).await.contains("Req-Id"));
        assert_eq!(server.seen.borrow().len(), 0);
    });
}

/// Guards the way in and the descriptors: at the cap those without an open request give way, silent and kept ones
/// alike; only where all have one is a further client refused.
#[test]
fn at_the_cap_silent_and_idle_connections_give_way() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, seen| match seen.id.as_str() {
            "e0" => Act::Stuck("data: {}\n\n"),
            _ => stream(),
        })
        .await;
        let g = gateway(&[&reader], &[&writer], None, 2).await;
        let mut kept = connected(&g, "GET /ready HTTP/1.1\r\nhost: a\r\n\r\n").await;
        assert_eq!(status(&mut kept).await, 200);
        let mut silent = Vec::new();
        for _ in 0..300 {
            silent.push(connected(&g, "").await);
        }
        let mut open = connected(&g, &request("e0", "content-length: 2\r\n", "{}")).await;
        assert_eq!(status(&mut open).await, 200);
        // The first to come were the first to go, and the crowd never grew.
        assert!(rest(kept).await.ends_with("ready\n"));
        assert_eq!(rest(silent.remove(0)).await, "");
        let mut second = connected(&g, &request("e1", "content-length: 2\r\n", "{}")).await;
        assert_eq!(status(&mut second).await, 200);
        drop(silent);
    });
}

/// Guards kept connections at the cap: one whose end has been sent, and whose client does not end it, goes before one
/// that may be used again.
#[test]
fn at_the_cap_an_ended_connection_goes_before_a_kept_one() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, _| stream()).await;
        let g = gateway(&[&reader], &[&writer], None, 2).await;
        let mut kept = raw::connect(g.address).await;
        raw::say(&kept, &raw::request("k1"));
        assert!(raw::answer_of(&mut kept).await.contains("[DONE]"));
        let mut ended = raw::connect(g.address).await;
        raw::say(&ended, &raw::request("k2").replace("host: a", "host: a\r\nconnection: close"));
        assert!(raw::to_the_end(&mut ended).await.0.contains("[DONE]"));
        let mut new = raw::connect(g.address).await;
        raw::say(&new, &raw::request("k3"));
        assert!(raw::answer_of(&mut new).await.contains("[DONE]"));
        raw::say(&kept, &raw::request("k4"));
        assert!(raw::answer_of(&mut kept).await.contains("[DONE]"));
    });
}

#[test]
fn a_connection_above_the_cap_is_refused() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, _| Act::Stuck("data: {}\n\n")).await;
        let g = gateway(&[&reader], &[&writer], None, 1).await;
        let mut open = connected(&g, &request("f1", "content-length: 2\r\n", "{}")).await;
        assert_eq!(status(&mut open).await, 200);
        let second = chat(&g, "item-query", "5").await;
        assert_eq!(second.status(), 503);
        // No later than the settings allow.
        assert_eq!(second.headers()["retry-after"], "0.500");
    });
}

/// Guards an open request from another client's copy of its id: the copy is refused and reaches no server, the
/// first does not notice, and the id may come again later.
#[test]
fn a_copy_of_an_open_requests_id_is_refused() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let go = std::rc::Rc::new(std::cell::Cell::new(false));
        let began = go.clone();
        let writer = StandIn::start(move |_, _| {
            began.set(true);
            Act::Later(
                Duration::from_millis(50),
                answer(200, &[("content-type", "text/event-stream")], STREAM),
            )
        })
        .await;
        let g = gateway(&[&reader], &[&writer], None, 50).await;
        let copy = async {
            until(|| go.get()).await;
            assert_eq!(chat_as(&g, "a7").await.status(), 409);
        };
        let (first, ()) = tokio::join!(chat_as(&g, "a7"), copy);
        assert_eq!((first.status().as_u16(), first.body().as_deref()), (200, Some(STREAM.as_bytes())));
        assert_eq!((reader.seen.borrow().len(), writer.seen.borrow().len()), (1, 1));
        until(|| g.pool.core.is_idle()).await;
        assert_eq!(chat_as(&g, "a7").await.status(), 200);
    });
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Guards clients whose messages come in pieces, cut at any byte: head, chunk sizes and body alike.
    #[test]
    fn a_request_may_come_in_pieces(lengths in prop::collection::vec(1usize..60, 1..5), chunked in any::<bool>()) {
        run(async {
            let reader = StandIn::start(|_, _| read()).await;
            let writer = StandIn::start(|_, _| stream()).await;
            let g = gateway(&[&reader], &[&writer], None, 50).await;
            let text = match chunked {
                true => request("p1", "transfer-encoding: chunked\r\n", "1\r\n{\r\n1;x=y\r\n}\r\n0\r\n\r\n"),
                false => request("p1", "content-length: 2\r\n", "{}"),
            };
            let mut raw = TcpStream::connect(g.address).await.expect("a connection");
            raw.set_nodelay(true).expect("set");
            let (mut rest, mut lengths) = (text.as_bytes(), lengths.iter().cycle());
            while !rest.is_empty() {
                let length = lengths.next().copied().unwrap_or(1).min(rest.len());
                raw.write_all(&rest[..length]).await.expect("sent");
                rest = &rest[length..];
                // What was sent is read before more comes.
                for _ in 0..3 {
                    tokio::task::yield_now().await;
                }
            }
            assert_eq!(status(&mut raw).await, 200);
            assert_eq!(&writer.seen.borrow()[0].body[..], b"{}");
        });
    }
}
