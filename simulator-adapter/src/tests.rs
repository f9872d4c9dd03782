//! Test of the encoding of every action.

use glenrail_router::{Action, RejectReason, RequestId, ServerId};
use glenrail_settings::server_id;
use serde_json::{json, Value};

use crate::host::RouterHost;

#[test]
fn every_action_has_its_verb_and_fields() {
    let server = server_id("10.0.0.1:80");
    let mut host = RouterHost::default();
    let start = br#"{"sim-time":1,"inbox":[{"verb":"INIT","i":4,"settings":{}},
        {"verb":"ENDPOINTS","i":4,"scope":1,"items":[{"host":"10.0.0.1:80","health":1}]}]}"#;
    host.handle_batch(start).expect("a batch");
    let id = RequestId(7);
    let cases = [
        (
            Action::Send { id, server, timeout: 2.5 },
            r#"{"verb":"PLACE","ticket":7,"host":"10.0.0.1:80","patience":2.5}"#,
        ),
        (Action::Cancel { id, attempt: 1 }, r#"{"verb":"RETRACT","ticket":7,"attempt":1}"#),
        (Action::Release { id }, r#"{"verb":"CLEAR_STATE","ticket":7}"#),
        (
            Action::Reject { id, retry_after: 9.5, reason: RejectReason::LoadShed },
            r#"{"verb":"DECLINE","ticket":7,"come-back":9.5}"#,
        ),
        (
            Action::Fail { id, reason: RejectReason::DeadlineExceeded },
            r#"{"verb":"FINISH_ERROR","ticket":7}"#,
        ),
        (Action::Migrate { id }, r#"{"verb":"REBALANCE","ticket":7}"#),
        (Action::ReserveSlot { id, server }, r#"{"verb":"RESERVE","ticket":7,"host":"10.0.0.1:80"}"#),
        (Action::Probe { server }, r#"{"verb":"POLL","host":"10.0.0.1:80"}"#),
        (Action::CloseIdle { server }, r#"{"verb":"DROP_CONNS","host":"10.0.0.1:80"}"#),
        (
            Action::SendGossip { to: None, bytes: b"hi".to_vec() },
            r#"{"verb":"SAY","addressee":"all","raw":"aGk="}"#,
        ),
        (Action::SendGossip { to: Some(2), bytes: vec![] }, r#"{"verb":"SAY","addressee":2,"raw":""}"#),
        (Action::Subscribe { on: true }, r#"{"verb":"SUBSCRIBE","want":true}"#),
        (Action::FetchList, r#"{"verb":"FETCH"}"#),
        (Action::Timer { at: 3.5, key: 8, request: None }, r#"{"verb":"WAKE_ME","due-at":3.5,"key-back":8}"#),
        (Action::Log("why".into()), r#"{"verb":"JOURNAL_LINE","words":"why"}"#),
    ];
    for (action, expected) in cases {
        let mut expected: Value = serde_json::from_str(expected).expect("JSON");
        expected["i"] = json!(4);
        assert_eq!(host.instances[&4].encode_step(4, action), Some(expected));
    }
    // An action at a server that no list contained is not encoded.
    assert_eq!(host.instances[&4].encode_step(4, Action::Probe { server: ServerId(1) }), None);
}
