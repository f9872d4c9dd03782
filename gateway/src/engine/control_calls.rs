//! Short calls to servers, which are all requests other than attempts; here also probes and slot
//! reservations.

use std::time::Duration;

use bytes::Bytes;
use glenrail_request_lifecycle::reachability::Reachability;
use glenrail_router::ServerId;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;

use super::load_reports::ReceivedReport;
use super::requests::{lease_request, load_request};
use super::server_request::{RequestKind, ServerRequest};
use super::Engine;
use crate::exchange::{Payload, ResponseHead};
use crate::upstream::{CallError, Reply};

/// Maximum size in bytes of the response to a short call.
pub(super) const MAX_SHORT_BODY_BYTES: usize = 64 << 10;

/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(750);

/// Time limit of a slot reservation. After this time the server itself reports that it cannot tell whether the slot is
/// reserved.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(600);

impl Engine {
    /// Sends a request and reads the complete response, of at most [`MAX_SHORT_BODY_BYTES`] bytes.
    pub(super) async fn short_call(
        &self, server: ServerId, request: &ServerRequest,
    ) -> Result<(ResponseHead, Bytes), CallError> {
        let (response, connection) = self.send(server, request).await?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_SHORT_BODY_BYTES).collect().await.map_err(|_| CallError::Reset)?;
        let body = body.to_bytes();
        self.recycle(server, connection);
        Ok((ResponseHead { status: parts.status, headers: parts.headers }, body))
    }

    /// Requests a slot reservation from a server.
    pub(super) async fn reserve_slot(&self, server: ServerId, payload: &Payload) -> Result<Reply, CallError> {
        let request = lease_request(Method::POST, &payload.request_id)?;
        let request = ServerRequest::new(RequestKind::ReserveSlot, request);
        let answer = timeout(RESERVATION_TIMEOUT, self.short_call(server, &request)).await;
        let (head, _) = answer.map_err(|_| CallError::Reset)??;
        Ok(Reply::SlotReserved(match head.status.as_u16() {
            200 => Some(true),
            409 => Some(false),
            _ => None,
        }))
    }

    /// Probes a server for its health and load report.
    pub(super) async fn probe(&self, server: ServerId) -> Result<Reply, CallError> {
        let request = ServerRequest::new(RequestKind::Probe, load_request()?);
        self.0.counts.borrow_mut().probes += 1;
        self.record_reachability(server, Reachability::query_sent);
        let answer = timeout(PROBE_TIMEOUT, self.short_call(server, &request)).await;
        if answer.is_err() {
            self.record_reachability(server, Reachability::query_lost);
        }
        let (head, body) = answer.map_err(|_| CallError::Reset)??;
        let report = match self.report_in_head(server, &head) {
            Some(report) => Some(report),
            None => self.0.unreadable_reports.check(ReceivedReport::from_probe_body(&body), server),
        };
        Ok(Reply::Probed { healthy: head.status == StatusCode::OK, report })
    }
}
