//! Compares this crate's decisions with gateways that decide independently, in simulated fleets: a surge of
//! twice the capacity for 20 s, engines that fail at once, clients that retry at once, and the failure of one
//! of three gateways.
//!
//! `cargo run --release -p glenrail-overload --example figures`

mod coordinated;
mod cost;
mod independent;
mod policy;
mod simulation;

use policy::PolicyKind;
use simulation::{Figures, Scenario};

const SEEDS: std::ops::Range<u64> = 1..6;

fn main() {
    println!(
        "mean (worst) of seeds {SEEDS:?}; value served in the surge as a share of the value requested\n"
    );
    println!("| scenario | policy | value served | attempts/request | tries/turn | max retries in 1 s | recovery to 0.95 (s) |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for scenario in
        [Scenario::BelowCapacity, Scenario::Surge, Scenario::SurgeGatewayLost, Scenario::SurgeSkewed]
    {
        for kind in [PolicyKind::Independent, PolicyKind::Standalone, PolicyKind::Coordinated] {
            let runs: Vec<Figures> = SEEDS.map(|seed| simulation::run(scenario, kind, seed)).collect();
            let cell = |value: fn(&Figures) -> f64, worst_is_min: bool| {
                let values = || runs.iter().map(value);
                let worst = if worst_is_min {
                    values().fold(f64::MAX, f64::min)
                } else {
                    values().fold(f64::MIN, f64::max)
                };
                format!("{:.2} ({worst:.2})", values().sum::<f64>() / runs.len() as f64)
            };
            println!(
                "| {scenario:?} | {kind:?} | {} | {} | {} | {} | {} |",
                cell(|f| f.value_served, true),
                cell(|f| f.attempts_per_request, false),
                cell(|f| f.tries_per_turn, false),
                cell(|f| f.max_retries_per_second, false),
                cell(|f| f.recovery_seconds, false),
            );
        }
    }
    cost::print();
}
