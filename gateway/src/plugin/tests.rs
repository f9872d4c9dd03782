//! Tests of the decisions of scripts, and of the bounds that keep a script from blocking or delaying a request.

use rhai::{Dynamic, Map};

use super::{Plugin, Verdict};

fn verdict(script: &str) -> Verdict {
    let fields = Map::from_iter([("prompt_tokens".into(), Dynamic::from(900.0))]);
    Plugin::compile(script).expect("a script").verdict(fields)
}

#[test]
fn a_script_passes_rejects_and_annotates() {
    assert_eq!(verdict("fn on_request(r) { }"), Verdict::Pass(vec![]));
    assert_eq!(verdict("fn on_request(r) { true }"), Verdict::Pass(vec![]));
    let long = "fn on_request(r) { if r.prompt_tokens > 500.0 { \"too long\" } }";
    assert_eq!(verdict(long), Verdict::Reject("too long".into()));
    let note = Verdict::Pass(vec![("tier".into(), "gold".into())]);
    assert_eq!(verdict("fn on_request(r) { #{ tier: \"gold\" } }"), note);
}

/// Guards against a script that blocks the gateway: after an error or an endless loop the request passes.
#[test]
fn a_faulty_or_endless_script_lets_the_request_pass() {
    for script in [
        "fn on_request(r) { throw \"no\" }",
        "fn on_request(r) { r.nothing.at_all }",
        "fn on_request(r) { loop { } }",
        "fn on_request(r) { on_request(r) }",
        "fn on_request(r) { let s = \"x\"; loop { s += s; } }",
    ] {
        assert_eq!(verdict(script), Verdict::Pass(vec![]), "{script}");
    }
}

/// Guards against hooks that delay requests, and against scripts without a hook, which would never be called.
#[test]
fn a_script_cannot_sleep_and_must_define_a_hook() {
    for script in ["fn on_request(r) { sleep(1); false }", "fn on_request(r) { sleep(0.5); false }"] {
        assert_eq!(verdict(script), Verdict::Pass(vec![]));
    }
    assert!(Plugin::compile("fn on_request(r) { eval(\"1\") }").is_err());
    assert!(Plugin::compile("fn on_request(r) {").is_err());
    assert!(Plugin::compile("fn other(r) { }").is_err());
}
