//! Outlier detection: failing servers are temporarily ejected, and the panic threshold limits the number of
//! ejections.

mod common;

use common::*;
use glenrail_router::*;

#[test]
fn an_unreachable_server_is_skipped_by_table_and_hash_and_tried_again_later() {
    let mut router = TestRouter::with_defaults();
    let preferred = router.prefill_server_for(sample_request(1));
    router.outcome(1, 0, preferred, AttemptStatus::Prefilled);
    router.prefill_server_for(sample_request(2));
    let second = sent_to(&router.outcome(2, 0, preferred, AttemptStatus::ConnectFailed)).expect("a retry");
    let third = router.at_time(10.0).prefill_server_for(sample_request(3));
    assert!(second != preferred && third != preferred);
    for (id, attempt, server) in [(2, 1, second), (3, 0, third)] {
        router.disconnect(id);
        router.outcome(id, attempt, server, AttemptStatus::Prefilled);
    }
    let mut later = Vec::new();
    for id in 10..60 {
        let now = router.now + 100.0;
        let server = router.at_time(now).prefill_server_for(request_with_prefix(id, id));
        router.disconnect(id);
        router.outcome(id, 0, server, AttemptStatus::Prefilled);
        later.push(server);
    }
    assert!(later.contains(&preferred), "the server received no trial traffic");
}

#[test]
fn one_error_ejects_and_one_broken_connection_is_tolerated() {
    for (status, ejects) in [(AttemptStatus::Error, true), (AttemptStatus::Reset, false)] {
        let mut router = TestRouter::with_defaults();
        router.send_mixed_traffic();
        let preferred = router.prefill_server_for(sample_request(1));
        router.outcome(1, 0, preferred, status);
        assert_eq!(router.prefill_server_for(sample_request(2)) != preferred, ejects, "{status:?}");
    }
}

/// Guards against the ejection of healthy servers: any server occasionally sends a malformed response, so
/// only several consecutive ones indicate a faulty server.
#[test]
fn malformed_responses_eject_only_a_server_that_gives_no_other() {
    let mut router = TestRouter::with_defaults();
    let mut first_ejection = |ids: std::ops::Range<u64>, is_malformed: &dyn Fn(u64, u64) -> bool| {
        let mut ejected = None;
        for id in ids {
            let server = router.prefill_server_for(request_with_prefix(id, id));
            let status = match is_malformed(id, server) {
                true => AttemptStatus::MalformedResponse,
                false => AttemptStatus::Prefilled,
            };
            router.disconnect(id);
            let actions = router.outcome(id, 0, server, status);
            ejected = ejected.or(logs(&actions, "ejection").then_some(id));
        }
        ejected
    };
    assert_eq!(first_ejection(1..200, &|id, _| id % 8 == 0), None);
    let ejected = first_ejection(200..300, &|_, server| server == PREFILL_SERVERS[0]).expect("an ejection");
    assert!(ejected >= 203, "after {ejected}");
}

#[test]
fn the_panic_threshold_keeps_all_servers_when_most_fail() {
    let mut router = TestRouter::with_defaults();
    let mut panicked = false;
    for id in 1..=40 {
        let actions = router.submit(request_with_prefix(id, id));
        panicked |= logs(&actions, "panic threshold");
        let server = sent_to(&actions).expect("a request is sent although all servers fail");
        router.disconnect(id);
        router.outcome(id, 0, server, AttemptStatus::Error);
    }
    assert!(panicked);
}

/// Returns how many of thirty requests are decoded at server 21, which reports that it is full, while the
/// others report that they are half full.
fn decoded_at_full_server(router: &mut TestRouter, first_id: u64) -> u32 {
    let mut at_full_server = 0;
    for id in first_id..first_id + 30 {
        let prefill_server = router.prefill_server_for(sample_request(id));
        let decode_server = router.decode_server_after(id, prefill_server);
        at_full_server += u32::from(decode_server == 21);
        let memory_share = if decode_server == 21 { 0.95 } else { 0.5 };
        router.outcome_with(id, 1, decode_server, AttemptStatus::Served, 0.0, Some(memory_share));
    }
    at_full_server
}

/// Guards against a restarted server that inherits the load and the failures of its previous process.
#[test]
fn a_restarted_server_does_not_inherit_load_or_failures() {
    let mut router = TestRouter::with_defaults();
    router.at_time(30_000.0);
    decoded_at_full_server(&mut router, 1);
    assert_eq!(decoded_at_full_server(&mut router, 100), 0, "a full decode server received requests");
    router.probe_answer(21, None);
    let restarted = ServerEntry { started: Some(15_000.0), ..server_entry(21, DECODE, 0) };
    router.update_servers(ListUpdate::Delta, vec![restarted]);
    assert!(decoded_at_full_server(&mut router, 200) > 0);
    let draining = ServerEntry { state: ServerState::Draining, ..server_entry(22, DECODE, 1) };
    router.update_servers(ListUpdate::Delta, vec![draining]);
    assert!(
        router.inner.is_out_of_rotation(ServerId(22))
            && !router.inner.is_out_of_rotation(ServerId(21))
            && !router.inner.is_out_of_rotation(ServerId(99))
    );
}
