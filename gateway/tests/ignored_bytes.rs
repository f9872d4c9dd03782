//! Good streams that carry more than their events, before the built program: load reports that cannot be read, comments of any
//! bytes and fields that readers ignore.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::crossing::{Client, Program};
use common::scripted::{reader, Engine, Says, EMPTY, EVENTS};
use common::upgrades::{connect_and_ask, discovery, host, told_writer, Place};
use common::{read, run, StandIn, AGES};
use serde_json::json;
use tokio::io::AsyncReadExt;

const HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Bodies of good streams.
fn good_streams() -> Vec<Vec<u8>> {
    let with_comment = |comment: &[u8]| [b"data: a\n\n", comment, b"data: [DONE]\n\n", comment].concat();
    let large = [b": Srv-Load: TEXT inflight=", &vec![b'9'; 100 << 10][..], b"\n\n"].concat();
    vec![
        with_comment(b": Srv-Load: TEXT inflight=\xe9, x0=\n\n"),
        with_comment(b": \x00\x01\x1b\x7f\xff\xfe\n\n"),
        with_comment(b": Srv-Load: TEXT inflight=-3, x0=nan\n\n: Srv-Load: TEXT inflight=inf, x0=1e300\n\n"),
        with_comment(&large),
        with_comment(b": one line feed\n"),
        [b": Srv-Load: \xff\n\n", &with_comment(b"")[..]].concat(),
        [&with_comment(b"")[..], b": no line feed \xe9"].concat(),
        b"\xef\xbb\xbfdata: {\"text\": \"\x7f\xc2\x80\"}\n\nx-trace: 7\n\ndata\n\ndata: [DONE]\n\n".to_vec(),
    ]
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Returns the response with this body, in chunks of `length` bytes.
fn response(body: &[u8], length: usize) -> Vec<u8> {
    let chunks: Vec<u8> = body.chunks(length).flat_map(chunk).collect();
    [HEAD, &chunks, LAST_CHUNK].concat()
}

/// Reads a response to its last chunk or to the end of its connection, and returns its status and the data of its chunks. The
/// data is `None` without a last chunk.
fn status_and_data(client: Client) -> (u16, Option<Vec<u8>>) {
    let mut socket = client.0;
    socket.set_read_timeout(Some(AGES)).expect("a bound");
    let (mut got, mut space) = (Vec::new(), vec![0; 64 << 10]);
    while !got.ends_with(LAST_CHUNK) {
        match socket.read(&mut space).expect("a response in time") {
            0 => break,
            read => got.extend_from_slice(&space[..read]),
        }
    }
    let head_end = got.windows(4).position(|bytes| bytes == b"\r\n\r\n").expect("a head") + 4;
    let status = std::str::from_utf8(&got[9..12]).expect("digits").parse().expect("a status");
    (status, data_of(&got[head_end..]))
}

fn data_of(mut chunks: &[u8]) -> Option<Vec<u8>> {
    let mut data = Vec::new();
    while chunks != LAST_CHUNK {
        let size_end = chunks.windows(2).position(|bytes| bytes == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&chunks[..size_end]).ok()?, 16).ok()?;
        data.extend_from_slice(chunks.get(size_end + 2..size_end + 2 + size)?);
        chunks = &chunks[size_end + 2 + size + 2..];
    }
    Some(data)
}

fn server(respond: impl Fn(usize) -> Vec<u8> + Send + Sync + 'static) -> Engine {
    Engine::start(move |n, line| match line.starts_with("DELETE") {
        true => EMPTY.into(),
        false => respond(n).into(),
    })
}

/// Guards good streams from being cut for bytes that their readers ignore, in whatever pieces they come.
#[test]
fn ignored_bytes_are_forwarded_unchanged() {
    for (number, body) in good_streams().into_iter().enumerate() {
        let lengths = if body.len() < 1_000 { vec![1, 7, usize::MAX] } else { vec![4_000, usize::MAX] };
        for length in lengths {
            let sent = response(&body, length.min(body.len()));
            let (reader, writer) = (reader(), server(move |_| sent.clone()));
            let name = format!("ignored-{number}-{length}");
            let program = Program::start(&name, &[reader.address], &[writer.address], true);
            let (status, data) = status_and_data(Client::ask_as("order", program.front, "a1"));
            assert_eq!((status, data.as_deref()), (200, Some(&body[..])), "stream {number} by {length}");
            assert_eq!(writer.count("POST"), 1, "stream {number}");
        }
    }
}

/// Guards streams that are malformed from being accepted: none reaches its client with a last chunk.
#[test]
fn malformed_streams_are_still_found() {
    let begun = || chunk(b"data: a\n\n");
    let streams = [
        [&begun()[..], &chunk(b"data: \xff\n\n"), LAST_CHUNK].concat(),
        [&begun()[..], &chunk(b"data: \x01\n\n"), LAST_CHUNK].concat(),
        [&begun()[..], &chunk(b"noise\n\n"), LAST_CHUNK].concat(),
        // A chunk whose size covers the framing of the next one.
        [b"14\r\ndata: a\n\n\r\n9\r\ndata:", &b" b\n\n\r\n"[..], LAST_CHUNK].concat(),
        [&begun()[..], b"zz\r\ndata: b\n\n\r\n", LAST_CHUNK].concat(),
        [&begun()[..], b"5\r\ndata: b\n\n\r\n", LAST_CHUNK].concat(),
        [&begun()[..], &chunk(b"data: b\n"), LAST_CHUNK].concat(),
        [&begun()[..], &chunk(b"data: b\n: c\n"), LAST_CHUNK].concat(),
        [&begun()[..], b"9\r\n: cut of"].concat(),
    ];
    for (number, body) in streams.into_iter().enumerate() {
        let sent = [HEAD, &body].concat();
        let reader = reader();
        let writer = Engine::start(move |_, line| match line.starts_with("DELETE") {
            true => EMPTY.into(),
            false => Says::Ends(sent.clone()),
        });
        let program =
            Program::start(&format!("malformed-{number}"), &[reader.address], &[writer.address], true);
        let (_, data) = status_and_data(Client::ask_as("order", program.front, "a1"));
        assert_eq!(data, None, "stream {number}");
    }
}

/// Guards a server from a strike, and so from ejection, for a report that cannot be read: in the head or at the end.
#[test]
fn a_server_with_unreadable_reports_keeps_its_share() {
    let unreadable =
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nsrv-load: TEXT inflight=\xe9\r\n\
        transfer-encoding: chunked\r\n\r\n";
    let body = [&chunk(b"data: a\n\n: Srv-Load: \xe9\n\n")[..], LAST_CHUNK].concat();
    let sent = [&unreadable[..], &body].concat();
    let (reader, good) = (reader(), server(|_| EVENTS.into()));
    let faulty = server(move |_| sent.clone());
    let program = Program::start("share", &[reader.address], &[good.address, faulty.address], true);
    const REQUESTS: usize = 40;
    for n in 0..REQUESTS {
        let (status, data) = status_and_data(Client::ask_as("order", program.front, &format!("a{n}")));
        assert_eq!((status, data.is_some()), (200, true), "request {n}");
    }
    assert!(faulty.count("POST") >= REQUESTS / 4, "{} of {REQUESTS}", faulty.count("POST"));
}

/// Guards a stream whose comment comes a byte at a time, with pauses, from being held back or cut.
#[test]
fn a_comment_in_single_bytes_passes() {
    let reader = reader();
    let writer = Engine::start(|_, line| {
        if line.starts_with("DELETE") {
            return EMPTY.into();
        }
        Says::ByHand(Box::new(|socket: &mut TcpStream| {
            socket.set_nodelay(true).expect("set");
            socket.write_all(HEAD).expect("written");
            socket.write_all(&chunk(b"data: a\n\n")).expect("written");
            for byte in b": Srv-Load: \xe9\n" {
                socket.write_all(&chunk(&[*byte])).expect("written");
                std::thread::sleep(Duration::from_millis(2));
            }
            socket.write_all(LAST_CHUNK).is_ok()
        }))
    });
    let program = Program::start("bytes", &[reader.address], &[writer.address], true);
    let (status, data) = status_and_data(Client::ask_as("order", program.front, "a1"));
    assert_eq!((status, data.as_deref()), (200, Some(&b"data: a\n\n: Srv-Load: \xe9\n"[..])));
}

/// Guards a stream that a second process continues after an upgrade: what the first process forwarded and what follows are
/// one stream, with ignored bytes on both sides of the transfer.
#[test]
fn ignored_bytes_pass_in_a_stream_that_an_upgrade_transfers() {
    run(async {
        let (writer, tell) = told_writer().await;
        let reader = StandIn::start(|_, _| read()).await;
        let hosts = json!([host("r", "prompt-side", &reader), host("w", "answer-side", &writer)]);
        let agent = discovery(&hosts).await;
        let place = Place::new("ignored-bytes", &agent, &hosts);
        let mut first = place.start().await;
        let mut client = connect_and_ask(place.listen).await;
        let mut expected = Vec::new();
        let say = |bytes: &'static [u8], expected: &mut Vec<u8>| {
            expected.extend_from_slice(bytes);
            tell.send(bytes.into()).expect("told");
        };
        say(b"data: a\n\n: before \xe9\n", &mut expected);
        let mut got = read_until(&mut client, b": before \xe9\n").await;
        let _second = place.start().await;
        first.signal("-TERM");
        assert!(first.ended().await);
        for part in
            [&b"\n: Srv-Load"[..], b": \xe9\x01", b", x0=\n", b"data: [DONE]\n\n", b": no line feed \xff"]
        {
            say(part, &mut expected);
        }
        drop(tell);
        got.extend(read_until(&mut client, LAST_CHUNK).await);
        let head_end = got.windows(4).position(|bytes| bytes == b"\r\n\r\n").expect("a head") + 4;
        assert_eq!(data_of(&got[head_end..]), Some(expected));
    });
}

/// Reads until the bytes received end with these or contain them.
async fn read_until(client: &mut tokio::net::TcpStream, awaited: &[u8]) -> Vec<u8> {
    let mut got = Vec::new();
    while !got.windows(awaited.len()).any(|bytes| bytes == awaited) {
        let read = tokio::time::timeout(AGES, client.read_buf(&mut got)).await;
        assert!(read.expect("in time").expect("no reset") > 0, "the stream was cut: {got:?}");
    }
    got
}
