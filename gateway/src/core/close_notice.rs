//! Prefills that were cut off: when their servers are known to work on them no more.
//!
//! A close may be delivered late or never, and a prefill that runs to its end leaves state that no earlier release has met. The
//! server's own end of the same connection proves that it has noticed; where the connection was reset, the server is asked
//! ([`reset_inquiry`](super::reset_inquiry)). Until then the request's machine renews the release within the lease limit.

use futures_util::future::join_all;
use glenrail_request_lifecycle::request::Input;
use glenrail_router::ServerId;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::request_state::AttemptCall;
use super::timing::{CANCEL_PROPAGATION_DELAY, MAX_NETWORK_HOLD};
use super::{Core, DecisionPolicy, Upstream};
use crate::exchange::CancelToken;
use crate::log;

/// An attempt that was cut off.
struct CutAttempt {
    /// The request's id outside this process.
    request: String,
    server: ServerId,
    token: CancelToken,
    /// Until when its server may work on it, if it does not notice.
    may_run_until: Instant,
}

impl AttemptCall {
    /// Until when its server may work on the attempt if it is cut off now and the server does not notice.
    fn may_run_until(&self) -> Instant {
        let written = self.cancel_token.first_byte_at().unwrap_or(self.ordered_at);
        let stated = self.deadline.saturating_duration_since(written);
        Instant::now() + MAX_NETWORK_HOLD + stated
    }
}

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Reports to the machine when the server of an attempt that was cut off works on it no more.
    pub(super) async fn confirm_close(self, id: u64, attempt: usize) {
        let Some(cut) = self.cut_attempt(id, attempt) else { return };
        let work_end = self.await_work_end(cut.server, &cut.token);
        if cut.token.is_written() && timeout_at(cut.may_run_until, work_end).await.is_err() {
            log!(
                "request {}: a server never ended the connection of a prefill that was cut off",
                cut.request
            );
        }
        self.step(id, Input::CloseConfirmed { attempt });
    }

    fn cut_attempt(&self, id: u64, attempt: usize) -> Option<CutAttempt> {
        let inner = self.inner.borrow();
        let request = inner.requests.get(&id)?;
        let call = request.calls.get(attempt)?;
        Some(CutAttempt {
            request: request.payload.request_id.clone(),
            server: ServerId(request.machine.attempts().get(attempt)?.server),
            token: call.cancel_token.clone(),
            may_run_until: call.may_run_until(),
        })
    }

    /// Waits until all servers have noticed that the request's attempts were cut off, for a short time at the most. The
    /// machine has the reports of those that have.
    pub(super) async fn await_close_notices(&self, id: u64) {
        let unnoticed = self.unnoticed_calls(id);
        if unnoticed.is_empty() {
            // Another call was cut off, whose server tells nothing.
            return sleep(CANCEL_PROPAGATION_DELAY).await;
        }
        let notices = join_all(unnoticed.iter().map(|(_, token)| token.work_ended()));
        let _ = timeout(CANCEL_PROPAGATION_DELAY, notices).await;
        for (attempt, token) in unnoticed {
            if token.has_work_ended() {
                self.step(id, Input::CloseConfirmed { attempt });
            }
        }
    }

    /// The prefills of a request that were cut off, and whose servers are not known to have noticed.
    fn unnoticed_calls(&self, id: u64) -> Vec<(usize, CancelToken)> {
        let inner = self.inner.borrow();
        let Some(request) = inner.requests.get(&id) else { return Vec::new() };
        let attempts = request.machine.attempts().iter().zip(&request.calls).enumerate();
        let unnoticed = attempts.filter(|(_, (state, _))| state.unconfirmed_close);
        unnoticed.map(|(attempt, (_, call))| (attempt, call.cancel_token.clone())).collect()
    }
}
