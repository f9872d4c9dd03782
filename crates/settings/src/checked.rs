//! Which key of a settings object is at fault, before a gateway starts with it.
//!
//! What is left out (or null) has a default: a class's `aim` its deadline, `max-attempts` 4, `dial-timeout` 250 ms, `pin-limit`
//! 300 ms, `ask-within` 10 s, `balancers` one, `semantics` that of a class that is never repeated, `discovery` pushed; any other
//! number 0 and any other switch off. What is there must be of its type and range.

use std::fmt;

use glenrail_router::Settings;
use serde_json::Value;

use crate::settings;

/// The key that is at fault, as a path from the settings on, and what is wanted there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub key: String,
    pub wanted: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.wanted)
    }
}

impl std::error::Error for Fault {}

/// What a value has to be where it is there.
#[derive(Clone, Copy)]
enum Wanted {
    /// Milliseconds, a rate, a price: from 0 on. A deployment may say "without bound" by any large number.
    Amount,
    /// A time in which something has to happen: none at all is no time.
    Time,
    Share,
    Count,
    /// A count of which there is at least one.
    Some,
    Flag,
    /// One of these words.
    Word(&'static [&'static str]),
    /// A name that comes in a header.
    Name,
}
use Wanted::{Amount, Count, Flag, Name, Share, Time, Word};

/// Beyond this a time in which something has to happen is a mistake: thirty years of milliseconds.
const MOST: f64 = 1e12;
/// Beyond this a count is one.
const MOST_COUNT: f64 = 1e6;

/// `me` and `zone` are numbers that the platform draws; what is no number counts as 0.
const WHOLE: &[(&str, Wanted)] = &[("balancers", Count), ("quantum", Amount), ("over-share-worth", Amount)];
const CLASS: &[(&str, Wanted)] = &[
    ("name", Name),
    ("aim", Time),
    ("deadline", Time),
    ("worth", Amount),
    ("late-worth", Amount),
    ("semantics", Word(&["free", "guarded", "single_shot"])),
    ("window", Amount),
];
const TENANT: &[(&str, Wanted)] = &[("name", Name), ("allowance-per-s", Amount)];
const SECTIONS: &[(&str, &[(&str, Wanted)])] = &[
    (
        "policy-limits",
        &[
            ("max-attempts", Wanted::Some),
            ("max-retry-after", Amount),
            ("dial-timeout", Time),
            ("conn-idle", Amount),
            ("probes", Flag),
            ("cancel", Flag),
            ("second-copies", Flag),
            ("retry-after", Flag),
            ("may-tell", Flag),
        ],
    ),
    (
        "rules",
        &[
            ("grace-to-answer", Amount),
            ("drain-grace", Amount),
            ("cold", Amount),
            ("cold-from", Share),
            ("fall", Amount),
            ("fall-multiple", Amount),
        ],
    ),
    (
        "domain",
        &[
            ("pin-limit", Time),
            ("move-fee", Amount),
            ("may-reserve", Flag),
            ("resume", Flag),
            ("local-read", Flag),
        ],
    ),
    ("prices", &[("probe", Amount), ("handshake", Amount), ("discovery", Amount), ("waste", Amount)]),
];
/// Lists of the domain, and what each of their entries has to be.
const LISTS: &[(&str, Wanted)] = &[
    ("stage-of-kind", Word(&["read", "write", "both"])),
    ("tokens-by-kind", Amount),
    ("token-aim", Amount),
    ("aim-us-per-1000-prompt-tokens", Amount),
];

/// The settings, or the first key that is at fault.
pub fn checked(v: &Value) -> Result<Settings, Fault> {
    if !v.is_object() {
        return fault("", "an object wanted");
    }
    object("", v, WHOLE)?;
    each("services", v, CLASS)?;
    each("tenants", v, TENANT)?;
    for (name, keys) in SECTIONS {
        match v.get(name) {
            None | Some(Value::Null) => {}
            Some(section @ Value::Object(_)) => object(&format!("{name}."), section, keys)?,
            Some(_) => return fault(*name, "an object wanted"),
        }
    }
    for (name, wanted) in LISTS {
        let key = format!("domain.{name}");
        for (i, entry) in entries(&key, v["domain"].get(name))?.iter().enumerate() {
            value(&format!("{key}[{i}]"), entry, *wanted)?;
        }
    }
    // Where lists are pushed it says nothing.
    if v["discovery"] == "subscribe" {
        value("rules.ask-within", &v["rules"]["ask-within"], Time)?;
    }
    let read = settings(v);
    for (key, none) in
        [("services", read.classes.is_empty()), ("domain.stage-of-kind", read.kinds.is_empty())]
    {
        if none {
            return fault(key, "at least one entry wanted");
        }
    }
    if let Some(i) = read.classes.iter().position(|c| c.deadline <= 0.0) {
        return fault(format!("services[{i}].deadline"), "milliseconds above 0 wanted");
    }
    // A reader's attempt counts, and a writer's follows it.
    let whole =
        read.kinds.iter().any(|k| k.role == glenrail_router::Role::Mixed) || read.decode_servers_prefill;
    if !whole && read.limits.max_attempts < 2 {
        return fault("policy-limits.max-attempts", "at least 2 wanted where readers and writers are apart");
    }
    Ok(read)
}

fn fault<T>(key: impl Into<String>, wanted: impl Into<String>) -> Result<T, Fault> {
    Err(Fault { key: key.into(), wanted: wanted.into() })
}

fn entries<'a>(key: &str, v: Option<&'a Value>) -> Result<&'a [Value], Fault> {
    match v {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(entries)) => Ok(entries),
        Some(_) => fault(key, "a list wanted"),
    }
}

/// A list of objects of which no two have one name.
fn each(name: &str, v: &Value, keys: &[(&str, Wanted)]) -> Result<(), Fault> {
    let all = entries(name, v.get(name))?;
    for (i, entry) in all.iter().enumerate() {
        // A mere name is one, too.
        if entry.is_string() && name == "tenants" {
            value(&format!("{name}[{i}]"), entry, Name)?;
        } else if entry.is_object() {
            object(&format!("{name}[{i}]."), entry, keys)?;
        } else {
            return fault(format!("{name}[{i}]"), "an object wanted");
        }
        let named = |v: &Value| v.as_str().or_else(|| v.get("name")?.as_str()).map(str::to_string);
        if named(entry).is_some_and(|n| all[..i].iter().any(|o| named(o).as_deref() == Some(n.as_str()))) {
            return fault(format!("{name}[{i}].name"), "a name of its own wanted");
        }
    }
    Ok(())
}

fn object(at: &str, v: &Value, keys: &[(&str, Wanted)]) -> Result<(), Fault> {
    keys.iter().try_for_each(|(key, wanted)| value(&format!("{at}{key}"), &v[*key], *wanted))
}

fn value(key: &str, v: &Value, wanted: Wanted) -> Result<(), Fault> {
    if v.is_null() && !matches!(wanted, Word(_)) {
        return Ok(());
    }
    let (good, what) = match (wanted, v.as_f64()) {
        (Amount, n) => (n.is_some_and(|n| n >= 0.0), "a number from 0 on wanted".into()),
        (Time, n) => (n.is_some_and(|n| n > 0.0 && n <= MOST), "milliseconds above 0 wanted".into()),
        (Share, n) => (n.is_some_and(|n| (0.0..=1.0).contains(&n)), "a number from 0 to 1 wanted".into()),
        (Count, n) => (n.is_some_and(|n| (0.0..=MOST_COUNT).contains(&n)), "a count wanted".into()),
        (Wanted::Some, n) => {
            (n.is_some_and(|n| (1.0..=MOST_COUNT).contains(&n)), "a count of at least 1 wanted".into())
        }
        (Flag, _) => (v.is_boolean(), "true or false wanted".into()),
        (Word(words), _) => match v.as_str() {
            Some(word) => (words.contains(&word), format!("{word:?} is none of {}", words.join(", "))),
            // In a list each entry counts by its place; elsewhere a word may be left out.
            None => (v.is_null() && !key.ends_with(']'), format!("one of {} wanted", words.join(", "))),
        },
        (Name, _) => match v.as_str() {
            Some(name) => {
                let carried = name == name.trim() && !name.chars().any(char::is_control);
                (
                    carried,
                    format!("{name:?} cannot be a header's value: text without a blank at its ends wanted"),
                )
            }
            None => (false, "text wanted".into()),
        },
    };
    if good {
        return Ok(());
    }
    fault(key, what)
}
