//! Which key of a settings object is at fault, before a gateway starts with it.
//!
//! What is left out (or null) has a default: a class's `aim` its deadline, `max-attempts` 4, `dial-timeout` 250 ms, `pin-limit`
//! 300 ms, `ask-within` 10 s, `balancers` one, `semantics` that of a class that is never retried, `discovery` pushed; any other
//! number 0 and any other switch off. What is there must be of its type and range.

use std::fmt;

use glenrail_router::{Role, Settings};
use serde_json::Value;

use crate::settings;

/// A key of the settings that is at fault, for the operator who wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// The key as a path from the settings on.
    pub key: String,
    /// What is expected there.
    pub wanted: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.key, self.wanted)
    }
}

impl std::error::Error for SettingsFault {}

/// What a value has to be where one is given.
#[derive(Clone, Copy)]
enum Expected {
    /// Milliseconds, a rate, a price: from 0 on. A deployment may say "without bound" by any large number.
    Amount,
    /// A time in which something has to happen (ms): 0 leaves no time for it.
    PositiveTime,
    /// A number from 0 to 1.
    Share,
    /// A count from 0 on.
    Count,
    /// A count from 1 on.
    PositiveCount,
    /// A switch.
    Flag,
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// A name that comes in a header.
    HeaderName,
}
use Expected::{Amount, Count, Flag, HeaderName, OneOf, PositiveCount, PositiveTime, Share};

/// A key and what it expects.
type KeySpec = (&'static str, Expected);

/// A time in which something has to happen is a mistake beyond this (ms): some thirty years.
const MAX_TIME_MS: f64 = 1e12;
/// A count is a mistake beyond this.
const MAX_COUNT: f64 = 1e6;

/// Keys of the settings object itself. `me` and `zone` are drawn by the platform; what is no number counts as 0.
const TOP_LEVEL: &[KeySpec] = &[("balancers", Count), ("quantum", Amount), ("over-share-worth", Amount)];
const SERVICE: &[KeySpec] = &[
    ("name", HeaderName),
    ("aim", PositiveTime),
    ("deadline", PositiveTime),
    ("worth", Amount),
    ("late-worth", Amount),
    ("semantics", OneOf(&["free", "guarded", "single_shot"])),
    ("window", Amount),
];
const TENANT: &[KeySpec] = &[("name", HeaderName), ("allowance-per-s", Amount)];
const POLICY_LIMITS: &[KeySpec] = &[
    ("max-attempts", PositiveCount),
    ("max-retry-after", Amount),
    ("dial-timeout", PositiveTime),
    ("conn-idle", Amount),
    ("probes", Flag),
    ("cancel", Flag),
    ("second-copies", Flag),
    ("retry-after", Flag),
    ("may-tell", Flag),
];
const RULES: &[KeySpec] = &[
    ("grace-to-answer", Amount),
    ("drain-grace", Amount),
    ("cold", Amount),
    ("cold-from", Share),
    ("fall", Amount),
    ("fall-multiple", Amount),
];
const DOMAIN: &[KeySpec] = &[
    ("pin-limit", PositiveTime),
    ("move-fee", Amount),
    ("may-reserve", Flag),
    ("resume", Flag),
    ("local-read", Flag),
];
const PRICES: &[KeySpec] =
    &[("probe", Amount), ("handshake", Amount), ("discovery", Amount), ("waste", Amount)];
const SECTIONS: &[(&str, &[KeySpec])] =
    &[("policy-limits", POLICY_LIMITS), ("rules", RULES), ("domain", DOMAIN), ("prices", PRICES)];
/// Lists of the domain, and what each of their entries has to be.
const DOMAIN_LISTS: &[KeySpec] = &[
    ("stage-of-kind", OneOf(&["read", "write", "both"])),
    ("tokens-by-kind", Amount),
    ("token-aim", Amount),
    ("aim-us-per-1000-prompt-tokens", Amount),
];

/// Reads a settings object, or names the first key that is at fault.
pub fn checked(object: &Value) -> Result<Settings, SettingsFault> {
    if !object.is_object() {
        return fault("", "an object wanted");
    }
    check_keys("", object, TOP_LEVEL)?;
    check_named_list("services", object, SERVICE)?;
    check_named_list("tenants", object, TENANT)?;
    check_sections(object)?;
    check_domain_lists(&object["domain"])?;
    // Where lists are pushed the key has no meaning.
    if object["discovery"] == "subscribe" {
        check_value("rules.ask-within", &object["rules"]["ask-within"], PositiveTime)?;
    }
    let settings = settings(object);
    check_together(&settings)?;
    Ok(settings)
}

fn check_sections(object: &Value) -> Result<(), SettingsFault> {
    for (name, keys) in SECTIONS {
        match object.get(name) {
            None | Some(Value::Null) => {}
            Some(section @ Value::Object(_)) => check_keys(&format!("{name}."), section, keys)?,
            Some(_) => return fault(*name, "an object wanted"),
        }
    }
    Ok(())
}

fn check_domain_lists(domain: &Value) -> Result<(), SettingsFault> {
    for (name, expected) in DOMAIN_LISTS {
        let key = format!("domain.{name}");
        for (index, entry) in entries(&key, domain.get(name))?.iter().enumerate() {
            check_value(&format!("{key}[{index}]"), entry, *expected)?;
        }
    }
    Ok(())
}

/// What several keys have to give together.
fn check_together(settings: &Settings) -> Result<(), SettingsFault> {
    let at_least_one =
        [("services", settings.classes.is_empty()), ("domain.stage-of-kind", settings.kinds.is_empty())];
    for (key, is_empty) in at_least_one {
        if is_empty {
            return fault(key, "at least one entry wanted");
        }
    }
    if let Some(index) = settings.classes.iter().position(|class| class.deadline <= 0.0) {
        return fault(format!("services[{index}].deadline"), "milliseconds above 0 wanted");
    }
    // Apart, the attempt at a prefill server counts, and one at a decode server follows it.
    let one_stage =
        settings.kinds.iter().any(|kind| kind.role == Role::Mixed) || settings.decode_servers_prefill;
    if !one_stage && settings.limits.max_attempts < 2 {
        return fault("policy-limits.max-attempts", "at least 2 wanted where readers and writers are apart");
    }
    Ok(())
}

fn fault<T>(key: impl Into<String>, wanted: impl Into<String>) -> Result<T, SettingsFault> {
    Err(SettingsFault { key: key.into(), wanted: wanted.into() })
}

fn entries<'a>(key: &str, value: Option<&'a Value>) -> Result<&'a [Value], SettingsFault> {
    match value {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(entries)) => Ok(entries),
        Some(_) => fault(key, "a list wanted"),
    }
}

/// Checks a list of objects of which no two may have one name.
fn check_named_list(list: &str, object: &Value, keys: &[KeySpec]) -> Result<(), SettingsFault> {
    let all = entries(list, object.get(list))?;
    for (index, entry) in all.iter().enumerate() {
        // A tenant may be a mere name.
        if entry.is_string() && list == "tenants" {
            check_value(&format!("{list}[{index}]"), entry, HeaderName)?;
        } else if entry.is_object() {
            check_keys(&format!("{list}[{index}]."), entry, keys)?;
        } else {
            return fault(format!("{list}[{index}]"), "an object wanted");
        }
        let name = entry_name(entry);
        if name.is_some() && all[..index].iter().any(|earlier| entry_name(earlier) == name) {
            return fault(format!("{list}[{index}].name"), "a name of its own wanted");
        }
    }
    Ok(())
}

/// The name of an item of a list: the item itself, or its key `name`.
pub fn entry_name(entry: &Value) -> Option<&str> {
    entry.as_str().or_else(|| entry.get("name")?.as_str())
}

fn check_keys(path: &str, object: &Value, keys: &[KeySpec]) -> Result<(), SettingsFault> {
    keys.iter().try_for_each(|(key, expected)| check_value(&format!("{path}{key}"), &object[*key], *expected))
}

fn check_value(key: &str, value: &Value, expected: Expected) -> Result<(), SettingsFault> {
    if value.is_null() && !matches!(expected, OneOf(_)) {
        return Ok(());
    }
    match expected {
        OneOf(words) => check_word(key, value, words),
        HeaderName => check_header_name(key, value),
        Flag if value.is_boolean() => Ok(()),
        Flag => fault(key, "true or false wanted"),
        Amount | PositiveTime | Share | Count | PositiveCount => check_number(key, value, expected),
    }
}

fn check_number(key: &str, value: &Value, expected: Expected) -> Result<(), SettingsFault> {
    let (is_valid, wanted): (fn(f64) -> bool, &str) = match expected {
        PositiveTime => (|number| number > 0.0 && number <= MAX_TIME_MS, "milliseconds above 0 wanted"),
        Share => (|number| (0.0..=1.0).contains(&number), "a number from 0 to 1 wanted"),
        Count => (|number| (0.0..=MAX_COUNT).contains(&number), "a count wanted"),
        PositiveCount => (|number| (1.0..=MAX_COUNT).contains(&number), "a count of at least 1 wanted"),
        _ => (|number| number >= 0.0, "a number from 0 on wanted"),
    };
    if value.as_f64().is_some_and(is_valid) {
        return Ok(());
    }
    fault(key, wanted)
}

fn check_word(key: &str, value: &Value, words: &[&str]) -> Result<(), SettingsFault> {
    match value.as_str() {
        Some(word) if words.contains(&word) => Ok(()),
        Some(word) => fault(key, format!("{word:?} is none of {}", words.join(", "))),
        // In a list each entry counts by its index; elsewhere a word may be left out.
        None if value.is_null() && !key.ends_with(']') => Ok(()),
        None => fault(key, format!("one of {} wanted", words.join(", "))),
    }
}

fn check_header_name(key: &str, value: &Value) -> Result<(), SettingsFault> {
    let Some(name) = value.as_str() else { return fault(key, "text wanted") };
    if name == name.trim() && !name.chars().any(char::is_control) {
        return Ok(());
    }
    fault(key, format!("{name:?} cannot be a header's value: text without a blank at its ends wanted"))
}
