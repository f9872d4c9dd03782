//! What the engine keeps of calls that have ended: their connection, and nothing that grows with them.

mod common;

use std::alloc::System;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cap::Cap;
use common::*;
use glenrail::budget::Budget;
use glenrail::engine::{Engine, EngineLimits, ServerAddress, ServerApi};
use glenrail::exchange::{CancelToken, Payload};
use glenrail::upstream::{Call, ConnectionCheck, Reply};
use glenrail_request_lifecycle::response_timing::OnPause;
use glenrail_router::ServerId;
use tokio::sync::Semaphore;
use tokio::task::yield_now;
use tokio::time::Instant;
use tower::ServiceExt;

#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

/// Guards memory from rate times idle time: a task for each time that a connection was kept slept out its whole idle
/// time, which held some 80 MB at 13,000 requests a second and 10 s.
#[test]
fn a_connection_that_is_reused_often_costs_no_more_memory() {
    run(async {
        let server = StandIn::start(|_, _| Act::Answer(answer(202, &[], r#"{"cached_tokens":4}"#))).await;
        let idle = Duration::from_secs(3_600);
        let limits = EngineLimits {
            connect_timeout: AGES,
            probes: true,
            idle_timeout: idle,
            server_api: ServerApi::Platform,
        };
        let engine = Engine::new(limits, Arc::new(Semaphore::new(4)), Budget::new(1 << 20));
        let address = ServerAddress {
            server: ServerId(1),
            address: server.address.to_string(),
            is_serving: true,
            ..ServerAddress::default()
        };
        engine.update_servers(true, &[address], &[]);
        let mut held = Vec::new();
        for round in 0..2 {
            for _ in 0..[200, 2_000][round] {
                let payload = Rc::new(Payload { request_id: "a".into(), ..Payload::default() });
                let call = Call::Attempt {
                    server: ServerId(1),
                    payload,
                    connect_timeout: None,
                    deadline: Instant::now() + AGES,
                    connection_check: ConnectionCheck::None,
                    on_pause: OnPause::Retry,
                    cancel_token: CancelToken::default(),
                };
                assert!(matches!(engine.clone().oneshot(call).await, Ok(Reply::Prefilled { .. })));
                for _ in 0..10 {
                    yield_now().await;
                }
            }
            server.seen.borrow_mut().clear();
            server.seen.borrow_mut().shrink_to_fit();
            held.push(HEAP.allocated());
        }
        let each = held[1].saturating_sub(held[0]) / 2_000;
        assert!(each < 100, "{each} bytes for each time that the connection was kept");
        assert_eq!(server.connections.get(), 1);
    });
}
