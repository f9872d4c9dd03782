//! Servers whose answers are framed badly, or soundly in unusual ways, before the built program: what is malformed ends its
//! client's connection in time, and what is sound is forwarded whole.

mod common;

use std::io::{Read, Write as _};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::crossing::{Client, Program};
use common::scripted::{reader, EVENTS};
use common::stepwise::Step::{self, Pause, Pieces, Write};
use common::stepwise::{ask, chunk, each, millis, receive, server, HEAD, LAST_CHUNK, WAIT_LIMIT};
use common::upgrades::{connect_and_ask, discovery, Place};
use common::{run, AGES};
use serde_json::json;
use tokio::io::AsyncReadExt;

const EVENT: &str = "data: a\n\n";
const DONE: &str = "data: [DONE]\n\n";
/// Sizes of chunks that no server of a sound stream states.
const OVERSIZED: [&str; 6] =
    ["40000000", "7fffffff", "c0000000", "7fffffffffffffff", "0000c0000000", "c0000000;a=b"];
/// Time in which a client is owed an error or a close, since it connected.
const CLIENT_ERROR_LIMIT: Duration = Duration::from_secs(3);

/// Returns the steps of a stream of three events, and then these.
fn begun(steps: Vec<Step>) -> Vec<Step> {
    [vec![Write(format!("{HEAD}{}", chunk(EVENT).repeat(3)))], steps].concat()
}

/// Returns the steps that write this size line and then events without an end, one each `interval`.
fn endless_chunk(size_line: &str, interval: Duration) -> Vec<Step> {
    let count = (Duration::from_secs(9).as_millis() / interval.as_millis()) as usize;
    vec![Write(format!("{size_line}\r\n")), Pieces(EVENT.repeat(count), count, interval)]
}

/// Returns the steps that write a size line without an end, a byte each 0.3 s.
fn endless_size_line(begin: &str, byte: &str) -> Vec<Step> {
    vec![Write(begin.into()), Pieces(byte.repeat(30), 30, millis(300))]
}

/// Guards clients from being left waiting while a server goes on with events in a chunk of gigabytes.
#[test]
fn a_stream_ends_in_time_behind_a_chunk_of_gigabytes() {
    let mut cases: Vec<(&'static str, Vec<Step>)> =
        OVERSIZED.iter().map(|size| (*size, begun(endless_chunk(size, millis(500))))).collect();
    cases.push(("fast-events", begun(endless_chunk("c0000000", millis(20)))));
    each(cases, |name, received| {
        assert_eq!((received.status, received.is_whole()), (200, false), "{name}");
        assert!(received.ended < WAIT_LIMIT, "{name}: {:?}", received.ended);
        assert_eq!(received.body.matches("data:").count(), 3, "{name}");
    });
}

/// Guards clients from being left waiting while a server writes a size line that does not end.
#[test]
fn a_stream_ends_in_time_in_a_size_line_that_does_not_end() {
    each(
        vec![
            ("endless-zeros", begun(endless_size_line("0", "0"))),
            ("endless-extension", begun(endless_size_line("1f;", "x"))),
            ("endless-line-end", begun(endless_size_line("1f", "\t"))),
        ],
        |name, received| {
            assert_eq!((received.status, received.is_whole()), (200, false), "{name}");
            assert!(received.ended < WAIT_LIMIT, "{name}: {:?}", received.ended);
        },
    );
}

fn gigabytes_stated() -> [(&'static str, Vec<Step>); 2] {
    let length = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 3221225472\r\n\r\n";
    let events = Pieces(EVENT.repeat(18), 18, millis(500));
    [
        ("stated-chunk", [vec![Write(HEAD.into())], endless_chunk("c0000000", millis(500))].concat()),
        ("stated-length", vec![Write(length.into()), events]),
    ]
}

/// Guards requests whose server states gigabytes before its first event: an order fails at once, and is not sent again.
#[test]
fn gigabytes_before_the_first_event_are_a_failed_attempt() {
    each(gigabytes_stated().to_vec(), |name, received| {
        assert_eq!((received.status, received.body.contains("data:")), (502, false), "{name}");
        assert!(received.ended < millis(2_000), "{name}: {:?}", received.ended);
    });
}

/// Guards requests that may be repeated: another server answers what the first one spoilt before its first event.
#[test]
fn a_request_is_served_elsewhere_after_gigabytes_before_the_first_event() {
    for (name, steps) in gigabytes_stated() {
        let (reader, writers) = (reader(), [server(steps), server(vec![Write(EVENTS.into())])]);
        let addresses = writers.each_ref().map(|writer| writer.address);
        let program = Program::start(&format!("elsewhere-{name}"), &[reader.address], &addresses, true);
        for request in 0..4 {
            let received = ask(&program, "chat", &format!("a{request}"));
            assert_eq!((received.status, received.is_whole()), (200, true), "{name} {request}");
        }
    }
}

/// Guards sound answers from the limits of their framing.
#[test]
fn sound_framing_of_any_kind_is_forwarded_whole() {
    let end = || Write(format!("{}{LAST_CHUNK}", chunk(DONE)));
    let large = format!("data: {}\n\n", "x".repeat(100_000)).repeat(20);
    let many = EVENT.repeat(13);
    let extended = format!("9;name=\"{}\"\r\n{EVENT}\r\n", "v".repeat(100)).repeat(400);
    let padded = format!("{}9;a=b\r\n{EVENT}\r\n", "0".repeat(300));
    let two_lengths = HEAD.replace("transfer-encoding", "content-length: 5\r\ntransfer-encoding");
    let trailers = format!("{}0\r\nserver-timing: a;dur=1\r\nx: y\r\n\r\n", chunk(DONE));
    let pieces = [Pieces(format!("{:04x}", EVENT.len()), 4, millis(800)), Write(format!("\r\n{EVENT}\r\n"))];
    each(
        vec![
            (
                "sound-one-chunk",
                begun(vec![
                    Write(format!("{:x}\r\n", many.len())),
                    Pieces(many, 13, millis(500)),
                    Write("\r\n".into()),
                    end(),
                ]),
            ),
            ("sound-large-chunk", begun(vec![Write(chunk(&large)), end()])),
            ("sound-extensions", begun(vec![Write(extended), end()])),
            ("sound-zeros", begun(vec![Write(padded), end()])),
            ("sound-size-in-pieces", begun([&pieces[..], &[end()]].concat())),
            ("sound-two-lengths", vec![Write(format!("{two_lengths}{}{LAST_CHUNK}", chunk(DONE)))]),
            ("sound-trailers", begun(vec![Pause(millis(100)), Write(trailers)])),
        ],
        |name, received| {
            assert_eq!((received.status, received.is_whole()), (200, true), "{name}: {:?}", received.ended);
            assert!(received.body.contains(DONE), "{name}");
        },
    );
}

/// Guards the client of a stream that was handed over: its server's framing is judged in the successor as in the predecessor.
#[test]
fn a_stream_ends_in_time_in_the_process_that_continues_it() {
    // A stream is handed over 2 s after SIGTERM, and a pause ends it after 4.6 s.
    let pause = millis(3_500);
    for (name, steps) in [
        ("resumed-chunk", endless_chunk("c0000000", millis(500))),
        ("resumed-zeros", endless_size_line("0", "0")),
    ] {
        let writer = server(begun([vec![Pause(pause)], steps].concat()));
        let prefill = reader();
        run(async move {
            let host = |name: &str, kind: &str, at: std::net::SocketAddr| {
                json!({"host": name, "dial": at, "site": "dc", "class": kind, "block": 0,
                    "health": "SERVING", "share": 1.0, "born_ms": 0})
            };
            let hosts =
                json!([host("r", "prompt-side", prefill.address), host("w", "answer-side", writer.address)]);
            let agent = discovery(&hosts).await;
            let place = Place::new(name, &agent, &hosts);
            let mut first = place.start().await;
            let mut client = connect_and_ask(place.listen).await;
            let mut got = Vec::new();
            while got.windows(EVENT.len()).filter(|bytes| *bytes == EVENT.as_bytes()).count() < 3 {
                assert!(client.read_buf(&mut got).await.expect("no reset") > 0, "{got:?}");
            }
            let last_event = Instant::now();
            let _second = place.start().await;
            first.signal("-TERM");
            assert!(first.ended().await);
            assert!(last_event.elapsed() < pause, "{name}: {:?}", last_event.elapsed());
            let ended = tokio::time::timeout(AGES, async {
                while client.read_buf(&mut got).await.is_ok_and(|read| read > 0) {}
            });
            ended.await.expect("an end");
            assert!(last_event.elapsed() < pause + WAIT_LIMIT, "{name}: {:?}", last_event.elapsed());
            assert!(!got.ends_with(LAST_CHUNK.as_bytes()), "{name}");
        });
    }
}

/// Guards the time in which a client is owed an error: a chunk that states more than a body may have is refused at once.
#[test]
fn a_chunk_of_a_request_that_states_too_much_is_refused_in_time() {
    let (reader, writer) = (reader(), server(vec![Write(EVENTS.into())]));
    let program = Program::start("client-chunk", &[reader.address], &[writer.address], true);
    for size in ["c0000000", "7fffffffffffffff", "50000", "0000050000;a=b"] {
        let connected = Instant::now();
        let mut socket = TcpStream::connect(program.front).expect("a connection");
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nreq-id: a1\r\nreq-kind: chat\r\n";
        let head = format!("{head}transfer-encoding: chunked\r\n\r\n{size}\r\n");
        socket.write_all(head.as_bytes()).expect("sent");
        let mut dripping = socket.try_clone().expect("a socket");
        std::thread::spawn(move || {
            for _ in 0..48 {
                std::thread::sleep(millis(250));
                if dripping.write_all(b"x").is_err() {
                    return;
                }
            }
        });
        socket.set_read_timeout(Some(AGES)).expect("a bound");
        let mut got = [0; 12];
        socket.read_exact(&mut got).expect("a status line");
        assert!(connected.elapsed() < CLIENT_ERROR_LIMIT, "{size}: {:?}", connected.elapsed());
        assert_eq!(String::from_utf8_lossy(&got), "HTTP/1.1 413", "{size}");
    }
    assert_eq!((reader.count("POST"), writer.count("POST")), (0, 0));
    assert_eq!(receive(Client::ask_as("chat", program.front, "a2")).status, 200);
}
