//! Tests of the event buffer: streams split at any position, and malformed events.

use proptest::prelude::*;

use super::*;

const STREAM: &str =
    ": hi\n\ndata: {\"a\": \"ü\"}\n\nevent: x\r\ndata: y\r\n\r\ndata: [DONE]\n\n: Srv-Load: T\n\n";

proptest! {
    /// Guards against bytes that are lost or altered, and events that are forwarded incomplete, when a stream is split at
    /// any position.
    #[test]
    fn events_are_passed_on_unchanged_in_whatever_pieces(lengths in prop::collection::vec(1usize..30, 100)) {
        let (mut buffer, mut passed, mut remaining) = (EventBuffer::default(), Vec::new(), STREAM.as_bytes());
        for length in lengths {
            let (piece, following) = remaining.split_at(length.min(remaining.len()));
            remaining = following;
            if let Some(events) = buffer.push(&Bytes::copy_from_slice(piece)).expect("events") {
                prop_assert!(events.ends_with(b"\n"));
                prop_assert!(!passed.is_empty() || events.starts_with(b": hi\n\ndata"));
                passed.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(passed, STREAM.as_bytes());
        prop_assert!(buffer.is_complete());
    }
}

/// Guards against malformed bytes that reach the client, in complete or partial lines, and against an event that uses
/// unlimited memory.
#[test]
fn malformed_events_are_found() {
    let push = |text: &[u8]| EventBuffer::default().push(&Bytes::copy_from_slice(text));
    for malformed in [&b"\x00\xff"[..], b"nonsense", b"<html>\n", b"data: \xff\xfe\n", b"data: \x01", b"dato"]
    {
        assert_eq!(push(malformed), Err(MalformedEvent), "{malformed:?}");
    }
    assert_eq!(push(&[&b"data: "[..], &vec![b'x'; MAX_EVENT_BYTES + 1]].concat()), Err(MalformedEvent));
    for partial in [&b"data: {"[..], b"da", b"\r", b"data: \xc3", b": only a comment\n\n"] {
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
    assert_eq!(push(&[b"da", b"to"]), Err(MalformedEvent));
    assert_eq!(push(&[b"data: \xc3", b"\n"]), Err(MalformedEvent));
    assert!(matches!(push(&[b"data: a\xc3", b"\xbc\r", b"\n\r", b"\n"]), Ok(Some(_))));
    // The validated length of one line must not carry over to the next line.
    assert_eq!(push(&[b"data: 123456789", b"\n", b"nope"]), Err(MalformedEvent));
}
