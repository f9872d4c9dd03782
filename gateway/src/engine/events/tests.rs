//! Tests of the event buffer: streams split at any position, and malformed events.

use proptest::prelude::*;

use super::*;

/// A valid stream: a byte order mark, comments of any bytes, a field that readers ignore, and every character that JSON
/// allows unescaped.
const STREAM: &[u8] = b"\xef\xbb\xbf: hi\n\ndata: {\"a\": \"\xc3\xbc\"}\n\n: \x00\x01\xff\x7f \xc3\n\nevent: x\r\ndata: y\r\n\r\n\
    data\nretry\nid: 1\n\nx-trace: 7\ndata: {\t\"\x7f\xc2\x80\xe2\x80\xa8\xf0\x9f\x98\x80\"}\n: between\n\n\
    data: [DONE]\n\n: Srv-Load: TEXT inflight=\xe9, x0=\n";

proptest! {
    /// Guards against bytes that are lost or altered, and events that are forwarded incomplete, when a stream is split at
    /// any position.
    #[test]
    fn events_are_passed_on_unchanged_in_whatever_pieces(lengths in prop::collection::vec(1usize..30, 200)) {
        let (mut buffer, mut passed, mut remaining) = (EventBuffer::default(), Vec::new(), STREAM);
        for length in lengths {
            let (piece, following) = remaining.split_at(length.min(remaining.len()));
            remaining = following;
            if let Some(events) = buffer.push(&Bytes::copy_from_slice(piece)).expect("events") {
                prop_assert!(events.ends_with(b"\n"));
                prop_assert!(!passed.is_empty() || events.starts_with(b"\xef\xbb\xbf: hi\n\ndata"));
                passed.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(passed, STREAM);
        prop_assert!(buffer.is_complete());
        prop_assert_eq!(buffer.finish(BodyEnd::Unmarked), Ok(None));
    }
}

/// Guards against malformed bytes that reach the client, in complete or partial lines, and against an event that uses
/// unlimited memory.
#[test]
fn malformed_events_are_found() {
    let push = |text: &[u8]| EventBuffer::default().push(&Bytes::copy_from_slice(text));
    for malformed in [
        &b"\x00\xff"[..],
        b"nonsense\n",
        b"<html>",
        b"data: \xff\xfe\n",
        b"data: \x01",
        b"dato\n",
        b"4e\r\n",
        b"a3\r\n",
        b"ices\":[",
        b"HTTP/1.1 ",
        b"x-y: \x01",
        b"x-y: \xff\n",
        b" data: x",
        b"\xef\xbb\xbf\xef\xbb\xbfdata: x",
        b"\xef\xbb\n",
        &[b'x'; 65],
    ] {
        assert_eq!(push(malformed), Err(MalformedEvent), "{malformed:?}");
    }
    assert_eq!(push(&[&b"data: "[..], &vec![b'x'; MAX_EVENT_BYTES + 1]].concat()), Err(MalformedEvent));
    for partial in [
        &b"data: {"[..],
        b"da",
        b"\r",
        b"data: \xc3",
        b": only a comment\n\n",
        b"\xef\xbb",
        b"x-y: z",
        b": \xff",
    ] {
        assert_eq!(push(partial), Ok(None), "{partial:?}");
    }
    let mut buffer = EventBuffer::default();
    assert!(buffer.push(&Bytes::from_static(b"data: a\n\ndata: b")).expect("events").is_some());
    assert!(!buffer.is_complete());
}

/// Guards against a cost that grows with the square of an event's length if the event arrives a byte at a time, which
/// would block all other streams of the thread. When each piece was examined from the start of its line, this event took
/// minutes.
#[test]
fn an_event_in_small_pieces_is_examined_once() {
    let started = std::time::Instant::now();
    let (mut buffer, byte) = (EventBuffer::default(), Bytes::from_static(b"x"));
    assert_eq!(buffer.push(&Bytes::from_static(b"data: ")), Ok(None));
    for _ in 0..200_000 {
        assert_eq!(buffer.push(&byte), Ok(None));
    }
    let event = buffer.push(&Bytes::from_static(b"\r\n\r\n")).expect("an event").expect("a complete one");
    assert_eq!(event.len(), 6 + 200_000 + 4);
    let elapsed = started.elapsed();
    assert!(elapsed < std::time::Duration::from_secs(10), "{elapsed:?}");
}

/// Guards against malformed bytes that go undetected because a character or a line ending was split between two pieces.
#[test]
fn a_cut_between_two_pieces_hides_nothing() {
    let push = |pieces: &[&'static [u8]]| {
        let mut buffer = EventBuffer::default();
        pieces.iter().map(|piece| buffer.push(&Bytes::from_static(piece))).last().expect("a piece")
    };
    assert_eq!(push(&[b"data: a\xc3", b"\x28"]), Err(MalformedEvent));
    assert_eq!(push(&[b"data: a\r", b"b"]), Err(MalformedEvent));
    assert_eq!(push(&[b"data: a", b"\x01"]), Err(MalformedEvent));
    assert_eq!(push(&[b"da", b"to", b"\n"]), Err(MalformedEvent));
    assert_eq!(push(&[b"da", b"t<"]), Err(MalformedEvent));
    assert_eq!(push(&[b"data: \xc3", b"\n"]), Err(MalformedEvent));
    assert!(matches!(push(&[b"data: a\xc3", b"\xbc\r", b"\n\r", b"\n"]), Ok(Some(_))));
    // The validated length of one line must not carry over to the next line.
    for next_line in [&b"nope\n"[..], b"no pe", b"data: \x01", b"data: \xff"] {
        assert_eq!(push(&[b"data: 123456789", b"\n", next_line]), Err(MalformedEvent), "{next_line:?}");
    }
}

/// Guards a stream whose last comment has no empty line or no line ending behind it, and an event that is cut off there.
#[test]
fn only_ignored_lines_may_be_incomplete_at_the_end() {
    let end = |stream: &'static [u8], end| {
        let mut buffer = EventBuffer::default();
        let events = buffer.push(&Bytes::from_static(stream)).expect("events").unwrap_or_default();
        buffer.finish(end).map(|rest| [&events[..], &rest.unwrap_or_default()].concat())
    };
    for whole in
        [&b"data: a\n\n: b\n"[..], b"data: a\n\n: b\r\n", b"data: a\n\nx: b\n", b"data: a\n\n: b\n: c\n"]
    {
        assert_eq!(end(whole, BodyEnd::Unmarked).as_deref(), Ok(whole), "{whole:?}");
    }
    let mut buffer = EventBuffer::default();
    buffer.push(&Bytes::from_static(b"data: a\n\n: b")).expect("events");
    assert_eq!(buffer.finish(BodyEnd::Marked), Ok(Some(Bytes::from_static(b": b"))));
    assert_eq!((buffer.push(&Bytes::new()), buffer.finish(BodyEnd::Marked)), (Ok(None), Ok(None)));
    let without_line_ending = b"data: a\n\n: Srv-Load: \xff";
    assert_eq!(end(without_line_ending, BodyEnd::Marked).as_deref(), Ok(&without_line_ending[..]));
    assert_eq!(end(without_line_ending, BodyEnd::Unmarked), Err(MalformedEvent));
    for cut in [
        &b""[..],
        b": only a comment\n",
        b"data: a",
        b"data: a\n",
        b"data: a\n\ndata: b\n",
        b"data: a\n\ndata: b\n: c\n",
        b"data: a\n\nid: 1\n: c",
        b"data: a\n\nid: 1\n",
        b"data: a\n\nx: b",
        b"data: a\n\n\r",
    ] {
        assert_eq!(end(cut, BodyEnd::Marked), Err(MalformedEvent), "{cut:?}");
    }
}

/// Guards events that come byte by byte from being taken for a pause: each byte, line feeds too, shows that one is written.
#[test]
fn each_byte_of_an_event_shows_that_it_is_written() {
    for event in [&b"data: abc\n\n"[..], b"event: a\ndata: b\nid: 1\n\n", b"data: a\r\ndata: b\r\n\r\n"] {
        let mut buffer = EventBuffer::default();
        buffer.push(&Bytes::from_static(b"data: first\n\n")).expect("an event");
        let (last, begin) = event.split_last().expect("an event");
        for (index, byte) in begin.iter().enumerate() {
            buffer.push(&Bytes::copy_from_slice(&[*byte])).expect("bytes of an event");
            assert!(buffer.received().writes_event, "{event:?} at {index}");
        }
        buffer.push(&Bytes::copy_from_slice(&[*last])).expect("an event");
        assert!(buffer.received().completes_event, "{event:?}");
    }
}
