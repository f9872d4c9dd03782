//! Tests of complete and faulty platform configurations, and of the partition of file descriptors.

use std::time::Duration;

use serde_json::{json, Value};

use super::bounds::RESERVED_DESCRIPTORS;
use super::{from_json, platform, Bounds};
use crate::front::server::MAX_REJECTING_CONNECTIONS;

fn complete() -> Value {
    json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "settings": {"services": [{"name": "a", "deadline": 4000.0}], "kinds": ["r"],
            "domain": {"stage-of-kind": ["both"]}, "policy-limits": {"conn-idle": 9000.0}}})
}

#[test]
fn a_complete_configuration_is_read_and_defaults_fill_the_rest() {
    let read = from_json(&complete(), &|_| None).expect("a configuration");
    assert_eq!((read.seed, read.classes[0].as_str()), (0x8c1f_30d2_7a5b_e964, "a"));
    assert_eq!(read.conn_idle, Duration::from_secs(9));
    let mut least = complete();
    least["settings"]["policy-limits"] = Value::Null;
    let least = from_json(&least, &|_| None).expect("a configuration");
    assert_eq!((least.conn_idle, least.settings.limits.max_attempts), (Duration::from_secs(15), 4));
    let bounds = read.bounds;
    assert!(bounds.client_connections + bounds.server_connections + 40 <= 1024);
    assert!(bounds.bodies <= 64 << 20);
}

#[test]
fn a_faulty_key_is_named() {
    for (key, value) in [
        ("listen", json!("here")),
        ("listen", json!(1)),
        ("discovery", json!(7)),
        ("ops", json!("there")),
        ("ops", json!(9)),
        ("name", json!(3)),
        ("seed", json!("xyz")),
        ("limits.sockets", json!({"sockets": "many"})),
        ("settings", json!(null)),
        ("settings.services", json!({"domain": {"stage-of-kind": ["read"]}})),
        ("settings.services[0].deadline", json!({"services": [{}], "domain": {"stage-of-kind": ["read"]}})),
    ] {
        let mut json = complete();
        json[key.split('.').next().expect("a key")] = value;
        assert_eq!(from_json(&json, &|_| None).expect_err(key).key, key);
    }
    let only_listen = |name: &str| (name == "EDGE_LISTEN").then(|| "127.0.0.1:1".to_string());
    assert_eq!(platform(only_listen).expect_err("an error").key, "EDGE_CONFIG");
    assert!(platform(|_| None).expect("nothing set").is_none());
}

/// Guards against descriptor exhaustion: the maximum numbers of client, server and operator connections, including
/// those being rejected, leave the descriptors that the process needs for discovery, the operators' front and the
/// listeners.
#[test]
fn connections_leave_the_process_its_own_descriptors() {
    for sockets in [40, 41, 48, 64, 96, 100, 128, 192, 256, 768, 1_024, 4_096] {
        let bounds = Bounds::new(sockets, 192);
        let front = |cap: usize| cap + cap.min(MAX_REJECTING_CONNECTIONS) + 1;
        for second in [0, 1, bounds.client_connections / 2] {
            let second_front = if second > 0 { front(second) } else { 0 };
            let clients = front(bounds.client_connections - second) + second_front;
            let used = RESERVED_DESCRIPTORS + clients + bounds.server_connections + front(bounds.operators);
            assert!(used <= sockets, "{sockets}: {used} with {bounds:?}, {second} of the second front");
        }
        // The limits use most of the available descriptors.
        assert!(bounds.client_connections * 5 >= sockets - 40);
        assert_eq!(bounds.server_connections, bounds.client_connections);
    }
}
