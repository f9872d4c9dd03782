//! Requests to servers, with the conditions under which each may be written.

use std::time::Duration;

use bytes::Bytes;
use glenrail_request_lifecycle::response_timing::{OnPause, ResponseLimits};
use http::Request;
use tokio::time::Instant;

use super::requests::set_remaining_time;
use crate::exchange::CancelToken;
use crate::upstream::ConnectionCheck;

/// Margin by which the remaining time stated to a server is reduced.
///
/// A request that arrives while this process is stalled gets its arrival time only when it is read, so the
/// computed remaining time is too long by up to the stall. The platform tolerates an excess no larger than
/// the longest stall.
const STATED_TIME_MARGIN: Duration = Duration::from_millis(20);

/// Purpose of a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    Attempt,
    ReserveSlot,
    Probe,
    Release,
}

impl RequestKind {
    /// Returns whether a draining server may also receive this kind of request.
    pub fn allowed_while_draining(self) -> bool {
        matches!(self, RequestKind::Probe | RequestKind::Release)
    }
}

/// A request to a server and the conditions under which it may be written.
pub(super) struct ServerRequest {
    pub kind: RequestKind,
    pub request: Request<Bytes>,
    /// Time by which the request must be written to a new or idle connection; `None` if neither a lease nor
    /// an idempotency window limits it.
    pub connect_deadline: Option<Instant>,
    /// Check that the connection must pass immediately before the request is written.
    pub connection_check: ConnectionCheck,
    /// Time by which the response must begin; `None` for requests other than attempts.
    pub deadline: Option<Instant>,
    /// Time limits of the response.
    pub limits: ResponseLimits,
    pub cancel_token: CancelToken,
}

impl ServerRequest {
    /// Creates a request other than an attempt. It has no deadlines and is never cancelled.
    pub fn new(kind: RequestKind, request: Request<Bytes>) -> Self {
        ServerRequest {
            kind,
            request,
            connect_deadline: None,
            connection_check: ConnectionCheck::None,
            deadline: None,
            limits: ResponseLimits::platform(OnPause::Retry),
            cancel_token: CancelToken::default(),
        }
    }

    /// Returns the request as it is to be written now, with the remaining time in its header.
    ///
    /// Returns `None` once `connect_deadline` or `deadline` has passed.
    pub fn prepare_write(&self) -> Option<Request<Bytes>> {
        let (mut request, now) = (self.request.clone(), Instant::now());
        let mut deadlines = [self.connect_deadline, self.deadline].into_iter().flatten();
        if deadlines.any(|deadline| deadline <= now) {
            return None;
        }
        if let Some(deadline) = self.deadline {
            set_remaining_time(&mut request, (deadline - now).saturating_sub(STATED_TIME_MARGIN));
        }
        Some(request)
    }
}
