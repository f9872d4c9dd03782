//! Counts and logs each response of a server that ended, or was ended, before it was complete.
//!
//! A gateway runs on one thread, so the counters are thread-local.

use std::cell::RefCell;
use std::fmt;
use std::time::Duration;

use glenrail_request_lifecycle::response_timing::Expiry;
use glenrail_router::ServerId;
use serde_json::Value;

use crate::log;
use crate::log::RateLimit;

/// Why a response ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The server's connection was closed or reset.
    Reset,
    /// The response could not be parsed.
    Malformed,
    /// A time limit of the response has passed.
    Expired(Expiry),
    /// The client disconnected.
    ClientDisconnected,
    /// The client read nothing of its response for too long.
    ClientStalled,
}

impl ResponseEnd {
    /// All reasons, in the order of the operators' counters.
    pub const ALL: [ResponseEnd; 9] = [
        ResponseEnd::Reset,
        ResponseEnd::Malformed,
        ResponseEnd::Expired(Expiry::HeadStalled),
        ResponseEnd::Expired(Expiry::BodyStalled),
        ResponseEnd::Expired(Expiry::EventOverdue),
        ResponseEnd::Expired(Expiry::EventStalled),
        ResponseEnd::Expired(Expiry::EventTooLong),
        ResponseEnd::ClientDisconnected,
        ResponseEnd::ClientStalled,
    ];

    /// Returns the name of the reason in the log and in the operators' counters.
    pub fn name(self) -> &'static str {
        match self {
            ResponseEnd::Reset => "reset",
            ResponseEnd::Malformed => "malformed",
            ResponseEnd::Expired(Expiry::HeadStalled) => "head_stalled",
            ResponseEnd::Expired(Expiry::BodyStalled) => "body_stalled",
            ResponseEnd::Expired(Expiry::EventOverdue) => "event_overdue",
            ResponseEnd::Expired(Expiry::EventStalled) => "event_stalled",
            ResponseEnd::Expired(Expiry::EventTooLong) => "event_too_long",
            ResponseEnd::ClientDisconnected => "client_disconnected",
            ResponseEnd::ClientStalled => "client_stalled",
        }
    }

    fn index(self) -> usize {
        ResponseEnd::ALL.iter().position(|reason| *reason == self).unwrap_or_default()
    }
}

thread_local! {
    static COUNTS: RefCell<[u64; ResponseEnd::ALL.len()]> = RefCell::default();
    /// One limit for each reason, so that many lines of one reason do not suppress those of others.
    static LIMITS: [RateLimit; ResponseEnd::ALL.len()] =
        const { [const { RateLimit::new() }; ResponseEnd::ALL.len()] };
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
    let index = reason.index();
    COUNTS.with_borrow_mut(|counts| counts[index] += 1);
    let request = response.request.unwrap_or("of another process");
    LIMITS.with(|limits| {
        log::write_limited(
            &limits[index],
            format_args!("request {request}: response ended early: {}{response}", reason.name()),
        );
    });
}

/// Returns the counts as JSON for the operators, by reason.
pub fn to_json() -> Value {
    let counts = COUNTS.with_borrow(|counts| *counts);
    let reasons = ResponseEnd::ALL.iter().zip(counts);
    reasons.map(|(reason, count)| (reason.name().to_string(), Value::from(count))).collect()
}
