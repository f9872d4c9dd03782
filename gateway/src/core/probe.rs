//! Probes of servers, ordered by the router.

use glenrail_router::{AttemptStatus, Event, ServerId};
use tokio::time::Instant;
use tower::ServiceExt;

use super::clock::millis;
use super::{Core, DecisionPolicy, Upstream};
use crate::upstream::{Call, CallError, Reply};

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Sends one probe to a server and reports the result and its duration to the router.
    pub(super) async fn probe(&self, server: ServerId) {
        let sent = Instant::now();
        let (status, report) = match self.upstream.clone().oneshot(Call::Probe { server }).await {
            Ok(Reply::Probed { healthy: true, report }) => (AttemptStatus::Served, report),
            Ok(Reply::Probed { report, .. }) => (AttemptStatus::Error, report),
            Ok(_) | Err(CallError::NotSent | CallError::ConnectFailed) => {
                (AttemptStatus::ConnectFailed, None)
            }
            Err(CallError::Reset) => (AttemptStatus::Reset, None),
            Err(CallError::MalformedResponse(_) | CallError::ResponseExpired(_)) => {
                (AttemptStatus::MalformedResponse, None)
            }
        };
        let elapsed = millis(sent.elapsed());
        self.dispatch(Event::ProbeResult { server, status, elapsed, report });
    }
}
