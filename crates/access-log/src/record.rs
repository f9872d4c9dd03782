//! The record of one request, as one line of the access log.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::line::value_after;

/// What stands in front of a request's record in a log line.
pub const LINE_PREFIX: &str = "request ";

/// How a request ended at its gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Answered to its end.
    #[default]
    Served,
    /// The stream broke, was malformed or idle for too long.
    #[serde(rename = "cut")]
    StreamBroken,
    /// Rejected: trying again was harmless.
    #[serde(rename = "refused")]
    Rejected,
    /// Failed for good.
    Failed,
    /// The client disconnected first.
    #[serde(rename = "left")]
    ClientDisconnected,
}

/// What an attempt asked of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// To read the prompt.
    #[default]
    #[serde(rename = "read")]
    Prefill,
    /// To answer.
    #[serde(rename = "run")]
    Execute,
}

/// One attempt. Times are milliseconds since the request's arrival.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The server's id, as the gateway's other log lines print it.
    #[serde(rename = "to")]
    pub server: String,
    /// What it asked for.
    pub stage: Stage,
    /// The server's zone and its cell in that, as far as the endpoint list tells.
    #[serde(rename = "place", default, skip_serializing_if = "Option::is_none")]
    pub location: Option<(u32, u32)>,
    /// When the router ordered it.
    #[serde(rename = "sent")]
    pub sent_ms: f64,
    /// When its first byte was written, on whatever connection; absent where none was.
    #[serde(rename = "written", default, skip_serializing_if = "Option::is_none")]
    pub written_ms: Option<f64>,
    /// When a sign first showed that it had arrived at its server.
    #[serde(rename = "arrived", default, skip_serializing_if = "Option::is_none")]
    pub delivered_ms: Option<f64>,
    /// When its first event came, for one that answered.
    #[serde(rename = "first", default, skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<f64>,
    /// When it ended.
    #[serde(rename = "ended")]
    pub ended_ms: f64,
    /// The outcome as the router's `log_label` has it.
    #[serde(rename = "how")]
    pub outcome: String,
    /// Its server was in slow start.
    #[serde(rename = "cold", default, skip_serializing_if = "std::ops::Not::not")]
    pub slow_start: bool,
    /// Prompt tokens that the server found in its cache.
    #[serde(rename = "kept", default)]
    pub cached_tokens: f64,
    /// Requests in flight that the server reported with the outcome.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<f64>,
    /// Share of its memory in use that the server reported with the outcome.
    #[serde(rename = "memory", default, skip_serializing_if = "Option::is_none")]
    pub memory_share: Option<f64>,
}

/// One release of what servers had reserved. Times are milliseconds since the request's arrival.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Since when no attempt was known to be on its way that would use it.
    #[serde(rename = "held")]
    pub unclaimed_since_ms: f64,
    /// When the release was ordered.
    #[serde(rename = "ordered")]
    pub ordered_ms: f64,
    /// When a server had taken it, or it was given up; absent while it is under way.
    #[serde(rename = "done", default, skip_serializing_if = "Option::is_none")]
    pub done_ms: Option<f64>,
}

/// One request, from its arrival until nothing of it was left.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The client's id of the request.
    pub id: String,
    /// Index of its class in the settings.
    pub class: u32,
    /// Its class is not idempotent: it must not simply be retried.
    #[serde(rename = "once", default, skip_serializing_if = "std::ops::Not::not")]
    pub at_most_once: bool,
    /// Index of its tenant in the settings.
    #[serde(default)]
    pub tenant: u32,
    /// The conversation that it belongs to.
    pub session: u64,
    /// The prefix that it shares with other sessions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<u64>,
    /// Tokens of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: f64,
    /// Tokens of the shared prefix.
    #[serde(rename = "shared")]
    pub prefix_tokens: f64,
    /// Unix time of the arrival (ms).
    #[serde(rename = "came")]
    pub arrived_unix_ms: f64,
    /// The first token was due within this time (ms).
    #[serde(rename = "aim")]
    pub latency_objective_ms: f64,
    /// Weight of its class.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// How it ended.
    #[serde(rename = "end")]
    pub outcome: RequestOutcome,
    /// When the last byte of its final answer was ready (ms since the arrival).
    #[serde(rename = "took")]
    pub duration_ms: f64,
    /// Why the router rejected or failed it, as its `log_label` has it; empty where it did neither.
    #[serde(rename = "why", default, skip_serializing_if = "String::is_empty")]
    pub reject_reason: String,
    /// Each release of what servers had reserved for it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<Release>,
    /// Its attempts in order.
    #[serde(rename = "tries")]
    pub attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// The record in a log line, if there is one.
    pub fn parse_line(line: &str) -> Option<RequestRecord> {
        value_after(LINE_PREFIX, line)
    }

    /// When the client's first token came, in ms since the request's arrival.
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
