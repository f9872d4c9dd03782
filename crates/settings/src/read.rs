//! Conversion of the settings JSON to the router's settings types.

use glenrail_router::{
    DeduplicationScope, Discovery, Idempotency, Limits, LoadReport, Prices, RequestClass, Role, Rules,
    ServerId, ServerKind, Settings, Tenant,
};
use serde_json::Value;

use crate::json::{count, count_or, flag, list, number, number_or, text};

/// Default maximum number of attempts of a request.
const DEFAULT_MAX_ATTEMPTS: u32 = 4;
/// Default time within which a connection must be established (ms).
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// Default limit of a state lease (ms), which is the shortest limit of all deployments.
const DEFAULT_LEASE_LIMIT_MS: f64 = 300.0;
/// Default time within which the endpoint list must be polled again (ms).
const DEFAULT_POLL_LIMIT_MS: f64 = 10_000.0;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the id of a server, which is the FNV-1a hash of its name. It is the same at every router,
/// regardless of the order of the server lists.
pub fn server_id(name: &str) -> ServerId {
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    ServerId(name.bytes().fold(FNV_OFFSET_BASIS, hash))
}

/// Builds a load report from named values. Some fields have alternative names, depending on the source.
pub fn load_report(value_of: impl Fn(&str) -> Option<f64>) -> LoadReport {
    LoadReport {
        in_flight: value_of("outstanding").or_else(|| value_of("inflight")),
        queue: value_of("backlog").or_else(|| value_of("queue")),
        utilization: value_of("utilization").or_else(|| value_of("util")),
        memory_share: value_of("x0"),
        backlog_kilotokens: value_of("x1"),
    }
}

/// Parses a settings object leniently: a value that is missing or has the wrong type gets its default.
pub fn parse_settings(object: &Value) -> Settings {
    let domain = &object["domain"];
    Settings {
        router_index: count(object, "me"),
        router_count: count(object, "balancers"),
        zone: count(object, "zone"),
        tick_interval: number(object, "quantum"),
        kinds: server_kinds(domain),
        classes: request_classes(object),
        tenants: tenants(object),
        limits: limits(&object["policy-limits"], domain),
        rules: rules(&object["rules"], domain),
        discovery: match text(object, "discovery") {
            "subscribe" => Discovery::Subscribe,
            _ => Discovery::Push,
        },
        over_quota_priority_weight: number(object, "over-share-worth"),
        prices: Prices {
            probe: number(&object["prices"], "probe"),
            cell_transfer: number(domain, "move-fee"),
        },
        stream_resumption: flag(domain, "resume"),
        decode_servers_prefill: flag(domain, "local-read"),
    }
}

/// Parses the server kinds. Their roles and memory sizes are in two lists of the domain, by index.
fn server_kinds(domain: &Value) -> Vec<ServerKind> {
    let memory = list(domain, "tokens-by-kind");
    let kind = |(index, role): (usize, &Value)| ServerKind {
        role: role_of_kind(role),
        memory_tokens: memory.get(index).and_then(Value::as_f64).unwrap_or(0.0),
    };
    list(domain, "stage-of-kind").iter().enumerate().map(kind).collect()
}

fn role_of_kind(stage: &Value) -> Role {
    match stage.as_str() {
        Some("read") => Role::Prefill,
        Some("write") => Role::Decode,
        _ => Role::Mixed,
    }
}

fn request_classes(object: &Value) -> Vec<RequestClass> {
    let services = list(object, "services").iter().enumerate();
    services.map(|(index, service)| request_class(&object["domain"], index, service)).collect()
}

/// Parses a request class. Some of its values are in lists of the domain, by the index of the class.
fn request_class(domain: &Value, index: usize, service: &Value) -> RequestClass {
    let from_domain = |key: &str| list(domain, key).get(index).and_then(Value::as_f64).unwrap_or(0.0);
    RequestClass {
        latency_objective: number_or(service, "aim", number(service, "deadline")),
        // The settings contain microseconds.
        latency_objective_per_1000_tokens: from_domain("aim-us-per-1000-prompt-tokens") / 1000.0,
        deadline: number(service, "deadline"),
        inter_token_objective: from_domain("token-aim"),
        priority_weight: number(service, "worth"),
        late_priority_weight: number(service, "late-worth"),
        idempotency: match text(service, "semantics") {
            "free" => Idempotency::Idempotent,
            "guarded" => Idempotency::IdempotencyKey,
            _ => Idempotency::NonIdempotent,
        },
        deduplication_scope: match text(service, "group") {
            "cell" => DeduplicationScope::Cell,
            "zone" => DeduplicationScope::Zone,
            _ => DeduplicationScope::All,
        },
        idempotency_window: number(service, "window"),
    }
}

fn tenants(object: &Value) -> Vec<Tenant> {
    let tenant = |entry: &Value| Tenant { allowance_per_s: number(entry, "allowance-per-s") };
    list(object, "tenants").iter().map(tenant).collect()
}

fn limits(policy_limits: &Value, domain: &Value) -> Limits {
    Limits {
        max_attempts: count_or(policy_limits, "max-attempts", DEFAULT_MAX_ATTEMPTS),
        max_retry_after: number(policy_limits, "max-retry-after"),
        connect_timeout: number_or(policy_limits, "dial-timeout", DEFAULT_CONNECT_TIMEOUT_MS),
        probes: flag(policy_limits, "probes"),
        cancellation: flag(policy_limits, "cancel"),
        hedging: flag(policy_limits, "second-copies"),
        retry_after: flag(policy_limits, "retry-after"),
        gossip: flag(policy_limits, "may-tell"),
        slot_reservation: flag(domain, "may-reserve"),
    }
}

fn rules(rules: &Value, domain: &Value) -> Rules {
    Rules {
        answer_grace: number(rules, "grace-to-answer"),
        drain_grace: number(rules, "drain-grace"),
        lease_limit: number_or(domain, "pin-limit", DEFAULT_LEASE_LIMIT_MS),
        slow_start_window: number(rules, "cold"),
        slow_start_initial_share: number(rules, "cold-from"),
        overload_window: number(rules, "fall"),
        overload_multiple: number(rules, "fall-multiple"),
        discovery_poll_limit: number_or(rules, "ask-within", DEFAULT_POLL_LIMIT_MS),
    }
}
