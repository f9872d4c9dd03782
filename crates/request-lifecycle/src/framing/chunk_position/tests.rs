//! Tests of chunked bodies that are read in arbitrary pieces.

use proptest::prelude::*;

use super::*;

const BODY: &[u8] = b"5\r\nhello\r\n1a;x=\"y\"\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nMore: yes\r\n\r\nnext";
const LIMITS: FramingLimits = FramingLimits::RESPONSE;

fn until() -> impl Strategy<Value = ReadUntil> {
    prop_oneof![Just(ReadUntil::EndOfBody), Just(ReadUntil::EndOfChunk)]
}

/// Reads a body in pieces of these lengths; returns its data, the number of bytes read and the position.
fn read_in_pieces(limits: FramingLimits, body: &[u8], lengths: &[usize]) -> (Vec<u8>, usize, ChunkPosition) {
    let (mut position, mut data, mut read) = (ChunkPosition::new(limits), Vec::new(), 0);
    let mut lengths = lengths.iter().copied().chain(std::iter::repeat(usize::MAX));
    while read < body.len() && !position.is_ended() && position.error().is_none() {
        let end = read + lengths.next().expect("a length").min(body.len() - read);
        read += position.read(&body[read..end], ReadUntil::EndOfBody, |part| data.extend_from_slice(part));
    }
    (data, read, position)
}

proptest! {
    /// Guards against lost or repeated data of a body that is split arbitrarily, with pauses between two chunks. No byte
    /// after the end of the body may be read.
    #[test]
    fn data_is_read_once_in_any_pieces(pieces in prop::collection::vec((1usize..9, until()), 120)) {
        let (mut position, mut data, mut remaining) = (ChunkPosition::new(LIMITS), Vec::new(), BODY);
        for (length, until) in pieces {
            let length = length.min(remaining.len());
            let is_paused = until == ReadUntil::EndOfChunk && position.is_between_chunks();
            let read = position.read(&remaining[..length], until, |part| data.extend_from_slice(part));
            prop_assert_eq!(position.error(), None);
            let pauses = until == ReadUntil::EndOfChunk && position.is_between_chunks();
            prop_assert!(read == length || position.is_ended() || pauses);
            prop_assert!(!is_paused || read == 0);
            remaining = &remaining[read..];
        }
        while !position.is_ended() {
            let read = position.read(remaining, ReadUntil::EndOfBody, |part| data.extend_from_slice(part));
            prop_assert_eq!(position.error(), None);
            remaining = &remaining[read..];
        }
        prop_assert_eq!(&data[..], b"helloabcdefghijklmnopqrstuvwxyz");
        prop_assert_eq!(remaining, b"next");
    }

    /// Guards against a verdict that depends on how the bytes of a body, malformed or not, are split into reads.
    #[test]
    fn any_split_gives_the_same_verdict_and_data(
        parts in prop::collection::vec(
            prop_oneof![
                Just("5\r\nhello\r\n"), Just("0005;a=b\r\nhello\r\n"), Just("40\r\n"), Just("3\r\n"), Just("0\r\n"),
                Just("\r\n"), Just("\n"), Just("x"), Just("a: b\r\n"), Just(";"), Just("00"), Just("c0000000\r\n")
            ],
            0..8,
        ),
        lengths in prop::collection::vec(1usize..5, 0..60),
    ) {
        let limits = FramingLimits { max_stated_bytes: 64, max_size_line_bytes: 12, max_trailer_bytes: 14 };
        let body = parts.concat().into_bytes();
        let (whole_data, whole_read, whole) = read_in_pieces(limits, &body, &[]);
        let (data, read, position) = read_in_pieces(limits, &body, &lengths);
        prop_assert_eq!((data, read), (whole_data, whole_read));
        prop_assert_eq!(position.error(), whole.error());
        prop_assert_eq!(position.is_ended(), whole.is_ended());
    }
}

fn verdict(body: &[u8]) -> Option<FramingError> {
    let mut position = ChunkPosition::new(LIMITS);
    position.read(body, ReadUntil::EndOfBody, |_| {});
    position.error()
}

/// Guards against the acceptance of invalid bytes before or after a chunk.
#[test]
fn malformed_framing_is_rejected() {
    use FramingError::{ChunkTooLarge, DataMisfit, SizeUnreadable, TrailerUnreadable};
    let cases: [(&[u8], FramingError); 18] = [
        (b"x", SizeUnreadable),
        (b"5x", SizeUnreadable),
        (b"-5", SizeUnreadable),
        (b"5 5", SizeUnreadable),
        (b"5\n", SizeUnreadable),
        (b"5\rx", SizeUnreadable),
        (b"5;a\n", SizeUnreadable),
        (b"\r\n", SizeUnreadable),
        (b"ffffffffffff\r\n", ChunkTooLarge),
        (b"c0000000", ChunkTooLarge),
        (b"0000c0000000", ChunkTooLarge),
        (b"4000001", ChunkTooLarge),
        (b"1\r\nab", DataMisfit),
        (b"1\r\na\n", DataMisfit),
        (b"1\r\na\rx", DataMisfit),
        (b"0\r\nnoise\r", TrailerUnreadable),
        (b"0\r\n: a", TrailerUnreadable),
        (b"0\r\n\rx", TrailerUnreadable),
    ];
    for (malformed, expected) in cases {
        assert_eq!(verdict(malformed), Some(expected), "{malformed:?}");
    }
}

/// Guards against limits that are compared too late or too early: the longest that is accepted, and one byte more.
#[test]
fn limits_are_told_at_the_first_byte_that_exceeds_them() {
    let line = |length: usize| format!("{}5\r\n", "0".repeat(length - 3)).into_bytes();
    let extension = |length: usize| format!("5;{}\r\n", "x".repeat(length - 4)).into_bytes();
    let trailer = |length: usize| format!("0\r\na:{}\r\n\r\n", "x".repeat(length - 6)).into_bytes();
    let (longest_line, longest_trailer) =
        (LIMITS.max_size_line_bytes as usize, LIMITS.max_trailer_bytes as usize);
    for (sound, malformed, error) in [
        (b"4000000\r\n".to_vec(), b"4000001".to_vec(), FramingError::ChunkTooLarge),
        (line(longest_line), vec![b'0'; longest_line - 1], FramingError::SizeLineTooLong),
        (extension(longest_line), extension(longest_line + 1), FramingError::SizeLineTooLong),
        (trailer(longest_trailer), trailer(longest_trailer + 1), FramingError::TrailerTooLong),
    ] {
        assert_eq!(verdict(&sound), None, "{error:?}");
        assert_eq!(verdict(&malformed), Some(error));
    }
}
