//! Tests of what hyper is given of a chunked body.

use super::*;

fn decoded(pieces: &[&[u8]]) -> (String, Option<FramingError>) {
    let (state, mut output) = (BodyReadState::default(), Vec::new());
    state.begin_body(ResponseFraming::Chunked);
    for piece in pieces {
        if state.framing_error().is_none() {
            state.decode(piece, &mut output);
        }
    }
    (String::from_utf8(output).expect("text"), state.framing_error())
}

/// Guards hyper from framing that was not accepted: it gets each piece of data as a chunk, and nothing else of the framing.
#[test]
fn only_accepted_data_in_plain_chunks_is_passed_on() {
    let whole: &[&[u8]] = &[b"0005;a=b\r\nhel", b"lo\r\n1\r", b"\n!\r\n0\r\nx: y\r\n\r\nHTTP"];
    let expected = "3\r\nhel\r\n2\r\nlo\r\n1\r\n!\r\n0\r\n\r\nHTTP";
    assert_eq!(decoded(whole), (expected.to_string(), None));
    let oversized: &[&[u8]] = &[b"1\r\na\r\n1\r\nb\r\nc0000000\r\ndata", b"more"];
    let expected = ("1\r\na\r\n1\r\nb\r\n".to_string(), Some(FramingError::ChunkTooLarge));
    assert_eq!(decoded(oversized), expected);
}

/// Guards the bytes of a stream that is handed over: behind a pause nothing is decoded, and nothing is lost.
#[test]
fn a_pause_leaves_the_next_chunk_undecoded() {
    let (state, mut output) = (BodyReadState::default(), Vec::new());
    state.begin_body(ResponseFraming::Chunked);
    state.decode(b"5\r\nhel", &mut output);
    state.set_pause_requested(true);
    assert_eq!(state.decode(b"lo\r\n1\r\na\r\n", &mut output), 4);
    assert!(state.is_paused_after(5) && !state.is_paused_after(3));
    state.set_pause_requested(false);
    assert_eq!(state.decode(b"1\r\na\r\n", &mut output), 6);
    assert_eq!(output, b"3\r\nhel\r\n2\r\nlo\r\n1\r\na\r\n");
}
