//! Confirmation that an attempt was delivered, by a response of its server after the attempt was written.
//!
//! The attempt's own response may take any time, and data written to a dead connection is lost without an error. Delivery is
//! therefore checked while a lease is unclaimed. [`evidence`](glenrail_request_lifecycle::evidence) decides what an
//! observation proves.

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
use crate::upstream::{Call, Reply};

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Checks the delivery of an attempt while the request has an unclaimed lease; never returns.
    pub(super) async fn confirm_delivery(
        &self, id: u64, attempt: usize, server: ServerId, cancel_token: &CancelToken,
    ) -> Infallible {
        let mut delivery = Delivery::default();
        loop {
            let written = cancel_token.first_byte_written().await;
            let Some(check_at) = self.delivery_check_at(id, written) else { return pending().await };
            sleep_until(check_at).await;
            // The attempt may have been written again, to another connection, in the meantime.
            if cancel_token.first_byte_at() != Some(written) {
                delivery = Delivery::default();
                continue;
            }
            if !self.has_unclaimed_lease(id) {
                // A slot may be reserved later, which starts a lease.
                let pause = self.inner.borrow().lease_limit.mul_f64(DELIVERY_CHECK_SHARE);
                sleep(pause).await;
                continue;
            }
            if let Some(observation) = self.observe_delivery(server, cancel_token).await {
                delivery = delivery.after(observation);
            }
            match delivery {
                Delivery::Unknown => sleep(DELIVERY_CHECK_RETRY_DELAY).await,
                // The lease timer cancels the attempt unless its response arrives first.
                Delivery::Doubtful => return pending().await,
                Delivery::Confirmed => {
                    self.confirm_delivered(id, attempt);
                    return pending().await;
                }
            }
        }
    }

    /// Requests an observation of the server on connections other than the attempt's.
    async fn observe_delivery(&self, server: ServerId, cancel_token: &CancelToken) -> Option<Observation> {
        let call = Call::ConfirmDelivery { server, cancel_token: cancel_token.clone() };
        match self.upstream.clone().oneshot(call).await {
            Ok(Reply::DeliveryObserved(observation)) => Some(observation),
            _ => None,
        }
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

    /// Whether the request has a lease that no attempt with confirmed delivery has claimed.
    fn has_unclaimed_lease(&self, id: u64) -> bool {
        let inner = self.inner.borrow();
        inner.requests.get(&id).is_some_and(|request| request.machine.is_armed(Timer::LeaseLimit))
    }

    fn delivery_check_at(&self, id: u64, written: Instant) -> Option<Instant> {
        let inner = self.inner.borrow();
        let request = inner.requests.get(&id)?;
        Some(request.delivery_check_at(written, inner.lease_limit))
    }
}
