//! Responses with short bodies, and the two formats of `Retry-After`.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};

use super::Body;

/// Returns a response with a short body.
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::text(body));
    *response.status_mut() = status;
    response
}

/// Formats a `Retry-After` in seconds with three decimals, for the platform's clients.
pub fn decimal_seconds(after: Duration) -> String {
    format!("{:.3}", after.as_secs_f64())
}

/// Formats a `Retry-After` in whole seconds, rounded up and at least 1, for clients of the public APIs.
pub fn whole_seconds(after: Duration) -> String {
    after.as_secs_f64().ceil().max(1.0).to_string()
}
