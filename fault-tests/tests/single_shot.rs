//! Short test of non-repeatable requests; the command `glenrail-fault-tests single-shot` runs more seeds.

use std::path::Path;

use glenrail_fault_tests::single_shot::{run, Options};

const SEEDS: std::ops::Range<u64> = 2..8;
/// Status of a response that declares a retry to be safe.
const REJECTED: u16 = 503;

/// Guards the accuracy of rejections (the operators' rule `duplicate`): prefills are cancelled right before them, links delay the
/// closes, and some gateways are being terminated.
#[test]
fn a_rejection_is_accurate_while_links_delay_the_closes_of_cancelled_prefills() {
    let program = Path::new(env!("CARGO_BIN_EXE_glenrail-fault-tests"));
    let gateway = program.with_file_name("glenrail");
    let options = Options { seed: SEEDS.start, seeds: SEEDS.end - SEEDS.start, gateway };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    let runtime = runtime.expect("the runtime is built");
    let mut rejected = 0;
    for seed in SEEDS {
        let report = runtime.block_on(run(&options, seed, program)).expect("the deployment starts");
        rejected += report.statuses.get(&REJECTED).copied().unwrap_or(0);
        assert!(report.passed(), "{report}");
    }
    assert!(rejected > 0, "no request was rejected");
}
