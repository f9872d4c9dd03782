//! Queries to a server whose connection was reset during a prefill, to find out whether it still works on the prefill.
//!
//! A reset comes from the server or from a network device on the path, and a suspended server process does not see it. Only
//! a connection opened after the reset distinguishes a terminated or running process from a suspended one.

use glenrail_request_lifecycle::evidence::{InterruptedWork, Observation};
use glenrail_request_lifecycle::request::Stage;
use glenrail_router::ServerId;
use tokio::time::{sleep, timeout, timeout_at, Duration, Instant};
use tower::ServiceExt;

use super::timing::{CANCEL_PROPAGATION_DELAY, RESET_INQUIRY_INITIAL_DELAY, RESET_INQUIRY_MAX_DELAY};
use super::{Core, DecisionPolicy, Upstream};
use crate::exchange::CancelToken;
use crate::upstream::{Call, Reply, ServerAfterReset};

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Queries the server of a prefill whose connection was reset, once and until `deadline` at most, before the state
    /// machine receives the reset.
    pub(super) async fn resolve_reset(
        &self, id: u64, attempt: usize, token: &CancelToken, deadline: Instant,
    ) {
        if token.interrupted_work() != InterruptedWork::Reset {
            return;
        }
        if let Some((Stage::Prefill, server)) = self.stage_and_server(id, attempt) {
            // If the server does not answer by then, `await_work_end` repeats the query.
            let _ = timeout_at(deadline, self.inquire_after_reset(server, token)).await;
        }
    }

    /// Whether the attempt is a prefill and its server is known to have stopped working on it.
    pub(super) fn has_prefill_ended(&self, id: u64, attempt: usize, token: &CancelToken) -> bool {
        let stage = self.stage_and_server(id, attempt).map(|(stage, _)| stage);
        stage == Some(Stage::Prefill) && token.has_work_ended()
    }

    /// Waits until the server has stopped working on an interrupted attempt. After a reset, queries the server repeatedly.
    pub(super) async fn await_work_end(&self, server: ServerId, token: &CancelToken) {
        let was_queried = token.interrupted_work() == InterruptedWork::Reset;
        let mut delay = if was_queried { RESET_INQUIRY_INITIAL_DELAY } else { Duration::ZERO };
        while token.reset_or_ended().await != InterruptedWork::Ended {
            if timeout(delay, token.work_ended()).await.is_ok() {
                return;
            }
            self.inquire_after_reset(server, token).await;
            delay = (delay * 2).clamp(RESET_INQUIRY_INITIAL_DELAY, RESET_INQUIRY_MAX_DELAY);
        }
    }

    /// Queries a server once and records the result in the attempt's token.
    async fn inquire_after_reset(&self, server: ServerId, token: &CancelToken) {
        let call = Call::InquireAfterReset { server, cancel_token: token.clone() };
        let result = match self.upstream.clone().oneshot(call).await {
            Ok(Reply::AfterReset(result)) => result,
            _ => ServerAfterReset::TimedOut,
        };
        token.record_observation(match result {
            ServerAfterReset::ConnectionRefused => Observation::RefusedAfterReset,
            ServerAfterReset::Responded => {
                sleep(CANCEL_PROPAGATION_DELAY).await;
                Observation::ResponseAfterReset
            }
            ServerAfterReset::TimedOut => Observation::TimeoutAfterReset,
        });
    }

    fn stage_and_server(&self, id: u64, attempt: usize) -> Option<(Stage, ServerId)> {
        let inner = self.inner.borrow();
        let attempt = inner.requests.get(&id)?.machine.attempts().get(attempt)?;
        Some((attempt.stage, ServerId(attempt.server)))
    }
}
