//! Runs the simulated fleets of the example `figures` against bounds that its figures keep by a wide margin.

#[path = "../examples/figures/coordinated.rs"]
mod coordinated;
#[path = "../examples/figures/independent.rs"]
mod independent;
#[path = "../examples/figures/policy.rs"]
mod policy;
#[path = "../examples/figures/simulation.rs"]
mod simulation;

use policy::PolicyKind;
use simulation::{run, Scenario};

/// Guards the purpose of the crate: in a surge, even if a gateway fails, coordinated gateways serve more
/// value with fewer attempts than independent ones, and recover soon after it.
#[test]
fn coordinated_gateways_serve_more_value_in_a_surge_than_independent_ones() {
    for scenario in [Scenario::Surge, Scenario::SurgeGatewayLost, Scenario::SurgeSkewed] {
        let (baseline, fleet) =
            (run(scenario, PolicyKind::Independent, 7), run(scenario, PolicyKind::Coordinated, 7));
        assert!(
            fleet.value_served >= 1.2 * baseline.value_served,
            "{scenario:?}: {fleet:?} compared to {baseline:?}"
        );
        assert!(
            fleet.attempts_per_request <= 1.2 && fleet.attempts_per_request <= baseline.attempts_per_request,
            "{scenario:?}: {fleet:?}"
        );
        assert!(
            fleet.tries_per_turn < baseline.tries_per_turn && fleet.recovery_seconds <= 5.0,
            "{scenario:?}: {fleet:?}"
        );
        // The budget of one second, and as much again that may be saved up.
        assert!(
            fleet.max_retries_per_second <= f64::from(2 * coordinated::RETRY_BUDGET / 1_000),
            "{scenario:?}: {fleet:?}"
        );
    }
}

/// Guards the load below capacity: no request is rejected, with or without messages between gateways.
#[test]
fn nothing_is_rejected_below_capacity() {
    for kind in [PolicyKind::Standalone, PolicyKind::Coordinated] {
        let figures = run(Scenario::BelowCapacity, kind, 7);
        assert!(figures.value_served > 0.99 && figures.tries_per_turn < 1.02, "{kind:?}: {figures:?}");
    }
}
