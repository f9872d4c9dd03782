//! The events of a stream: only whole ones pass on, unchanged, and what is none is found out at its first bytes.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event.
const EVENT: usize = 256 << 10;
const FIELDS: [&[u8]; 5] = [b"data:", b"event:", b"id:", b"retry:", b":"];

/// The bytes are no event, or one without an end.
#[derive(Debug, PartialEq, Eq)]
pub struct Spoilt;

/// What has come of a stream and was not passed on.
#[derive(Default)]
pub struct Events {
    held: BytesMut,
    /// Bytes of `held` that were looked at, and where their last line began.
    seen: usize,
    line: usize,
    /// Bytes of `held` up to the end of the last whole event.
    whole: usize,
    /// An event with data has passed; a comment alone does not begin an answer.
    begun: bool,
    data: bool,
}

impl Events {
    /// Of a stream whose first events have passed already.
    pub fn resumed() -> Self {
        Events { begun: true, ..Events::default() }
    }

    /// Takes in bytes and gives back the events that are whole now.
    pub fn take(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, Spoilt> {
        self.held.extend_from_slice(bytes);
        while let Some(n) = self.held[self.seen..].iter().position(|b| *b == b'\n') {
            let line = &self.held[self.line..self.seen + n];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            check(line, true)?;
            self.data |= line.starts_with(b"data:");
            self.seen += n + 1;
            self.line = self.seen;
            if line.is_empty() {
                self.whole = self.seen;
                self.begun |= std::mem::take(&mut self.data);
            }
        }
        check(&self.held[self.line..], false)?;
        self.seen = self.held.len();
        if self.held.len() - self.whole > EVENT || !self.begun && self.held.len() > EVENT {
            return Err(Spoilt);
        }
        if self.whole == 0 || !self.begun {
            return Ok(None);
        }
        let events = self.held.split_to(self.whole).freeze();
        (self.seen, self.line, self.whole) = (self.seen - events.len(), self.line - events.len(), 0);
        Ok(Some(events))
    }

    /// Whether the stream may end here.
    pub fn complete(&self) -> bool {
        self.begun && self.held.is_empty()
    }
}

/// A line is empty or has the name of a field in front, and is text; of one that goes on, what is there must fit.
fn check(line: &[u8], ended: bool) -> Result<(), Spoilt> {
    let fits = |field: &&[u8]| line.starts_with(field) || !ended && field.starts_with(line);
    let rest = if ended { line } else { line.strip_suffix(b"\r").unwrap_or(line) };
    let text = match std::str::from_utf8(line) {
        Ok(_) => true,
        // A character may be cut where the line goes on.
        Err(e) => !ended && e.error_len().is_none(),
    };
    let control = |b: &u8| b.is_ascii_control() && *b != b'\t';
    let fine = rest.is_empty() || FIELDS.iter().any(fits) && text && !rest.iter().any(control);
    fine.then_some(()).ok_or(Spoilt)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const STREAM: &str =
        ": hi\n\ndata: {\"a\": \"ü\"}\n\nevent: x\r\ndata: y\r\n\r\ndata: [DONE]\n\n: Srv-Load: T\n\n";

    proptest! {
        /// Guards streams however they are cut into pieces: all of their bytes pass, unchanged, in whole events.
        #[test]
        fn events_pass_unchanged_however_they_are_cut(cuts in prop::collection::vec(1usize..30, 100)) {
            let (mut events, mut out, mut rest) = (Events::default(), Vec::new(), STREAM.as_bytes());
            for cut in cuts {
                let (piece, more) = rest.split_at(cut.min(rest.len()));
                rest = more;
                if let Some(whole) = events.take(&Bytes::copy_from_slice(piece)).expect("events") {
                    prop_assert!(whole.ends_with(b"\n") && (!out.is_empty() || whole.starts_with(b": hi\n\ndata")));
                    out.extend_from_slice(&whole);
                }
            }
            prop_assert_eq!(out, STREAM.as_bytes());
            prop_assert!(events.complete());
        }
    }

    /// Guards the client from bytes that are no events, whole lines or not, and memory from an endless one.
    #[test]
    fn what_is_no_event_is_found_out() {
        let take = |text: &[u8]| Events::default().take(&Bytes::copy_from_slice(text));
        for noise in [&b"\x00\xff"[..], b"nonsense", b"<html>\n", b"data: \xff\xfe\n", b"data: \x01", b"dato"]
        {
            assert_eq!(take(noise), Err(Spoilt), "{noise:?}");
        }
        assert_eq!(take(&[&b"data: "[..], &vec![b'x'; EVENT + 1]].concat()), Err(Spoilt));
        for part in [&b"data: {"[..], b"da", b"\r", b"data: \xc3", b": only a comment\n\n"] {
            assert_eq!(take(part), Ok(None), "{part:?}");
        }
        let mut cut = Events::default();
        assert!(cut.take(&Bytes::from_static(b"data: a\n\ndata: b")).expect("events").is_some());
        assert!(!cut.complete());
    }
}
