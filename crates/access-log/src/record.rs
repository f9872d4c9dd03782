//! The record of one request, which is one line of the access log.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::line::value_after;

/// Prefix of a request's record in a log line.
pub const LINE_PREFIX: &str = "request ";

/// Outcome of a request at its gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The response was completed.
    #[default]
    Served,
    /// The response stream broke, was malformed or was idle for too long.
    #[serde(rename = "cut")]
    StreamBroken,
    /// Rejected before it was executed, so the client can safely retry it.
    #[serde(rename = "refused")]
    Rejected,
    /// Failed by its servers, its deadline or its own content. It may have been executed.
    Failed,
    /// The client disconnected before the response was complete.
    #[serde(rename = "left")]
    ClientDisconnected,
}

/// Stage of a request that an attempt requests from its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Process the prompt at a prefill server.
    #[default]
    #[serde(rename = "read")]
    Prefill,
    /// Generate the response.
    #[serde(rename = "run")]
    Execute,
}

/// One attempt of a request. Times are milliseconds since the request's arrival.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The server's id in hexadecimal digits, as in the gateway's other log lines.
    #[serde(rename = "to")]
    pub server: String,
    /// Requested stage.
    pub stage: Stage,
    /// The server's zone and its cell within the zone; `None` if the endpoint list does not contain them.
    #[serde(rename = "place", default, skip_serializing_if = "Option::is_none")]
    pub location: Option<(u32, u32)>,
    /// Time at which the router started the attempt.
    #[serde(rename = "sent")]
    pub sent_ms: f64,
    /// Time at which the first byte was written to a connection; `None` if none was.
    #[serde(rename = "written", default, skip_serializing_if = "Option::is_none")]
    pub written_ms: Option<f64>,
    /// Time at which the attempt was first known to have reached its server; `None` if it never was.
    #[serde(rename = "arrived", default, skip_serializing_if = "Option::is_none")]
    pub delivered_ms: Option<f64>,
    /// Time of the first event of the response; `None` without a response.
    #[serde(rename = "first", default, skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<f64>,
    /// Time at which the attempt ended.
    #[serde(rename = "ended")]
    pub ended_ms: f64,
    /// Outcome, as named by the router's `log_label`.
    #[serde(rename = "how")]
    pub outcome: String,
    /// Whether the server was in slow start.
    #[serde(rename = "cold", default, skip_serializing_if = "std::ops::Not::not")]
    pub slow_start: bool,
    /// Number of prompt tokens that the server found in its cache.
    #[serde(rename = "kept", default)]
    pub cached_tokens: f64,
    /// Number of requests in flight in the server's load report with the outcome; `None` without a report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<f64>,
    /// Fraction of memory in use, 0 to 1, in the server's load report with the outcome; `None` without a report.
    #[serde(rename = "memory", default, skip_serializing_if = "Option::is_none")]
    pub memory_share: Option<f64>,
}

/// One release of what servers had reserved for a request (state lease or slot). Times are milliseconds since the
/// request's arrival.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Time from which no attempt in flight could use the reservation.
    #[serde(rename = "held")]
    pub unclaimed_since_ms: f64,
    /// Time at which the release was started.
    #[serde(rename = "ordered")]
    pub ordered_ms: f64,
    /// Time at which a server accepted the release or the gateway gave it up; `None` while it is in progress.
    #[serde(rename = "done", default, skip_serializing_if = "Option::is_none")]
    pub done_ms: Option<f64>,
}

/// One request, from its arrival until none of its attempts or releases was in flight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Id of the request, chosen by the client.
    pub id: String,
    /// Index of the request's class in the settings.
    pub class: u32,
    /// Whether the class is not idempotent, so that the request must not simply be retried.
    #[serde(rename = "once", default, skip_serializing_if = "std::ops::Not::not")]
    pub at_most_once: bool,
    /// Index of the request's tenant in the settings.
    #[serde(default)]
    pub tenant: u32,
    /// Id of the conversation that the request belongs to.
    pub session: u64,
    /// Id of the prompt prefix shared with other sessions; `None` if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<u64>,
    /// Number of tokens of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: f64,
    /// Number of tokens of the shared prefix; 0 without one.
    #[serde(rename = "shared")]
    pub prefix_tokens: f64,
    /// Unix time of the arrival, in milliseconds.
    #[serde(rename = "came")]
    pub arrived_unix_ms: f64,
    /// Time within which the first token was due, in milliseconds.
    #[serde(rename = "aim")]
    pub latency_objective_ms: f64,
    /// Weight of the request's class in the settings.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Outcome for the client.
    #[serde(rename = "end")]
    pub outcome: RequestOutcome,
    /// Time from the arrival until the last byte of the final response was ready, in milliseconds.
    #[serde(rename = "took")]
    pub duration_ms: f64,
    /// Why the router rejected or failed the request, as named by its `log_label`; empty if it did neither.
    #[serde(rename = "why", default, skip_serializing_if = "String::is_empty")]
    pub reject_reason: String,
    /// Releases of reservations, in the order in which they were started.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<Release>,
    /// Attempts, in the order in which they were started.
    #[serde(rename = "tries")]
    pub attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// Parses the record in a log line; `None` if the line contains none.
    pub fn parse_line(line: &str) -> Option<RequestRecord> {
        value_after(LINE_PREFIX, line)
    }

    /// Time of the first token for the client, in milliseconds since the request's arrival; `None` without one.
    pub fn first_token_ms(&self) -> Option<f64> {
        self.attempts.iter().find_map(|attempt| attempt.first_token_ms)
    }
}

impl fmt::Display for RequestRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let json = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        formatter.write_str(&json)
    }
}
