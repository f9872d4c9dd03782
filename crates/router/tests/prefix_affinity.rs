//! Prefix affinity: requests are sent to the prefill server that has their session or shared prefix cached.

mod common;

use std::collections::BTreeSet;

use common::*;
use glenrail_router::*;

#[test]
fn a_shared_prefix_goes_to_the_server_that_has_it_cached() {
    let mut router = TestRouter::with_defaults();
    let preferred = router.prefill_server_for(sample_request(1));
    router.outcome(1, 0, preferred, AttemptStatus::Prefilled);
    assert_eq!(router.at_time(10.0).prefill_server_for(sample_request(2)), preferred);
}

#[test]
fn a_session_takes_precedence_over_its_prefix() {
    let mut router = TestRouter::with_defaults();
    let preferred = router.prefill_server_for(sample_request(1));
    router.outcome(1, 0, preferred, AttemptStatus::Prefilled);
    // A request with a prefix that hashes to another server.
    let other = (8..100)
        .map(|id| request_with_prefix(id, id))
        .find(|request| router.prefill_server_for(request.clone()) != preferred)
        .expect("some prefix hashes elsewhere");
    let same_session = Request { session: 1_001, id: RequestId(500), ..other };
    assert_eq!(router.prefill_server_for(same_session), preferred);
}

#[test]
fn table_entries_expire_after_thirty_seconds() {
    // The first prefill failed at the server that the prefix hashes to, so the table contains another server.
    let mut router = TestRouter::with_defaults();
    let hashed = router.prefill_server_for(sample_request(1));
    let second = sent_to(&router.outcome(1, 0, hashed, AttemptStatus::Rejected)).expect("a retry");
    assert_ne!(second, hashed);
    router.outcome(1, 1, second, AttemptStatus::Prefilled);
    assert_eq!(router.at_time(29_000.0).prefill_server_for(sample_request(2)), second);
    assert_eq!(router.at_time(31_000.0).prefill_server_for(sample_request(3)), hashed);
}

#[test]
fn hashing_is_the_same_at_every_router_and_moves_only_the_keys_of_a_removed_server() {
    let preferred_servers = |servers: Vec<ServerEntry>, router_index: u32| -> Vec<u64> {
        let mut router = TestRouter::new(Settings { router_index, ..settings() }, servers);
        let mut preferred_servers = Vec::new();
        for id in 0..60 {
            let server = router.prefill_server_for(request_with_prefix(id, id));
            router.disconnect(id);
            router.outcome(id, 0, server, AttemptStatus::Cancelled);
            preferred_servers.push(server);
        }
        preferred_servers
    };
    let complete = preferred_servers(sample_servers(), 0);
    assert_eq!(complete, preferred_servers(sample_servers(), 1));
    let remaining: Vec<ServerEntry> =
        sample_servers().into_iter().filter(|entry| entry.server.0 != 12).collect();
    for (before, after) in complete.iter().zip(preferred_servers(remaining, 0)) {
        assert!(*before == 12 || *before == after);
    }
    assert!(PREFILL_SERVERS.iter().all(|id| complete.contains(id)));
}

#[test]
fn a_mixed_server_gets_its_share_of_all_requests() {
    let mut servers = sample_servers();
    servers.push(server_entry(31, MIXED, 0));
    let mut router = TestRouter::new(settings(), servers);
    let mut at_mixed = 0;
    for id in 0..300 {
        let server = router.prefill_server_for(request_with_prefix(id, id));
        at_mixed += u32::from(server == 31);
        router.disconnect(id);
        router.outcome(id, 0, server, AttemptStatus::Cancelled);
    }
    assert!((20..=70).contains(&at_mixed), "a seventh of 300 is 43, got {at_mixed}");
}

#[test]
fn a_session_served_at_a_mixed_server_returns_to_it() {
    let mut servers = sample_servers();
    servers.push(server_entry(31, MIXED, 0));
    let mut router = TestRouter::new(settings(), servers);
    let id = (1..90)
        .find(|id| router.prefill_server_for(request_with_prefix(*id, *id)) == 31)
        .expect("some prefix hashes to the mixed server");
    router.first_token(id, 0, 31, 9.0);
    router.outcome(id, 0, 31, AttemptStatus::Served);
    // The prefix is new, so only the table entry of the session selects the mixed server.
    let same_session = Request { session: 1_000 + id, ..request_with_prefix(900, 5_000) };
    assert_eq!(router.prefill_server_for(same_session), 31);
}

#[test]
fn a_full_table_drops_its_least_recently_used_entries() {
    let mut router = TestRouter::with_defaults();
    router.send_mixed_traffic();
    let hashed = router.prefill_server_for(sample_request(1));
    let second = sent_to(&router.outcome(1, 0, hashed, AttemptStatus::Rejected)).expect("a retry");
    router.outcome(1, 1, second, AttemptStatus::Prefilled);
    assert_eq!(router.prefill_server_for(sample_request(2)), second);
    router.disconnect(2);
    router.outcome(2, 0, second, AttemptStatus::Cancelled);
    for id in 10..26_000 {
        let server = router.prefill_server_for(request_with_prefix(id, id));
        router.disconnect(id);
        router.outcome_with(id, 0, server, AttemptStatus::Prefilled, 1.0, None);
    }
    let server = router.prefill_server_for(sample_request(3));
    assert_eq!(server, hashed, "50,000 newer entries have evicted it");
}

#[test]
fn a_popular_prefix_has_several_preferred_servers_and_a_session_stays_at_one() {
    let mut router = TestRouter::in_large_fleet();
    let mut preferred_servers = BTreeSet::new();
    let mut returned = 0;
    for id in 0..60 {
        let session = 500 + id / 2;
        router.now = id as f64 * 1_000.0;
        let server = router.prefill_server_for(Request { session, ..sample_request(id) });
        returned += u32::from(id % 2 == 1 && !preferred_servers.insert(server));
        preferred_servers.insert(server);
        let actions = router.outcome_with(id, 0, server, AttemptStatus::Prefilled, 1.0, None);
        let decode_server = sent_to(&actions).expect("a decode server");
        router.outcome(id, 1, decode_server, AttemptStatus::Served);
    }
    assert!(
        preferred_servers.len() > 1 && returned > 20,
        "{preferred_servers:?}, {returned} sessions returned to their server"
    );
}

#[test]
fn a_prefill_elsewhere_does_not_move_the_entry_of_a_prefix() {
    let mut router = TestRouter::with_defaults();
    router.send_mixed_traffic();
    let preferred = router.prefill_server_for(sample_request(1));
    router.outcome_with(1, 0, preferred, AttemptStatus::Prefilled, 1.0, None);
    let server = sent_to(&router.submit(sample_request(2)))
        .filter(|to| *to == preferred)
        .expect("the entry has not expired");
    let second = sent_to(&router.outcome(2, 0, server, AttemptStatus::Rejected)).expect("a retry");
    router.outcome_with(2, 1, second, AttemptStatus::Prefilled, 1.0, None);
    assert_ne!(second, preferred);
    assert_eq!(router.prefill_server_for(sample_request(3)), preferred);
}
