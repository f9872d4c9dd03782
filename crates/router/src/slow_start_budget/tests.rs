//! Unit tests of the slow-start budget: capacity share, send credit, and reliance on load reports.

use super::*;
use crate::state::{server_record::ReportedLoad, Random};
use proptest::prelude::*;

fn rules() -> Rules {
    Rules {
        answer_grace: 8.0,
        drain_grace: 500.0,
        lease_limit: 500.0,
        slow_start_window: 13_000.0,
        slow_start_initial_share: 0.31,
        overload_window: 3_000.0,
        overload_multiple: 4.0,
        discovery_poll_limit: 10_000.0,
    }
}

/// Asserts that a server that started at 0, and completes `rate_per_s` requests per second at full capacity,
/// received no more than the slow-start rule permits in any overload window.
fn assert_no_overload(sent: &[Millis], rules: &Rules, rate_per_s: f64) -> Result<(), TestCaseError> {
    for start in sent {
        let window = *start..start + rules.overload_window;
        let sent_within = sent.iter().filter(|time| window.contains(*time)).count() as f64;
        let bound = rules.overload_multiple
            * rate_per_s
            * capacity_share(rules, Some(0.0), *start)
            * rules.overload_window
            / 1000.0;
        let limit = bound + 2.0 * bound.sqrt() + 2.0;
        prop_assert!(sent_within <= limit, "{sent_within} of {bound} from {start}");
    }
    Ok(())
}

/// Returns the record of a server that started at 0, at a router that is notified of it at `now`.
fn started_server(random: &mut Random, now: Millis) -> ServerRecord {
    ServerRecord {
        send_credit: random.next_unit(),
        credit_updated_at: now,
        slow_start_since: Some(0.0),
        ..ServerRecord::default()
    }
}

/// Generates the overload multiple, overload window and initial share of some deployments.
fn overload_rules() -> impl Strategy<Value = (f64, f64, f64)> {
    prop::sample::select(vec![(4.0, 3_000.0, 0.31), (4.0, 2_000.0, 0.26), (2.5, 1_500.0, 0.27)])
}

proptest! {
    /// The capacity share grows monotonically from the share in the settings to 1.
    #[test]
    fn the_capacity_share_grows_to_one(since in 0.0..1e6, early in 0.0..30_000.0, more in 0.0..30_000.0) {
        let share_at = |elapsed| capacity_share(&rules(), Some(since), since + elapsed);
        let earlier = share_at(early);
        let later = capacity_share(&rules(), Some(since), since + early + more);
        prop_assert!(0.31 <= earlier && earlier <= later && later <= 1.0);
        prop_assert_eq!(capacity_share(&rules(), None, early), 1.0);
        prop_assert_eq!(share_at(13_000.0), 1.0);
    }

    /// All routers together send a server in slow start no more than the slow-start rule permits in any
    /// overload window. This holds for 3 to 300 routers, whether each uses its credit at once or all
    /// accumulate it for one burst. None, a third or all of the routers restart within a second, once or
    /// every 1.5 s. The routers estimate the rate of the server from its completions at a utilization of 50 %
    /// to 100 %.
    #[test]
    fn the_sum_of_all_send_credits_keeps_a_starting_server_from_overload(
        routers in prop::sample::select(vec![3usize, 20, 30, 100, 300]), rate_per_s in 1.0..30.0f64,
        utilization in 0.5..1.0f64, idle_time in 0.0..13_000.0f64, seed in 1u64..u64::MAX,
        (overload_multiple, overload_window, slow_start_initial_share) in overload_rules(),
        (every, period) in prop::sample::select(vec![(usize::MAX, 1e9), (3, 1e9), (1, 1e9), (1, 1_500.0)]),
    ) {
        let rules = Rules { overload_multiple, overload_window, slow_start_initial_share, ..rules() };
        let peak_rate = utilization * rate_per_s / routers as f64;
        let throughput = RoleThroughput { peak_rate, ..RoleThroughput::default() };
        let mut random = Random::new(seed);
        let mut views: Vec<ServerRecord> = (0..routers).map(|_| started_server(&mut random, 0.0)).collect();
        let mut sent = Vec::new();
        for step in (0..12_000).step_by(50).map(f64::from) {
            let now = idle_time + step;
            for (index, server) in views.iter_mut().enumerate() {
                let restart_offset = 50.0 * (index / every % 20) as f64;
                if (index + 1).is_multiple_of(every) && step % period == restart_offset {
                    *server = started_server(&mut random, now);
                }
                let share = capacity_share(&rules, server.slow_start_since, now);
                let credit = send_credit(server, share, &throughput, &rules, routers as f64, now);
                if credit >= 1.0 && share < 1.0 {
                    server.send_credit = credit - 1.0;
                    server.credit_updated_at = now;
                    sent.push(now);
                }
            }
        }
        assert_no_overload(&sent, &rules, rate_per_s)?;
    }

    /// All routers together send a server in slow start no more than the slow-start rule permits in any
    /// overload window, although its load report does not change. Every router receives requests for the same
    /// prefix, and always has a fresh report of an idle server. The routers estimate the demand of the prefix
    /// up to 25 % too high or 20 % too low.
    #[test]
    fn an_unchanged_load_report_keeps_a_starting_server_from_overload(
        routers in prop::sample::select(vec![20usize, 30, 100, 300]),
        rate_per_s in 1.0..30.0f64, utilization in 0.5..1.0f64,
        demand in 0.2..20.0f64, estimate_factor in 0.8..1.25f64,
        idle_time in 0.0..13_000.0f64, seed in 1u64..u64::MAX,
        (overload_multiple, overload_window, slow_start_initial_share) in overload_rules(),
    ) {
        let rules = Rules { overload_multiple, overload_window, slow_start_initial_share, ..rules() };
        let peak_rate = utilization * rate_per_s / routers as f64;
        let throughput = RoleThroughput { peak_rate, ..RoleThroughput::default() };
        let mut random = Random::new(seed);
        let mut views: Vec<ServerRecord> =
            (0..routers).map(|_| started_server(&mut random, idle_time)).collect();
        let (mut now, mut sent) = (idle_time, Vec::new());
        while now < idle_time + 12_000.0 {
            now -= (1.0 - random.next_unit()).ln() * 1000.0 / (demand * utilization * rate_per_s);
            let server = &mut views[(random.next_unit() * routers as f64) as usize];
            let capacity_share = capacity_share(&rules, server.slow_start_since, now);
            let send_credit = send_credit(server, capacity_share, &throughput, &rules, routers as f64, now);
            server.reported_load = Some(ReportedLoad { in_flight: 0.0, reported_at: now });
            let report_threshold = Some(report_threshold(&rules, capacity_share, demand * estimate_factor));
            let allowance = Allowance { capacity_share, send_credit, report_threshold };
            if capacity_share < 1.0 && allowance.permits_send(server, now) {
                server.send_credit = send_credit - 1.0;
                server.credit_updated_at = now;
                sent.push(now);
            }
        }
        assert_no_overload(&sent, &rules, rate_per_s)?;
    }

    /// Fewer routers rely on a report if the demand of the prefix is higher, and more do if the server has
    /// more capacity. The threshold is always between the minimum and a whole send of credit.
    #[test]
    fn fewer_routers_rely_on_a_report_the_higher_the_demand(
        a in 0.0..50.0f64, b in 0.0..50.0f64, c in 0.01..10.0f64, d in 0.01..10.0f64,
    ) {
        let threshold = |units, demand| report_threshold(&rules(), units, demand);
        prop_assert!(threshold(c, a.min(b)) <= threshold(c, a.max(b)));
        prop_assert!(threshold(c.max(d), a) <= threshold(c.min(d), a));
        prop_assert!((MIN_REPORT_THRESHOLD..1.0).contains(&threshold(c, a)));
        prop_assert_eq!(threshold(c, 0.0), MIN_REPORT_THRESHOLD);
    }

    /// The load of a server in slow start is scaled up, and that of any other server is unchanged.
    #[test]
    fn the_load_of_a_starting_server_counts_for_more(
        load in 0.0..50.0, a in 0.05..1.0f64, b in 0.05..1.0f64,
    ) {
        prop_assert!(normalized_load(load, a.min(b)) >= normalized_load(load, a.max(b)));
        prop_assert_eq!(normalized_load(load, 1.0), load);
    }

    /// Without a whole send of credit, a server in slow start receives a request only if its report is fresh
    /// and the credit exceeds the threshold, and never if routers do not probe.
    #[test]
    fn a_starting_server_is_sent_requests_on_a_fresh_report_only(
        age in 0.0..5_000.0, credit in 0.0..0.99f64,
    ) {
        let reported_load = Some(ReportedLoad { in_flight: 0.0, reported_at: 0.0 });
        let server = ServerRecord { reported_load, ..ServerRecord::default() };
        let permits_send = |capacity_share, send_credit, report_threshold| {
            Allowance { capacity_share, send_credit, report_threshold }.permits_send(&server, age)
        };
        let expected = age <= FLEET_REPORT_TTL && credit > MIN_REPORT_THRESHOLD;
        prop_assert_eq!(permits_send(0.4, credit, Some(MIN_REPORT_THRESHOLD)), expected);
        prop_assert!(!permits_send(0.4, credit, None));
        prop_assert!(permits_send(1.0, credit, None) && permits_send(0.4, 1.0, None));
    }
}
