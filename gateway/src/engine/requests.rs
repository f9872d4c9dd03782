//! Construction of the HTTP requests to servers.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, Uri};

use crate::exchange::Payload;
use crate::upstream::CallError;

/// Header with the request's id.
const REQUEST_ID: HeaderName = HeaderName::from_static("req-id");

/// Header with the time for which the gateway still waits for the response, in seconds.
const REMAINING_TIME: HeaderName = HeaderName::from_static("req-deadline");

/// Value of the Host header of short calls, and of attempts whose client sent none.
const DEFAULT_HOST: &str = "api.internal";

/// Headers that are not forwarded because they apply to one connection only or the gateway sets them.
const NOT_FORWARDED: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::UPGRADE,
    header::TE,
    REMAINING_TIME,
    REQUEST_ID,
];

/// Builds the request of an attempt: method, path, query, body and headers as received, without Keep-Alive
/// and the headers in [`NOT_FORWARDED`]. Content-Length, the request id and a missing Host header are set
/// here. The remaining time is added immediately before the write ([`set_remaining_time`]).
pub(super) fn attempt_request(payload: &Payload) -> Request<Bytes> {
    let mut request = Request::new(payload.body.clone());
    *request.method_mut() = payload.method.clone();
    // A client may send an absolute target; an origin server expects only path and query.
    *request.uri_mut() = payload.uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
    *request.headers_mut() = attempt_headers(payload);
    request
}

fn attempt_headers(payload: &Payload) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in &payload.headers {
        if !NOT_FORWARDED.contains(name) && name.as_str() != "keep-alive" {
            headers.append(name.clone(), value.clone());
        }
    }
    let length = payload.body.len().to_string();
    let length = HeaderValue::from_str(&length).unwrap_or(HeaderValue::from_static("0"));
    headers.insert(header::CONTENT_LENGTH, length);
    if let Ok(request_id) = HeaderValue::from_str(&payload.request_id) {
        headers.insert(REQUEST_ID, request_id);
    }
    headers.entry(header::HOST).or_insert(HeaderValue::from_static(DEFAULT_HOST));
    headers
}

/// Sets the header with the time for which the gateway still waits. This is done immediately before the write because
/// connecting may take most of that time.
pub(super) fn set_remaining_time(request: &mut Request<Bytes>, remaining: Duration) {
    let seconds = HeaderValue::from_str(&format!("{:.3}", remaining.as_secs_f64()));
    request.headers_mut().extend(seconds.ok().map(|seconds| (REMAINING_TIME, seconds)));
}

fn empty_request(method: Method, path: &str) -> Result<Request<Bytes>, CallError> {
    let request = Request::builder().method(method).uri(path).header(header::HOST, DEFAULT_HOST);
    request.header(header::CONTENT_LENGTH, "0").body(Bytes::new()).map_err(|_| CallError::NotSent)
}

/// Builds a probe, which requests the load report of a server.
pub(super) fn load_request() -> Result<Request<Bytes>, CallError> {
    empty_request(Method::GET, "/status/load")
}

/// Builds a call that reserves a slot (POST) or releases the leases (DELETE) of the request with this id.
pub(super) fn lease_request(method: Method, request_id: &str) -> Result<Request<Bytes>, CallError> {
    empty_request(method, &format!("/kv/leases/{request_id}"))
}
