//! Small responses, and the two forms of `Retry-After`.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};

use super::Body;

/// A response with a short body.
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::text(body));
    *response.status_mut() = status;
    response
}

/// `Retry-After` in seconds with decimals, as the platform's clients read it.
pub fn decimal_seconds(after: Duration) -> String {
    format!("{:.3}", after.as_secs_f64())
}

/// `Retry-After` in whole seconds, as public clients read it.
pub fn whole_seconds(after: Duration) -> String {
    after.as_secs_f64().ceil().max(1.0).to_string()
}
