//! Parsing of the response fields on which the gateway's decisions depend.

use bytes::Bytes;
use glenrail_router::LoadReport;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::HeaderMap;

use crate::exchange::ResponseHead;

/// Media type of a server-sent event stream.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Name of the header with the load report, and of the comment with it at the end of a stream.
const LOAD_REPORT_NAME: &str = "srv-load";

/// Header that marks a response as a rejection if its value is 1.
const REJECTION_HEADER: &str = "srv-declined";

/// Number of bytes kept from the end of a stream, to find the load report and the token counts in its last
/// events.
const TAIL_BYTES: usize = 2048;

/// Returns whether the response states that the server did not run the request; `public_api` as in
/// [`EngineLimits`](super::EngineLimits::public_api).
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

/// Parses a load report: an optional format name `TEXT`, then `name=value` pairs separated by commas.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut pairs: Vec<(&str, f64)> = Vec::new();
    for pair in text.trim().trim_start_matches("TEXT").split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Ok(value) = value.trim().parse() else { continue };
        pairs.push((name.trim(), value));
    }
    if pairs.is_empty() {
        return None;
    }
    let find = |name: &str| pairs.iter().find(|pair| pair.0 == name);
    let value = |name: &str| find(name).map(|pair| pair.1).filter(|value| value.is_finite());
    Some(glenrail_settings::load_report(value))
}

/// Returns the load report in the headers of a response; `None` if it is absent or malformed.
pub fn load_report_from_headers(headers: &HeaderMap) -> Option<LoadReport> {
    parse_load_report(headers.get(LOAD_REPORT_NAME)?.to_str().ok()?)
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
pub struct StreamTail(Vec<u8>);

impl StreamTail {
    /// Appends events and discards the oldest bytes beyond [`TAIL_BYTES`].
    pub fn push(&mut self, events: &Bytes) {
        self.0.extend_from_slice(events);
        let surplus = self.0.len().saturating_sub(TAIL_BYTES);
        self.0.drain(..surplus);
    }

    /// Returns the number of cached prompt tokens, parsed as by [`cached_tokens`].
    pub fn cached_tokens(&self) -> f64 {
        cached_tokens(&self.0)
    }

    /// Returns the load report in the last comment that has one.
    pub fn load_report(&self) -> Option<LoadReport> {
        let text = String::from_utf8_lossy(&self.0);
        let value = text.lines().rev().find_map(load_comment)?;
        parse_load_report(value)
    }
}

/// Returns the value of a comment line with a load report; `None` for any other line.
fn load_comment(line: &str) -> Option<&str> {
    let (name, value) = line.strip_prefix(':')?.trim_start().split_once(':')?;
    name.eq_ignore_ascii_case(LOAD_REPORT_NAME).then_some(value)
}

#[cfg(test)]
mod tests;
