//! Error responses in the format of the public APIs.

use std::time::Duration;

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde_json::json;

use crate::front::{response, whole_seconds, Body};

/// Error type for faults of the request.
const INVALID_REQUEST: &str = "invalid_request_error";

/// An error response.
#[derive(Debug)]
pub(super) struct ApiError {
    pub status: StatusCode,
    /// Value of `type` in the response.
    error_type: &'static str,
    pub message: String,
    /// Value of `Retry-After`; `None` if a retry is not known to be safe.
    retry_after: Option<Duration>,
}

impl ApiError {
    fn new(status: StatusCode, error_type: &'static str, message: impl Into<String>) -> Self {
        ApiError { status, error_type, message: message.into(), retry_after: None }
    }

    /// The body or a header is invalid.
    pub fn invalid(message: impl Into<String>) -> Self {
        ApiError::new(StatusCode::BAD_REQUEST, INVALID_REQUEST, message)
    }

    /// The path does not exist, or its endpoint has no target.
    pub fn path_not_found() -> Self {
        ApiError::new(StatusCode::NOT_FOUND, INVALID_REQUEST, "no such path here")
    }

    /// The method is not POST.
    pub fn method_not_allowed() -> Self {
        ApiError::new(StatusCode::METHOD_NOT_ALLOWED, INVALID_REQUEST, "POST wanted")
    }

    /// The body is larger than the maximum of the front.
    pub fn body_too_large(max_bytes: usize) -> Self {
        let message = format!("the body is larger than {max_bytes} bytes");
        ApiError::new(StatusCode::PAYLOAD_TOO_LARGE, INVALID_REQUEST, message)
    }

    /// The body did not arrive within the time limit, or paused for too long.
    pub fn body_too_slow() -> Self {
        ApiError::new(StatusCode::REQUEST_TIMEOUT, INVALID_REQUEST, "body too slow")
    }

    /// The request was rejected; a retry after the given time is safe.
    pub fn overloaded(retry_after: Duration) -> Self {
        let message = "overloaded, try again later";
        let error = ApiError::new(StatusCode::SERVICE_UNAVAILABLE, "overloaded_error", message);
        ApiError { retry_after: Some(retry_after), ..error }
    }

    /// The client's timeout has expired, or was about to expire when the request was rejected.
    pub fn deadline_exceeded() -> Self {
        ApiError::new(StatusCode::GATEWAY_TIMEOUT, "timeout_error", "no answer in time")
    }

    /// No server returned a usable response.
    pub fn upstream_failed() -> Self {
        ApiError::new(StatusCode::BAD_GATEWAY, "upstream_error", "the servers did not answer")
    }

    /// Returns the response in the format of the public APIs.
    pub fn into_response(self) -> Response<Body> {
        let error = json!({"message": self.message, "type": self.error_type, "param": null, "code": null});
        let mut response = response(self.status, json!({ "error": error }).to_string());
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let retry_after =
            self.retry_after.and_then(|after| HeaderValue::from_str(&whole_seconds(after)).ok());
        if let Some(retry_after) = retry_after {
            response.headers_mut().insert(RETRY_AFTER, retry_after);
        }
        response
    }
}
