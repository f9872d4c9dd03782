//! Tests of the adapter program with literal input lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(lines: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_glenrail-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("stdin").write_all(lines.as_bytes()).expect("lines are written");
    child.wait_with_output().expect("the adapter terminates")
}

fn replies(lines: &str) -> Vec<serde_json::Value> {
    let out = run_adapter(lines);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let text = String::from_utf8(out.stdout).expect("UTF-8");
    text.lines().map(|l| serde_json::from_str(l).expect("JSON")).collect()
}

const START_BATCH: &str = concat!(
    r#"{"sim-time":100.0,"inbox":[{"verb":"INIT","i":4,"seed":9,"settings":{"balancers":2,"me":0,"quantum":1.0,"#,
    r#""kinds":["r","w"],"domain":{"stage-of-kind":["read","write"],"tokens-by-kind":[200000,150000],"#,
    r#""token-aim":[50.0],"aim-us-per-1000-prompt-tokens":[60000.0],"pin-limit":500.0},"#,
    r#""services":[{"aim":1000.0,"deadline":4000.0,"semantics":"free","stream":true}],"#,
    r#""policy-limits":{"max-attempts":6,"cancel":true,"probes":true},"rules":{"cold":9000.0,"cold-from":0.3},"#,
    r#""not-known-yet":[1,2]}},{"verb":"ENDPOINTS","i":4,"scope":2,"gen":1,"items":["#,
    r#"{"host":"10.0.0.1:80","class-of-host":0,"health":1,"rating":1},"#,
    r#"{"host":"10.0.0.2:80","class-of-host":1,"health":1,"rating":1}]}]}"#,
    "\n"
);
const REQUEST_BATCH: &str = concat!(
    r#"{"sim-time":101.0,"inbox":[{"verb":"INBOUND","i":4,"ticket":77,"type":0,"talk":5,"patience-left":3000.0,"#,
    r#""prefix-id":6,"n-prompt":900,"n-prefix":500,"n-max":100}]}"#,
    "\n"
);
const PREFILLED_BATCH: &str = concat!(
    r#"{"sim-time":150.0,"inbox":[{"verb":"SETTLED","i":4,"ticket":77,"attempt":0,"rc":202,"duration":49.0,"#,
    r#""host":"10.0.0.1:80"}]}"#,
    "\n"
);

fn step<'a>(reply: &'a serde_json::Value, verb: &str) -> Option<&'a serde_json::Value> {
    reply["steps"].as_array()?.iter().find(|s| s["verb"] == verb)
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(replies("{\"sim-time\":1.5,\"inbox\":[]}\n"), vec![serde_json::json!({"steps": []})]);
}

#[test]
fn a_request_is_prefilled_and_then_decoded() {
    let all = replies(&format!("{START_BATCH}{REQUEST_BATCH}{PREFILLED_BATCH}"));
    let prefill = step(&all[1], "PLACE").expect("a prefill");
    assert_eq!(
        (&prefill["host"], &prefill["ticket"], &prefill["i"]),
        (&"10.0.0.1:80".into(), &77.into(), &4.into())
    );
    assert_eq!(step(&all[2], "PLACE").expect("a decode")["host"], "10.0.0.2:80");
    assert!(step(&all[1], "WAKE_ME").expect("a timer")["due-at"].as_f64() > Some(3000.0));
}

#[test]
fn every_event_and_unknown_fields_are_accepted() {
    let more = concat!(
        r#"{"sim-time":151.0,"inbox":[{"verb":"UNDER_WAY","i":4,"ticket":77,"attempt":1,"host":"10.0.0.2:80","#,
        r#""duration":3.0},{"verb":"WAKEUP","i":4,"key-back":3},{"verb":"TIMED_OUT_CLIENT","i":4,"ticket":9},"#,
        r#"{"verb":"HELD_NOTE","i":4,"ticket":77,"attempt":0,"host":"x","sort":2,"amount":0},"#,
        r#"{"verb":"HEALTH_RESULT","i":4,"host":"10.0.0.2:80","rc":100,"duration":1.0,"pressure":{"x0":0.5,"new":1}},"#,
        r#"{"verb":"PEER","i":4,"src":1,"raw":"aGk="},{"verb":"NEWER_THAN_US","i":4},{"verb":"WAKEUP","i":99}]}"#,
        "\n",
        r#"{"sim-time":152.0,"inbox":[{"verb":"DETACH","i":4},{"verb":"WAKEUP","i":4,"key-back":3}]}"#,
        "\n"
    );
    let all = replies(&format!("{START_BATCH}{REQUEST_BATCH}{PREFILLED_BATCH}{more}"));
    assert_eq!(all.len(), 5);
    assert_eq!(all[4], serde_json::json!({"steps": []}));
}

#[test]
fn a_malformed_line_terminates_the_adapter_with_one_error_line() {
    for malformed in
        ["not json\n", "[1]\n", "{\"inbox\":[]}\n", "{\"sim-time\":1}\n", "{\"sim-time\":1,\"inbox\":[3]}\n"]
    {
        let out = run_adapter(malformed);
        assert!(!out.status.success(), "{malformed}");
        assert!(out.stdout.is_empty(), "{malformed}");
        let message = String::from_utf8(out.stderr).expect("UTF-8");
        assert_eq!(message.lines().count(), 1, "{message}");
    }
}
