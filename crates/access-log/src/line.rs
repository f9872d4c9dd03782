//! JSON values in log lines.

use serde::de::DeserializeOwned;

/// The JSON value behind `prefix` in a log line, whatever stands around the two.
pub(crate) fn value_after<T: DeserializeOwned>(prefix: &str, line: &str) -> Option<T> {
    let start = line.find(prefix)? + prefix.len();
    let mut values = serde_json::Deserializer::from_str(line.get(start..)?).into_iter();
    values.next()?.ok()
}
