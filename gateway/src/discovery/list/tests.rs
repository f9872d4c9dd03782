//! Tests of the parsing of endpoint lists and of the conversion of lines to router entries.

use std::time::Duration;

use glenrail_router::ServerState;
use proptest::prelude::*;
use serde::Deserialize;
use serde_json::{json, Value};

use super::{Endpoint, EndpointList, SettingsNames, UNKNOWN_KIND};
use crate::core::Clock;

/// Guards the other lines of a list against an unusable one, with any white space between them, and against two entries
/// for one server.
#[test]
fn an_unusable_line_leaves_the_others_usable() {
    let lines = [
        &br#"{"host": "s-1", "dial": "127.0.0.1:1", "health": "SERVING"}"#[..],
        br#"{"host": "s-2", "dial": "127.0.0.1:2", "health": "SERVING", "share": "much"}"#,
        br#"{"host": "s-3", "health": "SERVING"}"#,
        br#"{"host": 4, "dial": "127.0.0.1:4"}"#,
        br#""s-5""#,
        br#"{"dial": "127.0.0.1:6", "health": "SERVING"}"#,
        br#"{"host": "s-7", "dial": null, "health": "DELETED"}"#,
        br#"{"host": "s-8", "dial": "127.0.0.1:8", "health": "SERVING", "born_ms": 1e999}"#,
        b"{\"host\": \"s-9\", \"dial\": \"\xff\xfe\", \"health\": \"\\ud800\"}",
        br#"{"host": "s-1", "dial": "127.0.0.1:8", "health": "DRAINING", "born_ms": 1e999}"#,
        br#"{"host": "s-10", "dial": "127.0.0.1:10", "health": "SERVING", "site": null, "born_ms": null}"#,
    ];
    for separator in [&b","[..], b",\n    ", b"\r\n\t,\r\n\t"] {
        let text = [
            b" {\n  \"seq\": 7,\n  \"whole\": true,\n  \"hosts\": [\n",
            &lines.join(separator)[..],
            b"]\n}\n",
        ];
        let list = EndpointList::read(&text.concat()).expect("a list");
        let read: Vec<(&str, &str)> =
            list.endpoints.iter().map(|endpoint| (&*endpoint.host, &*endpoint.address)).collect();
        assert_eq!((list.version, list.is_full), (7, true));
        assert_eq!(read, [("s-7", ""), ("s-1", "127.0.0.1:8"), ("s-10", "127.0.0.1:10")]);
        let states: Vec<ServerState> = list.endpoints.iter().map(Endpoint::state).collect();
        assert_eq!(states, [ServerState::Terminated, ServerState::Draining, ServerState::Ready]);
    }
}

proptest! {
    /// Guards against losing valid lines: of any list with one faulty line, indented or not, all other lines are
    /// parsed.
    #[test]
    fn one_faulty_line_is_left_out_alone(
        names in prop::collection::btree_set("s-[0-9a-f]{8}", 1..20), position: prop::sample::Index, indented: bool,
        faulty in prop::sample::select(vec![
            json!(null), json!(7), json!([]), json!({}), json!({"host": []}),
            json!({"host": "x", "dial": "127.0.0.1:1", "health": "SERVING", "born_ms": "long ago"}),
        ]),
    ) {
        let names: Vec<String> = names.into_iter().collect();
        let line = |name: &String| json!({"host": name, "dial": "127.0.0.1:1", "health": "SERVING"});
        let mut hosts: Vec<Value> = names.iter().map(line).collect();
        hosts.insert(position.index(hosts.len()), faulty);
        let list = json!({"seq": 1, "whole": true, "hosts": hosts});
        let write = if indented { serde_json::to_vec_pretty } else { serde_json::to_vec };
        let list = EndpointList::read(&write(&list).expect("a list")).expect("a list");
        prop_assert_eq!(list.endpoints.into_iter().map(|endpoint| endpoint.host).collect::<Vec<_>>(), names);
    }
}

/// Guards the ids that all gateways share: the id of a server depends only on `host`, not on the address used here.
#[test]
fn a_server_id_follows_from_its_host_and_names_from_the_settings() {
    let names = SettingsNames { zones: vec!["dc".into()], kinds: vec!["read".into(), "write".into()] };
    let clock = Clock::new(Duration::from_secs(100));
    let line = |line: &str| {
        Endpoint::deserialize(serde_json::from_str::<Value>(line).expect("JSON")).expect("a line")
    };
    let a = line(
        r#"{"host": "s-1", "dial": "127.0.0.1:1", "site": "dc", "class": "write", "block": 3, "health": "SERVING",
            "share": 2.0, "born_ms": 104000}"#,
    );
    let b =
        line(r#"{"host": "s-1", "dial": "127.0.0.1:2", "health": "DRAINING", "class": "other", "new": 1}"#);
    let [a, b] = [a, b].map(|endpoint| endpoint.router_entry(&names, &clock));
    assert_eq!(a.server, b.server);
    assert_eq!((a.zone, a.kind, a.cell, a.weight, a.state), (0, 1, 3, 2.0, ServerState::Ready));
    assert_eq!((b.state, b.started, b.kind), (ServerState::Draining, None, UNKNOWN_KIND));
    assert!((a.started.expect("a start") - 4_000.0).abs() < 1e-6);
}
