//! What became of one request, as a gateway writes it to its log in one line, and the [`account`] of what many
//! gateways' lines say was lost, by cause. No I/O.

pub mod account;
pub mod counts;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The word in front of a story in a log line.
pub const LINE_PREFIX: &str = "request ";

/// How a request ended at its gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    #[default]
    Served,
    /// The stream broke, was spoilt or fell silent.
    Cut,
    Refused,
    Failed,
    /// The client went first.
    Left,
}

/// What one attempt was for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    #[default]
    Read,
    Run,
}

/// One attempt. Times are milliseconds since the request's arrival.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The server, as the gateway's other lines name it.
    #[serde(rename = "to")]
    pub server: String,
    pub stage: Stage,
    /// Its zone and its cell in that, as far as the list tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "place")]
    pub location: Option<(u32, u32)>,
    #[serde(rename = "sent")]
    pub sent_ms: f64,
    /// When its first byte went out, on whatever connection; absent where none did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "written")]
    pub written_ms: Option<f64>,
    /// When a sign first showed that it had arrived at its server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "arrived")]
    pub delivered_ms: Option<f64>,
    /// When its first event came, for one that answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "first")]
    pub first_token_ms: Option<f64>,
    #[serde(rename = "ended")]
    pub ended_ms: f64,
    /// The outcome in the router's words.
    #[serde(rename = "how")]
    pub outcome: String,
    /// Its server had started so shortly before that it counted as cold.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "cold")]
    pub slow_start: bool,
    /// Prompt tokens found kept there.
    #[serde(default)]
    #[serde(rename = "kept")]
    pub cached_tokens: f64,
    /// What the server said of itself with the outcome: requests in flight, share of memory held.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "memory")]
    pub memory_share: Option<f64>,
}

/// One release of what servers held. Times are milliseconds since the request's arrival.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Since when nothing was known to be out that would take it.
    pub held: f64,
    pub ordered: f64,
    /// When a server had taken it, or it was given up; absent while it is under way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<f64>,
}

/// One request, from its arrival until nothing of it was left.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    pub id: String,
    pub class: u32,
    /// The class may not simply be repeated.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "once")]
    pub at_most_once: bool,
    #[serde(default)]
    pub tenant: u32,
    pub session: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<u64>,
    /// Prompt tokens, and those of the shared beginning.
    #[serde(rename = "prompt")]
    pub prompt_tokens: f64,
    #[serde(rename = "shared")]
    pub prefix_tokens: f64,
    /// Unix time of the arrival, in milliseconds.
    #[serde(rename = "came")]
    pub arrived_unix_ms: f64,
    /// The first token was wanted within so many milliseconds.
    #[serde(rename = "aim")]
    pub latency_objective_ms: f64,
    /// What the class is worth.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    #[serde(rename = "end")]
    pub outcome: RequestOutcome,
    /// When its final answer's last byte was ready, since the arrival.
    #[serde(rename = "took")]
    pub duration_ms: f64,
    /// Why it was refused or failed, in the router's words.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    #[serde(rename = "why")]
    pub reject_reason: String,
    /// Each release of what was held for it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<Release>,
    #[serde(rename = "tries")]
    pub attempts: Vec<AttemptRecord>,
}

/// What stands as JSON behind this word in a line, whatever stands around it.
fn behind<T: DeserializeOwned>(word: &str, line: &str) -> Option<T> {
    let at = line.find(word)? + word.len();
    let mut values = serde_json::Deserializer::from_str(line.get(at..)?).into_iter();
    values.next()?.ok()
}

impl RequestRecord {
    /// The story in a line of a log, if there is one.
    pub fn parse_line(line: &str) -> Option<RequestRecord> {
        behind(LINE_PREFIX, line)
    }

    /// When the client's first token came, since the arrival.
    pub fn first(&self) -> Option<f64> {
        self.attempts.iter().find_map(|t| t.first_token_ms)
    }
}

impl std::fmt::Display for RequestRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&serde_json::to_string(self).map_err(|_| std::fmt::Error)?)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_read_back_whatever_stands_around_it() {
        let tries = vec![AttemptRecord {
            server: "a1".into(),
            sent_ms: 1.0,
            ended_ms: 40.5,
            outcome: "Read".into(),
            ..AttemptRecord::default()
        }];
        let story = RequestRecord {
            id: "9b".into(),
            class: 1,
            session: u64::MAX,
            latency_objective_ms: 2_000.0,
            attempts: tries,
            ..RequestRecord::default()
        };
        let line = format!("24.1 glenrail: {LINE_PREFIX}{story} (3 like it left out)");
        assert_eq!(RequestRecord::parse_line(&line), Some(story));
        assert_eq!(RequestRecord::parse_line("24.1 glenrail: request the impossible"), None);
    }
}
