//! Limits, expiry and eviction of the text cache, and the removal of prefixes whose grant was revoked.

use std::collections::HashMap;

use glenrail_cache_warming::hot_prefixes::HotPrefixes;
use glenrail_cache_warming::text_cache::{TextCache, TextLimits, ENTRY_OVERHEAD_BYTES};
use glenrail_cache_warming::{Member, Model, Node, PromptPrefix, Team};
use proptest::prelude::*;

fn prefix(id: u64) -> PromptPrefix {
    PromptPrefix { team: Team(id % 3), model: Model(id % 2), key: id }
}

proptest! {
    /// The limits hold after each step, and no expired text is returned.
    #[test]
    fn limits_hold(steps in prop::collection::vec((0u64..30, 0usize..400, 0u32..1000, 0u64..400), 1..200),
                   bytes in 0usize..4000, team_bytes in 0usize..2000, age in 0u64..2000) {
        let limits = TextLimits { bytes, team_bytes, age };
        let (mut texts, mut now, mut last_requests) = (TextCache::new(limits), 0, HashMap::new());
        for (id, length, heat, elapsed) in steps {
            now += elapsed;
            let text = vec![id as u8; length];
            let evicted = texts.insert(prefix(id), &text, f64::from(heat), now);
            if !texts.is_disabled() {
                last_requests.insert(id, now);
            }
            prop_assert!(texts.bytes() <= bytes && texts.len() * ENTRY_OVERHEAD_BYTES <= bytes);
            let by_team: usize = (0..3).map(|t| texts.bytes_of_team(Team(t))).sum();
            prop_assert_eq!(by_team, texts.bytes());
            prop_assert!((0..3).all(|t| texts.bytes_of_team(Team(t)) <= team_bytes));
            prop_assert!(evicted.iter().all(|b| texts.get(b, now).is_none()));
            for id in 0..30 {
                if let Some(text) = texts.get(&prefix(id), now) {
                    prop_assert!(text.iter().all(|b| *b == id as u8) && now - last_requests[&id] <= age);
                }
            }
            prop_assert!(!texts.is_disabled() || texts.is_empty());
        }
        texts.remove_expired(now + age + 1);
        prop_assert!(texts.is_empty() && texts.bytes() == 0);
    }

    #[test]
    fn revoked_prefixes_are_removed_at_once(
        ids in prop::collection::vec(0u64..40, 1..100), team in 0u64..3, model in 0u64..2
    ) {
        let limits = TextLimits { bytes: 100_000, team_bytes: 100_000, age: 10_000 };
        let mut hot = HotPrefixes::new(Member(1), 64, 10_000, limits, 0);
        ids.iter().for_each(|n| hot.record_request(prefix(*n), 100, b"a beginning", Some(Node(1)), 0));
        hot.apply_grants(&|t, m| (t, m) != (Team(team), Model(model)));
        for id in ids {
            let b = prefix(id);
            let kept = (b.team, b.model) != (Team(team), Model(model));
            prop_assert_eq!(hot.texts().get(&b, 0).is_some(), kept);
            prop_assert_eq!(hot.sketch().get(&b).is_some(), kept);
        }
    }
}

#[test]
fn a_zero_limit_disables_caching_and_counting() {
    for off in 0..3 {
        let limit = |at: usize| if at == off { 0 } else { 10_000 };
        let limits = TextLimits { bytes: limit(0), team_bytes: limit(1), age: limit(2) as u64 };
        let mut hot = HotPrefixes::new(Member(1), 64, 10_000, limits, 0);
        hot.record_request(prefix(1), 100, b"a beginning", None, 0);
        assert!(hot.texts().is_empty() && hot.sketch().is_empty());
    }
}

#[test]
fn a_text_evicts_a_colder_one_however_long_ago_that_was_hot() {
    let limits = TextLimits { bytes: 2 * (ENTRY_OVERHEAD_BYTES + 10), team_bytes: 10_000, age: 1_000_000 };
    let mut hot = HotPrefixes::new(Member(1), 4, 1000, limits, 0);
    (0..50).for_each(|_| hot.record_request(prefix(1), 100, b"0123456789", None, 0));
    for id in [2, 3] {
        (0..5).for_each(|_| hot.record_request(prefix(id), 100, b"0123456789", None, 20_000));
    }
    let kept: Vec<bool> = (1..4).map(|n| hot.texts().get(&prefix(n), 20_000).is_some()).collect();
    assert_eq!(kept, [false, true, true]);
    let holders_of = |n| hot.sketch().get(&prefix(n)).map(|s| s.holders.clone());
    assert_eq!((holders_of(2), holders_of(3)), (Some(vec![Member(1)]), Some(vec![Member(1)])));
    assert!(holders_of(1).is_none_or(|holders| holders.is_empty()));
}
