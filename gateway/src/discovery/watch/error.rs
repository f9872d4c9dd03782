//! Why a poll of discovery brought no list, and how the schedule of polls counts it.

use std::error::Error;
use std::io;
use std::time::Duration;

use glenrail_request_lifecycle::discovery_polling::PollFailure;
use http::{header, Response, StatusCode};

/// Why a poll brought no list that could be used.
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
    /// An agent that has been sent nothing yet: the list known is better.
    #[error("a whole list with no line that can be used")]
    NoUsableLine,
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    Request(#[from] http::Error),
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The body broke off, or is longer than a list may be.
    #[error(transparent)]
    Body(#[from] Box<dyn Error + Send + Sync>),
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
}

impl PollError {
    /// How the schedule counts this failure.
    pub(super) fn failure(&self) -> PollFailure {
        match self {
            PollError::Status { failure, .. } => *failure,
            _ => PollFailure::Lost,
        }
    }
}

/// How the schedule counts a response that is no success: a 429 or 503 throttles, with its `Retry-After` in seconds.
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
