//! Confirmation that an attempt was delivered: its server answers a probe after the attempt was written.
//!
//! The attempt's own response may take any time, and what was written onto a connection that has fallen silent is never
//! delivered, with no error. While a lease waits, that is checked.

use std::convert::Infallible;
use std::future::pending;

use glenrail_request_lifecycle::evidence::{Delivery, Observation};
use glenrail_request_lifecycle::request::{Input, Timer};
use glenrail_router::ServerId;
use tokio::time::{sleep, sleep_until, Instant};
use tower::ServiceExt;

use super::timing::{DELIVERY_CHECK_RETRY_DELAY, DELIVERY_CHECK_SHARE};
use super::{Core, DecisionPolicy, Upstream};
use crate::exchange::CancelToken;
use crate::upstream::Call;

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Checks the delivery of an attempt for as long as a lease waits for it; never ends.
    pub(super) async fn confirm_delivery(
        &self, id: u64, attempt: usize, server: ServerId, cancel_token: &CancelToken,
    ) -> Infallible {
        loop {
            let written = cancel_token.first_byte_written().await;
            let Some(check_at) = self.delivery_check_at(id, written) else { return pending().await };
            sleep_until(check_at).await;
            // Meanwhile it may have been written to another connection.
            if cancel_token.first_byte_at() != Some(written) {
                continue;
            }
            if !self.has_waiting_lease(id) {
                // A slot may be reserved later.
                let pause = self.inner.borrow().lease_limit.mul_f64(DELIVERY_CHECK_SHARE);
                sleep(pause).await;
                continue;
            }
            let seen = self.ask_elsewhere(server).await;
            if seen.is_some_and(|seen| Delivery::default().after(seen) == Delivery::Shown) {
                self.confirm_delivered(id, attempt);
                return pending().await;
            }
            sleep(DELIVERY_CHECK_RETRY_DELAY).await;
        }
    }

    /// Asks whether a server responds now, on another connection than the attempt's.
    async fn ask_elsewhere(&self, server: ServerId) -> Option<Observation> {
        let call = Call::VerifyReachable { server };
        self.upstream.clone().oneshot(call).await.ok().map(|_| Observation::AnswerOnNewer)
    }

    fn confirm_delivered(&self, id: u64, attempt: usize) {
        {
            let mut inner = self.inner.borrow_mut();
            let now = inner.clock.now();
            if let Some(request) = inner.requests.get_mut(&id) {
                request.record.delivered(attempt, now);
            }
        }
        self.step(id, Input::Delivered { attempt });
    }

    /// Whether the request has a lease whose time runs until an attempt is known to have been delivered.
    fn has_waiting_lease(&self, id: u64) -> bool {
        let inner = self.inner.borrow();
        inner.requests.get(&id).is_some_and(|request| request.machine.is_armed(Timer::LeaseLimit))
    }

    fn delivery_check_at(&self, id: u64, written: Instant) -> Option<Instant> {
        let inner = self.inner.borrow();
        let request = inner.requests.get(&id)?;
        Some(request.delivery_check_at(written, inner.lease_limit))
    }
}
