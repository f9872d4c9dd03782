//! The events of a stream: only complete ones are passed on, unchanged, and what is no event is found at its first bytes.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event.
const MAX_EVENT: usize = 256 << 10;

/// The beginnings of the lines of an event.
const FIELDS: [&[u8]; 5] = [b"data:", b"event:", b"id:", b"retry:", b":"];

/// The bytes are no event, or one without an end.
#[derive(Debug, PartialEq, Eq)]
pub struct MalformedEvent;

/// The bytes of a stream that were not passed on, since their event is not complete.
#[derive(Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    /// How many of the bytes were examined.
    examined: usize,
    /// Where the last line begins.
    line_start: usize,
    /// How many bytes of that line were found to be text.
    text: usize,
    /// Where the last complete event ends.
    events_end: usize,
    /// Whether an event with data was passed on; a comment alone does not begin a response.
    has_begun: bool,
    /// Whether the event that is not complete has data.
    has_data: bool,
}

/// Whether a line is complete, or more of it may come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LineState {
    Complete,
    Partial,
}

impl EventBuffer {
    /// The buffer of a stream whose first events were passed on already.
    pub fn resumed() -> Self {
        EventBuffer { has_begun: true, ..EventBuffer::default() }
    }

    /// Adds bytes, and returns the events that are complete now.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, MalformedEvent> {
        self.bytes.extend_from_slice(bytes);
        while let Some(length) = self.bytes[self.examined..].iter().position(|byte| *byte == b'\n') {
            self.end_line(self.examined + length)?;
        }
        self.text = check_line(&self.bytes[self.line_start..], self.text, LineState::Partial)?;
        self.examined = self.bytes.len();
        let incomplete = self.bytes.len() - self.events_end;
        if incomplete > MAX_EVENT || !self.has_begun && self.bytes.len() > MAX_EVENT {
            return Err(MalformedEvent);
        }
        if self.events_end == 0 || !self.has_begun {
            return Ok(None);
        }
        let events = self.bytes.split_to(self.events_end).freeze();
        self.examined -= events.len();
        self.line_start -= events.len();
        self.events_end = 0;
        Ok(Some(events))
    }

    /// Examines the line that ends with the line feed at `end`.
    fn end_line(&mut self, end: usize) -> Result<(), MalformedEvent> {
        let line = &self.bytes[self.line_start..end];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        check_line(line, self.text, LineState::Complete)?;
        self.has_data |= line.starts_with(b"data:");
        let is_event_end = line.is_empty();
        self.examined = end + 1;
        self.line_start = self.examined;
        self.text = 0;
        if is_event_end {
            self.events_end = self.examined;
            self.has_begun |= std::mem::take(&mut self.has_data);
        }
        Ok(())
    }

    /// Whether the stream may end here.
    pub fn is_complete(&self) -> bool {
        self.has_begun && self.bytes.is_empty()
    }
}

/// Checks that a line is empty, or begins with the name of a field and is text; of a partial line, what is there must fit.
///
/// Its first `known` bytes were found to be text before: a long line in small pieces is examined once, since all other
/// streams wait for what this thread does for one. Returns how many bytes are known now.
fn check_line(line: &[u8], known: usize, state: LineState) -> Result<usize, MalformedEvent> {
    let is_partial = state == LineState::Partial;
    // The end of a partial line may be the first half of its line ending.
    let content = if is_partial { line.strip_suffix(b"\r").unwrap_or(line) } else { line };
    let text = match std::str::from_utf8(&line[known..]) {
        Ok(_) => Some(line.len()),
        // A character may be cut where the line goes on.
        Err(error) => (is_partial && error.error_len().is_none()).then_some(known + error.valid_up_to()),
    };
    if content.is_empty() {
        return Ok(0);
    }
    let fits = |field: &&[u8]| line.starts_with(field) || is_partial && field.starts_with(line);
    let is_control = |byte: &u8| byte.is_ascii_control() && *byte != b'\t';
    match text {
        Some(text) if FIELDS.iter().any(fits) && !content[known..].iter().any(is_control) => {
            Ok(text.min(content.len()))
        }
        _ => Err(MalformedEvent),
    }
}

#[cfg(test)]
mod tests;
