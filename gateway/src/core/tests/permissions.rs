//! Tests of the checks that the core makes on the router's decisions.

use glenrail_router::DeduplicationScope;

use super::*;

/// A policy that sends each request to one prefill server, whatever that server's state in the list.
struct IgnoresServerState;

impl DecisionPolicy for IgnoresServerState {
    fn handle(&mut self, _: Millis, event: Event, actions: &mut Vec<Action>) {
        if let Event::Request(request) = event {
            actions.push(Action::Send { id: request.id, server: ServerId(PREFILL_SERVERS[0]), timeout: 0.0 });
        }
    }
}

/// Returns the number of attempts started at a server that is listed in this state.
fn attempts_at_server_in_state(state: ServerState) -> usize {
    run_paused(async move {
        let servers = ScriptedServers::new(two_stages);
        let core = core_with_policy(&servers, IgnoresServerState);
        let listed = ServerEntry { state, ..entry(PREFILL_SERVERS[0], 0) };
        core.update_servers(ListUpdate::Delta, vec![listed]);
        let _client = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(100)).await;
        servers.count(CallKind::Attempt)
    })
}

/// Guards against attempts at draining or terminated servers, even if the router orders them.
#[test]
fn an_attempt_is_started_only_at_a_server_that_is_ready() {
    assert_eq!(attempts_at_server_in_state(ServerState::Ready), 1);
    assert_eq!(attempts_at_server_in_state(ServerState::Draining), 0);
    assert_eq!(attempts_at_server_in_state(ServerState::Terminated), 0);
}

/// Returns the response that a request receives when the process is about to end. The request's idempotency
/// key is recognised only by the servers of one zone; its prefill succeeded and its decode got this reply.
fn response_at_shutdown(decode: ScriptedReply) -> Option<ResponsePart> {
    run_paused(async move {
        let servers = ScriptedServers::new(move |_, server| {
            let is_prefill = PREFILL_SERVERS.contains(&server.0);
            (20, if is_prefill { ScriptedReply::Prefilled } else { decode.clone() })
        });
        let mut settings = settings();
        settings.classes[IDEMPOTENCY_KEY_CLASS as usize].deduplication_scope = DeduplicationScope::Zone;
        let service = tower::service_fn(move |call| servers.clone().answer(call));
        let core = Core::with_policy(DecodesOnce, settings, clock(), service);
        core.update_servers(
            ListUpdate::Full,
            vec![entry(PREFILL_SERVERS[0], 0), entry(DECODE_SERVERS[0], 1)],
        );
        let client = core.submit(request(IDEMPOTENCY_KEY_CLASS, 10_000.0));
        sleep(Duration::from_millis(300)).await;
        core.answer_pending();
        response_parts(client).await.pop().flatten()
    })
}

/// The class whose requests carry idempotency keys.
const IDEMPOTENCY_KEY_CLASS: u32 = 2;

/// A policy that sends each request to one prefill server and one decode server, once each.
struct DecodesOnce;

impl DecisionPolicy for DecodesOnce {
    fn handle(&mut self, _: Millis, event: Event, actions: &mut Vec<Action>) {
        let (id, server) = match event {
            Event::Request(request) => (request.id, PREFILL_SERVERS[0]),
            Event::Outcome(AttemptOutcome { id, status: AttemptStatus::Prefilled, .. }) => {
                (id, DECODE_SERVERS[0])
            }
            _ => return,
        };
        actions.push(Action::Send { id, server: ServerId(server), timeout: 5_000.0 });
    }
}

/// Guards against unsafe rejections of requests with idempotency keys: servers of other zones do not recognise the keys, so a
/// request that may have run fails when the process is about to end.
#[test]
fn a_request_with_an_idempotency_key_that_may_have_run_is_failed_at_shutdown() {
    let failed = response_at_shutdown(ScriptedReply::Error);
    assert!(matches!(failed, Some(ResponsePart::Failed(Failure::Upstream))), "{failed:?}");
    let rejected = response_at_shutdown(ScriptedReply::Rejected);
    assert!(matches!(rejected, Some(ResponsePart::Rejected(_))), "{rejected:?}");
}
