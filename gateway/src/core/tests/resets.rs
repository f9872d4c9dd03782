//! Tests of prefills whose connections were reset: only a connection opened after the reset can show that the server has
//! stopped working on the prefill.

use super::leases::{longest_release_gap, send};
use super::*;

/// A policy that sends each request to a prefill server, and rejects it once that attempt has ended.
struct RejectsAfterOutcome;

impl DecisionPolicy for RejectsAfterOutcome {
    fn handle(&mut self, _: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => actions.push(send(request.id, PREFILL_SERVERS[0])),
            Event::Outcome(AttemptOutcome { id, .. }) => {
                let reason = RejectReason::NoServerAvailable;
                actions.push(Action::Reject { id, retry_after: 5.0, reason });
            }
            _ => {}
        }
    }
}

/// Servers that notice no close and reset the first prefill.
fn resetting_servers(after_reset: ServerAfterReset) -> ScriptedServers {
    let servers = ScriptedServers::new(|number, server| match number {
        0 => (20, ScriptedReply::ConnectionReset),
        _ => two_stages(number, server),
    });
    servers.misses_closes.set(true);
    servers.after_reset.set(after_reset);
    servers
}

/// Returns the response to an at-most-once request whose prefill was reset and which the router then rejects.
fn response_after_reset(after_reset: ServerAfterReset) -> Option<ResponsePart> {
    run_paused(async move {
        let servers = resetting_servers(after_reset);
        let core = core_with_policy(&servers, RejectsAfterOutcome);
        response_parts(core.submit(request(1, 10_000.0))).await.pop().flatten()
    })
}

/// Guards against unsafe rejections (soak seed 9724): a server that is suspended during a reset may continue its prefill.
#[test]
fn a_request_whose_reset_prefill_may_still_run_is_not_rejected() {
    let failed = response_after_reset(ServerAfterReset::TimedOut);
    assert!(matches!(failed, Some(ResponsePart::Failed(Failure::Upstream))), "{failed:?}");
    for known in [ServerAfterReset::ConnectionRefused, ServerAfterReset::Responded] {
        let rejected = response_after_reset(known);
        assert!(matches!(rejected, Some(ResponsePart::Rejected(_))), "{known:?}: {rejected:?}");
    }
}

/// Guards against state held beyond the lease limit: the release is repeated while the server does not respond, and once more
/// when it does.
#[test]
fn the_state_of_a_reset_prefill_is_released_in_time_until_its_server_answers() {
    run_paused(async {
        let servers = resetting_servers(ServerAfterReset::TimedOut);
        let core = core_with_policy(&servers, RejectsAfterOutcome);
        let _client = core.submit(request(1, 10_000.0));
        let longest = longest_release_gap(&servers, Duration::from_secs(10)).await;
        assert!(longest <= Duration::from_millis(550), "nothing was released for {longest:?}");
        assert!(!core.is_idle());
        let inquiries = servers.count(CallKind::InquiryAfterReset);
        assert!(inquiries <= 12, "{inquiries} queries in 10 s");
        servers.after_reset.set(ServerAfterReset::Responded);
        let next_inquiry_delay = Duration::from_millis(2_500);
        sleep(next_inquiry_delay).await;
        assert!(core.is_idle(), "{:?}", servers.calls.borrow());
        let last = servers.call_kinds().into_iter().rev().find(|kind| *kind != CallKind::Release);
        assert_eq!(last, Some(CallKind::ReleaseAccepted), "the state that it left until then is released");
    });
}

/// Returns the time from the reset of a request's first prefill to its next attempt, and the number of queries.
fn retry_after_reset(after_reset: ServerAfterReset) -> (Duration, usize) {
    run_paused(async move {
        let servers = resetting_servers(after_reset);
        let core = core(&servers);
        let _client = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(20)).await;
        let reset_at = Instant::now();
        while servers.count(CallKind::Attempt) < 2 {
            sleep(Duration::from_millis(1)).await;
        }
        (reset_at.elapsed(), servers.count(CallKind::InquiryAfterReset))
    })
}

/// Guards against needless delay after a reset: the retry waits for one query, and for the propagation delay once and only if
/// the server responds. The release takes 40 ms in this test.
#[test]
fn a_retry_waits_for_one_query_after_a_reset() {
    let (refused, queries) = retry_after_reset(ServerAfterReset::ConnectionRefused);
    assert!((40..=45).contains(&refused.as_millis()), "{refused:?}");
    assert_eq!(queries, 1);
    let (answered, queries) = retry_after_reset(ServerAfterReset::Responded);
    assert!((65..=70).contains(&answered.as_millis()), "{answered:?}");
    assert_eq!(queries, 1);
    // The timeout of the query, the propagation delay before the release, and the release.
    let (silent, _) = retry_after_reset(ServerAfterReset::TimedOut);
    assert!((145..=150).contains(&silent.as_millis()), "{silent:?}");
}

/// Guards against a reset taken as the end of a prefill: the gateway closed the connection, and the connection is reset after
/// that. The server is queried before its work counts as ended.
#[test]
fn a_reset_after_a_close_is_queried_before_the_prefill_counts_as_ended() {
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        servers.misses_closes.set(true);
        let core = core(&servers);
        let client = core.submit(request(0, 2_000.0));
        wait_for_call(&servers, CallKind::Attempt).await;
        sleep(Duration::from_millis(100)).await;
        drop(client);
        sleep(Duration::from_millis(100)).await;
        servers.attempt_tokens.borrow().iter().for_each(|token| token.record_observation(Observation::Reset));
        sleep(Duration::from_secs(3)).await;
        assert!(!core.is_idle(), "a reset alone does not end the prefill");
        assert!(servers.count(CallKind::InquiryAfterReset) > 0);
        servers.after_reset.set(ServerAfterReset::ConnectionRefused);
        sleep(Duration::from_millis(2_500)).await;
        assert!(core.is_idle(), "{:?}", servers.calls.borrow());
    });
}

/// Guards against a delayed release after a client disconnects during a query: the release does not wait for
/// the result of the query.
#[test]
fn a_disconnect_during_the_query_is_handled_at_once() {
    run_paused(async {
        let servers = resetting_servers(ServerAfterReset::TimedOut);
        let core = core(&servers);
        let client = core.submit(request(0, 10_000.0));
        wait_for_call(&servers, CallKind::InquiryAfterReset).await;
        let disconnected_at = Instant::now();
        drop(client);
        wait_for_call(&servers, CallKind::Release).await;
        assert!(disconnected_at.elapsed() <= CANCEL_PROPAGATION_DELAY + Duration::from_millis(2));
        assert_eq!(servers.count(CallKind::Attempt), 1);
    });
}
