//! Load shedding: requests that will probably be late are rejected immediately, and first those of tenants
//! that exceed their quota.

mod common;

use common::*;
use glenrail_router::*;

#[test]
fn a_request_that_cannot_be_in_time_is_rejected_at_once() {
    let mut router = TestRouter::with_defaults();
    let preferred = router.prefill_server_for(sample_request(1));
    // All prefill servers have made no progress for much longer than the objective.
    for id in 3..33 {
        router.submit(request_with_prefix(id, id));
    }
    router.at_time(3_500.0);
    let rejections = (100..140).filter(|id| is_rejected(&router.submit(sample_request(*id)))).count();
    assert!(preferred > 0 && rejections > 30, "only {rejections} of 40 rejected");
}

#[test]
fn tenants_over_their_quota_are_shed_first() {
    let tenants = vec![Tenant { allowance_per_s: 2.0 }, Tenant { allowance_per_s: 1e6 }];
    let mut router = TestRouter::new(Settings { tenants, ..settings() }, sample_servers());
    for id in 1..13 {
        // Tenant 0 has used up its quota.
        router.submit(Request { tenant: u32::from(id > 5), ..request_with_prefix(id, id) });
    }
    router.at_time(450.0);
    let mut rejections = [0, 0];
    for id in 100..120 {
        let tenant = (id % 2) as usize;
        let actions = router.submit(Request { tenant: tenant as u32, ..sample_request(id) });
        rejections[tenant] += u32::from(is_rejected(&actions));
    }
    assert!(rejections[0] > rejections[1] + 5, "{rejections:?}");
}

/// Completes a request whose prefill takes `elapsed`, and returns its prefill server.
fn serve_with_prefill_time(router: &mut TestRouter, id: u64, elapsed: Millis) -> u64 {
    let request = Request { client_timeout: 20_000.0, ..request_with_prefix(id, id / 10) };
    let prefill_server = router.prefill_server_for(request);
    router.now += elapsed;
    let decode_server =
        sent_to(&router.prefilled_after(id, prefill_server, elapsed)).expect("a decode server");
    router.outcome(id, 1, decode_server, AttemptStatus::Served);
    router.now += 5_000.0;
    prefill_server
}

/// Guards against a server that receives no more requests after one slow prefill: the prefill had waited in
/// the queue, and one of many routers has only one or two measurements of the server.
#[test]
fn one_prefill_that_waited_does_not_cause_rejections_at_an_idle_server() {
    let mut router = TestRouter::in_large_fleet();
    let slow_server = serve_with_prefill_time(&mut router, 100, 6_000.0);
    for id in (0..20).map(|n| n * 10).filter(|id| *id != 100) {
        let probed = probed_servers(&router.submit(request_with_prefix(id + 1, id / 10)));
        let preferred = probed.first().copied();
        router.disconnect(id + 1);
        if preferred.is_some_and(|server| server != slow_server) {
            serve_with_prefill_time(&mut router, id, 100.0);
        }
    }
    let mut returned = 0;
    for id in 101..109 {
        router.now += 3_000.0;
        let actions = router.submit_to_idle(request_with_prefix(id, id / 10));
        assert!(!is_rejected(&actions), "rejected although the server is idle: {actions:?}");
        let server = sent_to(&actions).expect("a prefill");
        returned += usize::from(server == slow_server);
        let decode_server = router.decode_server_after(id, server);
        router.outcome(id, 1, decode_server, AttemptStatus::Served);
    }
    assert!(returned > 0, "no request was sent to the server with the slow prefill again");
}

/// Guards against late requests if all prefill servers have too many requests in flight: each router detects
/// this by their load reports, before its own requests have waited there.
#[test]
fn a_request_late_by_every_load_report_is_rejected_at_once() {
    let mut rejections = [0; 2];
    for (case, load) in [1.0, 60.0].into_iter().enumerate() {
        let mut router = TestRouter::in_large_fleet();
        for id in 0..30 {
            let actions = router.submit(request_with_prefix(id, id));
            let load = if id < 10 { 0.0 } else { load };
            let actions = router.answer_probes_with_load(actions, load);
            if let Some(prefill_server) = sent_to(&actions) {
                let decode_server = router.decode_server_after(id, prefill_server);
                router.outcome(id, 1, decode_server, AttemptStatus::Served);
            }
            rejections[case] += usize::from(is_rejected(&actions));
            router.now += 2_000.0;
        }
    }
    assert!(rejections[0] == 0 && rejections[1] > 10, "with one and with sixty in flight: {rejections:?}");
}

#[test]
fn waits_at_some_decode_servers_are_assumed_for_the_others() {
    let mut router = TestRouter::in_large_fleet();
    // First tokens take 1.5 s at every decode server, and the router uses each of them only every few
    // seconds.
    let mut rejections = 0;
    for id in 0..30 {
        router.now = id as f64 * 1_500.0;
        let Some(prefill_server) = sent_to(&router.submit(request_with_prefix(id, id))) else {
            rejections += 1;
            continue;
        };
        let decode_server = router.decode_server_after(id, prefill_server);
        router.first_token(id, 1, decode_server, 1_500.0);
        router.outcome(id, 1, decode_server, AttemptStatus::Served);
    }
    assert!(rejections >= 5, "{rejections} of 30 rejected");
}

#[test]
fn a_tenant_within_its_quota_is_not_shed_because_of_random_variation() {
    // The allowance is 60 requests per second over all routers. With one request per 4 s, 200 routers receive
    // 50 per second, and with one per 400 ms they receive 500.
    let mut rejections = [0; 2];
    for (case, interval) in [4_000.0, 400.0].into_iter().enumerate() {
        for seed in 1..=20 {
            let tenants = vec![Tenant { allowance_per_s: 60.0 }];
            let settings = Settings { router_count: 200, tenants, ..settings() };
            let mut router = TestRouter::seeded(seed, settings, sample_servers());
            for id in 0..40 {
                router.now = id as f64 * interval;
                let actions = router.submit_to_idle(request_with_prefix(id, id));
                let Some(prefill_server) = sent_to(&actions) else {
                    rejections[case] += 1;
                    continue;
                };
                let decode_server = router.decode_server_after(id, prefill_server);
                router.first_token(id, 1, decode_server, 560.0);
                router.outcome(id, 1, decode_server, AttemptStatus::Served);
            }
        }
    }
    assert!(rejections[0] == 0 && rejections[1] > 20, "within, over: {rejections:?}");
}
