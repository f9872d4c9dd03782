//! What the core keeps of requests that have ended: nothing that grows with them.

use std::alloc::System;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cap::Cap;
use futures_util::stream::{self, StreamExt};
use glenrail::core::{Clock, Core, Holds, Upstream};
use glenrail::exchange::{Head, Payload, Piece, Request};
use glenrail::upstream::{Call, Failed, Frame, Reply};
use serde_json::json;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

async fn answer(call: Call) -> Result<Reply, Failed> {
    match call {
        Call::Attempt { server, .. } if server.0 < 100 => Ok(Reply::Read { kept: 0.0, report: None }),
        Call::Attempt { .. } => {
            let end = Frame::End { kept: 0.0, report: None };
            let frames = [Ok(Frame::Data(Bytes::from_static(b"data: x\n\n"))), Ok(end)];
            Ok(Reply::Answer { head: Head::default(), frames: stream::iter(frames).boxed_local() })
        }
        _ => Ok(Reply::Done),
    }
}

fn core() -> Core<impl Upstream> {
    let settings = glenrail_settings::settings(&json!({"balancers": 1, "quantum": 4.0,
        "services": [{"aim": 2000.0, "deadline": 30000.0, "semantics": "free"}],
        "domain": {"stage-of-kind": ["read", "write"], "tokens-by-kind": [1e9, 1e9], "pin-limit": 500.0},
        "policy-limits": {"max-attempts": 5, "cancel": true},
        "rules": {"cold": 13000.0, "cold-from": 0.31, "fall": 3000.0, "fall-multiple": 4.0}}));
    let core = Core::new(7, settings, Clock::new(Duration::from_secs(1_000_000)), tower::service_fn(answer));
    let member = |id, kind| deckhub::Member {
        server: deckhub::ServerId(id),
        kind,
        weight: 1.0,
        ..deckhub::Member::default()
    };
    let members = [member(1, 0), member(2, 0), member(101, 1), member(102, 1)];
    core.members(deckhub::Scope::Full, members.into());
    core
}

/// Guards memory from rate times deadline: each timer was a task that slept until its request's deadline, long
/// after its end, so that 200,000 small requests in 30 s left 200 MB behind.
#[test]
fn requests_that_have_ended_leave_nothing() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let core = core();
        let mut after = Vec::new();
        let mut sent = 0u64;
        for until in [20_000, 200_000] {
            while sent < until {
                sent += 1;
                let ask = deckhub::Request {
                    session: sent,
                    prompt_tokens: 50.0,
                    max_tokens: 10.0,
                    patience: 30_000.0,
                    ..deckhub::Request::default()
                };
                let payload = Payload { name: format!("{sent:016x}"), ..Payload::default() };
                let request = Request { ask, arrived: Instant::now(), payload: Rc::new(payload) };
                let mut client = core.submit(request);
                let mut last = client.piece().await;
                while matches!(last, Some(Piece::Begin(..) | Piece::Chunk(_))) {
                    last = client.piece().await;
                }
                assert_eq!(last, Some(Piece::End), "request {sent}");
            }
            while !core.idle() {
                sleep(Duration::from_millis(1)).await;
            }
            // The router's own tick is all that is armed.
            assert_eq!(core.holds(), Holds { requests: 0, names: 0, timers: 1 });
            after.push(HEAP.allocated());
        }
        let grown = after[1].saturating_sub(after[0]);
        assert!(grown < 10 << 20, "{} bytes after 20,000 requests, {grown} more after 200,000", after[0]);
    });
}
