//! Counts and logs each response of a server that ended, or was ended, before it was complete.
//!
//! A gateway runs on one thread, so the counters are thread-local.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use glenrail_request_lifecycle::response_timing::Expiry;
use glenrail_router::ServerId;
use serde_json::Value;

use crate::log;
use crate::log::RateLimit;
use crate::upstream::Malformation;

/// Why a response ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The server's connection was closed or reset.
    Reset,
    /// The response is malformed.
    Malformed(Malformation),
    /// A time limit of the response has passed.
    Expired(Expiry),
    /// The client disconnected.
    ClientDisconnected,
    /// The client read nothing of its response for too long.
    ClientStalled,
}

impl ResponseEnd {
    /// All reasons but those of malformed responses, in the order of the operators' counters.
    const NOT_MALFORMED: [ResponseEnd; 9] = [
        ResponseEnd::Reset,
        ResponseEnd::Expired(Expiry::HeadStalled),
        ResponseEnd::Expired(Expiry::BodyStalled),
        ResponseEnd::Expired(Expiry::EventOverdue),
        ResponseEnd::Expired(Expiry::EventStalled),
        ResponseEnd::Expired(Expiry::EventTooLong),
        ResponseEnd::Expired(Expiry::FramingOverdue),
        ResponseEnd::ClientDisconnected,
        ResponseEnd::ClientStalled,
    ];

    /// Returns the name of the reason in the operators' counters, with that of the malformation instead if there is one.
    fn name(self) -> &'static str {
        match self {
            ResponseEnd::Reset => "reset",
            ResponseEnd::Malformed(malformation) => malformation.name(),
            ResponseEnd::Expired(Expiry::HeadStalled) => "head_stalled",
            ResponseEnd::Expired(Expiry::BodyStalled) => "body_stalled",
            ResponseEnd::Expired(Expiry::EventOverdue) => "event_overdue",
            ResponseEnd::Expired(Expiry::EventStalled) => "event_stalled",
            ResponseEnd::Expired(Expiry::EventTooLong) => "event_too_long",
            ResponseEnd::Expired(Expiry::FramingOverdue) => "framing_overdue",
            ResponseEnd::ClientDisconnected => "client_disconnected",
            ResponseEnd::ClientStalled => "client_stalled",
        }
    }
}

impl fmt::Display for ResponseEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResponseEnd::Malformed(malformation) => write!(f, "malformed ({})", malformation.name()),
            reason => f.write_str(reason.name()),
        }
    }
}

/// Count of the responses that ended for one reason, and the limit of their lines in the log.
#[derive(Default)]
struct ReasonCount {
    count: u64,
    log_limit: RateLimit,
}

thread_local! {
    /// By the name of the reason, of those that have occurred.
    static COUNTS: RefCell<BTreeMap<&'static str, ReasonCount>> = RefCell::default();
}

/// The response that ended early. What another process knows of it is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndedResponse<'a> {
    /// The id of its request.
    pub request: Option<&'a str>,
    /// The server that wrote it.
    pub server: Option<ServerId>,
    /// Time since its last event; `None` before the first one.
    pub since_last_event: Option<Duration>,
}

impl fmt::Display for EndedResponse<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(server) = self.server {
            write!(f, ", server {:x}", server.0)?;
        }
        match self.since_last_event {
            Some(since) => write!(f, ", last event {} ms before", since.as_millis()),
            None => write!(f, ", before its first event"),
        }
    }
}

/// Counts and logs the end of a response.
pub fn report(reason: ResponseEnd, response: EndedResponse) {
    let request = response.request.unwrap_or("of another process");
    COUNTS.with_borrow_mut(|counts| {
        let counted = counts.entry(reason.name()).or_default();
        counted.count += 1;
        let line = format_args!("request {request}: response ended early: {reason}{response}");
        log::write_limited(&counted.log_limit, line);
    });
}

fn count(reason: ResponseEnd) -> u64 {
    COUNTS.with_borrow(|counts| counts.get(reason.name()).map_or(0, |counted| counted.count))
}

/// Returns the counts as JSON for the operators, by reason; `malformed` is the sum of those of [`malformed_to_json`].
pub fn to_json() -> Value {
    let malformed: u64 = Malformation::all().map(|reason| count(ResponseEnd::Malformed(reason))).sum();
    let others = ResponseEnd::NOT_MALFORMED.iter().map(|reason| (reason.name(), count(*reason)));
    let counts = others.chain([("malformed", malformed)]);
    counts.map(|(name, count)| (name.to_string(), Value::from(count))).collect()
}

/// Returns the counts of malformed responses as JSON for the operators, by reason.
pub fn malformed_to_json() -> Value {
    let name_and_count = |reason: Malformation| {
        (reason.name().to_string(), Value::from(count(ResponseEnd::Malformed(reason))))
    };
    Malformation::all().map(name_and_count).collect()
}
