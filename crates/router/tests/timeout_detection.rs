//! Outlier detection by time-out: distinguishes unresponsive servers from busy ones, and detects lost
//! attempts.

mod common;

use common::*;
use glenrail_router::*;

/// Class of [`router_with_known_service_time`] whose objective permits a wait behind a long prompt.
const LONG_OBJECTIVE: u32 = 1;

/// Returns one of `router_count` routers, which has measured a prefill time of 0.1 ms per token.
fn router_with_known_service_time(router_count: u32) -> TestRouter {
    let mut settings = Settings { router_count, ..settings() };
    settings.classes.iter_mut().for_each(|class| class.latency_objective_per_1000_tokens = 200.0);
    settings.classes[LONG_OBJECTIVE as usize].latency_objective = 10_000.0;
    let mut router = TestRouter::new(settings, sample_servers());
    for id in 100..140 {
        router.at_time(router.now + 300.0);
        let prefill_server = router.prefill_server_for(sample_request(id));
        let actions = router.prefilled_after(id, prefill_server, 250.0);
        router.disconnect(id);
        let decode_server = sent_to(&actions).expect("a decode server");
        router.outcome(id, 1, decode_server, AttemptStatus::Cancelled);
    }
    router
}

/// Returns the time from now until the first attempt of a request is cancelled, or `None` if that takes
/// longer than `within` milliseconds.
fn cancelled_after(router: &mut TestRouter, id: u64, within: u32) -> Option<Millis> {
    let start = router.now;
    let cancel = Action::Cancel { id: RequestId(id), attempt: 0 };
    let mut ticks = (1..within / 100).map(|tick| f64::from(tick) * 100.0);
    ticks.find(|elapsed| router.at_time(start + elapsed).run_housekeeping().contains(&cancel))
}

/// Guards against the repeated cancellation of a long prefill: the server processes it for longer than the
/// time-out for progress, and the retry at another server would take just as long.
#[test]
fn a_long_prefill_is_not_cancelled_while_it_runs() {
    for router_count in [2, 300] {
        let mut router = router_with_known_service_time(router_count);
        let long =
            Request { prompt_tokens: 40_000.0, prefix: None, client_timeout: 20_000.0, ..sample_request(1) };
        router.prefill_server_for(long);
        let elapsed = cancelled_after(&mut router, 1, 20_000).expect("a hung server is still detected");
        assert!(
            (8_000.0..14_000.0).contains(&elapsed),
            "{router_count} routers: cancelled after {elapsed} ms"
        );
    }
}

/// Guards against the cancellation of a long prefill because of a short prompt that waits behind it. Prefills
/// run sequentially, so this does not indicate a hung server.
#[test]
fn a_short_prompt_behind_a_long_prefill_does_not_have_it_cancelled() {
    let mut router = router_with_known_service_time(300);
    let long =
        Request { prompt_tokens: 40_000.0, prefix: None, client_timeout: 20_000.0, ..sample_request(1) };
    let server = router.prefill_server_for(long.clone());
    router.at_time(router.now + 10.0);
    let short = Request { id: RequestId(2), prompt_tokens: 500.0, class: LONG_OBJECTIVE, ..long };
    assert_eq!(router.prefill_server_for(short), server, "the session stays at its server");
    let elapsed = cancelled_after(&mut router, 1, 20_000).expect("a hung server is still detected");
    assert!(elapsed > 8_000.0, "cancelled after {elapsed} ms");
}

/// Guards against a lost request that is mistaken for a long queue: a prefill that later ones overtake is
/// cancelled and retried at another server, also for a non-idempotent request, and its server is not ejected.
#[test]
fn an_overtaken_prefill_is_cancelled_and_its_server_is_not_ejected() {
    for class in [IDEMPOTENT, NON_IDEMPOTENT] {
        let mut router = TestRouter::with_defaults();
        let preferred = router.prefill_server_for(Request { class, ..sample_request(1) });
        let (mut cancelled_at, mut id) = (None, 1);
        for tick in 1..40 {
            router.at_time(f64::from(tick) * 100.0);
            id += 1;
            let actions = router.submit(sample_request(id));
            assert!(!is_rejected(&actions), "rejected because of the lost prefill");
            let server = sent_to(&actions).expect("a send");
            router.at_time(router.now + 50.0);
            let decode_server = router.decode_server_after(id, server);
            router.outcome(id, 1, decode_server, AttemptStatus::Served);
            if router.run_housekeeping().contains(&Action::Cancel { id: RequestId(1), attempt: 0 }) {
                cancelled_at = cancelled_at.or(Some(router.now));
                let actions = router.outcome(1, 0, preferred, AttemptStatus::Cancelled);
                assert_ne!(sent_to(&actions).expect("a retry"), preferred);
                break;
            }
        }
        let cancelled_at = cancelled_at.expect("cancelled");
        assert!((300.0..1_000.0).contains(&cancelled_at), "in time for another prefill: {cancelled_at}");
        assert!(!router.inner.is_out_of_rotation(ServerId(preferred)));
    }
}

/// Guards against two wrong cancellations. A slow prefill that no other prefill overtakes is not lost. A
/// non-idempotent request at its decode server may have been executed, even if later requests overtake it.
#[test]
fn slow_attempts_and_non_idempotent_ones_are_not_cancelled() {
    let servers = vec![server_entry(11, PREFILL, 0), server_entry(21, DECODE, 0)];
    let mut router = TestRouter::new(settings(), servers);
    router.prefill_server_for(Request { class: NON_IDEMPOTENT, ..sample_request(1) });
    assert_eq!(router.decode_server_after(1, 11), 21);
    let cancels = |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::Cancel { .. }));
    for id in 2..12 {
        router.at_time(id as f64 * 100.0);
        router.prefill_server_for(sample_request(id));
        router.outcome(id, 0, 11, AttemptStatus::Prefilled);
        router.first_token(id, 1, 21, 20.0);
        assert!(!cancels(&router.run_housekeeping()), "cancelled the non-idempotent request");
    }
    router.prefill_server_for(sample_request(20));
    for tick in 12..30 {
        router.at_time(f64::from(tick) * 100.0);
        assert!(!cancels(&router.run_housekeeping()), "cancelled the prefill");
    }
}

#[test]
fn an_unresponsive_server_is_avoided_and_its_prefills_are_cancelled() {
    let mut router = TestRouter::with_defaults();
    let preferred = router.prefill_server_for(sample_request(1));
    let mut cancelled = false;
    for tick in 1..60 {
        router.at_time(f64::from(tick) * 100.0);
        let actions = router.run_housekeeping();
        cancelled |= actions.contains(&Action::Cancel { id: RequestId(1), attempt: 0 });
        if cancelled {
            break;
        }
    }
    assert!(cancelled && router.now < 4_000.0, "in time for a retry");
    let retry = sent_to(&router.outcome(1, 0, preferred, AttemptStatus::Cancelled)).expect("a retry");
    assert_ne!(retry, preferred);
}

/// Guards against an unresponsive server that is never ejected, because deadlines are short compared to
/// objectives: it must be ejected before its attempts time out, since a time-out does not count as a failure.
#[test]
fn an_unresponsive_server_is_ejected_before_a_short_deadline() {
    let class =
        RequestClass { latency_objective: 1_500.0, deadline: 2_000.0, ..settings().classes[0].clone() };
    let mut router = TestRouter::new(Settings { classes: vec![class], ..settings() }, sample_servers());
    // Long after the server list, whose receipt counts as progress and as a load report.
    router.at_time(10_000.0);
    let preferred = router.prefill_server_for(Request { client_timeout: 2_000.0, ..sample_request(1) });
    let mut ejected_at = None;
    for tick in 1..20 {
        router.at_time(10_000.0 + f64::from(tick) * 100.0).run_housekeeping();
        let is_out_of_rotation = router.inner.is_out_of_rotation(ServerId(preferred));
        ejected_at = ejected_at.or(is_out_of_rotation.then_some(router.now));
    }
    assert!(ejected_at.is_some_and(|time| time > 11_000.0), "{ejected_at:?}");
}

/// Guards against the ejection of a restarted server for requests that only its previous process received. A
/// prefill that was lost with that process is cancelled in time for another one.
#[test]
fn a_restarted_server_is_not_ejected_for_the_waits_of_its_old_process() {
    let mut router = TestRouter::with_defaults();
    let preferred = router.prefill_server_for(sample_request(1));
    let listed =
        sample_servers().into_iter().find(|entry| entry.server.0 == preferred).expect("the server is listed");
    router.at_time(100.0);
    let restarted = ServerEntry { started: Some(90.0), ..listed };
    router.update_servers(ListUpdate::Delta, vec![restarted]);
    let mut cancelled_at = None;
    for tick in 2..60 {
        router.at_time(f64::from(tick) * 100.0);
        let actions = router.run_housekeeping();
        assert!(!router.inner.is_out_of_rotation(ServerId(preferred)), "at {}", router.now);
        if cancelled_at.is_none() && actions.contains(&Action::Cancel { id: RequestId(1), attempt: 0 }) {
            cancelled_at = Some(router.now);
            let retry = sent_to(&router.outcome(1, 0, preferred, AttemptStatus::Cancelled)).expect("a retry");
            assert_ne!(retry, preferred);
            router.disconnect(1);
            router.outcome(1, 1, retry, AttemptStatus::Cancelled);
        }
    }
    assert!(cancelled_at.is_some_and(|time| time < 1_000.0), "{cancelled_at:?}");
}
