//! The checker on worlds small enough for a test, and every stored trace.

use std::path::{Path, PathBuf};

use glenrail_model_checker::cases::{self, Reach};
use glenrail_model_checker::check::{explore, Counterexample};
use glenrail_model_checker::mutants;
use glenrail_model_checker::rules::Rule;
use glenrail_model_checker::scenario::Scenario;
use glenrail_model_checker::{budget, corners, request, request_ids, trace};
use glenrail_overload::budget as budget_machine;

fn traces() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("traces")
}

fn every_rule_holds<S: Scenario>(setup: &S) -> bool {
    explore(setup, 2).counterexample.is_none()
}

fn broken_rule<S: Scenario>(setup: &S) -> Option<Rule> {
    explore(setup, 1).counterexample.map(|counterexample| counterexample.rule)
}

/// Guards the checker itself: one that finds nothing has to be one that could.
#[test]
fn small_worlds_hold_and_planted_faults_are_found() {
    let fault = mutants::REQUEST_MUTANTS[0].fault;
    let faulty = request::Setup { faults: 1, sends: 1, ..mutants::request_setup(fault) };
    let sound = request::Setup { request_fault: None, ..faulty };
    assert!(every_rule_holds(&sound));
    let Counterexample { rule, actions } =
        explore(&faulty, 1).counterexample.expect("the planted fault is found");
    assert!(rule == Rule::OneFinalAnswer && actions.len() < 6, "{rule:?} in {actions:?}");
    assert!(every_rule_holds(&cases::client_case().setup));
    assert!(every_rule_holds(&cases::server_case().setup));
    for mutant in mutants::SERVER_MUTANTS {
        let broken = broken_rule(&mutants::server_setup(mutant.fault));
        assert_eq!(broken, Some(mutant.rule), "{:?}", mutant.fault);
    }
    for mutant in mutants::CLIENT_MUTANTS {
        let broken = broken_rule(&mutants::client_setup(mutant.fault));
        assert_eq!(broken, Some(mutant.rule), "{:?}", mutant.fault);
    }
    let base = cases::budget_cases(Reach::Quick)[0].setup;
    let sound = budget::Setup { asks: 1, ticks: 4, faults: 1, ..base };
    assert!(every_rule_holds(&sound));
    let spends_lent = budget_machine::Fault::SpendsLent;
    let mutant = mutants::BUDGET_MUTANTS.iter().find(|mutant| mutant.fault == spends_lent);
    let mutant = mutant.expect("it is planted");
    let faulty = budget::Setup { fault: Some(mutant.fault), ..sound };
    assert_eq!(broken_rule(&faulty), Some(mutant.rule));
}

/// Guards against an order that runs twice over an upgrade: an id belongs to one request in all orders of messages, and each
/// planted fault is found under the rule that it breaks.
#[test]
fn request_ids_hold_over_upgrades_and_their_planted_faults_are_found() {
    let [two_processes, three_processes] = &cases::request_ids_cases(Reach::Quick)[..] else {
        panic!("two worlds of request ids");
    };
    assert!(every_rule_holds(&two_processes.setup));
    let small = request_ids::Setup { hand_overs: 1, repeats: 0, ..three_processes.setup };
    assert!(every_rule_holds(&small));
    for mutant in mutants::REQUEST_IDS_MUTANTS {
        let broken = broken_rule(&mutants::request_ids_setup(mutant.fault));
        assert_eq!(broken, Some(mutant.rule), "{:?}", mutant.fault);
    }
}

/// Guards slow answers and their clients: each limit of a response holds at every pace of its server, and each planted fault is
/// found under the rule that it breaks.
#[test]
fn response_limits_hold_at_every_pace_and_their_planted_faults_are_found() {
    let [case] = &cases::response_timing_cases(Reach::Quick)[..] else {
        panic!("one world of a response's limits");
    };
    assert!(every_rule_holds(&case.setup));
    for mutant in mutants::RESPONSE_TIMING_MUTANTS {
        let broken = broken_rule(&mutants::response_timing_setup(mutant.fault));
        assert_eq!(broken, Some(mutant.rule), "{:?}", mutant.fault);
    }
}

/// Guards clients from framing that is accepted though no sound body has it, and sound answers from the opposite; each planted
/// fault is found under the rule that it breaks.
#[test]
fn framing_is_judged_at_every_byte_and_its_planted_faults_are_found() {
    let [case] = &cases::framing_cases(Reach::Quick)[..] else { panic!("one world of framing") };
    assert!(every_rule_holds(&case.setup));
    for mutant in mutants::FRAMING_MUTANTS {
        let broken = broken_rule(&mutants::framing_setup(mutant.fault));
        assert_eq!(broken, Some(mutant.rule), "{:?}", mutant.fault);
    }
}

/// Guards the corners that must be explored, and the counterexamples that were fixed: each is still a path of its
/// world, the machine alone answers the same again, and no rule is broken.
#[test]
fn stored_traces_replay_and_break_no_rule() {
    let mut stored: Vec<String> = std::fs::read_dir(traces())
        .expect("the traces")
        .map(|file| file.expect("a file").file_name().into_string().expect("a name"))
        .collect();
    stored.sort();
    let mut named: Vec<String> =
        corners::request_corners().iter().map(|corner| format!("{}.jsonl", corner.name)).collect();
    named.extend(corners::client_corners().iter().map(|corner| format!("{}.jsonl", corner.name)));
    named.sort();
    assert_eq!(stored, named, "`glenrail-model-checker corners model-checker/traces` writes them");
    for name in stored {
        let replay = trace::replay(&traces().join(&name)).unwrap_or_else(|error| panic!("{name}: {error:#}"));
        assert_eq!((replay.broken, replay.steps > 3), (None, true), "{name}");
    }
}

/// Guards against traces from a machine that has changed since: one that no longer fits is reported, not replayed.
#[test]
fn trace_that_does_not_fit_is_reported_by_its_line() {
    let text = std::fs::read_to_string(traces().join("cancel-at-first-token.jsonl")).expect("a trace");
    let mut lines: Vec<&str> = text.lines().collect();
    lines.remove(2);
    let path = std::env::temp_dir().join(format!("glenrail-trace-{}.jsonl", std::process::id()));
    std::fs::write(&path, lines.join("\n")).expect("written");
    let error = trace::replay(&path).expect_err("a step is missing").to_string();
    std::fs::remove_file(&path).expect("removed");
    assert!(error.starts_with("line 3"), "{error}");
}
