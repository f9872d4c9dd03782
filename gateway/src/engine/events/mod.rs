//! Buffering and validation of server-sent events. Only complete events are forwarded, unchanged; malformed bytes are
//! detected as soon as they are received, before their line or event is complete.

use bytes::{Bytes, BytesMut};

/// Maximum size in bytes of one event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Prefixes of which every non-empty line of an event has one.
const LINE_PREFIXES: [&[u8]; 5] = [b"data:", b"event:", b"id:", b"retry:", b":"];

/// The bytes are not a valid event, or the event exceeds [`MAX_EVENT_BYTES`].
#[derive(Debug, PartialEq, Eq)]
pub struct MalformedEvent;

/// The bytes of a stream that have not been forwarded, because their event is incomplete or no event with
/// data has been completed yet.
#[derive(Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    /// Number of bytes searched for line ends.
    examined: usize,
    /// Offset of the last line.
    line_start: usize,
    /// Number of bytes of that line that have been validated as text.
    validated_text: usize,
    /// Offset of the end of the last complete event; 0 if there is none.
    events_end: usize,
    /// Whether an event with data has been completed. Comments alone do not begin a response.
    has_begun: bool,
    /// Whether the incomplete event has a data line.
    has_data: bool,
}

/// Whether a line is complete or may continue.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LineState {
    Complete,
    Partial,
}

impl EventBuffer {
    /// Creates the buffer of a resumed stream, whose first events were forwarded by the predecessor process.
    pub fn resumed() -> Self {
        EventBuffer { has_begun: true, ..EventBuffer::default() }
    }

    /// Appends bytes and returns the events that are now complete, if any; none before the first event with
    /// data.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, MalformedEvent> {
        self.bytes.extend_from_slice(bytes);
        while let Some(length) = self.bytes[self.examined..].iter().position(|byte| *byte == b'\n') {
            self.end_line(self.examined + length)?;
        }
        self.validated_text =
            check_line(&self.bytes[self.line_start..], self.validated_text, LineState::Partial)?;
        self.examined = self.bytes.len();
        let incomplete = self.bytes.len() - self.events_end;
        if incomplete > MAX_EVENT_BYTES || !self.has_begun && self.bytes.len() > MAX_EVENT_BYTES {
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

    /// Validates the line that ends with the line feed at offset `end`, and marks the end of an event if it is empty.
    fn end_line(&mut self, end: usize) -> Result<(), MalformedEvent> {
        let line = &self.bytes[self.line_start..end];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        check_line(line, self.validated_text, LineState::Complete)?;
        self.has_data |= line.starts_with(b"data:");
        let is_event_end = line.is_empty();
        self.examined = end + 1;
        self.line_start = self.examined;
        self.validated_text = 0;
        if is_event_end {
            self.events_end = self.examined;
            self.has_begun |= std::mem::take(&mut self.has_data);
        }
        Ok(())
    }

    /// Returns whether the stream may end here: an event with data was forwarded and no bytes are pending.
    pub fn is_complete(&self) -> bool {
        self.has_begun && self.bytes.is_empty()
    }
}

/// Validates that a line is empty, or is UTF-8 text without control characters other than tab that begins with one of
/// [`LINE_PREFIXES`]. A partial line must be a possible beginning of a valid one.
///
/// The first `validated` bytes are skipped since an earlier call has validated them. A long line in small pieces is thus
/// examined only once, which matters because all streams share this thread. Returns the number of validated bytes.
fn check_line(line: &[u8], validated: usize, state: LineState) -> Result<usize, MalformedEvent> {
    let is_partial = state == LineState::Partial;
    // A carriage return at the end of a partial line may belong to its line ending.
    let content = if is_partial { line.strip_suffix(b"\r").unwrap_or(line) } else { line };
    let text = match std::str::from_utf8(&line[validated..]) {
        Ok(_) => Some(line.len()),
        // A partial line may end within a multi-byte character.
        Err(error) => (is_partial && error.error_len().is_none()).then_some(validated + error.valid_up_to()),
    };
    if content.is_empty() {
        return Ok(0);
    }
    let fits = |field: &&[u8]| line.starts_with(field) || is_partial && field.starts_with(line);
    let is_control = |byte: &u8| byte.is_ascii_control() && *byte != b'\t';
    match text {
        Some(text) if LINE_PREFIXES.iter().any(fits) && !content[validated..].iter().any(is_control) => {
            Ok(text.min(content.len()))
        }
        _ => Err(MalformedEvent),
    }
}

#[cfg(test)]
mod tests;
