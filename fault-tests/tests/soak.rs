//! Short soak tests: random, overlapping faults on two dozen processes, checked against the invariants. The command
//! `glenrail-fault-tests soak` runs longer ones with more seeds.

use std::path::Path;
use std::sync::{Mutex, PoisonError};

use glenrail_fault_tests::soak::{run, Options, Report};

const SEED: u64 = 20;
const RESTARTS_SEED: u64 = 9_713;

/// Held during a run, because each run has two dozen processes.
static RUNNING: Mutex<()> = Mutex::new(());

/// Runs one seed for 6 s, with both restarts and a crowd of idle clients, or with neither.
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
    runtime
        .expect("the runtime is built")
        .block_on(run(&options, seed, program))
        .expect("the deployment starts")
}

#[test]
fn a_short_soak_breaks_no_invariant() {
    let report = play(SEED, false);
    assert!(report.requests > 100, "{report}");
    assert!(report.passed(), "{report}");
}

/// Guards the combination of planned restarts, kills, persistent connections, signal series and a full connection table.
#[test]
fn a_short_soak_with_restarts_and_a_crowd_breaks_no_invariant() {
    let report = play(RESTARTS_SEED, true);
    assert!(report.requests > 100, "{report}");
    assert!(report.restarts.iter().any(|restart| restart.planned && !restart.series.is_empty()), "{report}");
    assert!(report.passed(), "{report}");
}
