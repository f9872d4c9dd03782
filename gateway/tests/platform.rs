//! The platform's front over the whole gateway, with stand-in servers and clients.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::gateway::*;
use common::*;
use glenrail::core::duration;
use glenrail::daemon::graceful_shutdown;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

#[test]
fn a_request_goes_through_both_stages_and_its_answer_is_unchanged() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, _| stream()).await;
        let g = gateway(&[&reader], &[&writer], None, 50).await;
        let answer = chat(&g, "order-chat", "10").await;
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()["content-type"], "text/event-stream");
        assert_eq!(answer.body().as_deref(), Some(STREAM.as_bytes()));
        for server in [&reader, &writer] {
            let seen = server.seen.borrow()[0].clone();
            assert_eq!(
                (seen.id.as_str(), &seen.body[..]),
                ("9b1f03aa5c7e2d41", &b"{\"model\": \"chat\"}"[..])
            );
        }
    });
}

/// Guards against a stream that breaks and still looks whole.
#[test]
fn a_broken_stream_ends_without_its_last_chunk() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, _| Act::Part("data: half\n\n")).await;
        let g = gateway(&[&reader], &[&writer], None, 50).await;
        let answer = chat(&g, "item-query", "10").await;
        assert_eq!((answer.status().as_u16(), answer.body()), (200, &None));
        assert_eq!(writer.count("POST"), 1);
    });
}

/// Guards the client's 200: an engine's head alone is no answer yet.
#[test]
fn a_head_without_an_event_is_not_passed_on() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, _| Act::Head).await;
        let g = gateway(&[&reader], &[&writer], None, 50).await;
        assert_eq!(chat(&g, "order-chat", "10").await.status(), 502);
        assert_eq!(writer.count("POST"), 1);
    });
}

/// Guards against events that wait for more: each goes out as it comes.
#[test]
fn an_event_is_passed_on_before_the_next_one_comes() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, _| Act::Stuck("data: first\n\n")).await;
        let g = gateway(&[&reader], &[&writer], None, 50).await;
        let mut client = TcpStream::connect(g.address).await.expect("a connection");
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nreq-id: a1\r\nreq-kind: order-chat\r\n";
        client.write_all(format!("{head}content-length: 2\r\n\r\n{{}}").as_bytes()).await.expect("sent");
        let mut got = Vec::new();
        while !String::from_utf8_lossy(&got).contains("data: first") {
            assert_ne!(client.read_buf(&mut got).await.expect("bytes"), 0);
        }
        // The client goes, and with it the stream that nobody reads.
        drop(client);
        until(|| writer.closed.get() > 0 && g.pool.core.is_idle()).await;
    });
}

#[test]
fn an_order_that_may_have_run_fails_once_and_is_not_repeated() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writers = [StandIn::start(|_, _| Act::Break).await, StandIn::start(|_, _| Act::Break).await];
        let g = gateway(&[&reader], &[&writers[0], &writers[1]], None, 50).await;
        assert_eq!(chat(&g, "order-chat", "10").await.status(), 502);
        assert_eq!(writers[0].count("POST") + writers[1].count("POST"), 1);
        // What the read left is let go.
        until(|| reader.count("DELETE") + writers[0].count("DELETE") + writers[1].count("DELETE") > 0).await;
    });
}

/// Has a writer take an order and say nothing of it, and gives how the order ends.
async fn order_without_an_answer(answers_checks: bool) -> (StatusCode, Duration) {
    let reader = StandIn::start(|_, _| read()).await;
    let taken = std::cell::Cell::new(false);
    // Before the order every check is answered, so that it is written.
    let writer = StandIn::start(move |_, seen| match seen.method.as_str() {
        "DELETE" if answers_checks || !taken.get() => Act::Answer(answer(204, &[], "")),
        method => {
            taken.set(taken.get() || method == "POST");
            Act::Silence
        }
    })
    .await;
    writer.scripts_checks.set(true);
    let g = gateway(&[&reader], &[&writer], None, 50).await;
    let began = Instant::now();
    let status = chat(&g, "order-chat", "1.5").await.status();
    let took = began.elapsed();
    until(|| g.pool.core.is_idle()).await;
    assert!(reader.count("DELETE") + writer.count("DELETE") > 0);
    (status, took)
}

#[test]
fn a_deadline_ends_a_request_and_lets_go_of_its_lease() {
    run(async {
        let (status, took) = order_without_an_answer(true).await;
        assert_eq!(status, 504);
        assert!(took > Duration::from_millis(1_400), "{took:?}");
    });
}

/// Guards rule 5: what was written to a server that gives no sign may never have arrived, so it stops no clock.
#[test]
fn an_order_whose_arrival_nothing_shows_ends_within_the_pin_limit() {
    run(async {
        let (status, took) = order_without_an_answer(false).await;
        assert_eq!(status, 502);
        assert!(took < Duration::from_millis(850), "{took:?}");
    });
}

#[test]
fn a_refusal_says_when_to_come_back() {
    run(async {
        let full = || Act::Answer(answer(503, &[("srv-declined", "1")], ""));
        let reader = StandIn::start(move |_, _| full()).await;
        let writer = StandIn::start(|_, _| stream()).await;
        let g = gateway(&[&reader], &[&writer], None, 50).await;
        let answer = chat(&g, "item-query", "0.4").await;
        assert_eq!(answer.status(), 503);
        assert!(answer.headers().contains_key("retry-after"));
    });
}

#[test]
fn a_client_that_goes_away_ends_its_attempt() {
    run(async {
        let reader = StandIn::start(|_, s| match s.method.as_str() {
            "DELETE" => Act::Answer(answer(204, &[], "")),
            _ => Act::Silence,
        })
        .await;
        let writer = StandIn::start(|_, _| Act::Answer(answer(204, &[], ""))).await;
        let g = gateway(&[&reader], &[&writer], None, 50).await;
        let mut client = TcpStream::connect(g.address).await.expect("a connection");
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nreq-id: a1\r\nreq-kind: item-query\r\n";
        client.write_all(format!("{head}content-length: 2\r\n\r\n{{}}").as_bytes()).await.expect("sent");
        until(|| reader.count("POST") == 1).await;
        drop(client);
        until(|| reader.count("DELETE") + writer.count("DELETE") > 0 && g.pool.core.is_idle()).await;
    });
}

#[test]
fn bad_input_gets_a_precise_answer() {
    run(async {
        let server = StandIn::start(|_, _| read()).await;
        let g = gateway(&[&server], &[&server], None, 50).await;
        let big = post(CHAT, &headers("item-query", "9"), vec![b'x'; (256 << 10) + 1]);
        assert_eq!(ask(g.address, big).await.status(), 413);
        for (wrong, names) in [("req-kind", "Req-Kind"), ("req-deadline", "Req-Deadline")] {
            let mut request = post(CHAT, &headers("item-query", "9"), "{}");
            request.headers_mut().insert(wrong, http::HeaderValue::from_static("?"));
            let answer = ask(g.address, request).await;
            assert_eq!(answer.status(), 400);
            assert!(answer.headers().contains_key("content-length"));
            assert!(answer.body().as_ref().expect("a body").starts_with(names.as_bytes()));
        }
        assert_eq!(ask(g.address, post("/v1/other", &[], "")).await.status(), 404);
        assert_eq!(ask(g.address, post("/ready", &[], "")).await.status(), 405);
        let mut raw = TcpStream::connect(g.address).await.expect("a connection");
        raw.write_all(b"\x00\x01nonsense\r\n\r\n").await.expect("sent");
        let mut said = Vec::new();
        raw.read_to_end(&mut said).await.expect("an answer");
        assert!(said.starts_with(b"HTTP/1.1 400"));
        assert_eq!(server.seen.borrow().len(), 0);
    });
}

/// Guards the planned end: what was taken is answered, connections still come for a while, and then it ends.
#[test]
fn a_planned_end_finishes_what_was_taken() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let slow = answer(200, &[("content-type", "text/event-stream")], STREAM);
        let slow = Rc::new(std::cell::RefCell::new(Some(slow)));
        let writer = StandIn::start(move |_, _| match slow.borrow_mut().take() {
            Some(answer) => Act::Later(Duration::from_millis(1_500), answer),
            None => stream(),
        })
        .await;
        let g = gateway(&[&reader], &[&writer], None, 50).await;
        let ready = || http::Request::get("/ready").body(http_body_util::Full::default()).expect("a request");
        assert_eq!(ask(g.address, ready()).await.status(), 200);
        let idle = TcpStream::connect(g.address).await.expect("a connection");
        let first = chat(&g, "order-chat", "10");
        tokio::pin!(first);
        tokio::select! {
            _ = &mut first => panic!("the answer takes longer"),
            () = until(|| writer.count("POST") == 1) => {}
        }
        let pools = [g.pool.clone()];
        let ended = graceful_shutdown(&g.shutdown, &pools, AGES);
        tokio::pin!(ended);
        assert!(poll_once(ended.as_mut()).is_pending());
        let late = async {
            assert_eq!(ask(g.address, ready()).await.status(), 503);
            chat_as(&g, "9b1f03aa5c7e2d42").await
        };
        let ((), first, late) = tokio::join!(ended, first, late);
        assert_eq!((first.status().as_u16(), first.body().as_deref()), (200, Some(STREAM.as_bytes())));
        assert_eq!(late.status(), 200);
        assert_eq!(late.headers()["connection"], "close");
        assert!(g.accepting.is_finished());
        drop(idle);
    });
}

#[test]
fn a_plug_in_refuses_and_annotates() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, _| stream()).await;
        let script = "fn on_request(r) { if r.class == 1 { \"no orders\" } else { #{ tier: \"gold\" } } }
            fn on_answer(a) { print(a.ended) }";
        let g = gateway(&[&reader], &[&writer], Some(script), 50).await;
        assert_eq!(chat(&g, "order-chat", "10").await.status(), 503);
        assert_eq!(reader.seen.borrow().len(), 0);
        assert_eq!(chat(&g, "item-query", "10").await.status(), 200);
        assert_eq!(writer.seen.borrow()[0].headers["x-note-tier"], "gold");
    });
}

/// Guards slow start: a server's start on the machine's clock becomes one on the module's.
#[test]
fn a_start_is_told_on_the_modules_clock() {
    run(async {
        let clock = glenrail::core::Clock::new(Duration::from_secs(1_000));
        assert!((clock.from_unix(1_002_500.0) - 2_500.0).abs() < 1e-6);
        assert!(clock.from_unix(999_000.0) < 0.0);
        assert_eq!(duration(f64::NAN), Duration::ZERO);
    });
}
