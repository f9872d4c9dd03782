//! Tests of prefills that a server answers with an error: the prefill may have run and left state on the server.

use super::*;

/// Guards against state that is never released: a prefill that ended in an error may have left some.
#[test]
fn state_of_a_failed_prefill_is_released_before_the_retry() {
    run_paused(async {
        let servers = ScriptedServers::new(|number, server| match number {
            0 => (20, ScriptedReply::Error),
            _ => two_stages(number, server),
        });
        let core = core(&servers);
        let parts = response_parts(core.submit(request(0, 10_000.0))).await;
        assert!(matches!(parts.last(), Some(Some(ResponsePart::End))), "{parts:?}");
        let expected = [CallKind::Attempt, CallKind::Release, CallKind::ReleaseAccepted, CallKind::Attempt];
        assert_eq!(servers.call_kinds()[..4], expected);
    });
}

/// Guards against unreleased state of a failed prefill if no retry follows.
#[test]
fn state_of_a_failed_prefill_is_released_without_a_retry() {
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (20, ScriptedReply::Error));
        let core = core(&servers);
        response_parts(core.submit(request(1, 200.0))).await;
        wait_until_idle(&core).await;
        let attempts = servers.count(CallKind::Attempt);
        assert!(attempts > 0);
        assert_eq!(servers.count(CallKind::ReleaseAccepted), attempts);
    });
}

/// Guards against needless releases: a server that rejected a prefill, or found the request invalid, has started nothing.
#[test]
fn a_prefill_that_was_not_started_needs_no_release() {
    for reply in [ScriptedReply::Rejected, ScriptedReply::Unprocessable] {
        run_paused(async move {
            let script = reply.clone();
            let servers = ScriptedServers::new(move |_, _| (20, script.clone()));
            let core = core(&servers);
            response_parts(core.submit(request(1, 200.0))).await;
            wait_until_idle(&core).await;
            assert_eq!(servers.count(CallKind::Release), 0, "{reply:?}");
        });
    }
}
