//! Pacing of the prefills that warm a node.

use glenrail_cache_warming::pace::{Held, Limits, Pace, Sight, Standing};
use glenrail_cache_warming::{Beginning, Model, Node, Team};
use proptest::prelude::*;

const LIMITS: Limits =
    Limits { running: 3, level: 0, wait: 500, fresh: 1000, calm: 300, tokens_a_second: 2000, burst: 4000 };
const CALM: Sight = Sight { level: 0, wait: 100, age: 0, node: Standing::Serves };

fn beginning(prefix: u64) -> Beginning {
    Beginning { team: Team(0), model: Model(0), prefix }
}

fn sights() -> impl Strategy<Value = Sight> {
    let node =
        prop_oneof![8 => Just(Standing::Serves), 1 => Just(Standing::Drains), 1 => Just(Standing::Gone)];
    let level = prop_oneof![4 => Just(0u32), 1 => 1u32..1000];
    (level, 0u64..600, 0u64..1200, node).prop_map(|(level, wait, age, node)| Sight { level, wait, age, node })
}

proptest! {
    /// Guards client requests against prefills: none is in flight while there is a reason to stop, none
    /// starts within the calm time after it, and the number in flight and the tokens stay within their
    /// limits.
    #[test]
    fn readings_keep_to_the_limits(steps in prop::collection::vec((sights(), 1u32..6000, 0u64..2000, any::<bool>()), 1..150)) {
        let mut pace = Pace::new(Node(1), LIMITS, 0);
        let (mut now, mut trouble, mut sent): (u64, Option<u64>, u64) = (0, None, 0);
        for (at, (sight, tokens, later, ends)) in steps.into_iter().enumerate() {
            now += later;
            let bad = sight.level > 0 || sight.wait > 500 || sight.age > 1000 || sight.node != Standing::Serves;
            let stopped = pace.look(&sight, now);
            prop_assert!(bad || stopped.is_empty());
            if pace.send(beginning(at as u64), tokens, &sight, now).is_ok() {
                sent += u64::from(tokens);
                prop_assert!(!bad && trouble.is_none_or(|t| now >= t + 300));
                prop_assert!(sent <= now * 2 + 4000 + 6000, "{sent} {now}");
            }
            if bad {
                trouble = Some(now);
                prop_assert!(pace.running().is_empty());
            }
            prop_assert!(pace.running().len() <= 3);
            if ends {
                pace.running().first().copied().iter().for_each(|b| pace.ended(b));
            }
        }
    }
}

#[test]
fn a_rise_of_the_level_stops_what_is_under_way_and_calm_brings_it_back() {
    let mut pace = Pace::new(Node(1), LIMITS, 0);
    assert_eq!(pace.send(beginning(1), 1000, &CALM, 0), Err(Held::Share { node: Node(1), ms: 500 }));
    assert_eq!(pace.send(beginning(1), 1000, &CALM, 500), Ok(()));
    assert_eq!(pace.look(&Sight { level: 1, ..CALM }, 600), [beginning(1)]);
    assert_eq!(pace.send(beginning(2), 100, &CALM, 800), Err(Held::Calming { ms: 100 }));
    assert_eq!(pace.send(beginning(2), 100, &CALM, 900), Ok(()));
    let drains = Sight { node: Standing::Drains, ..CALM };
    assert_eq!(pace.look(&drains, 901), [beginning(2)]);
    assert_eq!(pace.send(beginning(3), 1, &drains, 5000), Err(Held::Drains(Node(1))));
}

/// Guards against rounding: a rate that is no whole number of tokens per millisecond is reached even if a
/// prefill is attempted every millisecond.
#[test]
fn parts_of_a_token_are_not_lost() {
    let mut pace = Pace::new(Node(1), Limits { tokens_a_second: 1500, running: 1000, ..LIMITS }, 0);
    let sent = (0..10_000).filter(|now| pace.send(beginning(*now), 100, &CALM, *now).is_ok()).count();
    assert_eq!(sent, 149);
}
