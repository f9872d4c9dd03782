//! Errors of a discovery poll, and their classification for the poll schedule.

use std::error::Error;
use std::io;
use std::time::Duration;

use glenrail_request_lifecycle::discovery_polling::PollFailure;
use http::{header, Response, StatusCode};

/// Reason why a poll returned no usable list.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("no answer in time")]
    ResponseTimeout,
    #[error("half an answer")]
    BodyStalled,
    #[error("an answer does not end in time")]
    TotalTimeout,
    #[error("status {status}")]
    Status { status: StatusCode, failure: PollFailure },
    /// The full list has no usable line, as from a discovery agent that has not received its data yet. The current
    /// list is kept.
    #[error("a whole list with no line that can be used")]
    NoUsableLine,
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    Request(#[from] http::Error),
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The body was truncated, or exceeds the maximum size of a list.
    #[error(transparent)]
    Body(#[from] Box<dyn Error + Send + Sync>),
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
}

impl PollError {
    /// Returns the kind of failure for the poll schedule.
    pub(super) fn failure(&self) -> PollFailure {
        match self {
            PollError::Status { failure, .. } => *failure,
            _ => PollFailure::Lost,
        }
    }
}

/// Returns the kind of failure for a response without a success status: 429 and 503 throttle, with the `Retry-After` in
/// seconds if there is one.
pub(super) fn status_failure<B>(response: &Response<B>) -> PollFailure {
    if !matches!(response.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return PollFailure::Lost;
    }
    PollFailure::Throttled(retry_after(response))
}

fn retry_after<B>(response: &Response<B>) -> Option<Duration> {
    let seconds: f64 = response.headers().get(header::RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
