//! Every stored trace is read and written again to the same bytes.

use std::path::{Path, PathBuf};

use glenrail_model_checker::scenario::{AnyScenario, Scenario};
use glenrail_model_checker::trace::{self, Header};
use serde::Deserialize;

#[derive(Deserialize)]
struct Step<A> {
    #[serde(rename = "act")]
    action: A,
}

/// The stored traces, in the order of their names.
fn stored_traces() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let files = std::fs::read_dir(folder).expect("the traces");
    let mut traces: Vec<PathBuf> = files.map(|file| file.expect("a file").path()).collect();
    traces.sort();
    traces
}

/// Reads the actions of a trace in the types of its world, and returns what is written of them.
fn rewrite_in<S: Scenario>(scenario: &S, steps: &[&str], description: &str, path: &Path) -> String {
    let actions: Vec<S::Action> = steps
        .iter()
        .map(|line| serde_json::from_str::<Step<S::Action>>(line).expect("a line").action)
        .collect();
    trace::write(scenario, &actions, description, path).expect("written");
    std::fs::read_to_string(path).expect("read again")
}

fn rewrite(text: &str, path: &Path) -> String {
    let lines: Vec<&str> = text.lines().collect();
    let header: Header = serde_json::from_str(lines[0]).expect("a header");
    let (steps, description) = (&lines[1..], header.description.as_str());
    match header.world {
        AnyScenario::Request(setup) => rewrite_in(&setup, steps, description, path),
        AnyScenario::Client(setup) => rewrite_in(&setup, steps, description, path),
        AnyScenario::Server(setup) => rewrite_in(&setup, steps, description, path),
        AnyScenario::Budget(setup) => rewrite_in(&setup, steps, description, path),
        AnyScenario::RequestIds(setup) => rewrite_in(&setup, steps, description, path),
        AnyScenario::ResponseTiming(setup) => rewrite_in(&setup, steps, description, path),
        AnyScenario::Framing(setup) => rewrite_in(&setup, steps, description, path),
    }
}

/// Guards the spellings of stored traces: setups, actions, inputs and effects are read and written as they were.
#[test]
fn stored_traces_are_written_again_to_the_same_bytes() {
    let traces = stored_traces();
    assert!(traces.len() >= 18, "{} traces", traces.len());
    for trace in traces {
        let text = std::fs::read_to_string(&trace).expect("a trace");
        let name = trace.file_name().expect("a name");
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        assert_eq!(rewrite(&text, &path), text, "{}", trace.display());
    }
}
