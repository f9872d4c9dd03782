//! Tests of leases and retries after failed attempts: the time limit of an unclaimed lease, its release, and the idempotency
//! window in which a request may be retried.

use super::*;

/// Timeout of every attempt that the policies of this file order, in milliseconds.
const ATTEMPT_TIMEOUT: Millis = 5_000.0;

pub(super) fn send(id: RequestId, server: u64) -> Action {
    Action::Send { id, server: ServerId(server), timeout: ATTEMPT_TIMEOUT }
}

/// Script in which prefills succeed after 20 ms and decodes get this reply after a delay in milliseconds.
fn prefilled_then(delay: u64, decode: ScriptedReply) -> ScriptedServers {
    ScriptedServers::new(move |_, server| match PREFILL_SERVERS.contains(&server.0) {
        true => (20, ScriptedReply::Prefilled),
        false => (delay, decode.clone()),
    })
}

/// A policy that sends each request to one prefill server and then to one decode server, cancels the decode after a time and
/// orders nothing more.
struct CancelsDecode {
    after: Millis,
    outcomes: Rc<RefCell<Vec<AttemptStatus>>>,
}

impl DecisionPolicy for CancelsDecode {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => actions.push(send(request.id, PREFILL_SERVERS[0])),
            Event::Outcome(AttemptOutcome { id, status, .. }) => {
                self.outcomes.borrow_mut().push(status);
                if status == AttemptStatus::Prefilled {
                    actions.push(send(id, DECODE_SERVERS[0]));
                    actions.push(Action::Timer { at: now + self.after, key: id.0, request: Some(id) });
                }
            }
            Event::Timer { key } => actions.push(Action::Cancel { id: RequestId(key), attempt: 1 }),
            _ => {}
        }
    }
}

/// Runs a request whose decode is cancelled after 250 ms. Returns the outcomes reported to the router, and the time from the
/// end of the prefill to the release of its lease.
fn run_cancelled_decode(decode: ScriptedReply) -> (Vec<AttemptStatus>, Duration) {
    run_paused(async move {
        let servers = prefilled_then(0, decode);
        let outcomes: Rc<RefCell<Vec<AttemptStatus>>> = Rc::default();
        let policy = CancelsDecode { after: 250.0, outcomes: outcomes.clone() };
        let core = core_with_policy(&servers, policy);
        let _client = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(20)).await;
        let prefilled = Instant::now();
        wait_for_call(&servers, CallKind::Release).await;
        let outcomes = outcomes.borrow().clone();
        (outcomes, prefilled.elapsed())
    })
}

/// Guards rule 5 against a lease that restarts: a decode cancelled while connecting was never in flight, so the state has been
/// unclaimed since the end of its prefill.
#[test]
fn a_decode_cancelled_while_connecting_does_not_extend_its_lease() {
    let (outcomes, released_after) = run_cancelled_decode(ScriptedReply::NoConnection);
    assert_eq!(outcomes, [AttemptStatus::Prefilled, AttemptStatus::NotSent]);
    assert!((455..=475).contains(&released_after.as_millis()), "{released_after:?}");
    // A decode whose delivery was confirmed has claimed the lease: the unclaimed time starts again at its
    // end, and the server has 25 ms to notice the cancellation.
    let (outcomes, released_after) = run_cancelled_decode(ScriptedReply::NoReply);
    assert_eq!(outcomes, [AttemptStatus::Prefilled, AttemptStatus::Cancelled]);
    assert!((705..=745).contains(&released_after.as_millis()), "{released_after:?}");
}

/// Guards rule 5 while no server can be reached: a release is retried until a server accepts it, and the request is not sent
/// again before that.
#[test]
fn a_release_that_no_server_accepted_is_retried() {
    run_paused(async {
        let servers = ScriptedServers::new(|number, server| match number {
            0 => (20, ScriptedReply::Fail(CallError::Reset)),
            _ => two_stages(number, server),
        });
        servers.failing_releases.set(3);
        let core = core(&servers);
        let parts = response_parts(core.submit(request(1, 12_000.0))).await;
        assert_eq!(parts.last(), Some(&Some(ResponsePart::End)));
        let expected = [
            CallKind::Attempt,
            CallKind::Release,
            CallKind::Release,
            CallKind::Release,
            CallKind::Release,
            CallKind::ReleaseAccepted,
            CallKind::Attempt,
            CallKind::Attempt,
        ];
        assert_eq!(servers.call_kinds(), expected);
    });
}

/// Guards against a release that is retried forever, which would block the shutdown and keep the request's id in use.
#[test]
fn a_release_that_no_server_ever_accepts_is_given_up() {
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (20, ScriptedReply::Fail(CallError::Reset)));
        servers.failing_releases.set(usize::MAX);
        let (core, started_at) = (core(&servers), Instant::now());
        let client = core.submit(request(1, 3_000.0));
        wait_for_call(&servers, CallKind::Attempt).await;
        drop(client);
        wait_until_idle(&core).await;
        assert!(servers.count(CallKind::Release) > 10);
        assert!(started_at.elapsed() < Duration::from_millis(3_200), "{:?}", started_at.elapsed());
    });
}

/// Guards rule 2 for a class with an idempotency window of 300 ms: connecting uses up time of the window.
#[test]
fn a_retry_is_not_written_after_its_idempotency_window() {
    run_paused(async {
        // The first decode is reset after 200 ms, which leaves 100 ms of the window.
        let servers = prefilled_then(200, ScriptedReply::Fail(CallError::Reset));
        let core = core(&servers);
        let _client = core.submit(request(2, 12_000.0));
        sleep(Duration::from_millis(230)).await;
        assert_eq!(servers.connect_timeouts_ms(), [None, Some(400), Some(100)]);
        // After the window no retry is allowed: the request fails at once and its lease is released.
        sleep(Duration::from_millis(280)).await;
        assert_eq!(servers.attempts(&DECODE_SERVERS), 2);
        assert!(core.is_idle(), "{:?}", servers.calls.borrow());
    });
}

/// A policy that orders a release and a retry as soon as a decode was reset.
struct RetriesDecode;

impl DecisionPolicy for RetriesDecode {
    fn handle(&mut self, _: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => actions.push(send(request.id, PREFILL_SERVERS[0])),
            Event::Outcome(AttemptOutcome { id, status: AttemptStatus::Prefilled, .. }) => {
                actions.push(send(id, DECODE_SERVERS[0]));
            }
            Event::Outcome(AttemptOutcome { id, status: AttemptStatus::Reset, .. }) => {
                actions.extend([Action::Release { id }, send(id, DECODE_SERVERS[0])]);
            }
            _ => {}
        }
    }
}

/// Guards rule 2 for a retry that is ordered within the idempotency window but must wait for a release until the window has
/// passed: it has no time left to connect, so it is not written.
#[test]
fn a_retry_that_waits_for_a_release_is_not_written_after_its_idempotency_window() {
    run_paused(async {
        let servers = prefilled_then(200, ScriptedReply::Fail(CallError::Reset));
        // Three failed release calls of 40 ms and the delays between them exceed the 100 ms that are left of the window.
        servers.failing_releases.set(3);
        let core = core_with_policy(&servers, RetriesDecode);
        let _client = core.submit(request(2, 12_000.0));
        while servers.attempts(&DECODE_SERVERS) < 2 {
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(servers.connect_timeouts.borrow().last(), Some(&Some(Duration::ZERO)));
    });
}

/// A policy that cancels a request's first prefill after 200 ms and orders another prefill after each one that has ended.
struct RepeatsPrefill;

impl DecisionPolicy for RepeatsPrefill {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                actions.push(send(request.id, PREFILL_SERVERS[0]));
                actions.push(Action::Timer { at: now + 200.0, key: request.id.0, request: Some(request.id) });
            }
            Event::Timer { key } => actions.push(Action::Cancel { id: RequestId(key), attempt: 0 }),
            // An attempt that must not be sent ends at once; ordering another would loop.
            Event::Outcome(AttemptOutcome { status: AttemptStatus::NotSent, .. }) => {}
            Event::Outcome(AttemptOutcome { id, .. }) => actions.push(send(id, PREFILL_SERVERS[0])),
            _ => {}
        }
    }
}

/// Returns the longest time without an accepted release, observed for this duration from the first accepted
/// release on.
pub(super) async fn longest_release_gap(servers: &ScriptedServers, observed: Duration) -> Duration {
    wait_for_call(servers, CallKind::ReleaseAccepted).await;
    let (mut releases, mut last, mut longest) = (1, Instant::now(), Duration::ZERO);
    let observed_until = Instant::now() + observed;
    while Instant::now() < observed_until {
        sleep(Duration::from_millis(1)).await;
        if servers.count(CallKind::ReleaseAccepted) > releases {
            releases = servers.count(CallKind::ReleaseAccepted);
            last = Instant::now();
        }
        longest = longest.max(last.elapsed());
    }
    longest
}

/// Guards against state held beyond the lease limit: the server of a cancelled prefill has not noticed the close, and delivery
/// of the next prefill is unconfirmed. State that the first prefill leaves after its release is released within the limit.
#[test]
fn the_state_of_a_prefill_that_ends_after_its_release_is_released_in_time() {
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        servers.unreachable.set(true);
        servers.misses_closes.set(true);
        let core = core_with_policy(&servers, RepeatsPrefill);
        let client = core.submit(request(0, 10_000.0));
        let longest = longest_release_gap(&servers, Duration::from_millis(1_500)).await;
        drop(client);
        wait_for_call(&servers, CallKind::ReleaseAccepted).await;
        sleep(Duration::from_millis(500)).await;
        let violations = crate::invariants::violations(crate::invariants::Invariant::LeaseInTime);
        assert_eq!(violations, 0, "nothing was released for {longest:?}");
        assert!(longest <= Duration::from_millis(550), "nothing was released for {longest:?}");
    });
}

/// Guards against needless cancellation of a retried prefill: once the server of the first prefill has noticed the close, one
/// release is enough and no lease limits the next prefill.
#[test]
fn a_prefill_continues_once_the_previous_close_was_noticed() {
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        let core = core_with_policy(&servers, RepeatsPrefill);
        let _client = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(2_000)).await;
        assert_eq!((servers.attempts(&PREFILL_SERVERS), servers.count(CallKind::Release)), (2, 1));
    });
}

/// Guards against a response on another connection taken as proof of a noticed close: a server that responds to other calls
/// may not have noticed the close of a prefill, and may complete the prefill at any later time. The client has disconnected.
#[test]
fn a_response_on_another_connection_does_not_confirm_a_close() {
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        servers.misses_closes.set(true);
        let core = core(&servers);
        let client = core.submit(request(0, 2_000.0));
        wait_for_call(&servers, CallKind::Attempt).await;
        sleep(Duration::from_millis(100)).await;
        drop(client);
        // Observes past the request's deadline, because the server counts the stated time from the arrival of the prefill.
        let longest = longest_release_gap(&servers, Duration::from_secs(10)).await;
        assert!(longest <= Duration::from_millis(550), "nothing was released for {longest:?}");
    });
}

/// Guards against missing or needless releases after a confirmed close: one more release removes what the prefill has left.
#[test]
fn a_release_follows_the_notice_of_a_close_and_none_after_it() {
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        servers.misses_closes.set(true);
        let core = core(&servers);
        let client = core.submit(request(0, 2_000.0));
        wait_for_call(&servers, CallKind::Attempt).await;
        sleep(Duration::from_millis(100)).await;
        drop(client);
        wait_for_call(&servers, CallKind::ReleaseAccepted).await;
        let before = servers.count(CallKind::Release);
        servers
            .attempt_tokens
            .borrow()
            .iter()
            .for_each(|token| token.record_observation(Observation::ServerClose));
        wait_until_idle(&core).await;
        assert_eq!(servers.count(CallKind::Release), before + 1);
    });
}

/// Guards against a request that is kept forever: the wait for a close that no server confirms is bounded.
#[test]
fn a_close_that_no_server_notices_is_followed_up_for_a_bounded_time() {
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        servers.misses_closes.set(true);
        let core = core(&servers);
        let (client, started_at) = (core.submit(request(0, 2_000.0)), Instant::now());
        wait_for_call(&servers, CallKind::Attempt).await;
        drop(client);
        wait_until_idle(&core).await;
        let longest = MAX_NETWORK_DELAY + Duration::from_millis(2_500);
        assert!((MAX_NETWORK_DELAY..longest).contains(&started_at.elapsed()), "{:?}", started_at.elapsed());
    });
}

/// A policy that cancels a request's first prefill after 200 ms and rejects the request 100 ms after that attempt has ended.
struct RejectsAfterInterruption;

impl DecisionPolicy for RejectsAfterInterruption {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                actions.push(send(request.id, PREFILL_SERVERS[0]));
                actions.push(Action::Timer { at: now + 200.0, key: request.id.0, request: Some(request.id) });
            }
            Event::Timer { key } if key >> REJECTION_TIMER_BIT == 0 => {
                actions.push(Action::Cancel { id: RequestId(key), attempt: 0 });
            }
            Event::Timer { key } => {
                let id = RequestId(key & !(1 << REJECTION_TIMER_BIT));
                let reason = RejectReason::NoServerAvailable;
                actions.push(Action::Reject { id, retry_after: 5.0, reason });
            }
            Event::Outcome(AttemptOutcome { id, .. }) => {
                let key = id.0 | 1 << REJECTION_TIMER_BIT;
                actions.push(Action::Timer { at: now + 100.0, key, request: Some(id) });
            }
            _ => {}
        }
    }
}

/// Bit of a timer's key that marks the rejection timer of [`RejectsAfterInterruption`].
const REJECTION_TIMER_BIT: u32 = 32;

/// Returns the response to a request of this class whose rejection is ordered 100 ms after its prefill was cancelled.
fn response_after_interruption(class: u32, misses_closes: bool) -> Option<ResponsePart> {
    run_paused(async move {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        servers.misses_closes.set(misses_closes);
        let core = core_with_policy(&servers, RejectsAfterInterruption);
        response_parts(core.submit(request(class, 10_000.0))).await.pop().flatten()
    })
}

/// Guards against unsafe rejections: an at-most-once request is not rejected while an interrupted prefill may still run at its
/// server.
#[test]
fn a_request_whose_interrupted_prefill_may_still_run_is_not_rejected() {
    let failed = response_after_interruption(1, true);
    assert!(matches!(failed, Some(ResponsePart::Failed(Failure::Upstream))), "{failed:?}");
    let rejected = response_after_interruption(1, false);
    assert!(matches!(rejected, Some(ResponsePart::Rejected(_))), "its server has noticed: {rejected:?}");
    let rejected = response_after_interruption(0, true);
    assert!(matches!(rejected, Some(ResponsePart::Rejected(_))), "it may be repeated: {rejected:?}");
}

/// A policy that cancels a request's first prefill after 200 ms, then orders another prefill and a decode.
struct DecodesAfterInterruption;

impl DecisionPolicy for DecodesAfterInterruption {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                actions.push(send(request.id, PREFILL_SERVERS[0]));
                actions.push(Action::Timer { at: now + 200.0, key: request.id.0, request: Some(request.id) });
            }
            Event::Timer { key } => actions.push(Action::Cancel { id: RequestId(key), attempt: 0 }),
            Event::Outcome(AttemptOutcome { id, status: AttemptStatus::Cancelled, .. }) => {
                actions.push(send(id, PREFILL_SERVERS[0]));
            }
            Event::Outcome(AttemptOutcome { id, status: AttemptStatus::Prefilled, .. }) => {
                actions.push(send(id, DECODE_SERVERS[0]));
            }
            _ => {}
        }
    }
}

/// Guards against state that is kept until the end of a long stream: state that an interrupted prefill leaves while the stream
/// runs is released in time.
#[test]
fn state_left_during_a_stream_is_released_in_time() {
    run_paused(async {
        let servers = ScriptedServers::new(|number, server| match (number, server.0) {
            (0, _) => (0, ScriptedReply::NoReply),
            (_, server) if PREFILL_SERVERS.contains(&server) => (20, ScriptedReply::Prefilled),
            _ => (20, ScriptedReply::SlowStream(vec![4, 4])),
        });
        servers.misses_closes.set(true);
        let core = core_with_policy(&servers, DecodesAfterInterruption);
        let mut client = core.submit(request(0, 10_000.0));
        assert!(matches!(client.next_part().await, Some(ResponsePart::Head(..))));
        let releases = servers.count(CallKind::Release);
        sleep(Duration::from_millis(600)).await;
        assert!(servers.count(CallKind::Release) > releases, "nothing was released during the stream");
        assert!(matches!(client.next_part().await, Some(ResponsePart::Chunk(_))), "the stream continues");
    });
}
