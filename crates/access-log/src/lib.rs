//! What became of one request, as a gateway writes it to its log in one line, and the [`account`] of what many
//! gateways' lines say was lost, by cause. No I/O.

pub mod account;
pub mod counts;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The word in front of a story in a log line.
pub const WORD: &str = "request ";

/// How a request ended at its gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
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
pub struct Try {
    /// The server, as the gateway's other lines name it.
    pub to: String,
    pub stage: Stage,
    /// Its zone and its cell in that, as far as the list tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<(u32, u32)>,
    pub sent: f64,
    /// When its first byte went out, on whatever connection; absent where none did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub written: Option<f64>,
    /// When a sign first showed that it had arrived at its server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arrived: Option<f64>,
    /// When its first event came, for one that answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first: Option<f64>,
    pub ended: f64,
    /// The outcome in the router's words.
    pub how: String,
    /// Its server had started so shortly before that it counted as cold.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cold: bool,
    /// Prompt tokens found kept there.
    #[serde(default)]
    pub kept: f64,
    /// What the server said of itself with the outcome: requests in flight, share of memory held.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory: Option<f64>,
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
pub struct Story {
    pub id: String,
    pub class: u32,
    /// The class may not simply be repeated.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub once: bool,
    #[serde(default)]
    pub tenant: u32,
    pub session: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<u64>,
    /// Prompt tokens, and those of the shared beginning.
    pub prompt: f64,
    pub shared: f64,
    /// Unix time of the arrival, in milliseconds.
    pub came: f64,
    /// The first token was wanted within so many milliseconds.
    pub aim: f64,
    /// What the class is worth.
    pub worth: f64,
    pub end: End,
    /// When its final answer's last byte was ready, since the arrival.
    pub took: f64,
    /// Why it was refused or failed, in the router's words.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub why: String,
    /// Each release of what was held for it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<Release>,
    pub tries: Vec<Try>,
}

/// What stands as JSON behind this word in a line, whatever stands around it.
fn behind<T: DeserializeOwned>(word: &str, line: &str) -> Option<T> {
    let at = line.find(word)? + word.len();
    let mut values = serde_json::Deserializer::from_str(line.get(at..)?).into_iter();
    values.next()?.ok()
}

impl Story {
    /// The story in a line of a log, if there is one.
    pub fn of_line(line: &str) -> Option<Story> {
        behind(WORD, line)
    }

    /// When the client's first token came, since the arrival.
    pub fn first(&self) -> Option<f64> {
        self.tries.iter().find_map(|t| t.first)
    }
}

impl std::fmt::Display for Story {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&serde_json::to_string(self).map_err(|_| std::fmt::Error)?)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_read_back_whatever_stands_around_it() {
        let tries =
            vec![Try { to: "a1".into(), sent: 1.0, ended: 40.5, how: "Read".into(), ..Try::default() }];
        let story =
            Story { id: "9b".into(), class: 1, session: u64::MAX, aim: 2_000.0, tries, ..Story::default() };
        let line = format!("24.1 glenrail: {WORD}{story} (3 like it left out)");
        assert_eq!(Story::of_line(&line), Some(story));
        assert_eq!(Story::of_line("24.1 glenrail: request the impossible"), None);
    }
}
