//! The few fields of an engine's answer that decisions need.

use bytes::Bytes;
use glenrail_router::LoadReport;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::HeaderMap;

use crate::exchange::ResponseHead;

const EVENTS: &str = "text/event-stream";
const LOAD: &str = "srv-load";
const DECLINED: &str = "srv-declined";
/// The last events of a stream lie within so many bytes of its end.
const TAIL: usize = 2048;

/// Whether the server says that the request never ran there.
pub fn turned_away(head: &ResponseHead, public_api: bool) -> bool {
    let marked = head.headers.get(DECLINED).is_some_and(|v| v == "1");
    let public = match head.status.as_u16() {
        429 => true,
        503 => head.headers.contains_key(RETRY_AFTER),
        _ => false,
    };
    marked || public_api && public
}

/// Whether an answer says that it is a stream of events.
pub fn is_events(head: &ResponseHead) -> bool {
    let kind = head.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    kind.and_then(|k| k.get(..EVENTS.len())).is_some_and(|k| k.eq_ignore_ascii_case(EVENTS))
}

/// A load report: a word that names the form, then values by name.
pub fn report(text: &str) -> Option<LoadReport> {
    let pairs: Vec<(&str, f64)> = text
        .trim()
        .trim_start_matches("TEXT")
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)))
        .collect();
    let get = |name: &str| pairs.iter().find(|p| p.0 == name).map(|p| p.1).filter(|v| v.is_finite());
    (!pairs.is_empty()).then(|| glenrail_settings::report(get))
}

pub fn report_of(headers: &HeaderMap) -> Option<LoadReport> {
    report(headers.get(LOAD)?.to_str().ok()?)
}

/// The number after the last `"cached_tokens":`, or 0.
pub fn kept(body: &[u8]) -> f64 {
    let text = String::from_utf8_lossy(body);
    let Some((_, after)) = text.rsplit_once("\"cached_tokens\":") else { return 0.0 };
    let digits: String = after.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0.0)
}

/// The end of a stream so far.
#[derive(Default)]
pub struct Tail(Vec<u8>);

impl Tail {
    pub fn add(&mut self, data: &Bytes) {
        self.0.extend_from_slice(data);
        let surplus = self.0.len().saturating_sub(TAIL);
        self.0.drain(..surplus);
    }
    pub fn kept(&self) -> f64 {
        kept(&self.0)
    }
    /// The report that a stream carries as its last comment line.
    pub fn report(&self) -> Option<LoadReport> {
        let text = String::from_utf8_lossy(&self.0);
        let line = text.lines().rev().find_map(|l| {
            let (name, value) = l.strip_prefix(':')?.trim_start().split_once(':')?;
            name.eq_ignore_ascii_case(LOAD).then(|| value.to_string())
        });
        report(&line?)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_report_is_read_from_a_header_and_from_the_end_of_a_stream() {
        let read = report("TEXT inflight=7, queue=2, x0=0.61, odd=nan, bad").expect("a report");
        assert_eq!((read.in_flight, read.queue, read.memory_share), (Some(7.0), Some(2.0), Some(0.61)));
        assert!(report("TEXT").is_none());
        let mut tail = Tail::default();
        tail.add(&Bytes::from(vec![b'x'; 3 * TAIL]));
        tail.add(&Bytes::from("data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\": 4096}}}\n\n"));
        tail.add(&Bytes::from("data: [DONE]\n\n: Srv-Load: TEXT infl"));
        tail.add(&Bytes::from("ight=3, x0=0.5\n\n"));
        assert_eq!(tail.kept(), 4096.0);
        assert_eq!(tail.report().expect("a report").in_flight, Some(3.0));
        assert!(tail.0.len() <= TAIL);
    }

    /// Guards rule 2: an unmarked 503 of the platform may have run.
    #[test]
    fn only_a_marked_answer_was_turned_away() {
        let head = |status: u16, name: &'static str| {
            let mut head =
                ResponseHead { status: status.try_into().expect("a status"), ..ResponseHead::default() };
            head.headers.insert(name, http::HeaderValue::from_static("1"));
            head
        };
        assert!(turned_away(&head(503, DECLINED), false));
        assert!(!turned_away(&head(503, "retry-after"), false));
        assert!(turned_away(&head(503, "retry-after"), true));
        assert!(turned_away(&head(429, "x-other"), true));
        assert!(!turned_away(&head(503, "x-other"), true));
    }
}
