//! Questions to servers whose connections were reset: on a connection that is begun after the reset.

mod common;

use std::time::Duration;

use common::attempts::*;
use common::*;
use futures_util::future::join_all;
use glenrail::engine::{Engine, ServerAddress};
use glenrail::exchange::CancelToken;
use glenrail::upstream::{Call, Reply, ServerAfterReset};
use glenrail_request_lifecycle::evidence::Observation;
use tokio::time::Instant;
use tower::ServiceExt;

/// An engine with one server, which it may probe or not.
fn engine_of(server: &StandIn, probes: bool) -> Engine {
    let engine = engine_with(AGES, 8, probes);
    engine.update_servers(true, &[address(SERVER, server, true)], &[]);
    engine
}

/// What has become of the server at this address.
async fn ask(engine: &Engine, address: &str) -> ServerAfterReset {
    let cancel_token = CancelToken::default();
    cancel_token.set_server_address(address);
    let call = Call::InquireAfterReset { server: SERVER, cancel_token };
    match engine.clone().oneshot(call).await {
        Ok(Reply::AfterReset(found)) => found,
        _ => panic!("another answer"),
    }
}

fn methods(server: &StandIn) -> Vec<String> {
    server.seen.borrow().iter().map(|seen| seen.method.clone()).collect()
}

async fn answering() -> StandIn {
    let server = StandIn::start(|_, seen| match seen.method.as_str() {
        "GET" | "DELETE" => Act::Answer(answer(204, &[], "")),
        _ => read(),
    })
    .await;
    server.scripts_checks.set(true);
    server
}

/// Guards the evidence: an idle connection stood before the reset, so the question goes on a new one, which is reused then.
#[test]
fn a_server_is_asked_on_a_new_connection_which_is_reused() {
    run(async {
        let server = answering().await;
        let engine = engine_of(&server, true);
        assert!(matches!(attempt(&engine, "{}").await, Ok(Reply::Prefilled { .. })));
        back_to_the_pool().await;
        assert_eq!(ask(&engine, &server.address.to_string()).await, ServerAfterReset::Responded);
        assert_eq!(server.connections.get(), 2);
        assert!(matches!(attempt(&engine, "{}").await, Ok(Reply::Prefilled { .. })));
        assert_eq!(
            (methods(&server), server.connections.get()),
            (vec!["POST".into(), "GET".into(), "POST".into()], 2)
        );
    });
}

/// Guards deployments without probes, and servers that have left the list: the release of an id that is no request's is asked.
#[test]
fn a_release_is_asked_where_no_probe_may_be() {
    run(async {
        let server = answering().await;
        let address = server.address.to_string();
        assert_eq!(ask(&engine_of(&server, false), &address).await, ServerAfterReset::Responded);
        let engine = engine_of(&server, true);
        engine.update_servers(true, &[], &[]);
        assert_eq!(ask(&engine, &address).await, ServerAfterReset::Responded);
        assert_eq!(methods(&server), ["DELETE", "DELETE"]);
    });
}

/// Guards against a refusal by another process: the address is asked that the attempt went to, wherever the server is now.
#[test]
fn the_address_is_asked_that_the_attempt_was_written_to() {
    run(async {
        let (old, new) = (answering().await, answering().await);
        let engine = engine_of(&old, true);
        engine.update_servers(false, &[address(SERVER, &new, true)], &[]);
        assert_eq!(ask(&engine, &old.address.to_string()).await, ServerAfterReset::Responded);
        assert_eq!((methods(&old), methods(&new)), (vec!["DELETE".to_string()], Vec::new()));
    });
}

/// Guards requests against long questions: a server that stands still has its connections accepted, and does not answer.
#[test]
fn a_server_that_does_not_answer_is_silent_after_a_short_time() {
    run(async {
        let server = StandIn::start(|_, _| Act::Silence).await;
        server.scripts_checks.set(true);
        let (engine, begun) = (engine_of(&server, true), Instant::now());
        assert_eq!(ask(&engine, &server.address.to_string()).await, ServerAfterReset::TimedOut);
        assert!(begun.elapsed() < Duration::from_millis(400), "{:?}", begun.elapsed());
    });
}

/// Guards the proof that a process is gone: its machine refuses.
#[test]
fn a_process_that_is_gone_refuses() {
    run(async {
        let (_held, gone) = reserved();
        let listed = ServerAddress {
            server: SERVER,
            address: gone.to_string(),
            is_serving: true,
            ..ServerAddress::default()
        };
        let engine = engine_with(AGES, 8, true);
        engine.update_servers(true, &[listed], &[]);
        assert_eq!(ask(&engine, &gone.to_string()).await, ServerAfterReset::ConnectionRefused);
    });
}

/// Guards the fleet's prices: those whose resets came while one question was asked share the next.
#[test]
fn resets_of_many_requests_share_a_question() {
    run(async {
        let server = answering().await;
        let (engine, address) = (engine_of(&server, true), server.address.to_string());
        let found = join_all((0..20).map(|_| ask(&engine, &address))).await;
        assert_eq!(found, [ServerAfterReset::Responded; 20]);
        assert_eq!((server.count("GET"), server.connections.get()), (2, 2));
    });
}

/// Guards an attempt that goes out on a second connection: what the first one has shown says nothing of it.
#[test]
fn what_was_seen_of_one_connection_is_forgotten_on_the_next() {
    let token = CancelToken::default();
    token.set_server_address("127.0.0.1:1");
    token.record_observation(Observation::ServerClose);
    assert!(token.has_work_ended());
    token.set_server_address("127.0.0.1:1");
    assert!(!token.has_work_ended());
}
