//! Tests of requests from admission to completion: attempts, responses, releases and limits.

use super::*;

const ALL_SERVERS: [u64; 4] = [PREFILL_SERVERS[0], PREFILL_SERVERS[1], DECODE_SERVERS[0], DECODE_SERVERS[1]];

/// Guards against the wire's 64-bit request ids in the router, which shifts ids and would lose bits.
#[test]
fn a_request_is_prefilled_then_decoded_and_served() {
    run_paused(async {
        let servers = ScriptedServers::new(two_stages);
        let core = core(&servers);
        for _ in 0..3 {
            let parts = response_parts(core.submit(request(1, 12_000.0))).await;
            assert!(matches!(parts[0], Some(ResponsePart::Head(..))));
            assert_eq!(parts.last(), Some(&Some(ResponsePart::End)));
        }
        wait_until_idle(&core).await;
        assert_eq!((servers.attempts(&PREFILL_SERVERS), servers.attempts(&DECODE_SERVERS)), (3, 3));
    });
}

/// Guards rule 5: while no connection to a decode server can be opened, the time of the unclaimed lease runs on. Two servers
/// with a connect timeout of 250 ms each would leave no time for the release; the request is prefilled again instead.
#[test]
fn a_lease_is_released_in_time_while_no_decode_server_can_be_connected() {
    run_paused(async {
        let script = |number: usize, server: ServerId| match PREFILL_SERVERS.contains(&server.0) {
            true => (20, ScriptedReply::Prefilled),
            // The engine shortens its usual connect timeout if less time is left.
            false if number == 1 => (250, ScriptedReply::Fail(CallError::ConnectFailed)),
            false if number < 3 => (150, ScriptedReply::Fail(CallError::ConnectFailed)),
            false => (20, ScriptedReply::Stream),
        };
        let servers = ScriptedServers::new(script);
        let core = core(&servers);
        let started_at = Instant::now();
        let parts = response_parts(core.submit(request(1, 12_000.0))).await;
        assert_eq!(parts.last(), Some(&Some(ResponsePart::End)));
        let expected = [
            CallKind::Attempt,
            CallKind::Attempt,
            CallKind::Attempt,
            CallKind::Release,
            CallKind::ReleaseAccepted,
            CallKind::Attempt,
            CallKind::Attempt,
        ];
        assert_eq!(servers.call_kinds(), expected);
        // Decode servers that could not be reached get no attempt for 100 ms.
        assert_eq!(servers.connect_timeouts_ms(), [None, Some(400), Some(150), None, Some(300)]);
        assert!(started_at.elapsed() < Duration::from_millis(900), "{:?}", started_at.elapsed());
    });
}

/// Guards rule 1 and the attempt timeout: an attempt ends by the client's deadline, whatever timeout the router orders.
#[test]
fn an_unresponsive_server_ends_in_one_failure_at_the_deadline() {
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        let (core, start) = (core(&servers), Instant::now());
        let parts = response_parts(core.submit(request(1, 900.0))).await;
        assert_eq!(parts, [Some(ResponsePart::Failed(Failure::DeadlineExceeded))]);
        let elapsed = start.elapsed();
        assert!(elapsed <= Duration::from_millis(916), "{elapsed:?}");
        assert!(elapsed >= Duration::from_millis(880), "{elapsed:?}");
        let timeouts = servers.attempt_timeouts.borrow().clone();
        assert!(timeouts.iter().all(|timeout| *timeout <= Duration::from_millis(900)));
        wait_until_idle(&core).await;
        assert_eq!(servers.in_flight.get(), 0);
    });
}

/// Guards rule 2: an at-most-once request that may have run is never sent again, nor rejected, which would state that a retry
/// is safe.
#[test]
fn an_at_most_once_request_that_may_have_run_is_not_retried() {
    for failure in [
        ScriptedReply::Fail(CallError::Reset),
        ScriptedReply::Fail(CallError::MalformedResponse(Malformation::Event)),
        ScriptedReply::Error,
        ScriptedReply::BrokenStream,
    ] {
        run_paused(async {
            let servers = prefilled_then(failure.clone());
            let core = core(&servers);
            let parts = response_parts(core.submit(request(1, 12_000.0))).await;
            let is_failed = matches!(parts.last(), Some(None | Some(ResponsePart::Failed(_))));
            assert!(is_failed, "{failure:?}: {parts:?}");
            wait_until_idle(&core).await;
            assert_eq!(servers.attempts(&DECODE_SERVERS), 1, "{failure:?}");
        });
    }
}

/// Guards rule 5: state that a failed prefill may have left is released before the next attempt, because a later release
/// would remove that attempt's state.
#[test]
fn a_broken_prefill_is_released_before_the_next_attempt() {
    run_paused(async {
        let servers = ScriptedServers::new(|number, server| match number {
            0 => (5, ScriptedReply::Fail(CallError::Reset)),
            _ => two_stages(number, server),
        });
        let core = core(&servers);
        let parts = response_parts(core.submit(request(0, 10_000.0))).await;
        assert_eq!(parts.last(), Some(&Some(ResponsePart::End)));
        wait_until_idle(&core).await;
        let expected = [CallKind::Attempt, CallKind::Release, CallKind::ReleaseAccepted, CallKind::Attempt];
        assert_eq!(servers.call_kinds()[..4], expected);
    });
}

/// Guards rule 5 for a client that disconnects during the prefill: the prefill is cancelled and its state released.
#[test]
fn a_client_that_disconnects_cancels_its_prefill() {
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (60_000, ScriptedReply::Prefilled));
        let core = core(&servers);
        let client = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(50)).await;
        assert_eq!(servers.in_flight.get(), 1);
        drop(client);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(servers.in_flight.get(), 0);
        assert!(servers.count(CallKind::ReleaseAccepted) > 0);
        assert!(core.is_idle());
    });
}

/// Guards slow streams: a stream continues as long as events arrive, and is ended only if it is idle for too
/// long.
#[test]
fn a_slow_stream_continues_and_an_idle_one_is_ended() {
    run_paused(async {
        let servers = prefilled_then(ScriptedReply::SlowStream(vec![4; 6]));
        let (core, start) = (core(&servers), Instant::now());
        let parts = response_parts(core.submit(request(0, 10_000.0))).await;
        assert_eq!((parts.len(), parts.last()), (8, Some(&None)));
        let idle = start.elapsed() - Duration::from_secs(6 * 4);
        assert!(idle >= Duration::from_secs(4) && idle < Duration::from_secs(5), "{idle:?}");
        wait_until_idle(&core).await;
    });
}

/// Guards the limits that the core enforces whatever the router orders: no concurrent attempts of one request, and no attempt
/// after its end.
#[test]
fn an_attempt_beyond_the_limits_is_not_sent() {
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (50, ScriptedReply::NoReply));
        let core = core(&servers);
        let _client = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(10)).await;
        let copy = Action::Send { id: RequestId(1), server: ServerId(21), timeout: 100.0 };
        core.execute(copy.clone());
        core.execute(Action::Fail { id: RequestId(1), reason: RejectReason::DeadlineExceeded });
        core.execute(copy);
        sleep(Duration::from_millis(300)).await;
        assert_eq!((servers.attempts(&ALL_SERVERS), servers.max_in_flight.get()), (1, 1));
    });
}

/// Guards an open request against a duplicate: servers would attribute the attempts and releases of the
/// duplicate to the first request. The id is available again once the first request has finished.
#[test]
fn a_request_id_is_in_use_until_its_request_has_finished() {
    let duplicate = [Some(ResponsePart::Failed(Failure::DuplicateRequestId))];
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (60_000, ScriptedReply::Prefilled));
        let core = core(&servers);
        let first = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(20)).await;
        assert_eq!(response_parts(core.submit(request(0, 10_000.0))).await, duplicate);
        let attempts = servers.attempts(&PREFILL_SERVERS);
        assert_eq!((attempts, servers.in_flight.get()), (1, 1), "the first request is unaffected");
        drop(first);
        // The request was cancelled, but its release is in flight, so it has not finished.
        wait_for_call(&servers, CallKind::Release).await;
        assert_eq!(response_parts(core.submit(request(0, 10_000.0))).await, duplicate);
        wait_until_idle(&core).await;
        let _later = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(20)).await;
        assert_eq!(servers.attempts(&PREFILL_SERVERS), 2);
        assert_eq!(servers.count(CallKind::Release), 1, "a duplicate releases nothing");
    });
}

/// Guards an open request of another gateway against a duplicate that arrives here and that a server reports
/// as unprocessable: the duplicate fails at once without a retry, and nothing that servers hold under its id
/// is released.
#[test]
fn an_unprocessable_request_fails_and_releases_nothing() {
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (5, ScriptedReply::Unprocessable));
        let core = core(&servers);
        let parts = response_parts(core.submit(request(0, 10_000.0))).await;
        assert_eq!(parts, [Some(ResponsePart::Failed(Failure::Unprocessable))]);
        wait_until_idle(&core).await;
        assert_eq!(servers.calls.borrow().len(), 1);
    });
}

/// Guards against a needless release after each response: the first event shows that the lease was claimed.
#[test]
fn a_response_that_has_begun_needs_no_release() {
    run_paused(async {
        let servers = ScriptedServers::new(two_stages);
        let core = core(&servers);
        let parts = response_parts(core.submit(request(0, 10_000.0))).await;
        assert_eq!(parts.last(), Some(&Some(ResponsePart::End)));
        wait_until_idle(&core).await;
        assert_eq!(servers.count(CallKind::Release), 0);
    });
}

/// Generates a delay in milliseconds and a reply.
fn scripted_step() -> impl Strategy<Value = (u64, ScriptedReply)> {
    let reply = prop_oneof![
        4 => Just(ScriptedReply::Prefilled),
        4 => Just(ScriptedReply::Stream),
        1 => Just(ScriptedReply::BrokenStream),
        1 => Just(ScriptedReply::Rejected),
        1 => Just(ScriptedReply::Error),
        1 => Just(ScriptedReply::Fail(CallError::ConnectFailed)),
        1 => Just(ScriptedReply::Unprocessable),
        1 => Just(ScriptedReply::Fail(CallError::Reset)),
        1 => Just(ScriptedReply::Fail(CallError::MalformedResponse(Malformation::Event))),
        1 => Just(ScriptedReply::Fail(CallError::NotSent)),
        1 => Just(ScriptedReply::NoReply),
    ];
    (0u64..400, reply)
}

/// Adapts a scripted reply to the server's stage: prefill servers never stream, and decode servers never prefill.
fn for_stage(is_prefill: bool, reply: ScriptedReply) -> ScriptedReply {
    match (is_prefill, reply) {
        (true, ScriptedReply::Stream | ScriptedReply::BrokenStream) => ScriptedReply::Prefilled,
        (false, ScriptedReply::Prefilled) => ScriptedReply::Stream,
        (_, reply) => reply,
    }
}

/// Whether an attempt that got this reply from a decode server may have run.
fn may_have_run(reply: &ScriptedReply) -> bool {
    !matches!(reply, ScriptedReply::Rejected | ScriptedReply::Unprocessable) && !reply.is_unwritten()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// For any server behaviour and any time of a client's disconnection: a stream or a final response in
    /// time, no concurrent attempts, no more attempts than allowed, no repeated execution of an at-most-once
    /// request that may have run, and nothing left in flight.
    #[test]
    fn every_request_ends_once(steps in prop::collection::vec(scripted_step(), 8), class in 0u32..2,
        client_timeout in 50.0..4_000.0, disconnects_after in prop::option::of(0u64..2_000)) {
        run_paused(async {
            let script = steps.clone();
            let servers = ScriptedServers::new(move |number, server| {
                let (delay, reply) = script[number % script.len()].clone();
                (delay, for_stage(PREFILL_SERVERS.contains(&server.0), reply))
            });
            let core = core(&servers);
            let client = core.submit(request(class, client_timeout));
            match disconnects_after {
                Some(after) => drop(timeout(Duration::from_millis(after), response_parts(client)).await),
                None => assert_answered_in_time(client, client_timeout).await,
            }
            wait_until_idle(&core).await;
            assert_eq!(servers.in_flight.get(), 0);
            assert!(servers.max_in_flight.get() <= 1);
            assert!(servers.count(CallKind::Attempt) <= 5);
            let calls = servers.calls.borrow();
            let attempts = calls.iter().filter(|call| call.0 == CallKind::Attempt);
            let executed = attempts.enumerate().filter(|(number, (_, server))| {
                DECODE_SERVERS.contains(server) && may_have_run(&steps[number % steps.len()].1)
            });
            assert!(class == 0 || executed.count() <= 1, "executed twice: {calls:?} {steps:?}");
        });
    }
}

async fn assert_answered_in_time(client: ClientSide, client_timeout: Millis) {
    let limit = Duration::from_secs_f64(client_timeout / 1000.0 + 0.016);
    let start = Instant::now();
    let parts = response_parts(client).await;
    let has_begun = matches!(parts[0], Some(ResponsePart::Head(..)));
    assert!(has_begun || start.elapsed() <= limit, "{parts:?} after {:?}", start.elapsed());
    assert!(has_begun || parts[0].is_some(), "aborted without a response");
}

/// Guards against timers that expire immediately once the process has run for more than an hour. Such timers are set again and
/// again without a pause, so without the limit in this test it would never end.
#[test]
fn router_timers_expire_on_time_after_days() {
    let (done, ended) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        run_paused(serve_for_days());
        done.send(()).expect("the test waits");
    });
    ended.recv_timeout(Duration::from_secs(30)).expect("all requests are served");
}

async fn serve_for_days() {
    let servers = ScriptedServers::new(two_stages);
    let core = core(&servers);
    for minutes in [59, 61, 120, 72 * 60] {
        let started_at = Instant::now();
        tokio::time::advance(Duration::from_secs(60 * minutes)).await;
        let limit = Duration::from_secs(60 * minutes + 1);
        assert!(started_at.elapsed() < limit, "no further time has passed");
        let parts = response_parts(core.submit(request(1, 12_000.0))).await;
        assert_eq!(parts.last(), Some(&Some(ResponsePart::End)), "after {minutes} minutes more");
    }
    wait_until_idle(&core).await;
}
