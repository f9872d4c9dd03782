//! Prints what the fleet's decisions are worth beside each gateway for itself, in simulated fleets: a rush at twice
//! the capacity for 20 s, engines that err at once, clients that come back at once, one of three gateways killed.
//!
//! `cargo run --release -p glenrail-overload --example figures`

mod coordinated;
mod cost;
mod independent;
mod policy;
mod simulation;

use policy::Way;
use simulation::{Day, Figures};

const SEEDS: std::ops::Range<u64> = 1..6;

fn main() {
    println!("mean (worst) of seeds {SEEDS:?}; worth served in the rush as a share of what first tries asked for\n");
    println!("| day | way | worth served | attempts a first try | tries a turn | most retries in 1 s | back to 0.95 (s) |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for day in [Day::Calm, Day::Rush, Day::Killed, Day::Skewed] {
        for way in [Way::Lone, Way::NoTalk, Way::Talking] {
            let runs: Vec<Figures> = SEEDS.map(|seed| simulation::play(day, way, seed)).collect();
            let cell = |value: fn(&Figures) -> f64, worst_is_least: bool| {
                let values = || runs.iter().map(value);
                let worst = if worst_is_least {
                    values().fold(f64::MAX, f64::min)
                } else {
                    values().fold(f64::MIN, f64::max)
                };
                format!("{:.2} ({worst:.2})", values().sum::<f64>() / runs.len() as f64)
            };
            println!(
                "| {day:?} | {way:?} | {} | {} | {} | {} | {} |",
                cell(|f| f.worth, true),
                cell(|f| f.attempts, false),
                cell(|f| f.tries, false),
                cell(|f| f.retries, false),
                cell(|f| f.back, false),
            );
        }
    }
    cost::print();
}
