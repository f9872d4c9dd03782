//! Prefills whose connections were reset: only what a connection shows that is begun after the reset ends them.

use super::leases::{longest_without_release, send};
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

/// Servers that miss every close, and whose first prefill is reset.
fn resetting_servers(after_reset: ServerAfterReset) -> ScriptedServers {
    let servers = ScriptedServers::new(|number, server| match number {
        0 => (20, ScriptedReply::ConnectionReset),
        _ => two_stages(number, server),
    });
    servers.misses_closes.set(true);
    servers.after_reset.set(after_reset);
    servers
}

/// The answer to a request that may not be repeated, whose prefill was reset, and which the router rejects then.
fn answer_after_reset(after_reset: ServerAfterReset) -> Option<ResponsePart> {
    paused(async move {
        let servers = resetting_servers(after_reset);
        let core = core_with_policy(&servers, RejectsAfterOutcome);
        response_parts(core.submit(request(1, 10_000.0))).await.pop().flatten()
    })
}

/// Guards what a rejection says (soak seed 9724): a server that stands still through a reset may go on with its prefill.
#[test]
fn a_request_whose_reset_prefill_may_still_run_is_not_rejected() {
    let failed = answer_after_reset(ServerAfterReset::Silent);
    assert!(matches!(failed, Some(ResponsePart::Failed(Failure::Upstream))), "{failed:?}");
    for known in [ServerAfterReset::Refuses, ServerAfterReset::Answers] {
        let rejected = answer_after_reset(known);
        assert!(matches!(rejected, Some(ResponsePart::Rejected(_))), "{known:?}: {rejected:?}");
    }
}

/// Guards the lease limit: the release is renewed for as long as the server is silent, and once more when it answers.
#[test]
fn the_state_of_a_reset_prefill_is_released_in_time_until_its_server_answers() {
    paused(async {
        let servers = resetting_servers(ServerAfterReset::Silent);
        let core = core_with_policy(&servers, RejectsAfterOutcome);
        let _client = core.submit(request(1, 10_000.0));
        let longest = longest_without_release(&servers, Duration::from_secs(10)).await;
        assert!(longest <= Duration::from_millis(550), "nothing was released for {longest:?}");
        assert!(!core.is_idle());
        let inquiries = servers.count(CallKind::InquiryAfterReset);
        assert!(inquiries <= 12, "{inquiries} questions in 10 s");
        servers.after_reset.set(ServerAfterReset::Answers);
        let inquiry_is_due = Duration::from_millis(2_500);
        sleep(inquiry_is_due).await;
        assert!(core.is_idle(), "{:?}", servers.calls.borrow());
        let last = servers.call_kinds().into_iter().rev().find(|kind| *kind != CallKind::Release);
        assert_eq!(last, Some(CallKind::ReleaseAccepted), "what it left until then is released");
    });
}

/// The time from the reset of a request's first prefill to its next attempt, and the questions that were asked.
fn retry_after_reset(after_reset: ServerAfterReset) -> (Duration, usize) {
    paused(async move {
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

/// Guards requests against the cost of a reset: one question, and the propagation delay once and only where the server runs. The
/// release itself takes 40 ms here.
#[test]
fn a_retry_waits_for_one_question_after_a_reset() {
    let (refused, questions) = retry_after_reset(ServerAfterReset::Refuses);
    assert!((40..=45).contains(&refused.as_millis()), "{refused:?}");
    assert_eq!(questions, 1);
    let (answered, questions) = retry_after_reset(ServerAfterReset::Answers);
    assert!((65..=70).contains(&answered.as_millis()), "{answered:?}");
    assert_eq!(questions, 1);
    // The question's time, the propagation delay before the release, and the release.
    let (silent, _) = retry_after_reset(ServerAfterReset::Silent);
    assert!((145..=150).contains(&silent.as_millis()), "{silent:?}");
}

/// Guards the follow-up of a prefill that the gateway had cut off itself, and whose connection is reset after that.
#[test]
fn a_reset_after_a_cut_is_asked_about_before_it_counts_as_the_end() {
    paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        servers.misses_closes.set(true);
        let core = core(&servers);
        let client = core.submit(request(0, 2_000.0));
        wait_for_call(&servers, CallKind::Attempt).await;
        sleep(Duration::from_millis(100)).await;
        drop(client);
        sleep(Duration::from_millis(100)).await;
        servers.attempt_tokens.borrow().iter().for_each(|token| token.note(Observation::Reset));
        sleep(Duration::from_secs(3)).await;
        assert!(!core.is_idle(), "a reset alone ends nothing");
        assert!(servers.count(CallKind::InquiryAfterReset) > 0);
        servers.after_reset.set(ServerAfterReset::Refuses);
        sleep(Duration::from_millis(2_500)).await;
        assert!(core.is_idle(), "{:?}", servers.calls.borrow());
    });
}

/// Guards a client that leaves while a server is asked: nothing waits for the answer, and what is left is released.
#[test]
fn a_client_that_leaves_during_the_question_is_seen_at_once() {
    paused(async {
        let servers = resetting_servers(ServerAfterReset::Silent);
        let core = core(&servers);
        let client = core.submit(request(0, 10_000.0));
        wait_for_call(&servers, CallKind::InquiryAfterReset).await;
        let left_at = Instant::now();
        drop(client);
        wait_for_call(&servers, CallKind::Release).await;
        assert!(left_at.elapsed() <= CANCEL_PROPAGATION_DELAY + Duration::from_millis(2));
        assert_eq!(servers.count(CallKind::Attempt), 1);
    });
}
