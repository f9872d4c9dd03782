//! A short slice of the run of requests that may not be repeated; the command `glenrail-fault-tests single-shot` plays more.

use std::path::Path;

use glenrail_fault_tests::single_shot::{run, Options};

const SEEDS: std::ops::Range<u64> = 2..8;
/// The answer that says that sending again is harmless.
const REJECTED: u16 = 503;

/// Guards what a rejection says (the operators' rule `duplicate`): prefills are cut right before it, links hold closes back,
/// and gateways end beside them.
#[test]
fn a_rejection_is_accurate_while_links_delay_the_closes_of_cancelled_prefills() {
    let program = Path::new(env!("CARGO_BIN_EXE_glenrail-fault-tests"));
    let gateway = program.with_file_name("glenrail");
    let options = Options { seed: SEEDS.start, seeds: SEEDS.end - SEEDS.start, gateway };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let mut rejected = 0;
    for seed in SEEDS {
        let report = runtime.block_on(run(&options, seed, program)).expect("it starts");
        rejected += report.statuses.get(&REJECTED).copied().unwrap_or(0);
        assert!(report.passed(), "{report}");
    }
    assert!(rejected > 0, "nothing was rejected");
}
