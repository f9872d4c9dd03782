//! Tests of the lenient parser and of server ids.

use glenrail_router::{Idempotency, Role};

use super::{parse_settings, server_id};

#[test]
fn classes_and_roles_come_from_their_lists() {
    let parsed = parse_settings(&serde_json::json!({
        "kinds": ["p", "a"],
        "services": [{"aim": 2000.0, "semantics": "free"}, {"aim": 2500.0, "semantics": "single_shot"}],
        "domain": {"stage-of-kind": ["read", "write"], "aim-us-per-1000-prompt-tokens": [40000.0, 1000.0]},
        "policy-limits": {"max-attempts": 5},
        "prices": {"probe": 0.003},
    }));
    assert_eq!((parsed.kinds[0].role, parsed.kinds[1].role), (Role::Prefill, Role::Decode));
    assert_eq!(
        (parsed.classes[0].idempotency, parsed.classes[1].idempotency),
        (Idempotency::Idempotent, Idempotency::NonIdempotent)
    );
    assert_eq!((parsed.classes[0].latency_objective_per_1000_tokens, parsed.limits.max_attempts), (40.0, 5));
    assert_eq!((parsed.prices.probe, parsed.prices.cell_transfer), (0.003, 0.0));
}

#[test]
fn the_id_of_a_server_depends_on_its_name_alone() {
    assert_eq!(server_id("s-1"), server_id("s-1"));
    assert_ne!(server_id("s-1"), server_id("s-2"));
}
