//! Overload diversion: an overloaded preferred server is skipped, based on a router's own counts in a small
//! fleet and on load probes in a large one.

mod common;

use common::*;
use glenrail_router::*;

#[test]
fn an_overloaded_preferred_server_is_passed_over_for_the_least_loaded() {
    let mut router = TestRouter::with_defaults();
    let preferred = router.prefill_server_for(sample_request(1));
    // With a floor of 8 for two routers, the preferred server is used up to an own count of 4. A count of 5
    // exceeds the median by more than 4.
    assert_eq!(router.prefill_server_for(sample_request(2)), preferred);
    assert!((3..=6).any(|id| router.prefill_server_for(sample_request(id)) != preferred));
}

/// Guards against too many probes over the whole fleet: their number is proportional to that of the requests,
/// even if servers send no load reports for a long time.
#[test]
fn the_number_of_probes_is_limited_by_that_of_requests() {
    for (mut router, max_probes) in [(TestRouter::in_large_fleet(), 60), (TestRouter::with_defaults(), 22)] {
        let mut probes = 0;
        for second in 1..=20 {
            let start = second as f64 * 1_000.0;
            let actions = router.at_time(start).submit_to_idle(sample_request(second));
            probes += probed_servers(&actions).len();
            router.disconnect(second);
            for tick in 0..10 {
                let actions = router.at_time(start + tick as f64 * 100.0).run_housekeeping();
                probes += probed_servers(&actions).len();
            }
        }
        assert!((10..=max_probes).contains(&probes), "{probes} probes for 20 requests and 6 servers");
    }
}

/// Guards against the overload of a preferred server in a large fleet, which can be detected only by its load
/// report and not by the counts of any single router.
#[test]
fn in_a_large_fleet_a_preferred_server_is_probed_and_passed_over_when_overloaded() {
    let mut router = TestRouter::in_large_fleet();
    let first = router.submit(sample_request(1));
    let [preferred] = probed_servers(&first)[..] else { panic!("one probe: {first:?}") };
    assert_eq!(sent_to(&first), None, "sent before the answer to the probe");
    let second = router.report_load(preferred, 50.0);
    let next = probed_servers(&second).first().copied().expect("probes of all others");
    assert_eq!(sent_to(&router.report_load(next, 1.0)), Some(next));
    // All routers divert to the same next server.
    let settings = Settings { router_count: 200, ..settings() };
    let mut other = TestRouter::seeded(77, settings, sample_servers());
    assert_eq!(probed_servers(&other.submit(sample_request(1))), [preferred]);
    assert_eq!(probed_servers(&other.report_load(preferred, 50.0)).first(), Some(&next));
}

/// Guards against a request that waits for the report of a server that is terminated, unreachable or too busy
/// to respond.
#[test]
fn a_server_that_does_not_answer_a_probe_is_passed_over() {
    let mut router = TestRouter::in_large_fleet();
    let [preferred] = probed_servers(&router.submit(sample_request(1)))[..] else { panic!("one probe") };
    let mut actions = Vec::new();
    for step in 1..=20 {
        let now = f64::from(step) * 20.0;
        actions.extend(router.at_time(now).fire_timer(step_timer(1)));
        if let [next, last] = probed_servers(&actions)[..] {
            assert!(next != preferred && now <= 200.0, "after {now} ms to {next}");
            assert_eq!(
                sent_to(&router.report_load(last, 0.0)),
                None,
                "sent before the next server in order has answered"
            );
            let (server, status) = (ServerId(next), AttemptStatus::ConnectFailed);
            let third = router.handle(Event::ProbeResult { server, status, elapsed: 1.0, report: None });
            assert_eq!(sent_to(&third), Some(last), "an unreachable server is skipped at once");
            return;
        }
    }
    panic!("still waiting after 400 ms: {actions:?}");
}
