//! The settings object of a deployment, as JSON, in the decision module's own terms. The simulator's adapter and
//! the gateway read the same object, so they share this one reader. Unknown keys are skipped, and a value that is no use is
//! taken for one that is left out; [`checked`] says which key is at fault instead.

mod checked;

pub use checked::{checked, Fault};

use glenrail_router::*;
use serde_json::Value;

/// Attempts of a request where the settings do not say how many.
const ATTEMPTS: u32 = 4;
/// How long a connection may take to come up where they do not say (ms).
const DIAL: Millis = 250.0;
/// How long a state may be held where they do not say (ms): the least of all deployments.
const PIN: Millis = 300.0;
/// How late a list may be asked for where they do not say (ms).
const ASK_WITHIN: Millis = 10_000.0;

pub fn number(v: &Value, key: &str) -> f64 {
    v.get(key).and_then(Value::as_f64).unwrap_or(0.0)
}

pub fn integer(v: &Value, key: &str) -> u64 {
    match v.get(key) {
        Some(n) => n.as_u64().unwrap_or_else(|| n.as_f64().unwrap_or(0.0) as u64),
        None => 0,
    }
}

/// A count; one beyond the range is the most of it, not what is left of it.
fn count(v: &Value, key: &str) -> u32 {
    u32::try_from(integer(v, key)).unwrap_or(u32::MAX)
}

/// Whether a key is left out.
fn absent(v: &Value, key: &str) -> bool {
    v.get(key).is_none_or(Value::is_null)
}

/// A number, or this one where it is left out.
fn number_or(v: &Value, key: &str, default: f64) -> f64 {
    if absent(v, key) {
        default
    } else {
        number(v, key)
    }
}

pub fn flag(v: &Value, key: &str) -> bool {
    v.get(key).and_then(Value::as_bool).unwrap_or(false)
}

pub fn text<'a>(v: &'a Value, key: &str) -> &'a str {
    v.get(key).and_then(Value::as_str).unwrap_or("")
}

pub fn list<'a>(v: &'a Value, key: &str) -> &'a [Value] {
    v.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// FNV-1a of the address: the same number at every router, whatever order the lists came in.
pub fn server_id(address: &str) -> ServerId {
    ServerId(
        address.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)),
    )
}

/// A load report from its named values, whichever of a field's names the carrier uses.
pub fn report(get: impl Fn(&str) -> Option<f64>) -> LoadReport {
    LoadReport {
        in_flight: get("outstanding").or_else(|| get("inflight")),
        queue: get("backlog").or_else(|| get("queue")),
        utilization: get("utilization").or_else(|| get("util")),
        memory_share: get("x0"),
        backlog_kilotokens: get("x1"),
    }
}

fn class(settings: &Value, index: usize, v: &Value) -> RequestClass {
    let domain = &settings["domain"];
    let nth = |key: &str| list(domain, key).get(index).and_then(Value::as_f64).unwrap_or(0.0);
    RequestClass {
        latency_objective: number_or(v, "aim", number(v, "deadline")),
        latency_objective_per_1000_tokens: nth("aim-us-per-1000-prompt-tokens") / 1000.0,
        deadline: number(v, "deadline"),
        inter_token_objective: nth("token-aim"),
        priority_weight: number(v, "worth"),
        late_priority_weight: number(v, "late-worth"),
        idempotency: match text(v, "semantics") {
            "free" => Idempotency::Idempotent,
            "guarded" => Idempotency::IdempotencyKey,
            _ => Idempotency::NonIdempotent,
        },
        deduplication_scope: match text(v, "group") {
            "cell" => DeduplicationScope::Cell,
            "zone" => DeduplicationScope::Zone,
            _ => DeduplicationScope::All,
        },
        idempotency_window: number(v, "window"),
    }
}

fn kinds(settings: &Value) -> Vec<ServerKind> {
    let domain = &settings["domain"];
    let memory = list(domain, "tokens-by-kind");
    let role = |v: &Value| match v.as_str() {
        Some("read") => Role::Prefill,
        Some("write") => Role::Decode,
        _ => Role::Mixed,
    };
    list(domain, "stage-of-kind")
        .iter()
        .enumerate()
        .map(|(i, v)| ServerKind {
            role: role(v),
            memory_tokens: memory.get(i).and_then(Value::as_f64).unwrap_or(0.0),
        })
        .collect()
}

pub fn settings(v: &Value) -> Settings {
    let (domain, limits, rules) = (&v["domain"], &v["policy-limits"], &v["rules"]);
    Settings {
        router_index: count(v, "me"),
        router_count: count(v, "balancers"),
        zone: count(v, "zone"),
        tick_interval: number(v, "quantum"),
        kinds: kinds(v),
        classes: list(v, "services").iter().enumerate().map(|(i, c)| class(v, i, c)).collect(),
        tenants: list(v, "tenants")
            .iter()
            .map(|t| Tenant { allowance_per_s: number(t, "allowance-per-s") })
            .collect(),
        limits: Limits {
            max_attempts: if absent(limits, "max-attempts") {
                ATTEMPTS
            } else {
                count(limits, "max-attempts")
            },
            max_retry_after: number(limits, "max-retry-after"),
            connect_timeout: number_or(limits, "dial-timeout", DIAL),
            probes: flag(limits, "probes"),
            cancellation: flag(limits, "cancel"),
            hedging: flag(limits, "second-copies"),
            retry_after: flag(limits, "retry-after"),
            gossip: flag(limits, "may-tell"),
            slot_reservation: flag(domain, "may-reserve"),
        },
        rules: Rules {
            answer_grace: number(rules, "grace-to-answer"),
            drain_grace: number(rules, "drain-grace"),
            lease_limit: number_or(domain, "pin-limit", PIN),
            slow_start_window: number(rules, "cold"),
            slow_start_initial_share: number(rules, "cold-from"),
            overload_window: number(rules, "fall"),
            overload_multiple: number(rules, "fall-multiple"),
            discovery_poll_limit: number_or(rules, "ask-within", ASK_WITHIN),
        },
        discovery: match text(v, "discovery") {
            "subscribe" => Discovery::Subscribe,
            _ => Discovery::Push,
        },
        over_quota_priority_weight: number(v, "over-share-worth"),
        prices: Prices { probe: number(&v["prices"], "probe"), cell_transfer: number(domain, "move-fee") },
        stream_resumption: flag(domain, "resume"),
        decode_servers_prefill: flag(domain, "local-read"),
    }
}

#[cfg(test)]
mod tests;
