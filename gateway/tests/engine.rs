//! The engine client on loopback sockets.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::attempts::*;
use common::*;
use futures_util::StreamExt;
use glenrail::engine::ServerAddress;
use glenrail::exchange::{CancelToken, Payload};
use glenrail::upstream::{Call, CallError, ConnectionCheck, Frame, Malformation, Reply};
use glenrail_request_lifecycle::framing::FramingError;
use glenrail_request_lifecycle::response_timing::OnPause;
use glenrail_router::ServerId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tower::ServiceExt;

/// Guards the limit on memory: an answer that is to be kept whole and does not fit is no answer.
#[test]
fn a_response_too_large_to_buffer_is_an_error() {
    run(async {
        let big = |n: usize| vec![b'x'; if n == 0 { (1 << 20) + 1 } else { 1 << 20 }];
        let server = StandIn::start(move |n, _| Act::Answer(answer(200, &[], big(n)))).await;
        let engine = engine(AGES, 8);
        engine.update_servers(true, &[address(SERVER, &server, true)], &[]);
        let whole = || {
            let payload = Payload { request_id: "a".into(), buffer_response: true, ..Payload::default() };
            engine.clone().oneshot(Call::Attempt {
                server: SERVER,
                payload: Rc::new(payload),
                deadline: Instant::now() + AGES,
                connect_timeout: None,
                connection_check: ConnectionCheck::None,
                on_pause: OnPause::Retry,
                cancel_token: CancelToken::default(),
            })
        };
        assert!(matches!(whole().await, Ok(Reply::Error { .. })));
        let Ok(kept) = whole().await else { panic!("no answer") };
        assert!(matches!(kept, Reply::Response { .. }));
        // The room is taken until the answer is gone.
        assert!(matches!(whole().await, Ok(Reply::Error { .. })));
        drop(kept);
        assert!(matches!(whole().await, Ok(Reply::Response { .. })));
    });
}

#[test]
fn a_request_and_its_stream_are_forwarded_unchanged() {
    run(async {
        let server = StandIn::start(|_, _| stream()).await;
        let engine = engine(AGES, 8);
        engine.update_servers(true, &[address(SERVER, &server, true)], &[]);
        let from = Instant::now();
        let Ok(Reply::Response { mut frames, .. }) = attempt(&engine, "{\"a\": 1}").await else {
            panic!("no stream")
        };
        let elapsed = from.elapsed();
        let (mut bytes, mut last) = (Vec::new(), None);
        while let Some(frame) = frames.next().await {
            match frame.expect("a frame") {
                Frame::Data(data) | Frame::Ignored(data) => bytes.extend_from_slice(&data),
                Frame::Progress(_) => {}
                end => last = Some(end),
            }
        }
        assert_eq!(bytes, STREAM.as_bytes());
        let Some(Frame::End { cached_tokens: kept, report: Some(report) }) = last else {
            panic!("no report")
        };
        assert_eq!((kept, report.in_flight, report.memory_share), (12.0, Some(2.0), Some(0.25)));
        let seen = server.seen.borrow()[0].clone();
        assert_eq!((seen.path.as_str(), seen.id.as_str()), ("/v1/chat/completions?a=b", "9b1f"));
        assert_eq!(&seen.body[..], b"{\"a\": 1}");
        // To a thousandth, what is left in some moment between the call and its answer, less the margin.
        let told = seen.headers["req-deadline"].to_str().expect("text");
        let left = Duration::from_secs_f64(told.parse().expect("seconds"));
        const MARGIN: Duration = Duration::from_millis(20);
        assert_eq!(told.split_once('.').map(|(_, digits)| digits.len()), Some(3));
        assert!(
            left <= PATIENCE - MARGIN && PATIENCE <= left + MARGIN + elapsed + Duration::from_millis(1),
            "{told} {elapsed:?}"
        );
        assert_eq!(seen.headers["req-kind"], "item-query");
        assert!(!seen.headers.contains_key("connection"));
    });
}

#[test]
fn each_response_has_the_outcome_of_the_protocol() {
    let declined = [("srv-declined", "1")];
    type Fits = fn(&Result<Reply, CallError>) -> bool;
    type Case<'a> = (u16, &'a [(&'a str, &'a str)], Fits);
    let cases: [Case; 7] = [
        (202, &[], |r| matches!(r, Ok(Reply::Prefilled { cached_tokens: kept, .. }) if *kept == 7.0)),
        (410, &declined, |r| matches!(r, Ok(Reply::Rejected { state_missing: true, .. }))),
        (503, &declined, |r| matches!(r, Ok(Reply::Rejected { state_missing: false, .. }))),
        (504, &declined, |r| matches!(r, Ok(Reply::Rejected { state_missing: false, .. }))),
        // Unmarked, it may have run.
        (503, &[("retry-after", "1")], |r| matches!(r, Ok(Reply::Error { .. }))),
        (500, &[], |r| matches!(r, Ok(Reply::Error { .. }))),
        // The request's own fault: not to be tried elsewhere.
        (400, &[], |r| matches!(r, Ok(Reply::Unprocessable { .. }))),
    ];
    for (status, headers, fits) in cases {
        run(async move {
            let headers: Vec<(String, String)> =
                headers.iter().map(|(n, v)| (n.to_string(), v.to_string())).collect();
            let server = StandIn::start(move |_, _| {
                let headers: Vec<_> = headers.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
                Act::Answer(answer(status, &headers, r#"{"cached_tokens":7}"#))
            })
            .await;
            let engine = engine(AGES, 8);
            engine.update_servers(true, &[address(SERVER, &server, true)], &[]);
            assert!(fits(&attempt(&engine, "x").await), "{status}");
        });
    }
}

/// Guards rule 2: a request that was written whole is never written again by the client library, and its break
/// is told apart from a connection that never took it.
#[test]
fn a_break_after_the_last_byte_is_a_reset_and_is_not_retried() {
    run(async {
        for body in ["", "{}", &"x".repeat(200 << 10)] {
            let server = StandIn::start(|n, _| if n == 0 { read() } else { Act::Break }).await;
            let engine = engine(AGES, 8);
            engine.update_servers(true, &[address(SERVER, &server, true)], &[]);
            assert!(matches!(attempt(&engine, body).await, Ok(Reply::Prefilled { .. })));
            // On the kept connection and on a new one alike.
            for _ in 0..2 {
                assert!(
                    matches!(attempt(&engine, body).await, Err(CallError::Reset)),
                    "{} bytes",
                    body.len()
                );
            }
            assert_eq!(server.count("POST"), 3);
        }
    });
}

/// Guards the rule on drains: a server that is told to drain while a connection is opened gets no first byte.
#[test]
fn a_drain_while_connecting_stops_the_attempt() {
    run(async {
        let server = StandIn::start(|_, _| read()).await;
        let engine = engine(AGES, 8);
        engine.update_servers(true, &[address(SERVER, &server, true)], &[]);
        let sending = attempt(&engine, "x");
        tokio::pin!(sending);
        // The first poll begins to connect; the list changes before it can end.
        assert!(poll_once(sending.as_mut()).is_pending());
        engine.update_servers(false, &[address(SERVER, &server, false)], &[]);
        assert!(matches!(sending.await, Err(CallError::NotSent)));
        engine.update_servers(false, &[], &[SERVER]);
        assert!(matches!(attempt(&engine, "x").await, Err(CallError::NotSent)));
        assert_eq!(server.seen.borrow().len(), 0);
    });
}

/// Guards rule 5: a lease is let go in time by a server that runs, whoever was asked before: one that refuses
/// connections, one that accepts them and never reads, and a zone of which all say nothing. One after the other, 100 ms
/// each, five silent ones would take all the time there is.
#[test]
fn a_release_continues_to_a_server_that_answers() {
    run(async {
        let (_dead, dead_at) = reserved();
        let silent = StandIn::start(|_, _| Act::Silence).await;
        let well = StandIn::start(|_, _| Act::Answer(answer(204, &[], ""))).await;
        // It accepts, by its machine, and nobody reads.
        let deaf = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let engine = engine(AGES, 8);
        let at = |n, dial: String, zone| ServerAddress {
            server: ServerId(n),
            address: dial,
            is_serving: true,
            zone,
            started_ms: 0,
        };
        let mut list = vec![at(1, dead_at.to_string(), 0)];
        list.push(at(2, deaf.local_addr().expect("an address").to_string(), 0));
        list.extend((3..9).map(|n| at(n, silent.address.to_string(), 0)));
        list.push(at(9, well.address.to_string(), 1));
        engine.update_servers(true, &list, &[]);
        // The stand-ins take a release of a request of which no attempt has come for a check of the connection.
        checks::note_attempt(&payload("").request_id);
        let done = engine.clone().oneshot(Call::Release { payload: payload("") }).await;
        assert!(matches!(done, Ok(Reply::Done)));
        assert_eq!(well.seen.borrow()[0].path, "/kv/leases/9b1f");
        // The zone that answered comes first from now on.
        let before = silent.count("DELETE");
        let done = engine.oneshot(Call::Release { payload: payload("") }).await;
        assert!(matches!(done, Ok(Reply::Done)));
        assert_eq!((well.seen.borrow().len(), silent.count("DELETE")), (2, before));
    });
}

/// Guards against a request written to a connection that the server closes as idle: here it goes first.
#[test]
fn an_idle_connection_is_closed_in_time() {
    run(async {
        let server = StandIn::start(|_, _| read()).await;
        let engine = engine(Duration::from_millis(20), 8);
        engine.update_servers(true, &[address(SERVER, &server, true)], &[]);
        assert!(attempt(&engine, "x").await.is_ok());
        until(|| server.closed.get() == 1).await;
        assert!(attempt(&engine, "x").await.is_ok());
        assert_eq!(server.connections.get(), 2);
    });
}

/// Guards against a reset where a kept connection was closed by the server without a word.
#[test]
fn an_idle_connection_that_was_closed_is_replaced() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let dial = listener.local_addr().expect("an address").to_string();
        let engine = engine(AGES, 8);
        engine.update_servers(
            true,
            &[ServerAddress { server: SERVER, address: dial, is_serving: true, ..ServerAddress::default() }],
            &[],
        );
        for _ in 0..3 {
            let peer = async {
                let (mut peer, _) = listener.accept().await.expect("a connection");
                let mut got = Vec::new();
                while !got.ends_with(b"last byte") {
                    peer.read_buf(&mut got).await.expect("bytes");
                }
                let answer = b"HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}";
                peer.write_all(answer).await.expect("written");
                // And closes, though it did not say so.
            };
            let (told, ()) = tokio::join!(attempt(&engine, "last byte"), peer);
            assert!(matches!(told, Ok(Reply::Prefilled { .. })));
            back_to_the_pool().await;
        }
    });
}

/// Guards rule 2: an attempt that is given up is closed before the next one can start, not a turn later.
#[test]
fn a_cancelled_attempt_is_closed_at_once() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let dial = listener.local_addr().expect("an address").to_string();
        let engine = engine(AGES, 8);
        engine.update_servers(
            true,
            &[ServerAddress { server: SERVER, address: dial, is_serving: true, ..ServerAddress::default() }],
            &[],
        );
        let mut sending = Box::pin(attempt(&engine, "last byte"));
        let peer = async {
            let (mut peer, _) = listener.accept().await.expect("a connection");
            let mut got = Vec::new();
            while !got.ends_with(b"last byte") {
                peer.read_buf(&mut got).await.expect("bytes");
            }
            peer.into_std().expect("a socket")
        };
        let mut peer = tokio::select! {
            _ = &mut sending => panic!("nothing answers"),
            peer = peer => peer,
        };
        drop(sending);
        // No task had a turn since: the end must be there already.
        assert_eq!(std::io::Read::read(&mut peer, &mut [0; 8]).expect("an end"), 0);
    });
}

/// Guards the limit on descriptors: without a slot nothing is opened, and idle connections give way.
#[test]
fn connections_stay_within_their_slots() {
    run(async {
        let (one, two) = (StandIn::start(|_, _| read()).await, StandIn::start(|_, _| read()).await);
        let engine = engine(AGES, 1);
        engine.update_servers(true, &[address(SERVER, &one, true), address(ServerId(2), &two, true)], &[]);
        assert!(attempt(&engine, "x").await.is_ok());
        back_to_the_pool().await;
        let other = || Call::Attempt {
            server: ServerId(2),
            payload: payload("x"),
            connect_timeout: None,
            deadline: Instant::now() + AGES,
            connection_check: ConnectionCheck::None,
            on_pause: OnPause::Retry,
            cancel_token: CancelToken::default(),
        };
        let both = async { tokio::join!(engine.clone().oneshot(other()), engine.clone().oneshot(other())) };
        let (a, b) = both.await;
        assert!(a.is_ok() != b.is_ok(), "one slot, one connection");
        // The server is not to blame, so it must not look unreachable.
        assert!(matches!(a.and(b), Err(CallError::NotSent)));
    });
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Ask,
    /// An answer after which the server closes.
    AskAndClose,
    /// The server closes without an answer.
    AskAndBreak,
    CloseIdle,
    Drain,
    Serve,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// A connection is either kept or not, and the server either serving or not. Against that model: each
    /// request is written at most once, on the kept connection where there is one, else on a new one.
    #[test]
    fn a_connection_follows_its_model(steps in prop::collection::vec(prop::sample::select(vec![
        Step::Ask, Step::Ask, Step::AskAndClose, Step::AskAndBreak, Step::CloseIdle, Step::Drain, Step::Serve,
    ]), 1..25)) {
        run(async {
            let next = Rc::new(std::cell::Cell::new(Step::Ask));
            let does = next.clone();
            let server = StandIn::start(move |_, _| match does.get() {
                Step::AskAndClose => Act::Answer(answer(202, &[("connection", "close")], "{}")),
                Step::AskAndBreak => Act::Break,
                _ => read(),
            }).await;
            let engine = engine(AGES, 4);
            engine.update_servers(true, &[address(SERVER, &server, true)], &[]);
            let (mut kept, mut serving, mut opened, mut written) = (false, true, 0, 0);
            for step in steps {
                next.set(step);
                match step {
                    Step::Ask | Step::AskAndClose | Step::AskAndBreak => {
                        let told = attempt(&engine, "x").await;
                        if !serving {
                            assert!(matches!(told, Err(CallError::NotSent)));
                            kept = false;
                            // It is refused before or after the connect; only the write counts.
                            opened = server.connections.get();
                            continue;
                        }
                        opened += usize::from(!kept);
                        written += 1;
                        kept = matches!(step, Step::Ask);
                        assert_eq!(told.is_ok(), !matches!(step, Step::AskAndBreak));
                    }
                    Step::CloseIdle => {
                        engine.close_idle();
                        kept = false;
                    }
                    Step::Drain | Step::Serve => {
                        serving = matches!(step, Step::Serve);
                        engine.update_servers(false, &[address(SERVER, &server, serving)], &[]);
                        kept &= serving;
                    }
                }
                back_to_the_pool().await;
                assert_eq!(server.seen.borrow().len(), written, "{step:?}");
                assert!(server.connections.get() >= opened, "{step:?}");
            }
            assert!(server.connections.get() <= opened + 1);
        });
    }
}

/// Returns beginnings of malformed streams without an event, each with its reason.
fn malformed_openings(noise: &str) -> Vec<(String, Malformation)> {
    let framing = Malformation::Framing;
    vec![
        ("nonsense\r\n\r\n".to_string(), Malformation::HeadUnreadable),
        ("HTTP/1.1 2x0 OK\r\n\r\n".into(), Malformation::HeadUnreadable),
        (format!("HTTP/1.1 200 OK\r\n{}", "x-more: y\r\n".repeat(3_000)), Malformation::HeadTooLong),
        (format!("HTTP/1.1 200 OK\r\nx: {}", "y".repeat(30_000)), Malformation::HeadTooLong),
        (
            "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\nfour".into(),
            Malformation::ContentType,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 3221225472\r\n\r\n".into(),
            framing(FramingError::LengthTooLarge),
        ),
        (format!("{OPENING}{noise}"), Malformation::Event),
        (format!("{OPENING}zz\r\n"), framing(FramingError::SizeUnreadable)),
        (format!("{OPENING}{}", "0".repeat(30_000)), framing(FramingError::SizeLineTooLong)),
        (format!("{OPENING}fffffffffffffffffff\r\n"), framing(FramingError::ChunkTooLarge)),
        (format!("{OPENING}c0000000\r\n{}", "n".repeat(100_000)), framing(FramingError::ChunkTooLarge)),
        (format!("{OPENING}c0000000\r\ndata: {}", "n".repeat(300_000)), framing(FramingError::ChunkTooLarge)),
        (format!("{OPENING}0\r\n\r\n"), Malformation::Event),
    ]
}

/// Guards the client from a stream that is spoilt: before its first event it is a failed attempt that may have
/// run, after that a broken answer of which only whole events were passed on; and its connection is not used again.
#[test]
fn a_malformed_stream_is_recognised_and_its_connection_dropped() {
    let noise = "5\r\n\u{1}\u{2}\u{3}\u{4}\u{5}\r\n";
    let framing = Malformation::Framing;
    for (opening, reason) in malformed_openings(noise) {
        run(async {
            let (engine, connections) = raw_server(vec![opening.clone().into_bytes()]).await;
            for n in 1..3 {
                let told = streamed(&engine).await;
                assert_eq!(
                    told,
                    Err(CallError::MalformedResponse(reason)),
                    "{}",
                    &opening[..opening.len().min(200)]
                );
                // A connection that ended well in HTTP's terms may be used again.
                assert!(
                    connections.get() == n || opening.ends_with("four") || opening.ends_with("0\r\n\r\n")
                );
            }
        });
    }
    for (later, reason) in [
        (noise.to_string(), Malformation::Event),
        ("zz\r\n".into(), framing(FramingError::SizeUnreadable)),
        ("5\r\ndata: cut\r\n".into(), framing(FramingError::DataMisfit)),
        (format!("0\r\nx: {}", "y".repeat(30_000)), framing(FramingError::TrailerTooLong)),
        (format!("c0000000\r\n{}", "n".repeat(100_000)), framing(FramingError::ChunkTooLarge)),
        // A whole second answer behind it.
        (format!("c0000000\r\n{OPENING}{EVENT}0\r\n\r\n"), framing(FramingError::ChunkTooLarge)),
        ("9\r\ndata: cut\r\n0\r\n\r\n".into(), Malformation::Event),
    ] {
        run(async {
            let whole = format!("{OPENING}{EVENT}").into_bytes();
            let (engine, connections) = raw_server(vec![whole, later.clone().into_bytes()]).await;
            for n in 1..3 {
                let told = streamed(&engine).await;
                assert_eq!(
                    told,
                    Ok((b"data: {}\n\n".to_vec(), Some(CallError::MalformedResponse(reason)))),
                    "{later}"
                );
                assert_eq!(connections.get(), n);
            }
        });
    }
}

/// Guards good answers that come with more: interim answers in front, also one that hyper takes for an upgrade, a
/// load report that cannot be read, and a second answer behind, after which the connection is not used again.
#[test]
fn a_good_response_with_surplus_bytes_is_accepted() {
    let good = format!("{OPENING}{EVENT}0\r\n\r\n");
    let odd = good.replace("content-type", "srv-load: TEXT inflight=\u{e9}, x0=, =\r\ncontent-type");
    for (front, answer, behind, kept) in [
        ("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n", &good, "", true),
        (
            "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
            &good,
            "",
            true,
        ),
        ("", &odd, "", true),
        ("", &good, "HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}", false),
    ] {
        for pieces in
            [vec![format!("{front}{answer}{behind}")], vec![format!("{front}{answer}"), behind.into()]]
        {
            run(async {
                let pieces = pieces.iter().map(|p| p.clone().into_bytes()).collect();
                let (engine, connections) = raw_server(pieces).await;
                for n in 1..4 {
                    let told = streamed(&engine).await;
                    assert_eq!(told, Ok((b"data: {}\n\n".to_vec(), None)), "{front}{answer}{behind}");
                    for _ in 0..5 {
                        back_to_the_pool().await;
                    }
                    assert_eq!(connections.get(), if kept { 1 } else { n }, "{front}{answer}{behind}");
                }
            });
        }
    }
}

/// Cuts bytes into pieces of these lengths, over and over.
fn cut(bytes: &[u8], lengths: &[usize]) -> Vec<Vec<u8>> {
    let (mut rest, mut pieces) = (bytes, Vec::new());
    for length in lengths.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (piece, more) = rest.split_at((*length).min(rest.len()));
        pieces.push(piece.to_vec());
        rest = more;
    }
    pieces
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: RngSeed::Fixed(2), ..ProptestConfig::default() })]

    /// Guards streams at an upgrade: whatever their pieces, their chunks and the moment at which they go over, or go
    /// over twice, all of their events pass, once and in order.
    #[test]
    fn a_stream_that_is_handed_over_is_complete(
        lengths in prop::collection::vec(1usize..90, 2..6),
        chunks in prop::collection::vec(1usize..40, 1..6),
        (first, second) in (0usize..6, 0usize..6),
    ) {
        let events: String = (0..6).map(|n| format!("data: {{\"n\":{n}}}\n\n")).collect();
        let body = cut(events.as_bytes(), &chunks).into_iter().flat_map(|c| {
            [format!("{:x}\r\n", c.len()).into_bytes(), c, b"\r\n".to_vec()].concat()
        });
        let answer: Vec<u8> = OPENING.bytes().chain(body).chain(*b"0\r\n\r\n").collect();
        run(async {
            let (engine, _) = raw_server(cut(&answer, &lengths)).await;
            let Reply::Response { mut frames, .. } = attempt(&engine, "last byte").await.expect("a stream") else {
                panic!("no stream")
            };
            let mut at = engine;
            let (mut passed, mut got, mut moves) = (Vec::new(), 0, vec![second, first]);
            while let Some(frame) = frames.next().await {
                match frame.expect("a whole stream") {
                    Frame::Data(data) => {
                        passed.extend_from_slice(&data);
                        got += 1;
                        if moves.last().is_some_and(|m| got > *m) {
                            moves.pop();
                            at.hand_over_streams();
                        }
                    }
                    Frame::HandedOver(rest) => {
                        // Another process has an engine of its own.
                        at = self::engine(AGES, 8);
                        frames = at.resume(rest).frames;
                    }
                    Frame::Ignored(data) => passed.extend_from_slice(&data),
                    Frame::Progress(_) => {}
                    Frame::End { .. } => break,
                }
            }
            assert_eq!(String::from_utf8_lossy(&passed), events);
        });
    }
}
