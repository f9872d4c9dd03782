//! The simulated fleets of the example `figures`, with bounds that its figures keep by far.

#[path = "../examples/figures/coordinated.rs"]
mod coordinated;
#[path = "../examples/figures/independent.rs"]
mod independent;
#[path = "../examples/figures/policy.rs"]
mod policy;
#[path = "../examples/figures/simulation.rs"]
mod simulation;

use policy::Way;
use simulation::{play, Day};

/// Guards what the crate is for: more worth in a rush with a gateway killed, by fewer attempts, and an end to it.
#[test]
fn a_fleet_serves_more_worth_in_a_rush_than_each_for_itself() {
    for day in [Day::Rush, Day::Killed, Day::Skewed] {
        let (lone, fleet) = (play(day, Way::Lone, 7), play(day, Way::Talking, 7));
        assert!(fleet.worth >= 1.2 * lone.worth, "{day:?}: {fleet:?} beside {lone:?}");
        assert!(fleet.attempts <= 1.2 && fleet.attempts <= lone.attempts, "{day:?}: {fleet:?}");
        assert!(fleet.tries < lone.tries && fleet.back <= 5.0, "{day:?}: {fleet:?}");
        // The budget of a second, and what may be saved up of it.
        assert!(fleet.retries <= f64::from(2 * coordinated::RETRIES / 1_000), "{day:?}: {fleet:?}");
    }
}

/// Guards calm days: nobody is turned away, with talk or without.
#[test]
fn nothing_is_refused_on_a_calm_day() {
    for way in [Way::NoTalk, Way::Talking] {
        let calm = play(Day::Calm, way, 7);
        assert!(calm.worth > 0.99 && calm.tries < 1.02, "{way:?}: {calm:?}");
    }
}
