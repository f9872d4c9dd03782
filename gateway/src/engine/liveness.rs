//! Verification that a server, and the network path to it, responds now.
//!
//! An open connection may fall silent with no error, and bytes that were handed to the kernel may never be delivered. Before
//! an attempt that a lease waits for is written to a connection, the connection answers a probe; after that, a connection that
//! stood beside it answers one ([`standing`](super::standing)). Where servers may not be probed, the release of an id that is no
//! request's stands for the probe.

use std::time::Duration;

use bytes::Bytes;
use glenrail_request_lifecycle::reachability::Reachability;
use glenrail_router::ServerId;
use http::{Method, Request};
use http_body_util::{BodyExt, Limited};

use super::connection::{Connection, SendFailure};
use super::control_calls::MAX_SHORT_BODY;
use super::pool::time_for;
use super::requests::{lease_request, load_request};
use super::server_request::{RequestKind, ServerRequest};
use super::stall_tolerance::within;
use super::Engine;
use crate::log;
use crate::upstream::{CallError, ConnectionCheck, Reply};

/// A server that is well answers a probe within this time.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// Why a connection is not to be written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unverified {
    /// It has ended.
    Broken,
    /// It is open, and gave no answer.
    Unresponsive,
    /// The time left was too short for an answer.
    NoTime,
    /// The server must receive nothing.
    Withheld,
}

impl From<Unverified> for CallError {
    fn from(unverified: Unverified) -> CallError {
        match unverified {
            // Nothing of a request was written.
            Unverified::Broken | Unverified::Unresponsive => CallError::ConnectFailed,
            Unverified::NoTime | Unverified::Withheld => CallError::NotSent,
        }
    }
}

impl Engine {
    /// Verifies that this connection answers the check that the request needs, by the time at which it must be written.
    pub(super) async fn verify_connection(
        &self, server: ServerId, connection: Connection, request: &ServerRequest,
    ) -> Result<Connection, Unverified> {
        if request.connection_check == ConnectionCheck::None {
            return Ok(connection);
        }
        let wait = time_for(ANSWER_TIMEOUT, request.connect_deadline);
        let mut checked = self.start_check(server, connection)?;
        match within(wait, &mut checked).await {
            // Without a word its task has ended with the engine.
            Some(checked) => checked.unwrap_or(Err(Unverified::Broken)),
            None if wait < ANSWER_TIMEOUT / 2 => Err(Unverified::NoTime),
            None => Err(Unverified::Unresponsive),
        }
    }

    pub(super) fn record_unresponsive(&self, server: ServerId) {
        self.record(server, Reachability::query_lost);
        log!("a connection to server {:x} is open and unresponsive", server.0);
        // The other idle connections to it are not tried one after the other.
        self.close_idle_of(server);
    }

    /// Sends a check on a connection that is free, and reads its response.
    ///
    /// What is not allowed for a request of this `kind` must not be written.
    pub(super) async fn answered_on(
        &self, server: ServerId, connection: &mut Connection, kind: RequestKind, check: Request<Bytes>,
    ) -> Result<(), Unverified> {
        if !connection.may_write(self.may_receive(server, &connection.peer, kind)) {
            return Err(Unverified::Withheld);
        }
        let response = match connection.send(check, || true).await {
            Ok(response) => response,
            Err(SendFailure::Withheld) => return Err(Unverified::Withheld),
            Err(_) => return Err(Unverified::Broken),
        };
        let body = Limited::new(response.into_body(), MAX_SHORT_BODY).collect().await;
        let is_free =
            body.is_ok() && connection.finish_response(true) && connection.sender.ready().await.is_ok();
        is_free.then_some(()).ok_or(Unverified::Broken)
    }

    /// A call that changes nothing and is answered: a probe, or where servers may not be probed the release of an id that is
    /// no request's.
    pub(super) fn check_call(&self) -> Result<(RequestKind, Request<Bytes>), CallError> {
        if self.0.limits.probes {
            self.0.counts.borrow_mut().probes += 1;
            return Ok((RequestKind::Probe, load_request()?));
        }
        self.release_of_unused_id()
    }

    /// A call that every server answers that runs, also one that must receive nothing else.
    pub(super) fn release_of_unused_id(&self) -> Result<(RequestKind, Request<Bytes>), CallError> {
        Ok((RequestKind::Release, lease_request(Method::DELETE, &self.0.unused_request_id)?))
    }

    /// Verifies that a server responds after this call.
    pub(super) async fn verify_reachable(&self, server: ServerId) -> Result<Reply, CallError> {
        let (kind, call) = self.check_call()?;
        let request = ServerRequest::new(kind, call);
        let verified = self.short_call(server, &request);
        match within(ANSWER_TIMEOUT, verified).await {
            Some(verified) => verified.map(|_| Reply::Done),
            None => {
                self.record(server, Reachability::query_lost);
                Err(CallError::ConnectFailed)
            }
        }
    }
}
