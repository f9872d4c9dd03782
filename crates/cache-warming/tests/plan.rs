//! The plan against an exact solver, and what a plan must not contain.

use glenrail_cache_warming::plan::{choose, plan, Budget, Item, Lookups, Target};
use glenrail_cache_warming::sketch::Sketch;
use glenrail_cache_warming::{Member, Model, Node, PromptPrefix, Team};
use proptest::prelude::*;

/// Returns the best saving of all subsets within the budget.
fn best_saving(items: &[Item], budget: Budget) -> f64 {
    let fits = |set: &u32| {
        let chosen = || items.iter().enumerate().filter(|(at, _)| set & (1 << at) != 0).map(|(_, item)| item);
        let within =
            chosen().map(|i| i.tokens).sum::<u64>() <= budget.tokens && set.count_ones() <= budget.requests;
        within.then(|| chosen().map(|i| i.saving).sum::<f64>())
    };
    (0..1u32 << items.len()).filter_map(|set| fits(&set)).fold(0.0, f64::max)
}

fn total_saving(items: &[Item], chosen: &[usize]) -> f64 {
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
    fn a_selection_saves_the_guaranteed_share_of_the_optimum(
        items in items(0..11), tokens in 0u64..20_000, requests in 0u32..12
    ) {
        let budget = Budget { tokens, requests };
        let chosen = choose(&items, budget);
        prop_assert!(
            chosen.iter().map(|at| items[*at].tokens).sum::<u64>() <= tokens && chosen.len() <= requests as usize
        );
        let mut distinct = chosen.clone();
        distinct.sort();
        distinct.dedup();
        prop_assert_eq!(distinct.len(), chosen.len());
        let guaranteed_share = if requests as usize >= items.len() { 0.5 } else { 0.25 };
        prop_assert!(total_saving(&items, &chosen) >= guaranteed_share * best_saving(&items, budget) - 1e-6);
    }

    /// A plan contains only prefixes that the node will own and has not cached, that their team may call, and
    /// whose text a member holds.
    #[test]
    fn a_plan_contains_only_useful_prefills(
        requests in prop::collection::vec((0u64..30, 1u32..4000, 0u64..4), 1..200), revoked_team in 0u64..3
    ) {
        let mut sketch = Sketch::new(64, 10_000, 0);
        for (key, tokens, node) in &requests {
            let b = PromptPrefix { team: Team(key % 3), model: Model(0), key: *key };
            sketch.record_request(b, *tokens, Some(Node(*node)), 0);
            if key % 5 != 0 {
                sketch.add_holder(&b, Member(1));
            }
        }
        let (max_requests, memory_tokens, tokens_per_second) = (9, 30_000, 9000);
        let target = |node| Target {
            node: Node(node), max_requests, memory_tokens, tokens_per_second, share_thousandths: 500, time_left: 5000
        };
        let lookups = Lookups {
            owners: &|b| vec![Node(b.key % 4), Node(3)],
            granted: &|team, _| team != Team(revoked_team),
            cached_tokens: &|_, b| if b.key % 7 == 0 { u32::MAX } else { 0 },
        };
        for plan in plan(&sketch, &[target(2), target(3)], &lookups) {
            prop_assert!(plan.tokens() <= 22_500 && plan.prefills.len() <= 9);
            for prefill in &plan.prefills {
                let b = prefill.prefix;
                prop_assert!(plan.node == Node(3) || b.key % 4 == plan.node.0);
                prop_assert!(b.team != Team(revoked_team) && b.key % 5 != 0 && b.key % 7 != 0);
                let stats = sketch.get(&b).expect("a planned prefix is counted");
                prop_assert!(stats.prefill_nodes.iter().all(|r| r.0 != plan.node) && prefill.tokens <= stats.tokens);
                prop_assert!(plan.owned.iter().any(|o| o.0 == b));
            }
        }
    }
}

/// Guards against plain greedy selection, which takes a small item in place of a large one, and many items
/// with a good ratio where few requests are allowed.
#[test]
fn a_large_saving_is_preferred_to_a_better_ratio() {
    let item = |tokens, saving| Item { tokens, saving };
    let items = [item(1, 2.0), item(100, 100.0)];
    assert_eq!(choose(&items, Budget { tokens: 100, requests: 9 }), [1]);
    let items = [item(1, 2.0), item(1, 2.0), item(40, 60.0), item(40, 50.0)];
    assert_eq!(choose(&items, Budget { tokens: 100, requests: 2 }), [2, 3]);
}
