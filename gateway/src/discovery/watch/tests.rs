//! Who calls when, and how an answer is judged.

use super::*;

/// Guards discovery against a hundred gateways that start together: each draws its moment, whoever is turned away comes
/// back later, and a gateway alone, or where the list is pushed, waits for nothing.
#[test]
fn calls_are_spread_where_discovery_has_to_be_asked() {
    let settings = |v: serde_json::Value| glenrail_settings::settings(&v);
    let asked = |n: u32| {
        settings(serde_json::json!({"balancers": n, "discovery": "subscribe",
        "rules": {"ask-within": 10_000.0}}))
    };
    let begin = |n: u32, seed| super::poll_schedule(&asked(n), seed).initial_delay();
    let latest = (1..=100).map(|seed| begin(100, seed)).max().expect("a call");
    assert!((Duration::from_secs(4)..Duration::from_secs(5)).contains(&latest), "{latest:?}");
    assert!((1..=100).all(|seed| begin(2, seed) < Duration::from_millis(100)));
    assert!((1..=300).all(|seed| begin(300, seed) < Duration::from_secs(5)), "before it counts as told");
    let pushed = settings(serde_json::json!({"balancers": 100, "rules": {"ask-within": 10_000.0}}));
    assert_eq!(super::poll_schedule(&pushed, 1).initial_delay(), Duration::ZERO);
}

#[test]
fn an_answer_is_judged_by_its_status() {
    let judge = |status: u16, after: Option<&str>| {
        let mut answer = Response::builder().status(status);
        if let Some(after) = after {
            answer = answer.header(header::RETRY_AFTER, after);
        }
        judged(&answer.body(()).expect("an answer"))
    };
    assert_eq!(judge(503, None), calls::PollFailure::Throttled(None));
    assert_eq!(judge(429, Some("1.5")), calls::PollFailure::Throttled(Some(Duration::from_millis(1_500))));
    assert_eq!(judge(503, Some("-1")), calls::PollFailure::Throttled(None));
    assert_eq!(judge(500, Some("1")), calls::PollFailure::Lost);
}
