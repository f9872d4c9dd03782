//! What the platform's configuration may hold: a fault is told by its key and ends the start, what is left out has a default
//! that serves, and whatever is taken in the router bears.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output, Stdio};

use common::member::Process;
use common::{ask, post, read, run, stream, StandIn, STREAM};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

mod drive;

use drive::{file, load, whole};

/// A value put in, or taken out where there is none, at a place like `settings.rules.cold`.
fn at(mut v: Value, place: &str, new: Option<Value>) -> Value {
    let pointer = format!("/{}", place.replace('.', "/"));
    let (section, key) = pointer.rsplit_once('/').expect("a place");
    match (v.pointer_mut(section).expect("its section"), new) {
        (Value::Object(o), Some(new)) => drop(o.insert(key.into(), new)),
        (Value::Object(o), None) => drop(o.remove(key)),
        (Value::Array(a), Some(new)) => a[key.parse::<usize>().expect("an index")] = new,
        (section, _) => panic!("{section} has no keys"),
    }
    v
}

fn started(config: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_glenrail"));
    command.env_clear().env("EDGE_CONFIG", config).stdin(Stdio::null()).output().expect("the program starts")
}

/// Guards against a gateway that starts with what it cannot mean: a place, the value there, the key that is told.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn a_fault_ends_the_program_and_its_key_is_named() {
    let s = "settings.services";
    let cases = [
        ("limits", json!(5), "limits"),
        ("limits.sockets", json!(1), "limits.sockets"),
        ("limits.sockets", json!(1e30), "limits.sockets"),
        ("limits.memory_mb", json!(1), "limits.memory_mb"),
        ("limits.memory_mb", json!(1e30), "limits.memory_mb"),
        ("discovery", json!("nowhere"), "discovery"),
        ("discovery", json!("127.0.0.1:0"), "discovery"),
        ("discovery", json!("a b:1"), "discovery"),
        ("settings", json!([]), "settings"),
        ("settings.balancers", json!(-1), "settings.balancers"),
        ("settings.balancers", json!("two"), "settings.balancers"),
        ("settings.quantum", json!(-4.0), "settings.quantum"),
        (s, json!([]), "settings.services"),
        (s, json!({"slip": {}}), "settings.services"),
        ("settings.services.1", json!(7), "settings.services[1]"),
        ("settings.services.1.name", json!(7), "settings.services[1].name"),
        ("settings.services.1.name", json!("slip"), "settings.services[1].name"),
        ("settings.services.1.name", json!("a\nb"), "settings.services[1].name"),
        ("settings.services.1.name", json!(" talk"), "settings.services[1].name"),
        ("settings.services.1.name", json!("r\u{7f}ponse"), "settings.services[1].name"),
        ("settings.services.0.semantics", json!("idempotent"), "settings.services[0].semantics"),
        ("settings.services.0.semantics", json!(3), "settings.services[0].semantics"),
        ("settings.services.0.deadline", json!(0), "settings.services[0].deadline"),
        ("settings.services.0.deadline", json!(-6000.0), "settings.services[0].deadline"),
        ("settings.services.0.deadline", json!(1e300), "settings.services[0].deadline"),
        ("settings.services.0.deadline", Value::Null, "settings.services[0].deadline"),
        ("settings.services.2.aim", json!(0), "settings.services[2].aim"),
        ("settings.services.2.window", json!("long"), "settings.services[2].window"),
        ("settings.tenants", json!("t"), "settings.tenants"),
        ("settings.tenants.1", json!({"name": "t"}), "settings.tenants[1].name"),
        ("settings.tenants.0.allowance-per-s", json!(-4), "settings.tenants[0].allowance-per-s"),
        ("settings.domain", json!(1), "settings.domain"),
        ("settings.domain.stage-of-kind", json!([]), "settings.domain.stage-of-kind"),
        ("settings.domain.stage-of-kind.1", json!("wirte"), "settings.domain.stage-of-kind[1]"),
        ("settings.domain.stage-of-kind.1", Value::Null, "settings.domain.stage-of-kind[1]"),
        ("settings.domain.tokens-by-kind.0", json!(-1), "settings.domain.tokens-by-kind[0]"),
        ("settings.domain.pin-limit", json!(0), "settings.domain.pin-limit"),
        ("settings.domain.may-reserve", json!("yes"), "settings.domain.may-reserve"),
        ("settings.policy-limits.max-attempts", json!(0), "settings.policy-limits.max-attempts"),
        ("settings.policy-limits.max-attempts", json!(1e9), "settings.policy-limits.max-attempts"),
        ("settings.policy-limits.dial-timeout", json!(0), "settings.policy-limits.dial-timeout"),
        ("settings.policy-limits.cancel", json!(1), "settings.policy-limits.cancel"),
        ("settings.policy-limits.conn-idle", json!("long"), "settings.policy-limits.conn-idle"),
        ("settings.rules.cold-from", json!(3), "settings.rules.cold-from"),
        ("settings.rules.fall", json!(true), "settings.rules.fall"),
        ("settings.rules.ask-within", json!(0), "settings.rules.ask-within"),
        ("settings.prices.probe", json!(-0.1), "settings.prices.probe"),
    ];
    let told = |config: &Value, key: &str| {
        let out = started(&file("fault", &config.to_string()));
        let said = String::from_utf8_lossy(&out.stderr).to_string();
        let told = said.contains(&format!("configuration: {key}: "));
        assert!(out.status.code() == Some(1) && told && !said.contains("panicked"), "{key}: {said}");
    };
    for (place, value, key) in cases {
        told(&at(whole(), place, Some(value)), key);
    }
    let unbounded = at(whole(), "settings.services.1.window", Some(json!(u64::MAX)));
    load(&file("unbounded", &unbounded.to_string())).expect("a window without an end");
    // With readers and writers apart one attempt answers nobody; a mixed server answers with one.
    let one = at(whole(), "settings.policy-limits.max-attempts", Some(json!(1)));
    load(&file("one", &one.to_string())).expect("a mixed server answers");
    let apart = at(one, "settings.domain.stage-of-kind", Some(json!(["read", "write"])));
    told(&apart, "settings.policy-limits.max-attempts");
    for (place, key) in
        [("settings", "settings"), ("settings.domain.stage-of-kind", "settings.domain.stage-of-kind"), (s, s)]
    {
        told(&at(whole(), place, None), key);
    }
}

/// Guards the defaults: what is left out serves, under names that only just come in a header.
#[test]
fn settings_left_out_have_defaults_that_serve() {
    const ODD: &str = "item \"query\"/%,=;:<b> 100%";
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, _| stream()).await;
        let host = |name: &str, class: &str, at: &StandIn| {
            json!({"host": name, "dial": at.address.to_string(),
            "site": "z\u{fc}rich\n", "class": class, "health": "SERVING"})
        };
        let config = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "known": {"seq": 1, "whole": true, "hosts": [host("r", "\u{1f600}", &reader), host("w", "", &writer)]},
            "settings": {"kinds": ["\u{1f600}", ""], "zones": ["z\u{fc}rich\n"], "tenants": [{"name": ODD}],
                "services": [{"name": ODD, "deadline": 20000.0}], "prices": null,
                "domain": {"stage-of-kind": ["read", "write"], "pin-limit": null}}});
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenrail"));
        let process =
            Process::start(command.env_clear().env("EDGE_CONFIG", file("least", &config.to_string())));
        let address: SocketAddr = process.said("platform front on ").parse().expect("an address");
        for (n, more) in [("0", "Req-Owner"), ("1", "Req-Key")] {
            let headers = [("req-id", n), ("req-kind", ODD), (more, ODD)];
            let answer = ask(address, post("/v1/chat/completions", &headers, "{}")).await;
            assert_eq!((answer.status().as_u16(), answer.body().as_deref()), (200, Some(STREAM.as_bytes())));
        }
        assert_eq!((reader.count("POST"), writer.count("POST")), (2, 2));
    });
}

/// The same deployment under these names and in these orders; with the new place of each class, tenant and kind.
fn renamed(names: &[String], orders: &[Vec<usize>; 3]) -> (Value, [Vec<u32>; 3]) {
    let mut v = whole();
    let s = &mut v["settings"];
    let reorder = |list: &mut Value, order: &[usize]| {
        let old = list.as_array().expect("a list").clone();
        *list = order.iter().map(|i| old[*i].clone()).collect();
    };
    let mut name = names.iter();
    let mut next = || json!(name.next().expect("a name"));
    for (list, order) in ["services", "tenants"].into_iter().zip(orders) {
        reorder(&mut s[list], order);
        s[list].as_array_mut().expect("a list").iter_mut().for_each(|entry| entry["name"] = next());
    }
    s["kinds"] = orders[2].iter().map(|_| next()).collect();
    s["zones"] = (0..2).map(|_| next()).collect();
    for list in ["token-aim", "aim-us-per-1000-prompt-tokens"] {
        reorder(&mut s["domain"][list], &orders[0]);
    }
    for list in ["stage-of-kind", "tokens-by-kind"] {
        reorder(&mut s["domain"][list], &orders[2]);
    }
    let places = |order: &Vec<usize>| {
        let place = |of| order.iter().position(|o| *o == of).expect("a permutation") as u32;
        (0..order.len()).map(place).collect()
    };
    (v, orders.each_ref().map(places))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Nothing hangs on how a customer's classes, tenants, kinds and zones are called or in which order they stand.
    #[test]
    fn names_and_their_order_change_no_decision(
        names in prop::collection::hash_set("[!-~]([ -~]{0,12}[!-~])?", 10), seed in any::<u64>(), fates in drive::fates(),
        classes in Just(vec![0, 1, 2]).prop_shuffle(), tenants in Just(vec![0, 1]).prop_shuffle(),
        kinds in Just(vec![0, 1, 2]).prop_shuffle(),
    ) {
        let day = |config: &Value, [classes, tenants, kinds]: [Vec<u32>; 3]| {
            let told = load(&file("renamed", &config.to_string())).expect("a configuration");
            drive::requests(drive::Deployment { settings: told.settings, classes, tenants, kinds }, seed, &fates, true)
        };
        let names: Vec<String> = names.into_iter().collect();
        let (other, places) = renamed(&names, &[classes, tenants, kinds]);
        let own = day(&whole(), [vec![0, 1, 2], vec![0, 1], vec![0, 1, 2]]);
        let sends = own.iter().filter(|(_, a)| matches!(a, glenrail_router::Action::Send { .. })).count();
        prop_assert!(sends > 0, "the day is empty");
        prop_assert_eq!(own, day(&other, places));
    }
}

/// A place of the configuration, by the way that a list of numbers takes through it.
fn places(v: &Value, at: &str, all: &mut Vec<String>) {
    let mut go = |key: String, v: &Value| {
        let place = format!("{at}/{key}");
        all.push(place.clone());
        places(v, &place, all);
    };
    match v {
        Value::Object(o) => o.iter().for_each(|(k, v)| go(k.clone(), v)),
        Value::Array(a) => a.iter().enumerate().for_each(|(i, v)| go(i.to_string(), v)),
        _ => {}
    }
}

fn odd() -> impl Strategy<Value = Option<Value>> {
    let number = prop_oneof![
        prop::sample::select(vec![
            0.0, -0.0, 1.0, 2.0, -1.0, 0.5, 1e-300, 5e-324, 1e6, 1e12, 1e15, 1e300, -1e300
        ]),
        any::<f64>().prop_filter("JSON has no other", |f| f.is_finite()),
    ];
    let whole = prop::sample::select(vec![0, 1, 2, u64::MAX, 1 << 31, 1 << 32, (1 << 32) + 1, 1 << 53]);
    let text = prop::sample::select(vec![
        "",
        "free",
        "read",
        "both",
        "subscribe",
        "cell",
        "\0",
        "a b",
        "\u{fc}",
        "1",
    ]);
    prop_oneof![
        4 => number.prop_map(|n| Some(json!(n))),
        3 => whole.prop_map(|n| Some(json!(n))),
        2 => text.prop_map(|t| Some(json!(t))),
        1 => Just(None),
        1 => Just(Some(Value::Null)),
        1 => any::<bool>().prop_map(|b| Some(json!(b))),
        1 => Just(Some(json!([]))),
        1 => Just(Some(json!({}))),
        1 => Just(Some(json!([{"name": "slip", "deadline": 1.0}, {"deadline": 2.0}]))),
    ]
}

fn mutated() -> impl Strategy<Value = Value> {
    prop::collection::vec((any::<prop::sample::Index>(), odd()), 1..5).prop_map(|mutations| {
        let mut v = whole();
        for (which, new) in mutations {
            let mut all = Vec::new();
            places(&v, "", &mut all);
            if all.is_empty() {
                continue;
            }
            let (section, key) = which.get(&all).rsplit_once('/').expect("a place");
            match (v.pointer_mut(section).expect("its section"), new) {
                (Value::Object(o), Some(new)) => drop(o.insert(key.into(), new)),
                (Value::Object(o), None) => drop(o.remove(key)),
                (Value::Array(a), Some(new)) => a[key.parse::<usize>().expect("an index")] = new,
                (Value::Array(a), None) => drop(a.remove(key.parse().expect("an index"))),
                (section, _) => unreachable!("{section} has no keys"),
            }
        }
        v
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Whatever a configuration holds, it is read or a key is told; what is read the router bears, and each request has its
    /// one answer by its time. The simulator's adapter takes settings without a check: there, too, nothing ends the module.
    #[test]
    fn any_configuration_serves_or_its_fault_is_named(v in mutated(), seed in any::<u64>(), fates in drive::fates()) {
        let path = file(&format!("mutated_{}", std::process::id()), &v.to_string());
        if let Some(settings) = v.get("settings") {
            drive::requests(glenrail_settings::parse_settings(settings), seed, &fates, false);
        }
        match load(&path) {
            Ok(told) => drop(drive::requests(told.settings, seed, &fates, true)),
            Err(what) => {
                let key = what.strip_prefix("configuration: ").and_then(|w| w.split_once(": "));
                prop_assert!(key.is_some_and(|(key, wanted)| !key.is_empty() && !wanted.is_empty()), "{what}");
            }
        }
    }
}
