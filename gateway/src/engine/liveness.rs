//! Verification that a server responds now and that the network path to it works.
//!
//! An open connection may stop delivering without an error, so bytes that were handed to the kernel may never
//! arrive. An attempt that claims a lease is therefore written only to a connection that has just answered a
//! probe. After the write, a connection that was already open by then is probed
//! ([`connection_checks`](super::connection_checks)). Where servers may not be probed, the release of an
//! unused id replaces the probe.

use std::time::Duration;

use bytes::Bytes;
use glenrail_request_lifecycle::reachability::Reachability;
use glenrail_request_lifecycle::response_timing::{OnPause, ResponseLimits};
use glenrail_router::ServerId;
use http::{Method, Request};
use http_body_util::{BodyExt, Limited};

use super::connection::{Connection, SendFailure};
use super::control_calls::MAX_SHORT_BODY_BYTES;
use super::pool::limit_to_deadline;
use super::requests::{lease_request, load_request};
use super::server_request::{RequestKind, ServerRequest};
use super::stall_tolerance::timeout_allowing_stalls;
use super::Engine;
use crate::log;
use crate::upstream::{CallError, ConnectionCheck, Reply};

/// Time limit within which a healthy server answers a probe.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// Why a connection must not be written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VerificationError {
    /// The connection has ended.
    Broken,
    /// The connection is open but did not answer the check in time.
    Unresponsive,
    /// The remaining time was too short to expect an answer.
    InsufficientTime,
    /// The server must not receive the check.
    Withheld,
}

impl From<VerificationError> for CallError {
    fn from(error: VerificationError) -> CallError {
        match error {
            // No byte of the request was written.
            VerificationError::Broken | VerificationError::Unresponsive => CallError::ConnectFailed,
            VerificationError::InsufficientTime | VerificationError::Withheld => CallError::NotSent,
        }
    }
}

impl Engine {
    /// Verifies that the connection passes the check that the request requires, within the request's connect deadline.
    pub(super) async fn verify_connection(
        &self, server: ServerId, connection: Connection, request: &ServerRequest,
    ) -> Result<Connection, VerificationError> {
        if request.connection_check == ConnectionCheck::None {
            return Ok(connection);
        }
        let wait = limit_to_deadline(ANSWER_TIMEOUT, request.connect_deadline);
        let mut checked = self.start_check(server, connection)?;
        match timeout_allowing_stalls(wait, &mut checked).await {
            // The sender is dropped without a result only if its task has ended with the engine.
            Some(checked) => checked.unwrap_or(Err(VerificationError::Broken)),
            None if wait < ANSWER_TIMEOUT / 2 => Err(VerificationError::InsufficientTime),
            None => Err(VerificationError::Unresponsive),
        }
    }

    pub(super) fn record_unresponsive(&self, server: ServerId) {
        self.record_reachability(server, Reachability::query_lost);
        log!("connection to server {:x} is open but unresponsive; closing its idle connections", server.0);
        // Otherwise its other idle connections could each be tried and time out in turn.
        self.close_idle_of(server);
    }

    /// Sends a check call on an idle connection and reads its response.
    ///
    /// Returns [`VerificationError::Withheld`] if the server may not receive a request of this `kind`.
    pub(super) async fn send_check_call(
        &self, server: ServerId, connection: &mut Connection, kind: RequestKind, check: Request<Bytes>,
    ) -> Result<(), VerificationError> {
        if !connection.may_write(self.may_receive(server, &connection.peer, kind)) {
            return Err(VerificationError::Withheld);
        }
        let response = match connection.send(check, ResponseLimits::platform(OnPause::Retry), || true).await {
            Ok(response) => response,
            Err(SendFailure::Withheld) => return Err(VerificationError::Withheld),
            Err(_) => return Err(VerificationError::Broken),
        };
        let body = Limited::new(response.into_body(), MAX_SHORT_BODY_BYTES).collect().await;
        let is_free =
            body.is_ok() && connection.finish_response(true) && connection.sender.ready().await.is_ok();
        is_free.then_some(()).ok_or(VerificationError::Broken)
    }

    /// Returns a call without side effects that a server answers: a probe or, where servers may not be probed, the release
    /// of an unused id.
    pub(super) fn check_call(&self) -> Result<(RequestKind, Request<Bytes>), CallError> {
        if self.0.limits.probes {
            self.0.counts.borrow_mut().probes += 1;
            return Ok((RequestKind::Probe, load_request()?));
        }
        self.release_of_unused_id()
    }

    /// Returns a call that every running server answers, including one that may receive no other request.
    pub(super) fn release_of_unused_id(&self) -> Result<(RequestKind, Request<Bytes>), CallError> {
        Ok((RequestKind::Release, lease_request(Method::DELETE, &self.0.unused_request_id)?))
    }

    /// Verifies that a server answers a call that is sent now.
    pub(super) async fn verify_reachable(&self, server: ServerId) -> Result<Reply, CallError> {
        let (kind, call) = self.check_call()?;
        let request = ServerRequest::new(kind, call);
        let verified = self.short_call(server, &request);
        match timeout_allowing_stalls(ANSWER_TIMEOUT, verified).await {
            Some(verified) => verified.map(|_| Reply::Done),
            None => {
                self.record_reachability(server, Reachability::query_lost);
                Err(CallError::ConnectFailed)
            }
        }
    }
}
