//! The plan against an exact solver, and what a plan must not contain.

use glenrail_cache_warming::plan::{choose, plan, Budget, Facts, Item, Target};
use glenrail_cache_warming::sketch::Sketch;
use glenrail_cache_warming::{Beginning, Member, Model, Node, Team};
use proptest::prelude::*;

/// Returns the best saving of all subsets within the budget.
fn best(items: &[Item], budget: Budget) -> f64 {
    let fits = |set: &u32| {
        let chosen = || items.iter().enumerate().filter(|(at, _)| set & (1 << at) != 0).map(|(_, item)| item);
        let within =
            chosen().map(|i| i.tokens).sum::<u64>() <= budget.tokens && set.count_ones() <= budget.sends;
        within.then(|| chosen().map(|i| i.saving).sum::<f64>())
    };
    (0..1u32 << items.len()).filter_map(|set| fits(&set)).fold(0.0, f64::max)
}

fn worth(items: &[Item], chosen: &[usize]) -> f64 {
    chosen.iter().map(|at| items[*at].saving).sum()
}

fn items(count: std::ops::Range<usize>) -> impl Strategy<Value = Vec<Item>> {
    let item =
        (1u64..5000, 0u32..1000).prop_map(|(tokens, saving)| Item { tokens, saving: f64::from(saving) });
    prop::collection::vec(item, count)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// A selection saves at least half of the optimum if the number of requests does not bind and at least a
    /// quarter if it does, and never exceeds a budget.
    #[test]
    fn a_choice_is_within_the_stated_part_of_the_best(items in items(0..11), tokens in 0u64..20_000, sends in 0u32..12) {
        let budget = Budget { tokens, sends };
        let chosen = choose(&items, budget);
        prop_assert!(chosen.iter().map(|at| items[*at].tokens).sum::<u64>() <= tokens && chosen.len() <= sends as usize);
        let mut once = chosen.clone();
        once.sort();
        once.dedup();
        prop_assert_eq!(once.len(), chosen.len());
        let part = if sends as usize >= items.len() { 0.5 } else { 0.25 };
        prop_assert!(worth(&items, &chosen) >= part * best(&items, budget) - 1e-6);
    }

    /// A plan contains only prefixes that the node will own and has not cached, that their team may call, and
    /// whose text a member holds.
    #[test]
    fn a_plan_has_nothing_else(asks in prop::collection::vec((0u64..30, 1u32..4000, 0u64..4), 1..200), refused in 0u64..3) {
        let mut sketch = Sketch::new(64, 10_000, 0);
        for (prefix, tokens, node) in &asks {
            let b = Beginning { team: Team(prefix % 3), model: Model(0), prefix: *prefix };
            sketch.asked(b, *tokens, Some(Node(*node)), 0);
            if prefix % 5 != 0 {
                sketch.holds(&b, Member(1));
            }
        }
        let (sends, memory_tokens, tokens_a_second) = (9, 30_000, 9000);
        let target =
            |node| Target { node: Node(node), sends, memory_tokens, tokens_a_second, share: 500, time: 5000 };
        let facts = Facts {
            homes: &|b| vec![Node(b.prefix % 4), Node(3)],
            granted: &|team, _| team != Team(refused),
            kept: &|_, b| if b.prefix % 7 == 0 { u32::MAX } else { 0 },
        };
        for plan in plan(&sketch, &[target(2), target(3)], &facts) {
            prop_assert!(plan.tokens() <= 22_500 && plan.readings.len() <= 9);
            for reading in &plan.readings {
                let b = reading.beginning;
                prop_assert!(plan.node == Node(3) || b.prefix % 4 == plan.node.0);
                prop_assert!(b.team != Team(refused) && b.prefix % 5 != 0 && b.prefix % 7 != 0);
                let seen = sketch.get(&b).expect("a planned prefix is counted");
                prop_assert!(seen.read_at.iter().all(|r| r.0 != plan.node) && reading.tokens <= seen.tokens);
                prop_assert!(plan.owned.iter().any(|o| o.0 == b));
            }
        }
    }
}

/// Guards against plain greedy selection, which takes a small item in place of a large one, and many items
/// with a good ratio where few requests are allowed.
#[test]
fn a_large_saving_is_not_lost_to_a_thrifty_one() {
    let of = |tokens, saving| Item { tokens, saving };
    let items = [of(1, 2.0), of(100, 100.0)];
    assert_eq!(choose(&items, Budget { tokens: 100, sends: 9 }), [1]);
    let items = [of(1, 2.0), of(1, 2.0), of(40, 60.0), of(40, 50.0)];
    assert_eq!(choose(&items, Budget { tokens: 100, sends: 2 }), [2, 3]);
}
