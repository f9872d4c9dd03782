//! Every kept trace is read and written again to the same bytes.

use std::path::{Path, PathBuf};

use glenrail_model_checker::scenario::{Named, Setting};
use glenrail_model_checker::trace::{self, Head};
use serde::Deserialize;

#[derive(Deserialize)]
struct Step<A> {
    act: A,
}

/// The kept traces, in the order of their names.
fn kept() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let files = std::fs::read_dir(folder).expect("the traces");
    let mut kept: Vec<PathBuf> = files.map(|file| file.expect("a file").path()).collect();
    kept.sort();
    kept
}

/// Reads the acts of a trace in the words of its world, and gives what is written of them.
fn written_again<S: Setting>(setting: &S, lines: &[&str], about: &str, to: &Path) -> String {
    let act = |line: &&str| serde_json::from_str::<Step<S::Act>>(line).expect("a line").act;
    let acts: Vec<S::Act> = lines.iter().map(act).collect();
    trace::write(setting, &acts, about, to).expect("written");
    std::fs::read_to_string(to).expect("read again")
}

fn again(text: &str, to: &Path) -> String {
    let lines: Vec<&str> = text.lines().collect();
    let head: Head = serde_json::from_str(lines[0]).expect("a head");
    let (lines, about) = (&lines[1..], head.about.as_str());
    match head.world {
        Named::Request(setup) => written_again(&setup, lines, about, to),
        Named::Client(setup) => written_again(&setup, lines, about, to),
        Named::Server(setup) => written_again(&setup, lines, about, to),
        Named::Budget(setup) => written_again(&setup, lines, about, to),
    }
}

/// Guards the words of kept traces: settings, acts, inputs and effects are read and written as they were.
#[test]
fn each_kept_trace_is_written_again_to_the_same_bytes() {
    let kept = kept();
    assert!(kept.len() >= 18, "{} traces", kept.len());
    for path in kept {
        let text = std::fs::read_to_string(&path).expect("a trace");
        let name = path.file_name().expect("a name");
        let to = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        assert_eq!(again(&text, &to), text, "{}", path.display());
    }
}
