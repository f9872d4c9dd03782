//! A request to a server, with the conditions under which it may be written.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::time::Instant;

use super::requests::set_remaining_time;
use crate::exchange::CancelToken;
use crate::upstream::ConnectionCheck;

/// A server is told so much less than the time that is left: bytes that came while this process stood still are counted from
/// their reading, and the platform's slack is no more than the longest hold-up.
const STATED_TIME_MARGIN: Duration = Duration::from_millis(20);

/// What a request to a server is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    Attempt,
    ReserveSlot,
    Probe,
    Release,
}

impl RequestKind {
    /// Whether a draining server may receive it too.
    pub fn allowed_while_draining(self) -> bool {
        matches!(self, RequestKind::Probe | RequestKind::Release)
    }
}

/// A request to a server, and the conditions under which it may be written.
pub(super) struct ServerRequest {
    pub kind: RequestKind,
    pub request: Request<Bytes>,
    /// By when it must be on a connection, an idle one included.
    pub connect_deadline: Option<Instant>,
    /// What must show, immediately before, that the connection still delivers.
    pub connection_check: ConnectionCheck,
    /// Until when its response may begin.
    pub deadline: Option<Instant>,
    pub cancel_token: CancelToken,
}

impl ServerRequest {
    /// A request that is no attempt: it has no deadline of its own, and nothing cancels it.
    pub fn new(kind: RequestKind, request: Request<Bytes>) -> Self {
        ServerRequest {
            kind,
            request,
            connect_deadline: None,
            connection_check: ConnectionCheck::None,
            deadline: None,
            cancel_token: CancelToken::default(),
        }
    }

    /// What is written at this moment, with the time that remains now; `None` once a deadline has passed: its own, that of the
    /// lease that waits for it, or that until which it may be retried.
    pub fn to_write_now(&self) -> Option<Request<Bytes>> {
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
