//! Measures the store on this machine's disk, for `docs/store.md`.
//!
//!     cargo run --release -p glenrail-store --example figures -- FOLDER

use std::path::Path;
use std::time::{Duration, Instant};

use glenrail_store::{Batch, Durability, Folder, Keyspace, Options, Store};

const VALUES: Keyspace<u64, Vec<u8>> = Keyspace::new(1);

fn put(n: u64, size: usize) -> Batch {
    Batch::new().put(&VALUES, &n, &vec![n as u8; size]).expect("a batch")
}

fn open(path: &Path) -> (Store, Duration, u64) {
    let start = Instant::now();
    let (store, found) =
        Store::open(Folder::new(path).expect("a folder"), Options::default()).expect("opened");
    (store, start.elapsed(), found.bytes)
}

/// Writes `count` values with up to `max_in_flight` of them waiting, and prints the rate.
fn rate(store: &Store, what: &str, count: u64, max_in_flight: usize, durability: Durability) {
    let start = Instant::now();
    let (sender, receiver) = std::sync::mpsc::channel();
    let (mut sent, mut done) = (0, 0);
    while done < count {
        while sent < count && sent - done < max_in_flight as u64 {
            let sender = sender.clone();
            store.submit(put(sent % 10_000, 100), durability, move |r| _ = sender.send(r)).expect("accepted");
            sent += 1;
        }
        receiver.recv().expect("acknowledged").expect("written");
        done += 1;
    }
    let stats = store.stats();
    let writes_per_second = count as f64 / start.elapsed().as_secs_f64();
    println!(
        "{what}: {writes_per_second:.0} writes/s ({:.1} batches per group so far)",
        stats.batches as f64 / stats.groups as f64
    );
}

fn percentiles(what: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_nanos() as f64 / 1_000.0;
    println!("{what}: p50 {:.1} us, p99 {:.1} us, p99.9 {:.1} us", at(0.5), at(0.99), at(0.999));
}

fn main() {
    let top = std::env::args().nth(1).expect("a folder");
    let path = Path::new(&top).join("figures");
    let _ = std::fs::remove_dir_all(&path);
    let (store, ..) = open(&path);
    rate(&store, "synced, one at a time", 300, 1, Durability::Synced);
    rate(&store, "synced, 64 together", 20_000, 64, Durability::Synced);
    rate(&store, "flushed, one at a time", 20_000, 1, Durability::Flushed);
    rate(&store, "flushed, 64 together", 200_000, 64, Durability::Flushed);
    rate(&store, "buffered, 1,000 together", 200_000, 1_000, Durability::Buffered);
    let view = store.view();
    let read = |n: u64| {
        let start = Instant::now();
        assert!(VALUES.get(&view, &(n * 7 % 10_000), 0).expect("readable").is_some());
        start.elapsed()
    };
    percentiles("read of one value", (0..100_000).map(read).collect());
    drop(view);
    drop(store);
    std::fs::remove_dir_all(&path).expect("removed");

    // Overwrites 20 MB of live values ten times.
    let (store, ..) = open(&path);
    let (keys, size) = (20_000u64, 1_000);
    let mut peak = 0;
    for n in 0..keys * 11 {
        let durability = if n % 1_000 == 0 { Durability::Synced } else { Durability::Buffered };
        // All keys in order at first, then at random.
        let key = if n < keys { n } else { n.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20 } % keys;
        if n % 1_000 == 0 {
            while store.write(put(key, size), durability).is_err() {
                std::thread::yield_now();
            }
            peak = peak.max(store.stats().total_bytes);
        } else {
            while store.submit(put(key, size), durability, |_| ()).is_err() {
                std::thread::yield_now();
            }
        }
    }
    let stats = store.stats();
    println!(
        "overwriting 20 MB ten times: {:.2} bytes copied per byte written, peak {:.0} MB, live {:.0} MB",
        stats.copied_bytes as f64 / stats.written_bytes as f64,
        peak as f64 / 1e6,
        stats.live_bytes as f64 / 1e6
    );
    drop(store);
    std::fs::remove_dir_all(&path).expect("removed");

    // Recovers 100 MB.
    let (store, ..) = open(&path);
    for n in 0..100_000u64 {
        while store.submit(put(n, 1_000), Durability::Buffered, |_| ()).is_err() {
            std::thread::yield_now();
        }
    }
    while store.write(Batch::new(), Durability::Synced).is_err() {
        std::thread::yield_now();
    }
    drop(store);
    for _ in 0..3 {
        let (store, took, bytes) = open(&path);
        println!(
            "recovery of {:.0} MB, warm: {:.3} s, {} keys",
            bytes as f64 / 1e6,
            took.as_secs_f64(),
            store.view().len()
        );
    }
    std::fs::remove_dir_all(&path).expect("removed");
}
