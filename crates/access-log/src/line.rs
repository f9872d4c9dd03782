//! JSON values in log lines.

use serde::de::DeserializeOwned;

/// Parses the JSON value after the first occurrence of `prefix` in a log line. Text before the prefix and after the
/// value is ignored. `None` if there is no such value.
pub(crate) fn value_after<T: DeserializeOwned>(prefix: &str, line: &str) -> Option<T> {
    let start = line.find(prefix)? + prefix.len();
    let mut values = serde_json::Deserializer::from_str(line.get(start..)?).into_iter();
    values.next()?.ok()
}
