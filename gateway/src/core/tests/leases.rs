//! Leases and retries while attempts fail: the time of an unclaimed lease, its release, and the time in which a request
//! may be retried.

use super::*;

/// Timeout of every attempt that the policies below order, in milliseconds.
const ATTEMPT_TIMEOUT: Millis = 5_000.0;

pub(super) fn send(id: RequestId, server: u64) -> Action {
    Action::Send { id, server: ServerId(server), timeout: ATTEMPT_TIMEOUT }
}

/// A script in which prefills succeed after 20 ms, and decodes do this after a delay in milliseconds.
fn prefilled_then(delay: u64, decode: ScriptedReply) -> ScriptedServers {
    ScriptedServers::new(move |_, server| match PREFILL_SERVERS.contains(&server.0) {
        true => (20, ScriptedReply::Prefilled),
        false => (delay, decode.clone()),
    })
}

/// A policy that sends each request to one prefill server and then to one decode server, cancels the decode after a
/// time, and then forgets the request.
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

/// Runs a request whose decode is cancelled after 250 ms: the outcomes that the router was told, and how long after the
/// prefill its lease was released.
fn run_cancelled_decode(decode: ScriptedReply) -> (Vec<AttemptStatus>, Duration) {
    paused(async move {
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

/// Guards rule 5 against a lease that begins anew: a decode that is cancelled while it is connecting was never in flight,
/// so the state is unclaimed since its prefill has ended.
#[test]
fn a_decode_cancelled_while_connecting_does_not_extend_its_lease() {
    let (outcomes, released_after) = run_cancelled_decode(ScriptedReply::NoConnection);
    assert_eq!(outcomes, [AttemptStatus::Prefilled, AttemptStatus::NotSent]);
    assert!((455..=475).contains(&released_after.as_millis()), "{released_after:?}");
    // One that was written was in flight: from its end on there is the whole limit, and 25 ms for the server to see the
    // cancellation.
    let (outcomes, released_after) = run_cancelled_decode(ScriptedReply::NoReply);
    assert_eq!(outcomes, [AttemptStatus::Prefilled, AttemptStatus::Cancelled]);
    assert!((705..=745).contains(&released_after.as_millis()), "{released_after:?}");
}

/// Guards rule 5 while no server can be reached: a release that none accepted is retried until one does, and the request
/// is not sent again before.
#[test]
fn a_release_that_no_server_accepted_is_retried() {
    paused(async {
        let servers = ScriptedServers::new(|number, server| match number {
            0 => (20, ScriptedReply::Fail(CallError::Reset)),
            _ => two_stages(number, server),
        });
        servers.releases_to_lose.set(3);
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

/// Guards the end of a process, and of the use of a request's id: a release that no server ever accepts is given up in
/// time.
#[test]
fn a_release_that_no_server_ever_accepts_is_given_up() {
    paused(async {
        let servers = ScriptedServers::new(|_, _| (20, ScriptedReply::Fail(CallError::Reset)));
        servers.releases_to_lose.set(usize::MAX);
        let (core, begun) = (core(&servers), Instant::now());
        let client = core.submit(request(1, 3_000.0));
        wait_for_call(&servers, CallKind::Attempt).await;
        drop(client);
        wait_until_idle(&core).await;
        assert!(servers.count(CallKind::Release) > 10);
        assert!(begun.elapsed() < Duration::from_millis(3_200), "{:?}", begun.elapsed());
    });
}

/// Guards rule 2 where a class may be retried for 300 ms: while a connection is opened, that time runs on.
#[test]
fn a_retry_is_not_written_after_its_idempotency_window() {
    paused(async {
        // The first decode is reset after 200 ms; 100 ms are left.
        let servers = prefilled_then(200, ScriptedReply::Fail(CallError::Reset));
        let core = core(&servers);
        let _client = core.submit(request(2, 12_000.0));
        sleep(Duration::from_millis(230)).await;
        assert_eq!(servers.connect_timeouts_ms(), [None, Some(400), Some(100)]);
        // Later than that it may not be sent at all: it fails at once, and its lease is released.
        sleep(Duration::from_millis(280)).await;
        assert_eq!(servers.attempts(&DECODE_SERVERS), 2);
        assert!(core.is_idle(), "{:?}", servers.calls.borrow());
    });
}

/// A policy that retries a decode as soon as it was reset, after a release.
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

/// Guards rule 2 where a retry is ordered within its window and waits for a release until after it: no time is left in
/// which it may be written, on whatever connection.
#[test]
fn a_retry_that_waits_for_a_release_is_not_written_after_its_idempotency_window() {
    paused(async {
        let servers = prefilled_then(200, ScriptedReply::Fail(CallError::Reset));
        // Three calls of 40 ms that no server accepts, and pauses between them; 100 ms of the window are left.
        servers.releases_to_lose.set(3);
        let core = core_with_policy(&servers, RetriesDecode);
        let _client = core.submit(request(2, 12_000.0));
        while servers.attempts(&DECODE_SERVERS) < 2 {
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(servers.connect_timeouts.borrow().last(), Some(&Some(Duration::ZERO)));
    });
}

/// A policy that cancels a request's first prefill after 200 ms, and orders another one after each that has ended.
struct RepeatsPrefill;

impl DecisionPolicy for RepeatsPrefill {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                actions.push(send(request.id, PREFILL_SERVERS[0]));
                actions.push(Action::Timer { at: now + 200.0, key: request.id.0, request: Some(request.id) });
            }
            Event::Timer { key } => actions.push(Action::Cancel { id: RequestId(key), attempt: 0 }),
            // One that may not be sent ends at once.
            Event::Outcome(AttemptOutcome { status: AttemptStatus::NotSent, .. }) => {}
            Event::Outcome(AttemptOutcome { id, .. }) => actions.push(send(id, PREFILL_SERVERS[0])),
            _ => {}
        }
    }
}

/// The longest time without a release that a server has accepted, in a time of observation that begins with the first.
pub(super) async fn longest_without_release(servers: &ScriptedServers, observed: Duration) -> Duration {
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

/// Guards the lease limit while a prefill that was given up has not seen its close, and the next one is not known to have
/// arrived: what the first leaves at its end, after its release, is released within the limit.
#[test]
fn the_state_of_a_prefill_that_ends_after_its_release_is_released_in_time() {
    paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        servers.unreachable.set(true);
        servers.misses_closes.set(true);
        let core = core_with_policy(&servers, RepeatsPrefill);
        let client = core.submit(request(0, 10_000.0));
        let longest = longest_without_release(&servers, Duration::from_millis(1_500)).await;
        drop(client);
        wait_for_call(&servers, CallKind::ReleaseAccepted).await;
        sleep(Duration::from_millis(500)).await;
        let violations = crate::invariants::violations(crate::invariants::Invariant::LeaseInTime);
        assert_eq!(violations, 0, "nothing was released for {longest:?}");
        assert!(longest <= Duration::from_millis(550), "nothing was released for {longest:?}");
    });
}

/// Guards the next prefill against needless cancels: once the first one's server has noticed the close, one release is
/// enough, and no lease waits for the next prefill.
#[test]
fn a_prefill_goes_on_once_the_close_before_it_was_noticed() {
    paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        let core = core_with_policy(&servers, RepeatsPrefill);
        let _client = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(2_000)).await;
        assert_eq!((servers.attempts(&PREFILL_SERVERS), servers.count(CallKind::Release)), (2, 1));
    });
}

/// Guards against an answer on another connection as proof of a close: a server that answers everything else, and has not
/// noticed that a prefill was cut off, may end it at any later time. Its client has left.
#[test]
fn a_server_that_answers_elsewhere_has_not_noticed_a_close() {
    paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        servers.misses_closes.set(true);
        let core = core(&servers);
        let client = core.submit(request(0, 2_000.0));
        wait_for_call(&servers, CallKind::Attempt).await;
        sleep(Duration::from_millis(100)).await;
        drop(client);
        // Beyond the deadline that the server was told: it counts from the arrival there.
        let longest = longest_without_release(&servers, Duration::from_secs(10)).await;
        assert!(longest <= Duration::from_millis(550), "nothing was released for {longest:?}");
    });
}

/// Guards the follow-up's end: once the server has ended the connection, one more release meets what the prefill has left.
#[test]
fn a_release_follows_the_notice_of_a_close_and_none_after_it() {
    paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        servers.misses_closes.set(true);
        let core = core(&servers);
        let client = core.submit(request(0, 2_000.0));
        wait_for_call(&servers, CallKind::Attempt).await;
        sleep(Duration::from_millis(100)).await;
        drop(client);
        wait_for_call(&servers, CallKind::ReleaseAccepted).await;
        let before = servers.count(CallKind::Release);
        servers.attempt_tokens.borrow().iter().for_each(|token| token.note(Observation::ServerClose));
        wait_until_idle(&core).await;
        assert_eq!(servers.count(CallKind::Release), before + 1);
    });
}

/// Guards a process and its memory: what the network may have held back is not waited for without end.
#[test]
fn a_close_that_no_server_notices_is_followed_up_for_a_bounded_time() {
    paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        servers.misses_closes.set(true);
        let core = core(&servers);
        let (client, begun) = (core.submit(request(0, 2_000.0)), Instant::now());
        wait_for_call(&servers, CallKind::Attempt).await;
        drop(client);
        wait_until_idle(&core).await;
        let longest = MAX_NETWORK_HOLD + Duration::from_millis(2_500);
        assert!((MAX_NETWORK_HOLD..longest).contains(&begun.elapsed()), "{:?}", begun.elapsed());
    });
}

/// A policy that cancels a request's first prefill after 200 ms, and rejects the request once that has ended.
struct RejectsAfterCut;

impl DecisionPolicy for RejectsAfterCut {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                actions.push(send(request.id, PREFILL_SERVERS[0]));
                actions.push(Action::Timer { at: now + 200.0, key: request.id.0, request: Some(request.id) });
            }
            Event::Timer { key } if key >> REJECTS_AT_BIT == 0 => {
                actions.push(Action::Cancel { id: RequestId(key), attempt: 0 });
            }
            Event::Timer { key } => {
                let id = RequestId(key & !(1 << REJECTS_AT_BIT));
                let reason = RejectReason::NoServerAvailable;
                actions.push(Action::Reject { id, retry_after: 5.0, reason });
            }
            Event::Outcome(AttemptOutcome { id, .. }) => {
                let key = id.0 | 1 << REJECTS_AT_BIT;
                actions.push(Action::Timer { at: now + 100.0, key, request: Some(id) });
            }
            _ => {}
        }
    }
}

/// Marks the timer at which [`RejectsAfterCut`] rejects.
const REJECTS_AT_BIT: u32 = 32;

/// The answer to a request of this class that is rejected 100 ms after its prefill was cut off.
fn answer_after_cut(class: u32, misses_closes: bool) -> Option<ResponsePart> {
    paused(async move {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        servers.misses_closes.set(misses_closes);
        let core = core_with_policy(&servers, RejectsAfterCut);
        response_parts(core.submit(request(class, 10_000.0))).await.pop().flatten()
    })
}

/// Guards what a rejection says: a request that must not be repeated is not rejected while a prefill that was cut off may
/// still run at its server.
#[test]
fn a_request_whose_cut_prefill_may_still_run_is_not_rejected() {
    let failed = answer_after_cut(1, true);
    assert!(matches!(failed, Some(ResponsePart::Failed(Failure::Upstream))), "{failed:?}");
    let rejected = answer_after_cut(1, false);
    assert!(matches!(rejected, Some(ResponsePart::Rejected(_))), "its server has noticed: {rejected:?}");
    let rejected = answer_after_cut(0, true);
    assert!(matches!(rejected, Some(ResponsePart::Rejected(_))), "it may be repeated: {rejected:?}");
}

/// A policy that cancels a request's first prefill after 200 ms, orders another one, and then a decode.
struct DecodesAfterCut;

impl DecisionPolicy for DecodesAfterCut {
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

/// Guards a long stream's prefill servers: what a prefill that was cut off leaves while the stream runs waits for no attempt, and
/// is released in time beside it.
#[test]
fn a_state_that_is_left_beside_a_stream_is_released_in_time() {
    paused(async {
        let servers = ScriptedServers::new(|number, server| match (number, server.0) {
            (0, _) => (0, ScriptedReply::NoReply),
            (_, server) if PREFILL_SERVERS.contains(&server) => (20, ScriptedReply::Prefilled),
            _ => (20, ScriptedReply::SlowStream(vec![4, 4])),
        });
        servers.misses_closes.set(true);
        let core = core_with_policy(&servers, DecodesAfterCut);
        let mut client = core.submit(request(0, 10_000.0));
        assert!(matches!(client.next_part().await, Some(ResponsePart::Head(..))));
        let releases = servers.count(CallKind::Release);
        sleep(Duration::from_millis(600)).await;
        assert!(servers.count(CallKind::Release) > releases, "nothing was released beside the stream");
        assert!(matches!(client.next_part().await, Some(ResponsePart::Chunk(_))), "the stream goes on");
    });
}
