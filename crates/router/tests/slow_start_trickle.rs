//! Slow start of a single server, which receives only a few requests at first and never a burst. `slow_start`
//! tests whole fleets.

mod common;

use common::*;
use glenrail_router::*;

#[test]
fn a_starting_server_gets_a_trickle_not_a_burst() {
    let mut router = TestRouter::with_defaults();
    let starting = ServerEntry { started: Some(900.0), ..server_entry(14, PREFILL, 0) };
    router.at_time(1_000.0).update_servers(ListUpdate::Delta, vec![starting]);
    let mut sent_to_starting = 0;
    for id in 0..200 {
        router.now = 1_000.0 + id as f64 * 10.0;
        if let Some(server) = sent_to(&router.submit(request_with_prefix(id, id))) {
            sent_to_starting += u32::from(server == 14);
            router.outcome(id, 0, server, AttemptStatus::Prefilled);
        }
        router.disconnect(id);
    }
    assert!((1..=20).contains(&sent_to_starting), "{sent_to_starting} of 200 requests");
}

/// Guards against a burst from 200 routers that cannot probe the starting server for their total load.
/// `large_fleet` tests routers that can.
#[test]
fn all_routers_together_send_a_starting_server_only_a_trickle() {
    let mut sent_to_starting = 0;
    let limits = Limits { probes: false, ..settings().limits };
    let settings = Settings { router_count: 200, limits, ..settings() };
    for index in 0..200 {
        let mut router = TestRouter::seeded(index, settings.clone(), sample_servers());
        let starting = ServerEntry { started: Some(900.0), ..server_entry(14, PREFILL, 0) };
        router.at_time(1_000.0).update_servers(ListUpdate::Delta, vec![starting]);
        for id in 0..5 {
            router.now = 1_000.0 + id as f64 * 1_000.0;
            let server = sent_to(&router.submit_to_idle(request_with_prefix(id, index * 5 + id)));
            sent_to_starting += u32::from(server == Some(14));
            router.disconnect(id);
        }
    }
    assert!((1..=20).contains(&sent_to_starting), "{sent_to_starting} of 1000 requests in 5 s");
}

#[test]
fn a_starting_server_alone_in_its_role_gets_no_burst() {
    // The other mixed servers drain. Their completions must still be divided by their capacity.
    let mut servers = vec![server_entry(31, MIXED, 0), server_entry(32, MIXED, 0)];
    let mut router = TestRouter::new(settings(), servers.clone());
    for id in 0..200 {
        router.now = id as f64 * 50.0;
        let Some(server) = sent_to(&router.submit(request_with_prefix(id, id))) else { continue };
        if id == 150 {
            servers.iter_mut().for_each(|entry| entry.state = ServerState::Draining);
            router.update_servers(ListUpdate::Delta, servers.clone());
        }
        router.first_token(id, 0, server, 20.0);
        router.outcome(id, 0, server, AttemptStatus::Served);
    }
    let starting = ServerEntry { started: Some(router.now), ..server_entry(33, MIXED, 0) };
    router.update_servers(ListUpdate::Delta, vec![starting]);
    let started_at = router.now;
    let mut sends = 0;
    for id in 200..300 {
        router.now = started_at + (id - 200) as f64 * 15.0;
        sends += u32::from(sent_to(&router.submit(request_with_prefix(id, id))) == Some(33));
    }
    // Each of the two servers completed 10 requests per second. At a share of 0.3, three times that in 1.5 s
    // is 13.
    assert!((1..=13).contains(&sends), "{sends} sends in 1.5 s");
}
