//! What is written to a server.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, Uri};

use crate::exchange::Payload;
use crate::upstream::CallError;

const REQ_ID: HeaderName = HeaderName::from_static("req-id");
const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline");

/// Method, path, query, body and headers as they came; only what belongs to one connection is left out, and the time that
/// is left ([`tell_left`]).
pub(super) fn attempt_request(payload: &Payload) -> Request<Bytes> {
    let mut headers = HeaderMap::new();
    for (name, value) in &payload.headers {
        let own = [
            header::CONNECTION,
            header::TRANSFER_ENCODING,
            header::CONTENT_LENGTH,
            header::EXPECT,
            header::UPGRADE,
            header::TE,
            REQ_DEADLINE,
            REQ_ID,
        ];
        if !own.contains(name) && name.as_str() != "keep-alive" {
            headers.append(name.clone(), value.clone());
        }
    }
    let number = |n: String| HeaderValue::from_str(&n).unwrap_or(HeaderValue::from_static("0"));
    headers.insert(header::CONTENT_LENGTH, number(payload.body.len().to_string()));
    if let Ok(name) = HeaderValue::from_str(&payload.request_id) {
        headers.insert(REQ_ID, name);
    }
    headers.entry(header::HOST).or_insert(HeaderValue::from_static("api.internal"));
    let mut request = Request::new(payload.body.clone());
    *request.method_mut() = payload.method.clone();
    // A client may name the whole target; a server that is no proxy is asked for path and query.
    *request.uri_mut() = payload.uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
    *request.headers_mut() = headers;
    request
}

/// Says how long the gateway still waits, as the request is about to be written: dialling may take most of that time.
pub(super) fn tell_left(request: &mut Request<Bytes>, left: Duration) {
    let left = HeaderValue::from_str(&format!("{:.3}", left.as_secs_f64()));
    request.headers_mut().extend(left.ok().map(|v| (REQ_DEADLINE, v)));
}

fn plain_request(method: Method, path: &str) -> Result<Request<Bytes>, CallError> {
    let request = Request::builder().method(method).uri(path).header(header::HOST, "api.internal");
    request.header(header::CONTENT_LENGTH, "0").body(Bytes::new()).map_err(|_| CallError::NotSent)
}

/// Asks a server for its load: a probe.
pub(super) fn load_request() -> Result<Request<Bytes>, CallError> {
    plain_request(Method::GET, "/status/load")
}

/// About what is held for the request of this name.
pub(super) fn lease_request(method: Method, name: &str) -> Result<Request<Bytes>, CallError> {
    plain_request(method, &format!("/kv/leases/{name}"))
}
