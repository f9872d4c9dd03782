//! Connections that are asked before something that is held is staked on them.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use common::attempts::*;
use common::*;
use glenrail::engine::Engine;
use glenrail::exchange::CancelToken;
use glenrail::upstream::{Call, CallError, ConnectionCheck, Reply};
use glenrail_request_lifecycle::response_timing::OnPause;
use tokio::time::Instant;
use tower::ServiceExt;

/// A write for which a state is held.
async fn write(engine: &Engine, connect: Duration) -> (Result<Reply, CallError>, CancelToken) {
    let wanted = CancelToken::default();
    let call = Call::Attempt {
        server: SERVER,
        payload: payload("{}"),
        deadline: Instant::now() + PATIENCE,
        connect_timeout: Some(connect),
        connection_check: ConnectionCheck::Answer,
        on_pause: OnPause::Retry,
        cancel_token: wanted.clone(),
    };
    (engine.clone().oneshot(call).await, wanted)
}

const TIME: Duration = Duration::from_millis(400);

fn before(server: &StandIn) -> Engine {
    before_with(server, true)
}

/// An engine that may probe its server or not.
fn before_with(server: &StandIn, probes: bool) -> Engine {
    let engine = engine_with(AGES, 8, probes);
    engine.update_servers(true, &[address(SERVER, server, true)], &[]);
    engine
}

fn methods(server: &StandIn) -> Vec<String> {
    server.seen.borrow().iter().map(|seen| seen.method.clone()).collect()
}

/// The connections that requests came on, in the order of the requests.
fn used_connections(server: &StandIn) -> Vec<usize> {
    server.seen.borrow().iter().map(|seen| seen.connection).collect()
}

/// Guards the order: the probe is answered first, on the very connection that the write goes out on.
#[test]
fn an_attempt_is_written_on_a_connection_that_has_just_answered() {
    run(async {
        let server = StandIn::start(|_, seen| match seen.method.as_str() {
            "GET" => Act::Answer(answer(200, &[], "")),
            _ => stream(),
        })
        .await;
        let engine = before(&server);
        assert!(matches!(write(&engine, TIME).await.0, Ok(Reply::Response { .. })));
        assert_eq!(methods(&server), ["GET", "POST"]);
        assert_eq!(used_connections(&server), [0, 0]);
        until(|| server.connections.get() == 2).await;
        back_to_the_pool().await;
        assert_eq!(server.connections.get(), 2, "one stands beside it, and no more");
    });
}

/// Guards a state from a connection that stands and is silent: nothing of the request goes out, so it never ran.
#[test]
fn nothing_is_written_on_an_unresponsive_connection() {
    run(async {
        let server = StandIn::start(|_, _| Act::Silence).await;
        let (engine, began) = (before(&server), Instant::now());
        let (reply, wanted) = write(&engine, TIME).await;
        assert!(matches!(reply, Err(CallError::ConnectFailed)));
        assert!(!wanted.is_written());
        assert!(began.elapsed() < TIME, "another writer can still be asked");
        assert_eq!(methods(&server), ["GET"]);
    });
}

/// Guards a server's good name: too little time for an answer says nothing of it.
#[test]
fn too_short_a_time_says_nothing_about_a_server() {
    run(async {
        let server = StandIn::start(|_, _| Act::Silence).await;
        let engine = before(&server);
        assert!(matches!(write(&engine, Duration::from_millis(20)).await.0, Err(CallError::NotSent)));
    });
}

/// Guards a request whose kept connection was closed by its server: another connection carries it.
#[test]
fn an_idle_connection_that_has_ended_is_replaced() {
    run(async {
        let closes = Rc::new(Cell::new(false));
        let server = StandIn::start({
            let closes = closes.clone();
            move |_, seen| match seen.method.as_str() {
                "GET" if closes.replace(false) => Act::Break,
                "GET" => Act::Answer(answer(200, &[], "")),
                _ => read(),
            }
        })
        .await;
        let engine = before(&server);
        assert!(matches!(attempt(&engine, "{}").await, Ok(Reply::Prefilled { .. })));
        back_to_the_pool().await;
        closes.set(true);
        assert!(matches!(write(&engine, TIME).await.0, Ok(Reply::Prefilled { .. })));
        assert_eq!(server.count("POST"), 2);
        let used = used_connections(&server);
        assert_eq!((used[0], used[1]), (0, 0), "the first attempt, and the check on its connection");
        assert!(
            used[2] != 0 && used[3] == used[2] && used.len() == 4,
            "checked and written on another: {used:?}"
        );
        assert!(server.connections.get() <= 3, "the one that ended, the one that is used, and one beside it");
    });
}

/// Guards the first attempts of a process where nothing may be probed: the connection answers a release that concerns no request
/// before one is written, and nothing is written on one that comes up and is silent.
#[test]
fn the_first_attempt_of_a_process_is_written_on_a_connection_that_has_answered() {
    run(async {
        let server = StandIn::start(|_, seen| match seen.method.as_str() {
            "DELETE" => Act::Answer(answer(204, &[], "")),
            _ => stream(),
        })
        .await;
        server.scripts_checks.set(true);
        let engine = before_with(&server, false);
        assert!(matches!(write(&engine, TIME).await.0, Ok(Reply::Response { .. })));
        assert_eq!(
            (methods(&server), used_connections(&server)),
            (vec!["DELETE".into(), "POST".into()], vec![0, 0])
        );
        until(|| server.connections.get() == 2).await;
        let silent = StandIn::start(|_, _| Act::Silence).await;
        silent.scripts_checks.set(true);
        let engine = before_with(&silent, false);
        let (reply, wanted) = write(&engine, TIME).await;
        assert!(matches!(reply, Err(CallError::ConnectFailed)));
        assert_eq!((methods(&silent), wanted.is_written()), (vec!["DELETE".to_string()], false));
    });
}

/// Guards the sign of arrival where nothing may be probed: a release that concerns no request is answered.
#[test]
fn an_answer_and_not_an_open_connection_shows_that_a_server_is_reachable() {
    run(async {
        let answers = Rc::new(Cell::new(true));
        let server = StandIn::start({
            let answers = answers.clone();
            move |_, _| if answers.get() { Act::Answer(answer(204, &[], "")) } else { Act::Silence }
        })
        .await;
        server.scripts_checks.set(true);
        let engine = before_with(&server, false);
        let check = || engine.clone().oneshot(Call::VerifyReachable { server: SERVER });
        assert!(matches!(check().await, Ok(Reply::Done)));
        answers.set(false);
        assert!(matches!(check().await, Err(CallError::ConnectFailed)));
    });
}
