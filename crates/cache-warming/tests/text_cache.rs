//! What the text cache keeps, and what it does not.

use std::collections::HashMap;

use glenrail_cache_warming::hot_prefixes::Hot;
use glenrail_cache_warming::text_cache::{Limits, Texts, OVERHEAD};
use glenrail_cache_warming::{Beginning, Member, Model, Node, Team};
use proptest::prelude::*;

fn beginning(name: u64) -> Beginning {
    Beginning { team: Team(name % 3), model: Model(name % 2), prefix: name }
}

proptest! {
    /// The limits hold after each step, and no expired text is returned.
    #[test]
    fn limits_hold(steps in prop::collection::vec((0u64..30, 0usize..400, 0u32..1000, 0u64..400), 1..200),
                   bytes in 0usize..4000, team_bytes in 0usize..2000, age in 0u64..2000) {
        let limits = Limits { bytes, team_bytes, age };
        let (mut texts, mut now, mut asked) = (Texts::new(limits), 0, HashMap::new());
        for (name, length, heat, later) in steps {
            now += later;
            let text = vec![name as u8; length];
            let gone = texts.keep(beginning(name), &text, f64::from(heat), now);
            if !texts.off() {
                asked.insert(name, now);
            }
            prop_assert!(texts.bytes() <= bytes && texts.len() * OVERHEAD <= bytes);
            let by_team: usize = (0..3).map(|t| texts.of(Team(t))).sum();
            prop_assert_eq!(by_team, texts.bytes());
            prop_assert!((0..3).all(|t| texts.of(Team(t)) <= team_bytes));
            prop_assert!(gone.iter().all(|b| texts.get(b, now).is_none()));
            for name in 0..30 {
                if let Some(text) = texts.get(&beginning(name), now) {
                    prop_assert!(text.iter().all(|b| *b == name as u8) && now - asked[&name] <= age);
                }
            }
            prop_assert!(!texts.off() || texts.is_empty());
        }
        texts.sweep(now + age + 1);
        prop_assert!(texts.is_empty() && texts.bytes() == 0);
    }

    #[test]
    fn what_is_not_granted_is_gone_at_once(names in prop::collection::vec(0u64..40, 1..100), team in 0u64..3, model in 0u64..2) {
        let limits = Limits { bytes: 100_000, team_bytes: 100_000, age: 10_000 };
        let mut hot = Hot::new(Member(1), 64, 10_000, limits, 0);
        names.iter().for_each(|n| hot.asked(beginning(*n), 100, b"a beginning", Some(Node(1)), 0));
        hot.granted(&|t, m| (t, m) != (Team(team), Model(model)));
        for name in names {
            let b = beginning(name);
            let kept = (b.team, b.model) != (Team(team), Model(model));
            prop_assert_eq!(hot.texts().get(&b, 0).is_some(), kept);
            prop_assert_eq!(hot.sketch().get(&b).is_some(), kept);
        }
    }
}

#[test]
fn off_keeps_and_counts_nothing() {
    for off in 0..3 {
        let limit = |at: usize| if at == off { 0 } else { 10_000 };
        let limits = Limits { bytes: limit(0), team_bytes: limit(1), age: limit(2) as u64 };
        let mut hot = Hot::new(Member(1), 64, 10_000, limits, 0);
        hot.asked(beginning(1), 100, b"a beginning", None, 0);
        assert!(hot.texts().is_empty() && hot.sketch().is_empty());
    }
}

#[test]
fn a_hot_text_takes_the_place_of_a_colder_one_however_long_ago_it_was_hot() {
    let limits = Limits { bytes: 2 * (OVERHEAD + 10), team_bytes: 10_000, age: 1_000_000 };
    let mut hot = Hot::new(Member(1), 4, 1000, limits, 0);
    (0..50).for_each(|_| hot.asked(beginning(1), 100, b"0123456789", None, 0));
    for name in [2, 3] {
        (0..5).for_each(|_| hot.asked(beginning(name), 100, b"0123456789", None, 20_000));
    }
    let kept: Vec<bool> = (1..4).map(|n| hot.texts().get(&beginning(n), 20_000).is_some()).collect();
    assert_eq!(kept, [false, true, true]);
    let told = |n| hot.sketch().get(&beginning(n)).map(|s| s.holders.clone());
    assert_eq!((told(2), told(3)), (Some(vec![Member(1)]), Some(vec![Member(1)])));
    assert!(told(1).is_none_or(|holders| holders.is_empty()));
}
