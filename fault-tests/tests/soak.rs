//! A short soak run in the test suite: random, overlapping faults over two dozen processes, judged by the invariants. The
//! command `glenrail-fault-tests soak` plays longer ones on more seeds.

use std::path::Path;
use std::sync::{Mutex, PoisonError};

use glenrail_fault_tests::soak::{run, Options, Report};

const SEED: u64 = 20;
const RESTARTS_SEED: u64 = 9_713;

/// One run at a time: each has two dozen processes.
static RUNNING: Mutex<()> = Mutex::new(());

/// Plays one seed for 6 s, with restarts and a crowd or without either.
fn play(seed: u64, restarts_and_crowd: bool) -> Report {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let program = Path::new(env!("CARGO_BIN_EXE_glenrail-fault-tests"));
    let options = Options {
        seed,
        seeds: 1,
        seconds: 6,
        gateways: 3,
        readers: 9,
        writers: 12,
        rate: 40.0,
        no_probes: false,
        restarts: restarts_and_crowd,
        crowd: restarts_and_crowd,
        gateway: program.with_file_name("glenrail"),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    runtime.expect("a runtime").block_on(run(&options, seed, program)).expect("it starts")
}

#[test]
fn a_short_soak_breaks_no_invariant() {
    let report = play(SEED, false);
    assert!(report.requests > 100, "{report}");
    assert!(report.passed(), "{report}");
}

/// Guards planned ends and kills, kept connections, series of signals and a full connection table, together.
#[test]
fn a_short_soak_with_restarts_and_a_crowd_breaks_no_invariant() {
    let report = play(RESTARTS_SEED, true);
    assert!(report.requests > 100, "{report}");
    assert!(report.restarts.iter().any(|restart| restart.planned && !restart.series.is_empty()), "{report}");
    assert!(report.passed(), "{report}");
}
