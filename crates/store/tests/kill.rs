//! A process that is killed while it writes keeps what it acknowledged.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};

use glenrail_store::{Batch, Durability, Folder, Keyspace, Options, Store};

const COUNTS: Keyspace<u64, u64> = Keyspace::new(1);
const FOLDER: &str = "GLENRAIL_STORE_FOLDER";
const KEYS: u64 = 16;

fn open(path: &Path) -> Store {
    let mut options = Options { segment_bytes: 16 << 10, ..Options::default() };
    // Compaction runs all the time, so that kills interrupt it, too.
    options.compaction.min_dead_bytes = 1 << 10;
    Store::open(Folder::new(path).expect("a folder"), options).expect("opened").0
}

fn highest_count(store: &Store) -> u64 {
    let view = store.view();
    (0..KEYS).filter_map(|key| COUNTS.get(&view, &key, 0).expect("readable")).max().unwrap_or(0)
}

/// The process that is killed. It counts on from what it finds and prints each count once it is acknowledged.
#[test]
#[ignore = "run by the other test, in a separate process"]
fn child() {
    let store = open(Path::new(&std::env::var_os(FOLDER).expect("a folder")));
    let mut count = highest_count(&store);
    loop {
        count += 1;
        store
            .write(Batch::new().put(&COUNTS, &(count % KEYS), &count).expect("a batch"), Durability::Flushed)
            .expect("written");
        println!("\nacknowledged {count}");
    }
}

/// Guards against lost writes: SIGKILL at any moment, also during a write or a compaction, loses nothing that
/// was acknowledged as flushed, and the store opens again. `GLENRAIL_KILLS` sets the number of kills.
#[test]
fn a_killed_process_keeps_what_it_acknowledged() {
    let folder = tempfile::tempdir().expect("a folder");
    let kills = std::env::var("GLENRAIL_KILLS").ok().and_then(|n| n.parse().ok()).unwrap_or(12u64);
    let mut last = 0;
    for kill in 0..kills {
        let mut child = Command::new(std::env::current_exe().expect("this test"))
            .args(["--ignored", "--exact", "child", "--nocapture"])
            .env(FOLDER, folder.path())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("a process");
        let lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        let counts =
            lines.map_while(Result::ok).filter_map(|l| l.strip_prefix("acknowledged ")?.parse::<u64>().ok());
        // Counts that are printed before the signal takes effect are acknowledged, too.
        let mut acknowledged_counts = Vec::new();
        for count in counts {
            acknowledged_counts.push(count);
            if acknowledged_counts.len() as u64 == 50 + 37 * (kill % 7) {
                child.kill().expect("killed");
            }
        }
        child.wait().expect("ended");
        assert_eq!(
            acknowledged_counts.first().copied(),
            Some(last + 1),
            "kill {kill}: it continues from the recovered count"
        );
        let acknowledged = *acknowledged_counts.last().expect("a count");
        let store = open(folder.path());
        last = highest_count(&store);
        // The count that was being written may be there as well.
        assert!((acknowledged..=acknowledged + 1).contains(&last), "kill {kill}: {acknowledged} and {last}");
        assert_eq!(store.view().len() as u64, KEYS);
    }
}
