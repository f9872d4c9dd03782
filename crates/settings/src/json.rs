//! Access to the fields of a JSON object, with a default if a field is missing or has another type.

use serde_json::Value;

/// Returns the number under `key`, or 0.
pub fn number(object: &Value, key: &str) -> f64 {
    object.get(key).and_then(Value::as_f64).unwrap_or(0.0)
}

/// Returns the number under `key`, or `default` if the key is missing or null.
pub(crate) fn number_or(object: &Value, key: &str, default: f64) -> f64 {
    if is_absent(object, key) {
        default
    } else {
        number(object, key)
    }
}

/// Returns the integer under `key`, or 0. A fraction is truncated.
pub fn integer(object: &Value, key: &str) -> u64 {
    match object.get(key) {
        Some(value) => value.as_u64().unwrap_or_else(|| value.as_f64().unwrap_or(0.0) as u64),
        None => 0,
    }
}

/// Returns the integer under `key`, or 0. A number above `u32::MAX` saturates instead of wrapping.
pub(crate) fn count(object: &Value, key: &str) -> u32 {
    u32::try_from(integer(object, key)).unwrap_or(u32::MAX)
}

/// Returns the integer under `key` like [`count`], or `default` if the key is missing or null.
pub(crate) fn count_or(object: &Value, key: &str, default: u32) -> u32 {
    if is_absent(object, key) {
        default
    } else {
        count(object, key)
    }
}

/// Returns the boolean under `key`, or `false`.
pub fn flag(object: &Value, key: &str) -> bool {
    object.get(key).and_then(Value::as_bool).unwrap_or(false)
}

/// Returns the string under `key`, or an empty one.
pub fn text<'a>(object: &'a Value, key: &str) -> &'a str {
    object.get(key).and_then(Value::as_str).unwrap_or("")
}

/// Returns the array under `key`, or an empty one.
pub fn list<'a>(object: &'a Value, key: &str) -> &'a [Value] {
    object.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn is_absent(object: &Value, key: &str) -> bool {
    object.get(key).is_none_or(Value::is_null)
}
