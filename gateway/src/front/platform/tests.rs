//! What the headers of a request are read as.

use super::*;

fn names() -> PlatformNames {
    let classes = vec![("item-query".into(), 10_000.0), ("order-chat".into(), 12_000.0)];
    PlatformNames { classes, tenants: vec![], come_back: Duration::ZERO }
}

fn read(pairs: &[(&'static str, &'static str)]) -> Result<(String, glenrail_router::Request), String> {
    let pairs = pairs.iter().map(|(n, v)| {
        (http::HeaderName::from_bytes(n.as_bytes()).expect("a name"), HeaderValue::from_static(v))
    });
    fields(&pairs.collect(), &names())
}

#[test]
fn the_fields_of_a_request_are_read() {
    let (name, ask) = read(&[
        ("Req-Id", "9b1f03aa5c7e2d41"),
        ("Req-Kind", "order-chat"),
        ("Req-Key", "7f3a9c21e0b4d655"),
        ("Req-Deadline", "4.800"),
        ("Req-Extra", "prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800,new=x"),
    ])
    .expect("a request");
    assert_eq!((name.as_str(), ask.class, ask.client_timeout), ("9b1f03aa5c7e2d41", 1, 4800.0));
    assert_eq!((ask.session, ask.prefix), (0x7f3a_9c21_e0b4_d655, Some(0x5c0f_6e1a_2b3d_4c59)));
    assert_eq!((ask.prompt_tokens, ask.prefix_tokens, ask.max_tokens), (5120.0, 2048.0, 800.0));
}

/// Guards against a guess where a header is wrong: each fault is named.
#[test]
fn a_faulty_header_is_named() {
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
        let told = read(&pairs).expect_err(fault);
        assert!(told.starts_with(fault), "{told}");
    }
    assert_eq!(read(&[id, kind]).expect("a request").1.client_timeout, 10_000.0);
    let boast = ("Req-Extra", "prompt_len=1e300,prefix_len=65537,max_out=1e300");
    let boast = read(&[id, kind, boast]).expect("a request").1;
    assert_eq!([boast.prompt_tokens, boast.prefix_tokens, boast.max_tokens], [65_536.0; 3]);
    let patient = read(&[id, kind, ("Req-Deadline", "1e300")]).expect("a request").1;
    assert_eq!(patient.client_timeout, MOST_PATIENCE);
}

/// Guards classes and tenants whose names are not plain ASCII: a header carries their bytes.
#[test]
fn a_name_in_any_language_is_found() {
    let names = PlatformNames {
        classes: vec![("ostoskysely-äö".into(), 10_000.0)],
        tenants: vec!["ગુજરાત".into()],
        come_back: Duration::ZERO,
    };
    let value = |text: &str| HeaderValue::from_bytes(text.as_bytes()).expect("a value");
    let mut headers = HeaderMap::new();
    headers.insert("req-id", value("a1"));
    headers.insert("req-kind", value("ostoskysely-äö"));
    headers.insert("req-owner", value("ગુજરાત"));
    let (_, ask) = fields(&headers, &names).expect("a request");
    assert_eq!((ask.class, ask.tenant), (0, 0));
    headers.insert("req-kind", HeaderValue::from_bytes(b"\xff\xfe").expect("a value"));
    assert!(fields(&headers, &names).expect_err("an error").starts_with("Req-Kind"));
}

/// Guards the settings' word on when a refused client may be told to come back: whether at all, and how late at most.
#[test]
fn a_refused_client_is_told_no_more_than_the_settings_allow() {
    let told = |limits: &str, after: Duration| {
        let settings = format!("{{\"policy-limits\": {limits}}}");
        let limits = glenrail_settings::settings(&serde_json::from_str(&settings).expect("settings")).limits;
        let refusal = refusal("", after.min(PlatformNames::come_back(&limits)));
        refusal.headers().get(RETRY_AFTER).map(|v| v.to_str().expect("text").to_string())
    };
    let (allowed, much) = (
        r#"{"retry-after": true, "max-retry-after": 500}"#,
        r#"{"retry-after": true, "max-retry-after": 3000}"#,
    );
    assert_eq!(told(allowed, DOOR_FULL).as_deref(), Some("0.500"));
    assert_eq!(told(allowed, COME_BACK).as_deref(), Some("0.250"));
    assert_eq!(told(much, DOOR_FULL).as_deref(), Some("1.000"));
    assert_eq!(told(r#"{"retry-after": false, "max-retry-after": 500}"#, DOOR_FULL), None);
    assert_eq!(told("{}", COME_BACK), None);
}
