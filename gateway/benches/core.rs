//! What one request costs the core from its arrival to its end (some eight events), beside so many open ones.
//!
//!     cargo bench -p glenrail --bench core

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use divan::Bencher;
use futures_util::stream::{self, StreamExt};
use glenrail::core::{Clock, Core, Upstream};
use glenrail::exchange::{ClientSide, Head, Payload, Piece, Request};
use glenrail::upstream::{Call, Failed, Frame, Reply};
use serde_json::json;
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio_util::time::DelayQueue;

fn main() {
    divan::main();
}

/// Servers that answer at once, but for requests whose names begin with `h`, which hang.
async fn answer(call: Call) -> Result<Reply, Failed> {
    match call {
        Call::Attempt { payload, .. } if payload.name.starts_with('h') => std::future::pending().await,
        Call::Attempt { server, .. } if server.0 < 100 => Ok(Reply::Read { kept: 0.0, report: None }),
        Call::Attempt { .. } => {
            let frames = [
                Ok(Frame::Data(Bytes::from_static(b"data: x\n\n"))),
                Ok(Frame::End { kept: 0.0, report: None }),
            ];
            Ok(Reply::Answer { head: Head::default(), frames: stream::iter(frames).boxed_local() })
        }
        _ => Ok(Reply::Done),
    }
}

/// Twenty readers and as many writers, none of which is ever full, late or cold.
fn core() -> Core<impl Upstream> {
    let settings = glenrail_settings::settings(&json!({"balancers": 1, "quantum": 4.0,
        "services": [{"aim": 1e9, "deadline": 1e9, "semantics": "free"}],
        "domain": {"stage-of-kind": ["read", "write"], "tokens-by-kind": [1e12, 1e12], "pin-limit": 500.0},
        "policy-limits": {"max-attempts": 5, "cancel": true},
        "rules": {"cold": 13000.0, "cold-from": 0.31, "fall": 3000.0, "fall-multiple": 4.0}}));
    let core = Core::new(7, settings, Clock::new(Duration::from_secs(1_000_000)), tower::service_fn(answer));
    let member = |id, kind| deckhub::Member {
        server: deckhub::ServerId(id),
        kind,
        weight: 1.0,
        ..deckhub::Member::default()
    };
    let members = (0..20).map(|n| member(n, 0)).chain((100..120).map(|n| member(n, 1)));
    core.members(deckhub::Scope::Full, members.collect());
    core
}

fn request(name: String, session: u64) -> Request {
    let ask = deckhub::Request {
        session,
        prompt_tokens: 1_000.0,
        max_tokens: 100.0,
        patience: 3_000_000.0,
        ..deckhub::Request::default()
    };
    let payload = Payload { name, ..Payload::default() };
    Request { ask, arrived: Instant::now(), payload: Rc::new(payload) }
}

async fn end(mut client: ClientSide) {
    while let Some(piece) = client.piece().await {
        match piece {
            Piece::Begin(..) | Piece::Chunk(_) => {}
            Piece::End => return,
            other => panic!("{other:?}"),
        }
    }
}

/// Arming and giving up a timer beside so many armed ones: a task for each, as the core had it ...
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

/// ... and one queue for all, as it has it now.
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
    let (core, hanging) = local.block_on(&runtime, async {
        let core = core();
        let hanging: Vec<ClientSide> = (0..open).map(|n| core.submit(request(format!("h{n}"), n))).collect();
        tokio::time::sleep(Duration::from_millis(50)).await;
        (core, hanging)
    });
    let mut next = open;
    bencher.bench_local(|| {
        next += 1;
        local.block_on(&runtime, async { end(core.submit(request(format!("r{next}"), next))).await });
    });
    assert_eq!(core.open(), hanging.len());
}
