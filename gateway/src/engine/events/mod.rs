//! Buffering and validation of server-sent events. Only complete events are forwarded, unchanged; malformed bytes are
//! detected as soon as they are received, before their line or event is complete. [`line`] decides what is malformed.

mod line;

use bytes::{Bytes, BytesMut};
use glenrail_request_lifecycle::response_timing::Progress;

use self::line::LineKind;
pub use self::line::MalformedEvent;

/// Maximum size in bytes of one event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// UTF-8 byte order mark, which a stream may begin with.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

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
    /// Offset of the end of the last complete event, or of the ignored lines that follow it; 0 if there is none.
    events_end: usize,
    /// Whether an event with data has been completed. Comments alone do not begin a response.
    has_begun: bool,
    /// Whether the incomplete event has a field.
    has_field: bool,
    /// Whether the incomplete event has a data line.
    has_data: bool,
    /// Number of bytes of the complete lines of the incomplete event with their line feeds, without lines that readers ignore.
    event_line_bytes: usize,
    /// Whether the stream's first bytes were compared with the byte order mark.
    is_past_start: bool,
    /// What the last bytes contained.
    received: Received,
}

/// What the bytes of one call of [`EventBuffer::push`] contained.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Whether an event with data was completed.
    pub completes_event: bool,
    /// Whether the bytes contained a part of an event that is incomplete after them.
    pub writes_event: bool,
}

/// Whether the end of a body was marked by its framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The last chunk or the announced length was received, so no byte is missing.
    Marked,
    /// The connection was closed, which may have cut off the body.
    Unmarked,
}

impl Received {
    /// Returns the progress of an event that is incomplete; `None` if the bytes contained no part of one.
    pub fn incomplete_progress(self) -> Option<Progress> {
        self.writes_event.then_some(Progress::EventBytes)
    }
}

impl EventBuffer {
    /// Creates the buffer of a resumed stream, whose first events were forwarded by the predecessor process.
    pub fn resumed() -> Self {
        EventBuffer { has_begun: true, is_past_start: true, ..EventBuffer::default() }
    }

    /// Appends bytes and returns the events that are now complete, if any; none before the first event with
    /// data.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, MalformedEvent> {
        let incomplete_before = self.incomplete_event_bytes();
        self.received = Received::default();
        self.bytes.extend_from_slice(bytes);
        if !self.is_past_start && !self.skip_byte_order_mark() {
            return Ok(None);
        }
        while let Some(length) = self.bytes[self.examined..].iter().position(|byte| *byte == b'\n') {
            self.end_line(self.examined + length)?;
        }
        self.validated_text = line::check_partial(&self.bytes[self.line_start..], self.validated_text)?;
        self.examined = self.bytes.len();
        let continued_from = if self.received.completes_event { 0 } else { incomplete_before };
        self.received.writes_event = self.incomplete_event_bytes() > continued_from;
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

    /// Excludes a byte order mark at the start of the stream from the first line. Returns whether enough bytes were received
    /// to tell whether there is one.
    fn skip_byte_order_mark(&mut self) -> bool {
        if self.bytes.starts_with(BYTE_ORDER_MARK) {
            self.line_start = BYTE_ORDER_MARK.len();
        } else if BYTE_ORDER_MARK.starts_with(&self.bytes) {
            return false;
        }
        self.is_past_start = true;
        true
    }

    /// Validates the line that ends with the line feed at offset `end`, and marks the end of an event if it is empty.
    /// An ignored line between two events is complete by itself.
    fn end_line(&mut self, end: usize) -> Result<(), MalformedEvent> {
        let kind = line::check_complete(&self.bytes[self.line_start..end], self.validated_text)?;
        if matches!(kind, LineKind::Data | LineKind::OtherField) {
            self.event_line_bytes += end + 1 - self.line_start;
        }
        self.examined = end + 1;
        self.line_start = self.examined;
        self.validated_text = 0;
        match kind {
            LineKind::Empty => {
                self.events_end = self.examined;
                self.has_field = false;
                self.event_line_bytes = 0;
                let has_data = std::mem::take(&mut self.has_data);
                self.has_begun |= has_data;
                self.received.completes_event |= has_data;
            }
            LineKind::Ignored if !self.has_field => self.events_end = self.examined,
            LineKind::Ignored => {}
            LineKind::Data => {
                self.has_field = true;
                self.has_data = true;
            }
            LineKind::OtherField => self.has_field = true,
        }
        Ok(())
    }

    /// Returns what the last bytes contained.
    pub fn received(&self) -> Received {
        self.received
    }

    /// Returns the number of bytes received of the event that is incomplete.
    fn incomplete_event_bytes(&self) -> usize {
        let partial_line = &self.bytes[self.line_start..];
        let partial_bytes = if line::may_belong_to_event(partial_line) { partial_line.len() } else { 0 };
        self.event_line_bytes + partial_bytes
    }

    /// Returns whether the stream may end here: an event with data was forwarded and no bytes are pending.
    pub fn is_complete(&self) -> bool {
        self.has_begun && self.bytes.is_empty()
    }

    /// Ends the stream. Returns the pending bytes if they are a comment without a line ending, which is not part of an event;
    /// other pending bytes are an incomplete event.
    pub fn finish(&mut self, end: BodyEnd) -> Result<Option<Bytes>, MalformedEvent> {
        if self.is_complete() {
            return Ok(None);
        }
        let is_comment = !self.has_field && line::is_comment(&self.bytes);
        if !self.has_begun || !is_comment || end == BodyEnd::Unmarked {
            return Err(MalformedEvent);
        }
        let rest = std::mem::take(self).bytes.freeze();
        *self = EventBuffer::resumed();
        Ok(Some(rest))
    }
}

#[cfg(test)]
mod tests;
