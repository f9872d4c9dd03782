//! Prefills that were cancelled and whose servers may not know it: a close may never be delivered, and a prefill that
//! runs to its end leaves state that no release has met.

use std::rc::Rc;

use glenrail_request_lifecycle::request::{AttemptState, Stage, Status};
use glenrail_router::ServerId;
use tokio::time::{sleep, Instant};
use tower::ServiceExt;

use super::request_state::RequestState;
use super::timing::{CANCEL_PROPAGATION_DELAY, ORPHAN_RELEASE_RETRY_SHARE};
use super::{Core, DecisionPolicy, Upstream};
use crate::exchange::Payload;
use crate::upstream::Call;

/// A prefill that was cancelled on an open connection.
pub(super) struct UnconfirmedPrefill {
    server: ServerId,
    payload: Rc<Payload>,
    /// The deadline that its server was given: it does no work for the prefill later.
    deadline: Instant,
}

impl RequestState {
    /// The prefills of a finished request whose servers may not have seen the cancellation.
    pub(super) fn unconfirmed_prefills(&self) -> Vec<UnconfirmedPrefill> {
        let mut prefills = Vec::new();
        for (attempt, call) in self.machine.attempts().iter().zip(&self.calls) {
            let AttemptState::Ended(status) = attempt.state else { continue };
            let was_cancelled = matches!(status, Status::Cancelled | Status::Timeout | Status::Undelivered);
            if attempt.stage == Stage::Prefill && was_cancelled && call.cancel_token.is_written() {
                prefills.push(UnconfirmedPrefill {
                    server: ServerId(attempt.server),
                    payload: self.payload.clone(),
                    deadline: call.deadline,
                });
            }
        }
        prefills
    }
}

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Releases what such a prefill may have left until its server responds: what reaches the server then was preceded by
    /// the cancellation.
    pub(super) async fn release_orphaned_state(self, prefill: UnconfirmedPrefill) {
        let retry_pause = self.inner.borrow().lease_limit.mul_f64(ORPHAN_RELEASE_RETRY_SHARE);
        loop {
            let reachable = self.is_reachable(prefill.server).await;
            sleep(if reachable { CANCEL_PROPAGATION_DELAY } else { retry_pause }).await;
            // A later request of the same name would lose its lease.
            if self.inner.borrow().ids_by_name.contains_key(&prefill.payload.request_id) {
                return;
            }
            let call = Call::Release { payload: prefill.payload.clone() };
            // No server may be reachable; the next round tries again.
            let _ = self.upstream.clone().oneshot(call).await;
            if reachable || Instant::now() >= prefill.deadline {
                return;
            }
        }
    }
}
