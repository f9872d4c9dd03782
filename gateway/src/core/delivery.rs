//! Confirmation that an attempt was delivered: its server answers after the attempt was written.
//!
//! The attempt's own response may take any time, and what was written onto a connection that has fallen silent is never
//! delivered, with no error. While a lease waits, that is checked; what an answer shows is decided in
//! [`evidence`](glenrail_request_lifecycle::evidence).

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
    /// Checks the delivery of an attempt for as long as a lease waits for it; never ends.
    pub(super) async fn confirm_delivery(
        &self, id: u64, attempt: usize, server: ServerId, cancel_token: &CancelToken,
    ) -> Infallible {
        let mut known = Delivery::default();
        loop {
            let written = cancel_token.first_byte_written().await;
            let Some(check_at) = self.delivery_check_at(id, written) else { return pending().await };
            sleep_until(check_at).await;
            // Meanwhile it may have been written to another connection.
            if cancel_token.first_byte_at() != Some(written) {
                known = Delivery::default();
                continue;
            }
            if !self.has_waiting_lease(id) {
                // A slot may be reserved later.
                let pause = self.inner.borrow().lease_limit.mul_f64(DELIVERY_CHECK_SHARE);
                sleep(pause).await;
                continue;
            }
            if let Some(seen) = self.ask_for_delivery(server, cancel_token).await {
                known = known.after(seen);
            }
            match known {
                Delivery::Unknown => sleep(DELIVERY_CHECK_RETRY_DELAY).await,
                // The lease limit cancels the attempt, unless its own response comes before.
                Delivery::Doubtful => return pending().await,
                Delivery::Confirmed => {
                    self.confirm_delivered(id, attempt);
                    return pending().await;
                }
            }
        }
    }

    /// Asks the server for a sign on other connections than the attempt's.
    async fn ask_for_delivery(&self, server: ServerId, cancel_token: &CancelToken) -> Option<Observation> {
        let call = Call::ConfirmDelivery { server, cancel_token: cancel_token.clone() };
        match self.upstream.clone().oneshot(call).await {
            Ok(Reply::Observed(seen)) => Some(seen),
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
