//! What the engine sees of an attempt's delivery on other connections, and which connections stand beside an attempt.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use common::attempts::*;
use common::*;
use glenrail::engine::Engine;
use glenrail::exchange::CancelToken;
use glenrail::upstream::{Call, CallError, ConnectionCheck, Reply};
use glenrail_request_lifecycle::evidence::Observation;
use glenrail_request_lifecycle::response_timing::OnPause;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, Instant};
use tower::ServiceExt;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const SLOTS: usize = 8;

/// A server that answers probes, and decode attempts while `answers_attempts`; connections below `silent_below` are silent.
struct DecodeServer {
    server: StandIn,
    silent_below: Rc<Cell<usize>>,
    answers_attempts: Rc<Cell<bool>>,
}

impl DecodeServer {
    async fn start() -> DecodeServer {
        let (silent_below, answers_attempts) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(true)));
        let (silent, answers) = (silent_below.clone(), answers_attempts.clone());
        let server = StandIn::start(move |_, seen| {
            let answers_probes = seen.connection >= silent.get();
            match seen.method.as_str() {
                "GET" if answers_probes => Act::Answer(answer(200, &[], "")),
                "POST" if answers.get() => read(),
                _ => Act::Silence,
            }
        })
        .await;
        DecodeServer { server, silent_below, answers_attempts }
    }

    /// Has every connection that stands silent for good.
    fn silence(&self) {
        self.silent_below.set(self.server.connections.get());
    }

    fn engine(&self, slots: usize) -> Engine {
        let engine = engine_with(AGES, slots, true);
        engine.update_servers(true, &[address(SERVER, &self.server, true)], &[]);
        engine
    }
}

async fn send_attempt(engine: &Engine, cancel_token: CancelToken) -> Result<Reply, CallError> {
    let call = Call::Attempt {
        server: SERVER,
        payload: payload("{}"),
        deadline: Instant::now() + PATIENCE,
        connect_timeout: Some(CONNECT_TIMEOUT),
        connection_check: ConnectionCheck::Answer,
        on_pause: OnPause::Retry,
        cancel_token,
    };
    engine.clone().oneshot(call).await
}

/// An attempt that is written and gets no response; it is cancelled when the task is.
async fn unanswered_attempt(engine: &Engine) -> (CancelToken, JoinHandle<()>) {
    let cancel_token = CancelToken::default();
    let (engine, token) = (engine.clone(), cancel_token.clone());
    let task = spawn_local(async move { _ = send_attempt(&engine, token).await });
    cancel_token.first_byte_written().await;
    back_to_the_pool().await;
    (cancel_token, task)
}

async fn confirm(engine: &Engine, cancel_token: &CancelToken) -> Option<Observation> {
    let call = Call::ConfirmDelivery { server: SERVER, cancel_token: cancel_token.clone() };
    match engine.clone().oneshot(call).await {
        Ok(Reply::DeliveryObserved(seen)) => Some(seen),
        _ => None,
    }
}

/// Guards the choice of the connection that is asked: one that stood at the write, not a new one.
#[test]
fn a_connection_that_stood_at_the_write_is_asked() {
    run(async {
        let decode = DecodeServer::start().await;
        let engine = decode.engine(SLOTS);
        decode.answers_attempts.set(false);
        let (token, _task) = unanswered_attempt(&engine).await;
        assert_eq!(confirm(&engine, &token).await, Some(Observation::ResponseOnEarlierConnection));
        assert_eq!(decode.server.connections.get(), 2);
    });
}

/// Guards soak seeds 9664 and 9684: a newer connection answers, and the ones that stood at the write are silent.
#[test]
fn silence_on_a_standing_connection_counts_more_than_an_answer_on_a_newer_one() {
    run(async {
        let decode = DecodeServer::start().await;
        let engine = decode.engine(SLOTS);
        decode.answers_attempts.set(false);
        let (token, _task) = unanswered_attempt(&engine).await;
        decode.silence();
        assert_eq!(confirm(&engine, &token).await, Some(Observation::TimeoutOnEarlierConnection));
        assert_eq!(
            confirm(&engine, &token).await,
            Some(Observation::TimeoutOnEarlierConnection),
            "asked again"
        );
    });
}

/// Guards attempts at a server that stood still for a moment: no connection answers, and then the standing one does.
#[test]
fn a_standing_connection_that_answers_late_shows_a_delivery() {
    run(async {
        let goes_on = Rc::new(Cell::new(true));
        let flag = goes_on.clone();
        let server = StandIn::start(move |_, seen| match seen.method.as_str() {
            "GET" => Act::When(flag.clone(), answer(200, &[], "")),
            _ => Act::Silence,
        })
        .await;
        let engine = engine_with(AGES, SLOTS, true);
        engine.update_servers(true, &[address(SERVER, &server, true)], &[]);
        let (token, _task) = unanswered_attempt(&engine).await;
        goes_on.set(false);
        assert_eq!(confirm(&engine, &token).await, None, "nothing answers");
        goes_on.set(true);
        sleep(Duration::from_millis(20)).await;
        assert_eq!(confirm(&engine, &token).await, Some(Observation::ResponseOnEarlierConnection));
    });
}

/// Guards the price: one call on a standing connection speaks for all attempts that were written before it.
#[test]
fn attempts_share_the_answer_of_a_standing_connection() {
    run(async {
        let decode = DecodeServer::start().await;
        let engine = decode.engine(SLOTS);
        decode.answers_attempts.set(false);
        let (first, _first_task) = unanswered_attempt(&engine).await;
        let (second, _second_task) = unanswered_attempt(&engine).await;
        let before = engine.counts().probes;
        let seen = tokio::join!(confirm(&engine, &first), confirm(&engine, &second));
        assert_eq!(
            seen,
            (Some(Observation::ResponseOnEarlierConnection), Some(Observation::ResponseOnEarlierConnection))
        );
        assert_eq!(confirm(&engine, &first).await, Some(Observation::ResponseOnEarlierConnection));
        assert_eq!(engine.counts().probes - before, 1);
    });
}

/// Guards what shows nothing: where the connection that stood has been closed by its server, a newer one is asked.
#[test]
fn a_standing_connection_that_was_closed_shows_nothing() {
    run(async {
        let closes = Rc::new(Cell::new(false));
        let flag = closes.clone();
        let server = StandIn::start(move |_, seen| match seen.method.as_str() {
            "GET" if flag.replace(false) => Act::Break,
            "GET" => Act::Answer(answer(200, &[], "")),
            _ => Act::Silence,
        })
        .await;
        let engine = engine_with(AGES, SLOTS, true);
        engine.update_servers(true, &[address(SERVER, &server, true)], &[]);
        let (token, _task) = unanswered_attempt(&engine).await;
        closes.set(true);
        assert_eq!(confirm(&engine, &token).await, Some(Observation::ResponseOnLaterConnection));
    });
}

/// Guards the limit of connections: where no slot is free, the attempt goes without a connection beside it.
#[test]
fn an_attempt_goes_without_a_sentinel_where_no_slot_is_free() {
    run(async {
        let decode = DecodeServer::start().await;
        let engine = decode.engine(1);
        assert!(matches!(send_attempt(&engine, CancelToken::default()).await, Ok(Reply::Prefilled { .. })));
        assert_eq!(decode.server.connections.get(), 1);
    });
}

/// Guards the price: attempts one after the other use two connections in turn, and no further one is opened.
#[test]
fn a_sentinel_costs_one_connection_for_many_attempts() {
    const ATTEMPTS: usize = 10;
    run(async {
        let decode = DecodeServer::start().await;
        let engine = decode.engine(SLOTS);
        for _ in 0..ATTEMPTS {
            let reply = send_attempt(&engine, CancelToken::default()).await;
            assert!(matches!(reply, Ok(Reply::Prefilled { .. })));
            until(|| decode.server.connections.get() == 2).await;
            back_to_the_pool().await;
        }
        let counts = engine.counts();
        assert_eq!(
            (
                counts.connections_opened.attempt,
                counts.connections_opened.probe,
                counts.connections_opened.total()
            ),
            (1, 1, 2)
        );
        let attempts_on = |connection| {
            let seen = decode.server.seen.borrow();
            seen.iter().filter(|seen| seen.method == "POST" && seen.connection == connection).count()
        };
        assert_eq!((attempts_on(0), attempts_on(1)), (ATTEMPTS / 2, ATTEMPTS / 2));
    });
}

/// Guards an attempt from the attempt after it, which takes the connection that stood beside the first one and finds it silent.
#[test]
fn the_silent_check_of_a_later_attempt_speaks_against_the_earlier_one() {
    run(async {
        let decode = DecodeServer::start().await;
        let engine = decode.engine(SLOTS);
        decode.answers_attempts.set(false);
        let (first, _first_task) = unanswered_attempt(&engine).await;
        decode.silence();
        let second = send_attempt(&engine, CancelToken::default()).await;
        assert!(matches!(second, Err(CallError::ConnectFailed)));
        assert_eq!(confirm(&engine, &first).await, Some(Observation::TimeoutOnEarlierConnection));
    });
}

/// Guards an attempt from a probe of the router, which takes the connection that stood beside the attempt and finds it silent.
#[test]
fn a_silent_probe_speaks_against_the_attempt_before_it() {
    run(async {
        let decode = DecodeServer::start().await;
        let engine = decode.engine(SLOTS);
        decode.answers_attempts.set(false);
        let (token, _task) = unanswered_attempt(&engine).await;
        decode.silence();
        let probe = spawn_local(engine.clone().oneshot(Call::Probe { server: SERVER }));
        back_to_the_pool().await;
        assert_eq!(confirm(&engine, &token).await, Some(Observation::TimeoutOnEarlierConnection));
        probe.abort();
    });
}

/// Guards the price: a probe of the router that is answered on a standing connection saves the call.
#[test]
fn an_answered_probe_speaks_for_the_attempt_before_it() {
    run(async {
        let decode = DecodeServer::start().await;
        let engine = decode.engine(SLOTS);
        decode.answers_attempts.set(false);
        let (token, _task) = unanswered_attempt(&engine).await;
        let probe = engine.clone().oneshot(Call::Probe { server: SERVER }).await;
        assert!(matches!(probe, Ok(Reply::Probed { .. })));
        let probes = engine.counts().probes;
        assert_eq!(confirm(&engine, &token).await, Some(Observation::ResponseOnEarlierConnection));
        assert_eq!(engine.counts().probes, probes);
    });
}
