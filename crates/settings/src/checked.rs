//! Strict parser: validates a settings object before a gateway starts with it, and reports the first invalid
//! key.
//!
//! A key that is missing or null has a default: the class deadline for `aim`, 4 for `max-attempts`, 250 ms
//! for `dial-timeout`, 300 ms for `pin-limit`, 10 s for `ask-within`, 1 for `balancers`, never retried for
//! `semantics`, pushed lists for `discovery`, 0 for any other number and `false` for any other boolean. A key
//! that is present must have the right type and be in its range.

use std::fmt;

use glenrail_router::{Role, Settings};
use serde_json::Value;

use crate::parse_settings;

/// Error for an invalid key of the settings, reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the key, relative to the settings object; empty for the object itself.
    pub key: String,
    /// Description of the valid values.
    pub requirement: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.key, self.requirement)
    }
}

impl std::error::Error for SettingsError {}

/// Type and range of a value that is present.
#[derive(Clone, Copy)]
enum Expected {
    /// Milliseconds, rate or price of at least 0. A large number means that there is no limit.
    NonNegative,
    /// Time limit (ms), which must be greater than 0.
    PositiveTime,
    /// Number from 0 to 1.
    Share,
    /// Count of at least 0.
    Count,
    /// Count of at least 1.
    PositiveCount,
    /// `true` or `false`.
    Boolean,
    /// One of these strings.
    OneOf(&'static [&'static str]),
    /// Name that is used as the value of a header field.
    HeaderValue,
}
use Expected::{Boolean, Count, HeaderValue, NonNegative, OneOf, PositiveCount, PositiveTime, Share};

/// Key, and the type and range of its value.
type KeySpec = (&'static str, Expected);

/// Maximum time limit (ms), about 30 years. A larger value is an error, whose text in `check_number` contains
/// the maximum.
const MAX_TIME_MS: f64 = 1e12;
/// Maximum count. A larger value is an error, whose text in `check_number` contains the maximum.
const MAX_COUNT: f64 = 1e6;

/// Keys of the settings object itself. `me` and `zone` are not checked, because the platform sets them; a
/// value that is not a number counts as 0.
const TOP_LEVEL: &[KeySpec] =
    &[("balancers", Count), ("quantum", NonNegative), ("over-share-worth", NonNegative)];
const SERVICE: &[KeySpec] = &[
    ("name", HeaderValue),
    ("aim", PositiveTime),
    ("deadline", PositiveTime),
    ("worth", NonNegative),
    ("late-worth", NonNegative),
    ("semantics", OneOf(&["free", "guarded", "single_shot"])),
    ("window", NonNegative),
];
const TENANT: &[KeySpec] = &[("name", HeaderValue), ("allowance-per-s", NonNegative)];
const POLICY_LIMITS: &[KeySpec] = &[
    ("max-attempts", PositiveCount),
    ("max-retry-after", NonNegative),
    ("dial-timeout", PositiveTime),
    ("conn-idle", NonNegative),
    ("probes", Boolean),
    ("cancel", Boolean),
    ("second-copies", Boolean),
    ("retry-after", Boolean),
    ("may-tell", Boolean),
];
const RULES: &[KeySpec] = &[
    ("grace-to-answer", NonNegative),
    ("drain-grace", NonNegative),
    ("cold", NonNegative),
    ("cold-from", Share),
    ("fall", NonNegative),
    ("fall-multiple", NonNegative),
];
const DOMAIN: &[KeySpec] = &[
    ("pin-limit", PositiveTime),
    ("move-fee", NonNegative),
    ("may-reserve", Boolean),
    ("resume", Boolean),
    ("local-read", Boolean),
];
const PRICES: &[KeySpec] =
    &[("probe", NonNegative), ("handshake", NonNegative), ("discovery", NonNegative), ("waste", NonNegative)];
const SECTIONS: &[(&str, &[KeySpec])] =
    &[("policy-limits", POLICY_LIMITS), ("rules", RULES), ("domain", DOMAIN), ("prices", PRICES)];
/// Lists of the domain, and the type and range of their entries.
const DOMAIN_LISTS: &[KeySpec] = &[
    ("stage-of-kind", OneOf(&["read", "write", "both"])),
    ("tokens-by-kind", NonNegative),
    ("token-aim", NonNegative),
    ("aim-us-per-1000-prompt-tokens", NonNegative),
];

/// Parses a settings object, or returns an error for the first invalid key.
pub fn parse_settings_strict(object: &Value) -> Result<Settings, SettingsError> {
    if !object.is_object() {
        return invalid("", "expected an object");
    }
    check_keys("", object, TOP_LEVEL)?;
    check_named_list("services", object, SERVICE)?;
    check_named_list("tenants", object, TENANT)?;
    check_sections(object)?;
    check_domain_lists(&object["domain"])?;
    // The key is not used if lists are pushed.
    if object["discovery"] == "subscribe" {
        check_value("rules.ask-within", &object["rules"]["ask-within"], PositiveTime)?;
    }
    let settings = parse_settings(object);
    check_combinations(&settings)?;
    Ok(settings)
}

fn check_sections(object: &Value) -> Result<(), SettingsError> {
    for (name, keys) in SECTIONS {
        match object.get(name) {
            None | Some(Value::Null) => {}
            Some(section @ Value::Object(_)) => check_keys(&format!("{name}."), section, keys)?,
            Some(_) => return invalid(*name, "expected an object"),
        }
    }
    Ok(())
}

fn check_domain_lists(domain: &Value) -> Result<(), SettingsError> {
    for (name, expected) in DOMAIN_LISTS {
        let key = format!("domain.{name}");
        for (index, entry) in entries(&key, domain.get(name))?.iter().enumerate() {
            check_value(&format!("{key}[{index}]"), entry, *expected)?;
        }
    }
    Ok(())
}

/// Checks the requirements that involve several keys.
fn check_combinations(settings: &Settings) -> Result<(), SettingsError> {
    let at_least_one =
        [("services", settings.classes.is_empty()), ("domain.stage-of-kind", settings.kinds.is_empty())];
    for (key, is_empty) in at_least_one {
        if is_empty {
            return invalid(key, "expected at least one entry");
        }
    }
    if let Some(index) = settings.classes.iter().position(|class| class.deadline <= 0.0) {
        return invalid(format!("services[{index}].deadline"), "expected milliseconds greater than 0");
    }
    // If prefill and decode servers are separate, a request needs one attempt at each.
    let one_attempt_suffices =
        settings.kinds.iter().any(|kind| kind.role == Role::Mixed) || settings.decode_servers_prefill;
    if !one_attempt_suffices && settings.limits.max_attempts < 2 {
        return invalid(
            "policy-limits.max-attempts",
            "expected at least 2, because prefill and decode servers are separate",
        );
    }
    Ok(())
}

fn invalid<T>(key: impl Into<String>, requirement: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError { key: key.into(), requirement: requirement.into() })
}

fn entries<'a>(key: &str, value: Option<&'a Value>) -> Result<&'a [Value], SettingsError> {
    match value {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(entries)) => Ok(entries),
        Some(_) => invalid(key, "expected a list"),
    }
}

/// Checks a list of objects whose names must be unique.
fn check_named_list(list: &str, object: &Value, keys: &[KeySpec]) -> Result<(), SettingsError> {
    let all = entries(list, object.get(list))?;
    for (index, entry) in all.iter().enumerate() {
        // A tenant may be given by its name alone.
        if entry.is_string() && list == "tenants" {
            check_value(&format!("{list}[{index}]"), entry, HeaderValue)?;
        } else if entry.is_object() {
            check_keys(&format!("{list}[{index}]."), entry, keys)?;
        } else {
            return invalid(format!("{list}[{index}]"), "expected an object");
        }
        let name = entry_name(entry);
        if name.is_some() && all[..index].iter().any(|earlier| entry_name(earlier) == name) {
            return invalid(format!("{list}[{index}].name"), "expected a unique name");
        }
    }
    Ok(())
}

/// Returns the name of a list entry, which is the entry itself if it is a string, or else its key `name`.
pub fn entry_name(entry: &Value) -> Option<&str> {
    entry.as_str().or_else(|| entry.get("name")?.as_str())
}

fn check_keys(path: &str, object: &Value, keys: &[KeySpec]) -> Result<(), SettingsError> {
    keys.iter().try_for_each(|(key, expected)| check_value(&format!("{path}{key}"), &object[*key], *expected))
}

fn check_value(key: &str, value: &Value, expected: Expected) -> Result<(), SettingsError> {
    if value.is_null() && !matches!(expected, OneOf(_)) {
        return Ok(());
    }
    match expected {
        OneOf(choices) => check_choice(key, value, choices),
        HeaderValue => check_header_value(key, value),
        Boolean if value.is_boolean() => Ok(()),
        Boolean => invalid(key, "expected true or false"),
        NonNegative | PositiveTime | Share | Count | PositiveCount => check_number(key, value, expected),
    }
}

fn check_number(key: &str, value: &Value, expected: Expected) -> Result<(), SettingsError> {
    let (is_valid, requirement): (fn(f64) -> bool, &str) = match expected {
        PositiveTime => {
            (|number| number > 0.0 && number <= MAX_TIME_MS, "expected milliseconds above 0, up to 1e12")
        }
        Share => (|number| (0.0..=1.0).contains(&number), "expected a number from 0 to 1"),
        Count => (|number| (0.0..=MAX_COUNT).contains(&number), "expected a count from 0 to 1000000"),
        PositiveCount => (|number| (1.0..=MAX_COUNT).contains(&number), "expected a count from 1 to 1000000"),
        _ => (|number| number >= 0.0, "expected a number of at least 0"),
    };
    if value.as_f64().is_some_and(is_valid) {
        return Ok(());
    }
    invalid(key, requirement)
}

fn check_choice(key: &str, value: &Value, choices: &[&str]) -> Result<(), SettingsError> {
    match value.as_str() {
        Some(choice) if choices.contains(&choice) => Ok(()),
        Some(choice) => invalid(key, format!("{choice:?} is not one of {}", choices.join(", "))),
        // A missing value is valid, except in a list, where entries are identified by their index.
        None if value.is_null() && !key.ends_with(']') => Ok(()),
        None => invalid(key, format!("expected one of {}", choices.join(", "))),
    }
}

fn check_header_value(key: &str, value: &Value) -> Result<(), SettingsError> {
    let Some(name) = value.as_str() else { return invalid(key, "expected a string") };
    if name == name.trim() && !name.chars().any(char::is_control) {
        return Ok(());
    }
    invalid(
        key,
        format!("{name:?} is not a valid header value: it has control characters or blanks at an end"),
    )
}
