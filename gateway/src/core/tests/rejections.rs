//! Tests of the final response to at-most-once requests when the process is about to end: a rejection only if no attempt can
//! have run or may still run.

use super::*;

/// Timeout of every attempt, in milliseconds.
const ATTEMPT_TIMEOUT: Millis = 5_000.0;
/// Time from the submission of a request until the process answers pending requests.
const ANSWER_DELAY: Duration = Duration::from_millis(300);
/// The at-most-once class.
const AT_MOST_ONCE_CLASS: u32 = 1;

/// A policy that sends each request to one prefill server and then to one decode server, once each. Optionally cancels the
/// prefill after a time.
struct OneAttemptPerStage {
    cancels_prefill_after: Option<Millis>,
}

impl OneAttemptPerStage {
    fn send(id: RequestId, server: u64) -> Action {
        Action::Send { id, server: ServerId(server), timeout: ATTEMPT_TIMEOUT }
    }
}

impl DecisionPolicy for OneAttemptPerStage {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                actions.push(Self::send(request.id, PREFILL_SERVERS[0]));
                if let Some(after) = self.cancels_prefill_after {
                    let request_id = request.id;
                    actions.push(Action::Timer {
                        at: now + after,
                        key: request_id.0,
                        request: Some(request_id),
                    });
                }
            }
            Event::Timer { key } => actions.push(Action::Cancel { id: RequestId(key), attempt: 0 }),
            Event::Outcome(AttemptOutcome { id, status: AttemptStatus::Prefilled, .. }) => {
                actions.push(Self::send(id, DECODE_SERVERS[0]));
            }
            _ => {}
        }
    }
}

/// What happens to a request's attempts before the process answers pending requests.
struct AttemptHistory {
    prefill: ScriptedReply,
    cancels_prefill_after: Option<Millis>,
    misses_closes: bool,
    decode: ScriptedReply,
}

impl AttemptHistory {
    /// A prefill that gets this reply after 20 ms and whose server notices all closes.
    fn of_prefill(prefill: ScriptedReply) -> AttemptHistory {
        let decode = ScriptedReply::NoReply;
        AttemptHistory { prefill, cancels_prefill_after: None, misses_closes: false, decode }
    }

    /// A successful prefill and a decode that gets this reply after 20 ms.
    fn of_decode(decode: ScriptedReply) -> AttemptHistory {
        AttemptHistory { decode, ..AttemptHistory::of_prefill(ScriptedReply::Prefilled) }
    }

    /// A prefill without a reply that is cancelled 100 ms before pending requests are answered.
    fn of_interrupted_prefill(misses_closes: bool) -> AttemptHistory {
        let cancels_prefill_after = Some(200.0);
        AttemptHistory {
            cancels_prefill_after,
            misses_closes,
            ..AttemptHistory::of_prefill(ScriptedReply::NoReply)
        }
    }

    /// Returns whether the request is rejected; otherwise it fails.
    fn ends_in_rejection(self) -> bool {
        let AttemptHistory { prefill, cancels_prefill_after, misses_closes, decode } = self;
        run_paused(async move {
            let servers = ScriptedServers::new(move |_, server| {
                let is_prefill = PREFILL_SERVERS.contains(&server.0);
                (20, if is_prefill { prefill.clone() } else { decode.clone() })
            });
            servers.misses_closes.set(misses_closes);
            let core = core_with_policy(&servers, OneAttemptPerStage { cancels_prefill_after });
            let client = core.submit(request(AT_MOST_ONCE_CLASS, 10_000.0));
            sleep(ANSWER_DELAY).await;
            core.answer_pending();
            match response_parts(client).await.pop().flatten() {
                Some(ResponsePart::Rejected(_)) => true,
                Some(ResponsePart::Failed(Failure::Upstream)) => false,
                other => panic!("unexpected response: {other:?}"),
            }
        })
    }
}

/// Guards against unsafe rejections shortly before SIGKILL: a request that may have run fails instead.
#[test]
fn a_request_that_may_have_run_is_failed_before_the_process_ends() {
    for decode in [
        ScriptedReply::NoReply,
        ScriptedReply::Error,
        ScriptedReply::Fail(CallError::Reset),
        ScriptedReply::Fail(CallError::MalformedResponse(Malformation::Event)),
    ] {
        assert!(!AttemptHistory::of_decode(decode.clone()).ends_in_rejection(), "decode: {decode:?}");
    }
    assert!(!AttemptHistory::of_prefill(ScriptedReply::NoReply).ends_in_rejection(), "a prefill in flight");
    assert!(
        !AttemptHistory::of_interrupted_prefill(true).ends_in_rejection(),
        "an interrupted prefill that may still run"
    );
}

/// Guards against needless failures: a request that cannot have run is rejected.
#[test]
fn a_request_that_cannot_have_run_is_rejected_before_the_process_ends() {
    for decode in [
        ScriptedReply::Rejected,
        ScriptedReply::Fail(CallError::ConnectFailed),
        ScriptedReply::Fail(CallError::NotSent),
    ] {
        assert!(AttemptHistory::of_decode(decode.clone()).ends_in_rejection(), "decode: {decode:?}");
    }
    assert!(
        AttemptHistory::of_prefill(ScriptedReply::Error).ends_in_rejection(),
        "a failed prefill is not an execution"
    );
    assert!(
        AttemptHistory::of_interrupted_prefill(false).ends_in_rejection(),
        "an interrupted prefill whose server has noticed"
    );
}
