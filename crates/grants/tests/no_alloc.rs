//! Checks allocate no memory. Measured with a table of the largest supported size.

#[path = "support/large.rs"]
mod large;

use std::alloc::System;

use cap::Cap;
use glenrail_grants::compiled::{DecisionReason, Table};

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

fn main() {
    let table = Table::from_document(&large::document());
    assert_eq!(table.teams().count(), large::TEAMS);
    assert_eq!(table.models().count(), large::MODELS);
    let names: Vec<_> = (0..2_000).map(|n| (large::team(n), large::model(n % 1_000))).collect();
    let before = ALLOCATOR.total_allocated();
    let (mut allowed, mut refused) = (0, 0);
    for (team, model) in &names {
        for now in [0, 5_000, 100_000] {
            let decision = table.check_names(team, model, now);
            if let (Some(team), Some(model)) = (table.team(team), table.model(model)) {
                assert_eq!(table.check(team, model, now), decision);
            }
            *(if decision.allowed { &mut allowed } else { &mut refused }) += 1;
        }
    }
    assert_eq!(table.check_names("nobody", "model-0000", 0).reason, DecisionReason::UnknownTeam);
    assert!(table.next_change(0).is_some());
    let after = ALLOCATOR.total_allocated();
    assert_eq!(after, before, "the checks allocated memory");
    assert!(allowed > 100 && refused > 100, "{allowed} allowed, {refused} refused");
}
