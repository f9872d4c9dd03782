//! Sending of requests: each is written at most once, on an idle connection or a new one.

use glenrail_request_lifecycle::reachability::Reachability;
use glenrail_router::ServerId;
use http::Response;
use hyper::body::Incoming;
use tokio::task::yield_now;
use tokio::time::Instant;

use super::connection::{Connection, Peer, SendFailure};
use super::connection_checks::PendingCheck;
use super::event_stream::broken_response;
use super::liveness::VerificationError;
use super::server_request::{RequestKind, ServerRequest};
use super::Engine;
use crate::exchange::CancelToken;
use crate::invariants::MAX_STATED_DEADLINE_AGE;
use crate::upstream::{CallError, ConnectionCheck};

impl Engine {
    /// Writes a request to a server at most once. Returns the response and the connection on which its body
    /// arrives.
    pub(super) async fn send(
        &self, server: ServerId, request: &ServerRequest,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        loop {
            // Checked before a connection is opened, since that costs the server work and the request time.
            if !request.cancel_token.is_active()
                || !(request.kind.allowed_while_draining() || self.is_serving(server))
            {
                return Err(CallError::NotSent);
            }
            let needs_sentinel = request.connection_check == ConnectionCheck::Answer;
            let idle =
                if needs_sentinel { self.take_idle_beside_sentinel(server) } else { self.take_idle(server) };
            let is_reused = idle.is_some();
            self.0.counts.borrow_mut().connections_reused += u64::from(is_reused);
            let connection = match idle {
                Some(connection) => connection,
                None => self.open_and_count(server, request.kind, request.connect_deadline).await?,
            };
            if needs_sentinel {
                self.open_sentinel(server);
            }
            let mut connection = match self.verify_connection(server, connection, request).await {
                Ok(connection) => connection,
                // The connection was closed while it was idle, which is no evidence against the server.
                Err(VerificationError::Broken) if is_reused => continue,
                Err(error) => return Err(error.into()),
            };
            // Servers answer these calls immediately, and the calls may use the sentinel of an attempt, so they count as
            // checks of their connections.
            let is_check = matches!(request.kind, RequestKind::Probe | RequestKind::Release);
            let call = is_check.then(|| self.register_check(server, &connection));
            let (call, failure) = match self.write(server, request, &mut connection).await {
                Ok(response) => {
                    call.iter().for_each(PendingCheck::mark_answered);
                    self.record_reachability(server, Reachability::answered);
                    return Ok((response, connection));
                }
                Err(failure) => (call, failure),
            };
            call.iter().for_each(PendingCheck::mark_broken);
            match failure {
                // The server closed the connection before any byte was written; the loop tries another connection.
                SendFailure::Replace => request.cancel_token.set_written(false),
                SendFailure::Withheld => return Err(CallError::NotSent),
                SendFailure::NeverRan => return Err(CallError::ConnectFailed),
                SendFailure::Expired(expiry) => return Err(CallError::ResponseExpired(expiry)),
                SendFailure::MayHaveRun(error) => return Err(broken_response(&error)),
            }
        }
    }

    /// Writes a request on this connection unless the server may no longer receive it.
    async fn write(
        &self, server: ServerId, request: &ServerRequest, connection: &mut Connection,
    ) -> Result<Response<Incoming>, SendFailure> {
        let kind = request.kind;
        if kind == RequestKind::Attempt {
            // Pending events are handled first, above all a client's disconnection: after a stall, the timer that
            // started this attempt may have fired in the same wake-up as the disconnection.
            yield_now().await;
        }
        // The server list may have changed while the connection was being opened.
        if !connection.may_write(self.may_receive(server, &connection.peer, kind)) {
            return Err(SendFailure::Withheld);
        }
        let to_write = request.prepare_write().ok_or(SendFailure::Withheld)?;
        let condition = FirstByteCondition {
            engine: self.clone(),
            server,
            peer: connection.peer.clone(),
            kind,
            cancel_token: request.cancel_token.clone(),
            stated_at: Instant::now(),
        };
        if kind == RequestKind::Attempt {
            connection.set_attempt(&request.cancel_token);
            connection.count_when_written(&to_write, self.0.attempts_written.clone());
        }
        connection.send(to_write, request.limits, move || condition.check()).await
    }
}

/// Condition under which the first byte of a request may be written.
struct FirstByteCondition {
    engine: Engine,
    server: ServerId,
    peer: Peer,
    kind: RequestKind,
    cancel_token: CancelToken,
    /// When the remaining time in the request's header was computed.
    stated_at: Instant,
}

impl FirstByteCondition {
    /// Returns whether the first byte may be written now, and records that in the token.
    fn check(&self) -> bool {
        let is_permitted = self.stated_at.elapsed() <= MAX_STATED_DEADLINE_AGE
            && self.cancel_token.is_active()
            && self.engine.may_receive(self.server, &self.peer, self.kind);
        self.cancel_token.set_written(is_permitted);
        is_permitted
    }
}
