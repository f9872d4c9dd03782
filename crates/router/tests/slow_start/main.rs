//! Slow start of servers in a fleet: all routers together do not overload a server that has just started,
//! although they do not communicate. The scenarios cover few and many routers, with and without probes,
//! bursts, popular prefixes, delayed load reports, restarted routers, and a zone that returns. They use
//! simulated time, fixed seeds and no sockets.

#[path = "../common/mod.rs"]
mod common;
mod scenario;
mod simulation;

use proptest::prelude::*;
use scenario::*;
use simulation::{Peaks, Simulation};

/// Asserts that the sends to a starting server in any window stay below the limit N + 2 * sqrt(N) + 2, where
/// N is the overload bound of the settings.
fn assert_below_limit(scenario: Scenario, case: &str) {
    let Peaks { prefill, decode } = Simulation::new(scenario).run();
    assert!(prefill < 1.0 && decode < 1.0, "{case}: {prefill} {decode}");
}

/// Runs every kind of scenario with this number of routers, with and without probes. The seeds are fixed,
/// because the margin of the limit for random variation may be exceeded once in thousands of runs.
fn every_scenario_stays_below_the_limit(routers: usize, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        for (index, (name, scenario)) in scenarios().into_iter().enumerate() {
            let rules = RULES[(seed as usize + index) % 3];
            let rate_per_s = 1.0 + (1.7 * (seed as f64 + index as f64)) % 5.0;
            let probes = (seed + index as u64 / 3).is_multiple_of(2);
            let scenario = Scenario { seed, rules, rate_per_s, probes, ..scenario };
            assert_below_limit(sized(routers, scenario), &format!("{name}, {routers} routers, {seed}"));
        }
    }
}

#[test]
fn three_routers_do_not_overload_starting_servers() {
    every_scenario_stays_below_the_limit(3, 0..6);
}

#[test]
fn four_routers_do_not_overload_starting_servers() {
    every_scenario_stays_below_the_limit(4, 0..6);
}

#[test]
fn twenty_routers_do_not_overload_starting_servers() {
    every_scenario_stays_below_the_limit(20, 0..4);
}

#[test]
fn thirty_routers_do_not_overload_starting_servers() {
    every_scenario_stays_below_the_limit(30, 0..4);
}

#[test]
fn a_hundred_routers_do_not_overload_starting_servers() {
    every_scenario_stays_below_the_limit(100, 0..2);
}

#[test]
fn three_hundred_routers_do_not_overload_starting_servers() {
    every_scenario_stays_below_the_limit(300, 0..2);
}

/// Guards against too many routers that rely on the same old load report: a quarter of all requests have the
/// same prefix, its first preferred server is in slow start, and reports are as old as in the deployments.
#[test]
fn a_popular_prefix_does_not_overload_its_starting_server() {
    for (routers, servers, starting, rate_per_s, seed) in
        [(30, 16, 3, 3.0, 1), (100, 24, 4, 10.0, 14), (100, 24, 4, 10.0, 16)]
    {
        let scenario = Scenario { routers, servers, starting, rate_per_s, seed, ..POPULAR_PREFIX };
        assert_below_limit(scenario, &format!("{routers}, {seed}"));
    }
}

/// Guards against the overload of starting servers in the worst case: 300 routers are notified of eight
/// starting servers of each role at once, and in the same second a third of the routers restart and lose the
/// count of their sends. Reports are as old as in the deployments, a quarter of all requests have the same
/// prefix, and the traffic is 50 % higher for two seconds.
#[test]
fn three_hundred_routers_do_not_overload_eight_starting_servers_though_a_third_restart() {
    assert_below_limit(Scenario { router_restarts: A_THIRD_RESTARTS, ..POPULAR_PREFIX }, "a third restarts");
}

/// Runs 100 routers with load reports that are up to a second old.
fn assert_below_limit_on_late_reports(seed: u64, starting: usize, popular_share: f64) {
    let fleet = Scenario { routers: 100, servers: 24, starting, ..BASE };
    let scenario = Scenario { rate_per_s: 10.0, report_interval: 1_000.0, popular_share, seed, ..fleet };
    assert_below_limit(scenario, &format!("{seed}"));
}

/// Guards against the overload of a starting decode server if all routers of its cell rely on the same old
/// load report.
#[test]
fn late_load_reports_do_not_overload_starting_servers() {
    assert_below_limit_on_late_reports(1, 8, 0.0);
    assert_below_limit_on_late_reports(8, 8, 0.0);
}

/// Guards against the overload of the starting preferred server of a popular prefix if all routers rely on
/// the same old load report.
#[test]
fn late_load_reports_do_not_overload_the_starting_server_of_a_popular_prefix() {
    assert_below_limit_on_late_reports(2, 4, 0.25);
    assert_below_limit_on_late_reports(4, 4, 0.25);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Three routers without probes, as in one of the deployments, do not overload starting servers with
    /// their credit. This holds for any time and size of a burst, with and without restarts of routers.
    #[test]
    fn few_routers_do_not_overload_starting_servers_by_their_credit(
        seed in 1u64..1_000_000, start in 0.0..6.0f64, factor in 1.0..8.0f64, restart: bool,
        rate_per_s in 2.0..20.0f64,
    ) {
        let restarts = RouterRestarts { start, ..A_THIRD_RESTARTS };
        let router_restarts = if restart { restarts } else { NO_RESTARTS };
        let burst = Burst { start, factor };
        let few = Scenario { routers: 3, servers: 10, starting: 2, probes: false, ..BASE };
        let scenario = Scenario { burst, router_restarts, rate_per_s, seed, ..few };
        let Peaks { prefill, decode } = Simulation::new(scenario).run();
        prop_assert!(prefill < 1.0 && decode < 1.0, "{prefill} {decode}");
    }
}
