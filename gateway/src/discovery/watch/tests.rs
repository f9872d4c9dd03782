//! Tests of the delay of the first poll and of the classification of response statuses.

use std::time::Duration;

use glenrail_request_lifecycle::discovery_polling::PollFailure;
use http::{header, Response};

use super::error::status_failure;
use super::poll_schedule;

/// Guards discovery against a burst of polls from 100 gateways that start together: each draws a random delay. The
/// first poll is nearly immediate with few gateways, and immediate if discovery pushes its list.
#[test]
fn first_polls_are_spread_where_discovery_is_polled() {
    let settings = |v: serde_json::Value| glenrail_settings::parse_settings(&v);
    let polled = |gateways: u32| {
        settings(serde_json::json!({"balancers": gateways, "discovery": "subscribe",
        "rules": {"ask-within": 10_000.0}}))
    };
    let initial_delay = |gateways: u32, seed| poll_schedule(&polled(gateways), seed).initial_delay();
    let latest = (1..=100).map(|seed| initial_delay(100, seed)).max().expect("a poll");
    assert!((Duration::from_secs(4)..Duration::from_secs(5)).contains(&latest), "{latest:?}");
    assert!((1..=100).all(|seed| initial_delay(2, seed) < Duration::from_millis(100)));
    assert!(
        (1..=300).all(|seed| initial_delay(300, seed) < Duration::from_secs(5)),
        "before it counts as told"
    );
    let pushed = settings(serde_json::json!({"balancers": 100, "rules": {"ask-within": 10_000.0}}));
    assert_eq!(poll_schedule(&pushed, 1).initial_delay(), Duration::ZERO);
}

#[test]
fn a_429_or_503_throttles_and_any_other_status_is_a_lost_poll() {
    let failure = |status: u16, retry_after: Option<&str>| {
        let mut response = Response::builder().status(status);
        if let Some(retry_after) = retry_after {
            response = response.header(header::RETRY_AFTER, retry_after);
        }
        status_failure(&response.body(()).expect("a response"))
    };
    assert_eq!(failure(503, None), PollFailure::Throttled(None));
    assert_eq!(failure(429, Some("1.5")), PollFailure::Throttled(Some(Duration::from_millis(1_500))));
    assert_eq!(failure(503, Some("-1")), PollFailure::Throttled(None));
    assert_eq!(failure(500, Some("1")), PollFailure::Lost);
}
