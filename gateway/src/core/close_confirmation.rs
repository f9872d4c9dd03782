//! Confirmation that a server has stopped working on a prefill whose connection was interrupted.
//!
//! A close may reach the server late or never, and a prefill that runs to its end leaves state that earlier releases did not
//! cover. The server closing its own side of the same connection proves that it noticed the close; after a reset the server
//! is queried ([`reset_inquiry`](super::reset_inquiry)). Until the end of the work is confirmed, the request's state
//! machine repeats the release within the lease limit.

use futures_util::future::join_all;
use glenrail_request_lifecycle::request::Input;
use glenrail_router::ServerId;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::request_state::AttemptCall;
use super::timing::{CANCEL_PROPAGATION_DELAY, MAX_NETWORK_DELAY};
use super::{Core, DecisionPolicy, Upstream};
use crate::exchange::CancelToken;
use crate::log;

/// An attempt whose connection the gateway closed or lost before the end of the server's work.
struct InterruptedAttempt {
    /// The request id that servers receive.
    request: String,
    server: ServerId,
    token: CancelToken,
    /// Latest time at which the server may still work on the attempt if it does not notice the interruption.
    may_run_until: Instant,
}

impl AttemptCall {
    /// Returns the latest time at which the server may still work on the attempt if the connection is interrupted now and the
    /// server does not notice.
    fn may_run_until(&self) -> Instant {
        let written = self.cancel_token.first_byte_at().unwrap_or(self.ordered_at);
        let stated_timeout = self.deadline.saturating_duration_since(written);
        Instant::now() + MAX_NETWORK_DELAY + stated_timeout
    }
}

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Waits until the server has stopped working on an interrupted attempt, then reports that to the state machine. Gives up
    /// waiting at the time by which the server must have stopped in any case.
    pub(super) async fn confirm_close(self, id: u64, attempt: usize) {
        let Some(interrupted) = self.interrupted_attempt(id, attempt) else { return };
        let work_end = self.await_work_end(interrupted.server, &interrupted.token);
        if interrupted.token.is_written() && timeout_at(interrupted.may_run_until, work_end).await.is_err() {
            log!(
                "request {}: a server never ended the connection of a prefill that was cut off",
                interrupted.request
            );
        }
        self.step(id, Input::CloseConfirmed { attempt });
    }

    fn interrupted_attempt(&self, id: u64, attempt: usize) -> Option<InterruptedAttempt> {
        let inner = self.inner.borrow();
        let request = inner.requests.get(&id)?;
        let call = request.calls.get(attempt)?;
        Some(InterruptedAttempt {
            request: request.payload.request_id.clone(),
            server: ServerId(request.machine.attempts().get(attempt)?.server),
            token: call.cancel_token.clone(),
            may_run_until: call.may_run_until(),
        })
    }

    /// Waits a short time for servers to notice that the request's attempts were interrupted. Reports to the
    /// state machine each prefill that a server has stopped working on.
    pub(super) async fn await_close_confirmations(&self, id: u64) {
        let unconfirmed = self.unconfirmed_closes(id);
        if unconfirmed.is_empty() {
            // No prefill is unconfirmed: a call of another kind was interrupted, whose server sends no confirmation.
            return sleep(CANCEL_PROPAGATION_DELAY).await;
        }
        let confirmations = join_all(unconfirmed.iter().map(|(_, token)| token.work_ended()));
        let _ = timeout(CANCEL_PROPAGATION_DELAY, confirmations).await;
        for (attempt, token) in unconfirmed {
            if token.has_work_ended() {
                self.step(id, Input::CloseConfirmed { attempt });
            }
        }
    }

    /// Returns the interrupted prefills of a request whose servers have not confirmed the interruption.
    fn unconfirmed_closes(&self, id: u64) -> Vec<(usize, CancelToken)> {
        let inner = self.inner.borrow();
        let Some(request) = inner.requests.get(&id) else { return Vec::new() };
        let attempts = request.machine.attempts().iter().zip(&request.calls).enumerate();
        let unconfirmed = attempts.filter(|(_, (state, _))| state.unconfirmed_close);
        unconfirmed.map(|(attempt, (_, call))| (attempt, call.cancel_token.clone())).collect()
    }
}
