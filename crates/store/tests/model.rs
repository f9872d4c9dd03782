//! The store against a plain map on a simulated disk: a crash at every call, a full disk, failed syncs.

use std::collections::BTreeMap;

use glenrail_store::sim::{Fault, SimDisk};
use glenrail_store::{Batch, Error, Keyspace, Log, Options};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const A: Keyspace<u64, Vec<u8>> = Keyspace::new(1);
const B: Keyspace<u64, Vec<u8>> = Keyspace::new(2);

#[derive(Clone, Debug)]
enum Step {
    Put(bool, u64, usize),
    /// Puts into both keyspaces in one batch.
    Both(u64, usize),
    Delete(bool, u64),
    Flush,
    Sync,
    Compact,
}

type Map = BTreeMap<(bool, u64), Vec<u8>>;

fn step() -> impl Strategy<Value = Step> {
    // Some batches are larger than a segment.
    let size = prop_oneof![6 => 0usize..40, 1 => 600usize..900];
    prop_oneof![
        5 => (any::<bool>(), 0u64..6, size.clone()).prop_map(|(s, k, n)| Step::Put(s, k, n)),
        2 => (0u64..6, size).prop_map(|(k, n)| Step::Both(k, n)),
        2 => (any::<bool>(), 0u64..6).prop_map(|(s, k)| Step::Delete(s, k)),
        4 => Just(Step::Flush),
        2 => Just(Step::Sync),
        3 => Just(Step::Compact),
    ]
}

fn options() -> Options {
    let mut options = Options { segment_bytes: 500, ..Options::default() };
    options.compaction.min_dead_share = 0.2;
    options.compaction.min_dead_bytes = 1;
    options
}

fn contents(log: &Log<SimDisk>) -> Map {
    let view = log.view();
    let all = |space: bool, k: &Keyspace<u64, Vec<u8>>| {
        let found =
            (0..6u64).filter_map(|key| Some(((space, key), k.get(&view, &key, 0).expect("readable")?)));
        found.collect::<Vec<_>>()
    };
    all(false, &A).into_iter().chain(all(true, &B)).collect()
}

/// Result of a run: the state after each accepted batch, and the indices of the last flushed and the last
/// synced state.
struct Outcome {
    states: Vec<Map>,
    flushed: usize,
    synced: usize,
}

/// Runs the steps until the disk fails.
fn run_steps(disk: &SimDisk, steps: &[Step]) -> Outcome {
    let mut outcome = Outcome { states: vec![Map::new()], flushed: 0, synced: 0 };
    let Ok((mut log, _)) = Log::open(disk.clone(), options()) else { return outcome };
    // States of the batches that are staged and not flushed.
    let mut staged = Vec::new();
    for (n, step) in steps.iter().enumerate() {
        let fill = |size: &usize| vec![n as u8; *size];
        let mut next = staged.last().or(outcome.states.last()).cloned().expect("a state");
        let batch = match step {
            Step::Put(space, key, size) => {
                next.insert((*space, *key), fill(size));
                Batch::new().put(if *space { &B } else { &A }, key, &fill(size))
            }
            Step::Both(key, size) => {
                next.insert((false, *key), fill(size));
                next.insert((true, *key), fill(size));
                Batch::new().put(&A, key, &fill(size)).and_then(|b| b.put(&B, key, &fill(size)))
            }
            Step::Delete(space, key) => {
                next.remove(&(*space, *key));
                Ok(Batch::new().delete(if *space { &B } else { &A }, key))
            }
            Step::Flush | Step::Sync | Step::Compact => {
                let result = match step {
                    Step::Compact => log.compact(0, 200).map(|_| ()),
                    _ => log.flush(),
                };
                // A compaction that began has first flushed and synced what was staged, even if it failed
                // later.
                let began_compaction = log.sequences().1 as usize >= outcome.states.len() - 1 + staged.len();
                match result {
                    Ok(()) | Err(Error::DiskFull) if matches!(step, Step::Compact) => {
                        if log.sequences().0 as usize + 1 == outcome.states.len() {
                            // The disk was full for the staged batches, so that none of them was written.
                            staged.clear();
                        } else if began_compaction {
                            outcome.states.append(&mut staged);
                            outcome.flushed = outcome.states.len() - 1;
                            outcome.synced = outcome.flushed;
                        }
                    }
                    Ok(()) => {
                        outcome.states.append(&mut staged);
                        outcome.flushed = outcome.states.len() - 1;
                    }
                    // None of the staged batches was written, and the store continues.
                    Err(Error::DiskFull) => staged.clear(),
                    Err(_) => {
                        outcome.states.append(&mut staged);
                        return outcome;
                    }
                }
                if matches!(step, Step::Sync) {
                    if log.sync().is_err() {
                        return outcome;
                    }
                    outcome.synced = outcome.flushed;
                }
                continue;
            }
        };
        match log.stage(&batch.expect("a batch")) {
            Ok(_) => staged.push(next),
            Err(Error::DiskFull) => {}
            Err(_) => {
                outcome.states.append(&mut staged);
                return outcome;
            }
        }
        outcome.synced = outcome.synced.max((log.sequences().1 as usize).min(outcome.states.len() - 1));
    }
    // Readers do not see batches that were staged and never flushed.
    assert_eq!(contents(&log), outcome.states[outcome.flushed], "what readers see");
    outcome
}

/// Checks that the store opens to one of the states from `oldest_allowed` on.
fn opens_to_a_prefix(disk: &SimDisk, outcome: &Outcome, oldest_allowed: usize, why: &str) {
    let (log, _) = Log::open(disk.clone(), options()).unwrap_or_else(|e| panic!("{why}: {e}"));
    let found = contents(&log);
    let is_allowed = outcome.states[oldest_allowed..].contains(&found);
    assert!(is_allowed, "{why}: {found:?} is none of {:?}", &outcome.states[oldest_allowed..]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against invented and lost batches: wherever the machine stops, the store opens to an earlier
    /// state, no older than the last sync, or than the last flush if only the process has ended. A crash
    /// during the recovery does not change this.
    #[test]
    fn a_crash_at_any_call_leaves_a_prefix(steps in prop::collection::vec(step(), 1..40), seed: u64) {
        let whole = SimDisk::default();
        run_steps(&whole, &steps);
        for call in 0..=whole.calls() {
            let disk = SimDisk::default();
            disk.inject_fault(call, Fault::Crash);
            let outcome = run_steps(&disk, &steps);
            let process_ended = disk.after_crash(seed, true);
            opens_to_a_prefix(&process_ended, &outcome, outcome.flushed, &format!("process ended at call {call}"));
            for n in 0..2 {
                let crashed = disk.after_crash(seed.wrapping_add(n), false);
                crashed.short_reads();
                opens_to_a_prefix(&crashed.copy(), &outcome, outcome.synced, &format!("crash at call {call}"));
                // A crash at every call of the recovery.
                let recovering = crashed.copy();
                let _ = Log::open(recovering.clone(), options());
                for again in 0..recovering.calls() {
                    let twice = crashed.copy();
                    twice.inject_fault(again, Fault::Crash);
                    let _ = Log::open(twice.clone(), options());
                    let why = format!("crash at call {call}, and at {again} of the recovery");
                    opens_to_a_prefix(&twice.after_crash(seed, false), &outcome, outcome.synced, &why);
                }
            }
        }
    }

    /// Guards against a full disk at any call: the whole batch is rejected, the store continues, and what was
    /// flushed is there after a restart.
    #[test]
    fn a_full_disk_rejects_batches_and_the_store_continues(steps in prop::collection::vec(step(), 1..40)) {
        let whole = SimDisk::default();
        run_steps(&whole, &steps);
        for call in 0..=whole.calls() {
            let disk = SimDisk::default();
            disk.inject_fault(call, Fault::Full);
            let outcome = run_steps(&disk, &steps);
            opens_to_a_prefix(
                &disk.after_crash(0, true), &outcome, outcome.flushed, &format!("full at call {call}")
            );
        }
    }

    /// Guards against a disk that fails at any call, also at a sync: the store accepts nothing more, and
    /// nothing that was synced is lost.
    #[test]
    fn a_failing_disk_stops_the_store(steps in prop::collection::vec(step(), 1..40), seed: u64) {
        let whole = SimDisk::default();
        run_steps(&whole, &steps);
        for call in 0..=whole.calls() {
            let disk = SimDisk::default();
            disk.inject_fault(call, Fault::Io);
            let outcome = run_steps(&disk, &steps);
            opens_to_a_prefix(
                &disk.after_crash(seed, false), &outcome, outcome.synced, &format!("failed at call {call}")
            );
        }
    }
}
