//! Servers that write slowly, stop, or go on with what is no event, before the built program: an answer that is still being
//! written is forwarded whole, and no client waits for 5 s after a server's last event.

mod common;

use std::thread::sleep;
use std::time::Instant;

use common::crossing::{Client, Program};
use common::scripted::{reader, EVENTS, READ};
use common::stepwise::Step::{self, Pause, Pieces, Write};
use common::stepwise::{ask, chunk, each, millis, receive, server, HEAD, LAST_CHUNK, WAIT_LIMIT};
use common::upgrades::{connect_and_ask, discovery, host, told_writer, Place};
use common::{read, run, StandIn};
use serde_json::json;
use tokio::io::AsyncReadExt;

/// Guards long answers from being cut while their server writes an event.
#[test]
fn an_event_that_is_still_being_written_is_not_cut() {
    let first = || Write(format!("{HEAD}{}", chunk("data: a\n\n")));
    let end = || Write(format!("{}{LAST_CHUNK}", chunk("data: [DONE]\n\n")));
    let large = format!("data: {}\n\n", "x".repeat(200_000));
    let event = "data: 0123456789012345678901234567890123456789\n\n";
    let in_chunks: Vec<Step> = event
        .as_bytes()
        .chunks(5)
        .map(|piece| Pieces(chunk(std::str::from_utf8(piece).expect("text")), 1, millis(800)))
        .collect();
    let endings = format!("{}{}", chunk("data: {\"usage\":1}\n\n"), chunk("data: [DONE]\n\n"));
    each(
        vec![
            ("slow-one-chunk", vec![first(), Pieces(chunk(event), 10, millis(800)), end()]),
            ("slow-chunks", [vec![first()], in_chunks, vec![end()]].concat()),
            ("slow-large", vec![first(), Pieces(chunk(&large), 70, millis(100)), end()]),
            ("slow-ending", vec![first(), Pieces(endings, 10, millis(700)), Write(LAST_CHUNK.into())]),
            ("slow-pauses", vec![first(), Pieces(chunk(event), 3, millis(3_500)), end()]),
            // The first of the two line feeds that end the event is a piece of its own.
            (
                "slow-line-feed",
                vec![
                    first(),
                    Write("b\r\ndata: abc".into()),
                    Pause(millis(3_500)),
                    Write("\n".into()),
                    Pause(millis(3_500)),
                    Write("\n\r\n".into()),
                    end(),
                ],
            ),
            // The size line of the chunk is a piece of its own.
            (
                "slow-size-line",
                vec![
                    first(),
                    Pause(millis(3_500)),
                    Write(format!("{:x}", event.len())),
                    Pause(millis(3_500)),
                    Write(format!("\r\n{event}\r\n")),
                    end(),
                ],
            ),
        ],
        |name, received| {
            assert_eq!((received.status, received.is_whole()), (200, true), "{name}: {:?}", received.ended);
        },
    );
}

/// Guards clients from waiting for 5 s after the last event of a server that sends only what readers ignore.
#[test]
fn what_readers_ignore_does_not_extend_the_wait_after_the_last_event() {
    let begun = || Write(format!("{HEAD}{}", chunk("data: a\n\n").repeat(3)));
    let goes_on = |ignored: &str| {
        let mut steps = vec![begun()];
        for _ in 0..20 {
            steps.push(Write(chunk(ignored)));
            steps.push(Pause(millis(600)));
        }
        steps
    };
    let late_report = vec![
        begun(),
        Pause(millis(3_000)),
        Write(chunk(": Srv-Load: TEXT inflight=1, x0=0.1\n\n")),
        Pause(millis(10_000)),
    ];
    let comment_in_pieces =
        vec![begun(), Pieces(chunk(": a comment that comes slowly\n\n"), 30, millis(400))];
    each(
        vec![
            ("ignored-comments", goes_on(": comment\n\n")),
            ("ignored-empty-lines", goes_on("\n")),
            ("ignored-fields", goes_on("x-trace: 7\n\n")),
            ("ignored-without-data", goes_on("event: ping\n\n")),
            ("ignored-late-report", late_report),
            ("ignored-in-pieces", comment_in_pieces),
        ],
        |name, received| {
            let waited = received.ended - received.last_event;
            assert_eq!((received.status, received.is_whole()), (200, false), "{name}");
            assert!(waited < WAIT_LIMIT, "{name}: {waited:?}");
        },
    );
}

/// Guards clients of a server that stops: between two events, or in an event of which half has come.
#[test]
fn a_stream_that_stops_ends_within_five_seconds() {
    let begun = format!("{HEAD}{}", chunk("data: a\n\n"));
    let half = format!("{begun}20\r\ndata: ha");
    each(
        vec![
            ("stops-between", vec![Write(begun), Pause(millis(9_000))]),
            ("stops-within", vec![Write(half), Pause(millis(9_000))]),
        ],
        |name, received| {
            let waited = received.ended - received.last_event;
            assert_eq!((received.status, received.is_whole()), (200, false), "{name}");
            assert!(waited < WAIT_LIMIT, "{name}: {waited:?}");
        },
    );
}

/// Guards a stream whose next event came in time while the gateway stood still past its limit.
#[test]
fn bytes_that_came_while_the_gateway_stood_still_precede_the_limit() {
    let steps = vec![
        Write(format!("{HEAD}{}", chunk("data: a\n\n"))),
        Pause(millis(4_000)),
        Write(format!("{}{LAST_CHUNK}", chunk("data: [DONE]\n\n"))),
    ];
    let (reader, writer) = (reader(), server(steps));
    let program = Program::start("stood-still", &[reader.address], &[writer.address], true);
    let client = Client::ask_as("order", program.front, "a1");
    sleep(millis(1_500));
    program.stop();
    sleep(millis(4_500));
    program.go_on();
    let received = receive(client);
    assert_eq!((received.status, received.is_whole()), (200, true));
}

/// Guards requests with time left from an answer that begins slowly: it is not malformed, and its server is not ejected.
#[test]
fn an_answer_that_begins_slowly_is_served_and_its_server_is_not_ejected() {
    let rest = || Write(format!("{}{LAST_CHUNK}", chunk("data: [DONE]\n\n")));
    let slow_head = vec![Pieces(HEAD.into(), 10, millis(220)), Write(chunk("data: a\n\n")), rest()];
    let slow_event = vec![Write(HEAD.into()), Pieces(chunk("data: 0123456789\n\n"), 10, millis(220)), rest()];
    std::thread::scope(|scope| {
        for (name, steps) in [("begins-head", slow_head), ("begins-event", slow_event)] {
            scope.spawn(move || {
                let (reader, writer) = (reader(), server(steps));
                let program = Program::start(name, &[reader.address], &[writer.address], true);
                for request in 0..4 {
                    let received = ask(&program, "order", &format!("a{request}"));
                    assert_eq!((received.status, received.is_whole()), (200, true), "{name} {request}");
                }
                assert_eq!(writer.count("POST"), 4, "{name}");
            });
        }
    });
}

/// Guards requests whose prefill server writes its short answer slowly.
#[test]
fn a_prefill_answered_in_pieces_is_used() {
    let (reader, writer) =
        (server(vec![Pieces(READ.into(), 12, millis(180))]), server(vec![Write(EVENTS.into())]));
    let program = Program::start("slow-prefill", &[reader.address], &[writer.address], true);
    let received = ask(&program, "order", "a1");
    assert_eq!((received.status, received.is_whole()), (200, true));
    assert_eq!((reader.count("POST"), writer.count("POST")), (1, 1));
}

/// Guards a request that may not run twice: a server that declines it has not run it, however slowly it says so.
#[test]
fn an_attempt_that_is_declined_in_pieces_is_sent_elsewhere() {
    let declined = "HTTP/1.1 503 Full\r\nsrv-declined: 1\r\ncontent-length: 20\r\n\r\n01234567890123456789";
    let halves = declined.split_at(declined.len() - 10);
    for (name, steps) in [
        ("declined-slowly", vec![Pieces(declined.into(), 10, millis(220))]),
        ("declined-in-half", vec![Write(halves.0.into()), Pause(millis(9_000))]),
    ] {
        let (reader, writers) = (reader(), [server(steps.clone()), server(vec![Write(EVENTS.into())])]);
        let addresses = writers.each_ref().map(|writer| writer.address);
        let program = Program::start(name, &[reader.address], &addresses, true);
        // Whichever of the two is asked first.
        for request in 0..4 {
            let received = ask(&program, "order", &format!("a{request}"));
            assert_eq!(
                (received.status, received.is_whole()),
                (200, true),
                "{name} {request}: {}",
                received.body
            );
        }
    }
}

/// Guards the wait of a client whose stream stops before it is handed over: an upgrade does not begin it anew.
#[test]
fn an_upgrade_does_not_extend_the_wait_after_the_last_event() {
    run(async {
        let (writer, tell) = told_writer().await;
        let reader = StandIn::start(|_, _| read()).await;
        let hosts = json!([host("r", "prompt-side", &reader), host("w", "answer-side", &writer)]);
        let agent = discovery(&hosts).await;
        let place = Place::new("slow-upgrade", &agent, &hosts);
        let mut first = place.start().await;
        let mut client = connect_and_ask(place.listen).await;
        tell.send("data: a\n\n".into()).expect("told");
        let mut got = Vec::new();
        while !got.ends_with(b"data: a\n\n\r\n") {
            assert!(client.read_buf(&mut got).await.expect("no reset") > 0, "{got:?}");
        }
        let last_event = Instant::now();
        let second = place.start().await;
        first.signal("-TERM");
        assert!(first.ended().await);
        assert!(last_event.elapsed() < millis(4_000), "handed over late: {:?}", last_event.elapsed());
        // What is no event does not extend it in the successor either.
        tell.send(": comment\n\n".into()).expect("told");
        while client.read_buf(&mut got).await.expect("no reset") > 0 {}
        let waited = last_event.elapsed();
        assert!(waited > millis(4_000) && waited < WAIT_LIMIT, "{waited:?}");
        assert_eq!(second.counters().await["responses_ended_early"]["event_overdue"], 1);
    });
}
