//! The explorer on worlds small enough for a test, and every kept trace.

use std::path::{Path, PathBuf};

use glenrail_model_checker::check::{self, explore};
use glenrail_model_checker::rules::Rule;
use glenrail_model_checker::{budget, client, corners, request, server, trace};
use glenrail_overload::budget as budget_machine;

fn traces() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("traces")
}

/// Guards the explorer itself: a checker that finds nothing has to be one that could.
#[test]
fn small_worlds_hold_and_planted_faults_are_found() {
    let setup = request::Setup { troubles: 1, sends: 1, ..check::faulty(check::REQUEST_FAULTS[0].fault) };
    let sound = request::Setup { fault: None, ..setup };
    assert!(explore(&sound, 2).broken.is_none());
    let (rule, acts) = explore(&setup, 1).broken.expect("the planted fault is found");
    assert!(rule == Rule::OneFinalAnswer && acts.len() < 6, "{rule:?} in {acts:?}");
    assert!(explore(&check::clients().setup, 2).broken.is_none());
    assert!(explore(&check::servers().setup, 2).broken.is_none());
    for mutant in check::SERVER_FAULTS {
        let setup = server::Setup { fault: Some(mutant.fault), ..check::servers().setup };
        assert_eq!(explore(&setup, 1).broken.map(|b| b.0), Some(mutant.rule), "{:?}", mutant.fault);
    }
    for mutant in check::CLIENT_FAULTS {
        let setup = client::Setup { fault: Some(mutant.fault), ..check::clients().setup };
        assert_eq!(explore(&setup, 1).broken.map(|b| b.0), Some(mutant.rule), "{:?}", mutant.fault);
    }
    let sound =
        budget::Setup { asks: 1, ticks: 4, troubles: 1, ..check::budgets(check::Reach::Quick)[0].setup };
    assert!(explore(&sound, 2).broken.is_none());
    let spends_lent = check::BUDGET_FAULTS.iter().find(|m| m.fault == budget_machine::Fault::SpendsLent);
    let mutant = spends_lent.expect("it is planted");
    let setup = budget::Setup { fault: Some(mutant.fault), ..sound };
    assert_eq!(explore(&setup, 1).broken.map(|b| b.0), Some(mutant.rule));
}

/// Guards the corners that must be explored, and the counterexamples that were mended: each is a path of its world
/// still, the machine alone says the same again, and no rule breaks.
#[test]
fn kept_traces_replay_and_break_nothing() {
    let mut kept: Vec<String> = std::fs::read_dir(traces())
        .expect("the traces")
        .map(|f| f.expect("a file").file_name().into_string().expect("a name"))
        .collect();
    kept.sort();
    let mut named: Vec<String> = corners::all().iter().map(|c| format!("{}.jsonl", c.name)).collect();
    named.extend(corners::of_client().iter().map(|c| format!("{}.jsonl", c.0)));
    named.sort();
    assert_eq!(kept, named, "`glenrail-model-checker corners model-checker/traces` writes them");
    for name in kept {
        let replayed = trace::replay(&traces().join(&name)).unwrap_or_else(|e| panic!("{name}: {e:#}"));
        assert_eq!((replayed.broke, replayed.steps > 3), (None, true), "{name}");
    }
}

/// Guards traces from a machine that has changed under them: one that no longer fits is told, not played.
#[test]
fn a_trace_that_does_not_fit_is_told_by_its_line() {
    let text = std::fs::read_to_string(traces().join("cancel-at-first-token.jsonl")).expect("a trace");
    let mut lines: Vec<&str> = text.lines().collect();
    lines.remove(2);
    let path = std::env::temp_dir().join(format!("glenrail-trace-{}.jsonl", std::process::id()));
    std::fs::write(&path, lines.join("\n")).expect("written");
    let told = trace::replay(&path).expect_err("a step is missing").to_string();
    std::fs::remove_file(&path).expect("removed");
    assert!(told.starts_with("line 3"), "{told}");
}
