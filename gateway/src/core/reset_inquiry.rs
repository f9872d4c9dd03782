//! Questions to a server whose connection was reset under a prefill: whether it still works on that.
//!
//! A reset comes from the server or from what stands between, and a process that stands still knows nothing of it. Only what a
//! connection shows that is begun after the reset tells a process that is gone, or runs, from one that stands still.

use glenrail_request_lifecycle::evidence::{InterruptedWork, Observation};
use glenrail_request_lifecycle::request::Stage;
use glenrail_router::ServerId;
use tokio::time::{sleep, timeout, timeout_at, Duration, Instant};
use tower::ServiceExt;

use super::timing::{CANCEL_PROPAGATION_DELAY, RESET_INQUIRY_FIRST_PAUSE, RESET_INQUIRY_MAX_PAUSE};
use super::{Core, DecisionPolicy, Upstream};
use crate::exchange::CancelToken;
use crate::upstream::{Call, Reply, ServerAfterReset};

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Asks the server of a prefill whose connection was reset, once and by this deadline, before anything is decided on it.
    pub(super) async fn resolve_reset(
        &self, id: u64, attempt: usize, token: &CancelToken, deadline: Instant,
    ) {
        if token.cut_work() != InterruptedWork::Reset {
            return;
        }
        if let Some((Stage::Prefill, server)) = self.stage_and_server(id, attempt) {
            // What is not answered by then is asked again later.
            let _ = timeout_at(deadline, self.inquire_after_reset(server, token)).await;
        }
    }

    /// Whether a prefill's server is known to work on it no more.
    pub(super) fn has_prefill_ended(&self, id: u64, attempt: usize, token: &CancelToken) -> bool {
        let stage = self.stage_and_server(id, attempt).map(|(stage, _)| stage);
        stage == Some(Stage::Prefill) && token.has_work_ended()
    }

    /// Waits until the server works on an attempt no more that was cut off; asks it at intervals once its connection was reset.
    pub(super) async fn await_work_end(&self, server: ServerId, token: &CancelToken) {
        let was_asked = token.cut_work() == InterruptedWork::Reset;
        let mut pause = if was_asked { RESET_INQUIRY_FIRST_PAUSE } else { Duration::ZERO };
        while token.reset_or_ended().await != InterruptedWork::Ended {
            if timeout(pause, token.work_ended()).await.is_ok() {
                return;
            }
            self.inquire_after_reset(server, token).await;
            pause = (pause * 2).clamp(RESET_INQUIRY_FIRST_PAUSE, RESET_INQUIRY_MAX_PAUSE);
        }
    }

    /// Asks a server once what has become of it, and notes what that shows.
    async fn inquire_after_reset(&self, server: ServerId, token: &CancelToken) {
        let call = Call::InquireAfterReset { server, cancel_token: token.clone() };
        let found = match self.upstream.clone().oneshot(call).await {
            Ok(Reply::AfterReset(found)) => found,
            _ => ServerAfterReset::Silent,
        };
        token.note(match found {
            ServerAfterReset::Refuses => Observation::RefusedAfterReset,
            ServerAfterReset::Answers => {
                sleep(CANCEL_PROPAGATION_DELAY).await;
                Observation::ResponseAfterReset
            }
            ServerAfterReset::Silent => Observation::TimeoutAfterReset,
        });
    }

    fn stage_and_server(&self, id: u64, attempt: usize) -> Option<(Stage, ServerId)> {
        let inner = self.inner.borrow();
        let attempt = inner.requests.get(&id)?.machine.attempts().get(attempt)?;
        Some((attempt.stage, ServerId(attempt.server)))
    }
}
