//! Parsing of the response fields on which the gateway's decisions depend.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};

use super::load_reports::ReceivedReport;
use crate::exchange::ResponseHead;

/// Media type of a server-sent event stream.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Header that marks a response as a rejection if its value is 1.
const REJECTION_HEADER: &str = "srv-declined";

/// Number of bytes kept from the end of a stream, to find the load report and the token counts in its last
/// events.
const TAIL_BYTES: usize = 2048;

/// Returns whether the response states that the server did not run the request; `public_api` as in
/// [`ServerApi`](super::ServerApi).
pub fn is_rejection(head: &ResponseHead, public_api: bool) -> bool {
    if head.headers.get(REJECTION_HEADER).is_some_and(|mark| mark == "1") {
        return true;
    }
    let is_public_rejection = match head.status.as_u16() {
        429 => true,
        503 => head.headers.contains_key(RETRY_AFTER),
        _ => false,
    };
    public_api && is_public_rejection
}

/// Returns whether the content type of a response is that of an event stream.
pub fn is_event_stream(head: &ResponseHead) -> bool {
    let media_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let prefix = media_type.and_then(|media_type| media_type.get(..EVENT_STREAM_TYPE.len()));
    prefix.is_some_and(|prefix| prefix.eq_ignore_ascii_case(EVENT_STREAM_TYPE))
}

/// Returns the number of prompt tokens that the server found in its cache: the number after the last
/// `"cached_tokens":`, or 0 if there is none.
pub fn cached_tokens(body: &[u8]) -> f64 {
    let text = String::from_utf8_lossy(body);
    let Some((_, after)) = text.rsplit_once("\"cached_tokens\":") else { return 0.0 };
    let digits: String = after.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0.0)
}

/// The last bytes received of a stream, up to [`TAIL_BYTES`].
#[derive(Default)]
pub struct StreamTail {
    bytes: Vec<u8>,
    /// Whether bytes before the tail were discarded, so that its first line may be a part of one.
    is_cut: bool,
}

impl StreamTail {
    /// Appends events and discards the oldest bytes beyond [`TAIL_BYTES`].
    pub fn push(&mut self, events: &Bytes) {
        self.bytes.extend_from_slice(events);
        let surplus = self.bytes.len().saturating_sub(TAIL_BYTES);
        self.is_cut |= surplus > 0;
        self.bytes.drain(..surplus);
    }

    /// Returns the number of cached prompt tokens, parsed as by [`cached_tokens`].
    pub fn cached_tokens(&self) -> f64 {
        cached_tokens(&self.bytes)
    }

    /// Returns the load report in the last comment that has one.
    pub fn load_report(&self) -> ReceivedReport {
        let text = String::from_utf8_lossy(&self.bytes);
        let whole_lines = match text.split_once('\n') {
            Some((_, following)) if self.is_cut => following,
            None if self.is_cut => "",
            _ => &text,
        };
        ReceivedReport::from_comments(whole_lines)
    }
}

#[cfg(test)]
mod tests;
