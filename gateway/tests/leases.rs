//! What servers hold for a request, on loopback sockets: who is asked to let go, and what a lost answer may have left.

mod common;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::*;
use glenrail::budget::Budget;
use glenrail::engine::{Engine, EngineLimits, ServerAddress, ServerApi};
use glenrail::exchange::{CancelToken, Payload};
use glenrail::upstream::{Call, CallError, ConnectionCheck, Reply};
use glenrail_request_lifecycle::response_timing::OnPause;
use glenrail_router::ServerId;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tower::ServiceExt;

const WAIT: Duration = Duration::from_secs(20);

fn engine(bodies: usize) -> Engine {
    let limits = EngineLimits {
        connect_timeout: WAIT,
        probes: true,
        idle_timeout: WAIT,
        server_api: ServerApi::Platform,
    };
    Engine::new(limits, Arc::new(Semaphore::new(8)), Budget::new(bodies))
}

fn list(at: &[(&StandIn, bool)]) -> Vec<ServerAddress> {
    let line = |(n, (at, serving)): (usize, &(&StandIn, bool))| ServerAddress {
        server: ServerId(n as u64),
        address: at.address.to_string(),
        is_serving: *serving,
        zone: 0,
        started_ms: 0,
    };
    at.iter().enumerate().map(line).collect()
}

fn payload() -> Rc<Payload> {
    Rc::new(Payload { request_id: "9b1f".into(), ..Payload::default() })
}

/// Guards rule 5 while all that is listed drains: any server that runs takes a release, those that drain after the others.
#[test]
fn draining_servers_are_asked_for_a_release_last() {
    run(async {
        let taken = || StandIn::start(|_, _| Act::Answer(answer(204, &[], "")));
        let (drains, serves) = (taken().await, taken().await);
        for server in [&drains, &serves] {
            server.scripts_checks.set(true);
        }
        let engine = engine(1 << 20);
        engine.update_servers(true, &list(&[(&drains, false), (&serves, true)]), &[]);
        let release = || engine.clone().oneshot(Call::Release { payload: payload() });
        assert!(matches!(release().await, Ok(Reply::Done)));
        assert_eq!((drains.count("DELETE"), serves.count("DELETE")), (0, 1));
        engine.update_servers(true, &list(&[(&drains, false)]), &[]);
        assert!(matches!(release().await, Ok(Reply::Done)));
        assert_eq!((drains.count("DELETE"), serves.count("DELETE")), (1, 1));
    });
}

/// Guards rule 5: a read whose answer cannot be kept here has ended well all the same, so its outcome must not be one after
/// which nothing is let go.
#[test]
fn a_prefill_whose_response_exceeds_the_budget_is_malformed() {
    run(async {
        let server = StandIn::start(|_, _| read()).await;
        let engine = engine(4);
        engine.update_servers(true, &list(&[(&server, true)]), &[]);
        let call = Call::Attempt {
            server: ServerId(0),
            payload: payload(),
            deadline: Instant::now() + WAIT,
            connect_timeout: None,
            connection_check: ConnectionCheck::None,
            on_pause: OnPause::Retry,
            cancel_token: CancelToken::default(),
        };
        assert!(matches!(engine.oneshot(call).await, Err(CallError::MalformedResponse(_))));
    });
}
