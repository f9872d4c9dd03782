//! What all routers together send to servers that have just started stays under what makes one fall over, though none
//! sees the others: few routers and many, with and without looks, bursts, hot beginnings, words that come late, routers
//! begun anew, and a zone that returns. Simulated time, fixed seeds, no sockets.

#[path = "../common/mod.rs"]
mod common;
mod scenario;
mod simulation;

use proptest::prelude::*;
use scenario::*;
use simulation::*;

/// The highest share of the limit at any cold reader and any cold writer.
fn worst(day: Day) -> (f64, f64) {
    let play = Play::of(day).run();
    (play.pressed(true), play.pressed(false))
}

/// Every kind of day with so many routers, with probes and without: what is sent to a cold server in any window stays
/// under what the settings allow it then, N, and 2 x root of N + 2. Fixed seeds: the bound leaves room for chance, and
/// chance may use it up once in thousands of days.
fn every_day_holds(routers: usize, seeds: std::ops::Range<u64>) {
    for (seed, (n, (name, day))) in
        seeds.flat_map(|seed| days().into_iter().enumerate().map(move |d| (seed, d)))
    {
        let (rules, a_second) =
            (RULES[(seed as usize + n) % 3], 1.0 + (1.7 * (seed as f64 + n as f64)) % 5.0);
        let day = sized(
            routers,
            Day { seed, rules, a_second, probes: (seed + n as u64 / 3).is_multiple_of(2), ..day },
        );
        let (readers, writers) = worst(day);
        assert!(readers < 1.0 && writers < 1.0, "{name}, {routers} routers, {seed}: {readers} {writers}");
    }
}

#[test]
fn three_routers_keep_cold_engines_up() {
    every_day_holds(3, 0..6);
}

#[test]
fn four_routers_keep_cold_engines_up() {
    every_day_holds(4, 0..6);
}

#[test]
fn twenty_routers_keep_cold_engines_up() {
    every_day_holds(20, 0..4);
}

#[test]
fn thirty_routers_keep_cold_engines_up() {
    every_day_holds(30, 0..4);
}

#[test]
fn a_hundred_routers_keep_cold_engines_up() {
    every_day_holds(100, 0..2);
}

#[test]
fn three_hundred_routers_keep_cold_engines_up() {
    every_day_holds(300, 0..2);
}

/// Guards the share of routers that may go by one old word: a quarter of what is asked for begins alike, a cold server is
/// its first home, and reports are as old as the deployments make them.
#[test]
fn a_hot_beginning_whose_home_is_cold_does_not_push_it_over() {
    for (routers, servers, cold, a_second, seed) in
        [(30, 16, 3, 3.0, 1), (100, 24, 4, 10.0, 14), (100, 24, 4, 10.0, 16)]
    {
        let (readers, writers) = worst(Day { routers, servers, cold, a_second, seed, ..HOT });
        assert!(readers < 1.0 && writers < 1.0, "{routers}, {seed}: {readers} {writers}");
    }
}

/// The hard case: 300 routers are told of eight cold engines of each role at once, and in the same second a third of
/// them begin anew and forget what they have sent; reports as old as the deployments make them, a quarter of what is asked
/// for begins alike, and half as much again comes for two seconds.
#[test]
fn three_hundred_routers_keep_eight_cold_engines_up_though_a_third_begin_anew() {
    let day = Day { hot: 0.25, refresh: 640.0, look: 210.0, anew: A_THIRD_ANEW, ..DAY };
    let (readers, writers) = worst(day);
    assert!(readers < 1.0 && writers < 1.0, "{readers} {writers}");
}

/// Plays days of a hundred routers on reports that are up to a second old, each with its seed, cold servers and hot share.
fn late(days: &[(u64, usize, f64)]) {
    for &(seed, cold, hot) in days {
        let few = Day { routers: 100, servers: 24, cold, ..DAY };
        let day = Day { a_second: 10.0, refresh: 1_000.0, hot, seed, ..few };
        let (readers, writers) = worst(day);
        assert!(readers < 1.0 && writers < 1.0, "{seed}: {readers} {writers}");
    }
}

/// Guards against routers that all go by one old word: a cell's to its cold writer.
#[test]
fn words_that_come_late_keep_cold_engines_up() {
    late(&[(1, 8, 0.0), (8, 8, 0.0)]);
}

/// The same of those with a hot beginning, to its cold home.
#[test]
fn words_that_come_late_keep_a_hot_beginnings_home_up() {
    late(&[(2, 4, 0.25), (4, 4, 0.25)]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Three routers that may not look, as one of the deployments has: whenever the burst comes and how large it is, and
    /// whichever of them begin anew.
    #[test]
    fn few_routers_keep_cold_engines_up_by_their_credit(
        seed in 1u64..1_000_000, from in 0.0..6.0f64, times in 1.0..8.0f64, anew: bool, a_second in 2.0..20.0f64,
    ) {
        let anew = if anew { Anew { from, ..A_THIRD_ANEW } } else { NONE_ANEW };
        let (burst, few) = ((from, times), Day { routers: 3, servers: 10, cold: 2, probes: false, ..DAY });
        let (readers, writers) = worst(Day { burst, anew, a_second, seed, ..few });
        prop_assert!(readers < 1.0 && writers < 1.0, "{readers} {writers}");
    }
}
