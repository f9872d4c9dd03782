//! Tests of reading the headers of a request, and of `Retry-After`.

use std::time::Duration;

use glenrail_router::Request;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, HeaderValue};

use super::fields::{read_fields, FieldError, Fields};
use super::{rejection, PlatformSettings, DEFAULT_RETRY_AFTER, OVER_CAP_RETRY_AFTER};

/// Maximum deadline of a request in ms.
const MAX_CLIENT_TIMEOUT: f64 = 60_000.0;

fn names() -> PlatformSettings {
    let classes = vec![("item-query".into(), 10_000.0), ("order-chat".into(), 12_000.0)];
    PlatformSettings { classes, tenants: vec![], max_retry_after: Duration::ZERO }
}

fn read(pairs: &[(&'static str, &'static str)]) -> Result<Fields, FieldError> {
    let header = |(name, value): &(&'static str, &'static str)| {
        (HeaderName::from_bytes(name.as_bytes()).expect("a name"), HeaderValue::from_static(value))
    };
    read_fields(&pairs.iter().map(header).collect(), &names())
}

fn routing(pairs: &[(&'static str, &'static str)]) -> Request {
    read(pairs).expect("a request").routing
}

#[test]
fn fields_of_a_request_are_read() {
    let Fields { request_id, routing } = read(&[
        ("Req-Id", "9b1f03aa5c7e2d41"),
        ("Req-Kind", "order-chat"),
        ("Req-Key", "7f3a9c21e0b4d655"),
        ("Req-Deadline", "4.800"),
        ("Req-Extra", "prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800,new=x"),
    ])
    .expect("a request");
    assert_eq!((request_id.as_str(), routing.class, routing.client_timeout), ("9b1f03aa5c7e2d41", 1, 4800.0));
    assert_eq!((routing.session, routing.prefix), (0x7f3a_9c21_e0b4_d655, Some(0x5c0f_6e1a_2b3d_4c59)));
    assert_eq!((routing.prompt_tokens, routing.prefix_tokens, routing.max_tokens), (5120.0, 2048.0, 800.0));
}

/// Guards against accepting an invalid header with a guessed value: the error names the header. Values above
/// the maximum are reduced to it.
#[test]
fn invalid_header_is_named_in_the_error() {
    let id = ("Req-Id", "a1");
    let kind = ("Req-Kind", "item-query");
    for (pairs, fault) in [
        (vec![kind], "Req-Id"),
        (vec![("Req-Id", "a/../b"), kind], "Req-Id"),
        (vec![id], "Req-Kind"),
        (vec![id, ("Req-Kind", "other")], "Req-Kind"),
        (vec![id, kind, ("Req-Deadline", "-1")], "Req-Deadline"),
        (vec![id, kind, ("Req-Deadline", "soon")], "Req-Deadline"),
        (vec![id, kind, ("Req-Deadline", "inf")], "Req-Deadline"),
        (vec![id, kind, ("Req-Deadline", "4"), ("Req-Deadline", "5")], "Req-Deadline"),
        (vec![id, ("Req-Id", "a2"), kind], "Req-Id"),
        (vec![id, kind, kind], "Req-Kind"),
        (vec![id, kind, ("Req-Owner", "nobody")], "Req-Owner"),
        (vec![id, kind, ("Req-Extra", "prompt_len")], "Req-Extra"),
        (vec![id, kind, ("Req-Extra", "prompt_len=NaN")], "Req-Extra"),
    ] {
        let error = read(&pairs).expect_err(fault).to_string();
        assert!(error.starts_with(fault), "{error}");
    }
    assert_eq!(routing(&[id, kind]).client_timeout, 10_000.0);
    let excessive = ("Req-Extra", "prompt_len=1e300,prefix_len=65537,max_out=1e300");
    let excessive = routing(&[id, kind, excessive]);
    assert_eq!([excessive.prompt_tokens, excessive.prefix_tokens, excessive.max_tokens], [65_536.0; 3]);
    let patient = routing(&[id, kind, ("Req-Deadline", "1e300")]);
    assert_eq!(patient.client_timeout, MAX_CLIENT_TIMEOUT);
}

/// Names of classes and tenants may contain non-ASCII characters, which a header transmits as UTF-8 bytes.
#[test]
fn names_that_are_not_ascii_are_found() {
    let names = PlatformSettings {
        classes: vec![("ostoskysely-äö".into(), 10_000.0)],
        tenants: vec!["ગુજરાત".into()],
        max_retry_after: Duration::ZERO,
    };
    let value = |text: &str| HeaderValue::from_bytes(text.as_bytes()).expect("a value");
    let mut headers = HeaderMap::new();
    headers.insert("req-id", value("a1"));
    headers.insert("req-kind", value("ostoskysely-äö"));
    headers.insert("req-owner", value("ગુજરાત"));
    let routing = read_fields(&headers, &names).expect("a request").routing;
    assert_eq!((routing.class, routing.tenant), (0, 0));
    headers.insert("req-kind", HeaderValue::from_bytes(b"\xff\xfe").expect("a value"));
    let error = read_fields(&headers, &names).expect_err("an error").to_string();
    assert!(error.starts_with("Req-Kind"), "{error}");
}

/// The settings determine whether a rejection has a `Retry-After`, and its maximum.
#[test]
fn retry_after_follows_the_settings() {
    let retry_after = |limits: &str, after: Duration| {
        let settings = format!("{{\"policy-limits\": {limits}}}");
        let limits =
            glenrail_settings::parse_settings(&serde_json::from_str(&settings).expect("settings")).limits;
        let rejection = rejection("", after.min(PlatformSettings::max_retry_after(&limits)));
        rejection.headers().get(RETRY_AFTER).map(|value| value.to_str().expect("text").to_string())
    };
    let (allowed, much) = (
        r#"{"retry-after": true, "max-retry-after": 500}"#,
        r#"{"retry-after": true, "max-retry-after": 3000}"#,
    );
    assert_eq!(retry_after(allowed, OVER_CAP_RETRY_AFTER).as_deref(), Some("0.500"));
    assert_eq!(retry_after(allowed, DEFAULT_RETRY_AFTER).as_deref(), Some("0.250"));
    assert_eq!(retry_after(much, OVER_CAP_RETRY_AFTER).as_deref(), Some("1.000"));
    assert_eq!(retry_after(r#"{"retry-after": false, "max-retry-after": 500}"#, OVER_CAP_RETRY_AFTER), None);
    assert_eq!(retry_after("{}", DEFAULT_RETRY_AFTER), None);
}
