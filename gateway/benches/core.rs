//! Benchmarks of the core: the cost of a request from arrival to end (about eight events) with many other open
//! requests, and the cost of a timer with many other pending timers.
//!
//!     cargo bench -p glenrail --bench core

#[path = "../tests/common/instant.rs"]
mod instant;

use std::time::Duration;

use divan::Bencher;
use glenrail::exchange::{ClientSide, ResponsePart};
use instant::{core, request};
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;
use tokio_util::time::DelayQueue;

fn main() {
    divan::main();
}

/// Deadline of a request, in milliseconds; longer than any benchmark run.
const DEADLINE_MS: f64 = 3_000_000.0;

async fn end(mut client: ClientSide) {
    while let Some(part) = client.next_part().await {
        match part {
            ResponsePart::Head(..) | ResponsePart::Chunk(_) => {}
            ResponsePart::End => return,
            other => panic!("{other:?}"),
        }
    }
}

/// Arms and cancels a timer while `armed` others are pending, with one task per timer. The core used this design
/// before.
#[divan::bench(args = [10, 1_000, 10_000], sample_count = 100, sample_size = 100)]
fn timer_as_a_task(bencher: Bencher, armed: u64) {
    let (runtime, local) = (runtime(), LocalSet::new());
    let wait = || tokio::task::spawn_local(tokio::time::sleep(Duration::from_secs(30))).abort_handle();
    let tasks: Vec<_> = local.block_on(&runtime, async { (0..armed).map(|_| wait()).collect() });
    bencher.bench_local(|| {
        local.block_on(&runtime, async {
            let task = wait();
            tokio::task::yield_now().await;
            task.abort();
            tokio::task::yield_now().await;
        });
    });
    assert_eq!(tasks.len() as u64, armed);
}

/// Arms and cancels a timer while `armed` others are pending, with one queue for all timers. The core uses this design.
#[divan::bench(args = [10, 1_000, 10_000], sample_count = 100, sample_size = 100)]
fn timer_in_a_queue(bencher: Bencher, armed: u64) {
    let (runtime, local) = (runtime(), LocalSet::new());
    let mut queue = local.block_on(&runtime, async {
        let mut queue = DelayQueue::new();
        (0..armed).for_each(|n| _ = queue.insert(n, Duration::from_secs(30)));
        queue
    });
    bencher.bench_local(|| {
        local.block_on(&runtime, async {
            let key = queue.insert(0, Duration::from_secs(30));
            tokio::task::yield_now().await;
            queue.remove(&key);
            tokio::task::yield_now().await;
        });
    });
    assert_eq!(queue.len() as u64, armed);
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime")
}

#[divan::bench(args = [10, 1_000, 10_000], sample_count = 200, sample_size = 20)]
fn request_beside_open_ones(bencher: Bencher, open: u64) {
    let (runtime, local) = (runtime(), LocalSet::new());
    let (core, open_clients) = local.block_on(&runtime, async {
        let core = core(20, 1e9);
        let open_clients: Vec<ClientSide> =
            (0..open).map(|n| core.submit(request(format!("h{n}"), n, DEADLINE_MS))).collect();
        tokio::time::sleep(Duration::from_millis(50)).await;
        (core, open_clients)
    });
    let mut next = open;
    bencher.bench_local(|| {
        next += 1;
        local.block_on(&runtime, async {
            end(core.submit(request(format!("r{next}"), next, DEADLINE_MS))).await;
        });
    });
    assert_eq!(core.open_requests(), open_clients.len());
}
