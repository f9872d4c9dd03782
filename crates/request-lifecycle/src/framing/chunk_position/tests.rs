//! Tests of chunked bodies that are read in arbitrary pieces.

use proptest::prelude::*;

use super::*;

const BODY: &[u8] = b"5\r\nhello\r\n1a;x=\"y\"\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nMore: yes\r\n\r\nnext";

fn until() -> impl Strategy<Value = ReadUntil> {
    prop_oneof![Just(ReadUntil::EndOfBody), Just(ReadUntil::EndOfChunk)]
}

proptest! {
    /// Guards against lost or repeated data of a body that is split arbitrarily, with pauses between two chunks. No byte
    /// after the end of the body may be read.
    #[test]
    fn data_is_read_once_in_any_pieces(pieces in prop::collection::vec((1usize..9, until()), 120)) {
        let (mut position, mut data, mut remaining) = (ChunkPosition::default(), Vec::new(), BODY);
        for (length, until) in pieces {
            let length = length.min(remaining.len());
            let is_paused = until == ReadUntil::EndOfChunk && position.is_between_chunks();
            let read = position.read(&remaining[..length], until, |part| data.extend_from_slice(part));
            let read = read.expect("a body");
            let pauses = until == ReadUntil::EndOfChunk && position.is_between_chunks();
            prop_assert!(read == length || position.is_ended() || pauses);
            prop_assert!(!is_paused || read == 0);
            remaining = &remaining[read..];
        }
        while !position.is_ended() {
            let read = position.read(remaining, ReadUntil::EndOfBody, |part| data.extend_from_slice(part));
            remaining = &remaining[read.expect("a body")..];
        }
        prop_assert_eq!(&data[..], b"helloabcdefghijklmnopqrstuvwxyz");
        prop_assert_eq!(remaining, b"next");
    }
}

/// Guards against the acceptance of invalid bytes before or after a chunk.
#[test]
fn malformed_framing_is_rejected() {
    for malformed in [&b"x"[..], b"5x", b"ffffffffffff\r\n", b"1\r\nab", b"\r\n"] {
        let read = ChunkPosition::default().read(malformed, ReadUntil::EndOfBody, |_| {});
        assert_eq!(read, Err(MalformedFraming), "{malformed:?}");
    }
}
