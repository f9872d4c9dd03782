//! Pacing of the prefills that warm a node.

use glenrail_cache_warming::pace::{LoadReport, NodeState, Pacer, PacingError, PacingLimits};
use glenrail_cache_warming::{Model, Node, PromptPrefix, Team};
use proptest::prelude::*;

const LIMITS: PacingLimits = PacingLimits {
    max_in_flight: 3,
    max_level: 0,
    max_wait: 500,
    max_age: 1000,
    calm_time: 300,
    tokens_per_second: 2000,
    burst: 4000,
};
const CALM: LoadReport = LoadReport { level: 0, wait: 100, age: 0, node_state: NodeState::Serving };

fn prefix(key: u64) -> PromptPrefix {
    PromptPrefix { team: Team(0), model: Model(0), key }
}

fn reports() -> impl Strategy<Value = LoadReport> {
    let node_state = prop_oneof![
        8 => Just(NodeState::Serving),
        1 => Just(NodeState::Draining),
        1 => Just(NodeState::Unavailable),
    ];
    let level = prop_oneof![4 => Just(0u32), 1 => 1u32..1000];
    (level, 0u64..600, 0u64..1200, node_state).prop_map(|(level, wait, age, node_state)| LoadReport {
        level,
        wait,
        age,
        node_state,
    })
}

proptest! {
    /// Guards client requests against prefills: none is in flight while there is a reason to stop, none
    /// starts within the calm time after it, and the number in flight and the tokens stay within their
    /// limits.
    #[test]
    fn prefills_stay_within_the_limits(
        steps in prop::collection::vec((reports(), 1u32..6000, 0u64..2000, any::<bool>()), 1..150)
    ) {
        let mut pacer = Pacer::new(Node(1), LIMITS, 0);
        let (mut now, mut last_trouble, mut sent_tokens): (u64, Option<u64>, u64) = (0, None, 0);
        for (at, (report, tokens, elapsed, finishes)) in steps.into_iter().enumerate() {
            now += elapsed;
            let must_stop =
                report.level > 0 || report.wait > 500 || report.age > 1000 || report.node_state != NodeState::Serving;
            let stopped = pacer.update(&report, now);
            prop_assert!(must_stop || stopped.is_empty());
            if pacer.admit(prefix(at as u64), tokens, &report, now).is_ok() {
                sent_tokens += u64::from(tokens);
                prop_assert!(!must_stop && last_trouble.is_none_or(|t| now >= t + 300));
                prop_assert!(sent_tokens <= now * 2 + 4000 + 6000, "{sent_tokens} {now}");
            }
            if must_stop {
                last_trouble = Some(now);
                prop_assert!(pacer.in_flight().is_empty());
            }
            prop_assert!(pacer.in_flight().len() <= 3);
            if finishes {
                pacer.in_flight().first().copied().iter().for_each(|b| pacer.finish(b));
            }
        }
    }
}

#[test]
fn a_higher_load_level_cancels_prefills_until_it_has_been_calm() {
    let mut pacer = Pacer::new(Node(1), LIMITS, 0);
    assert_eq!(
        pacer.admit(prefix(1), 1000, &CALM, 0),
        Err(PacingError::RateLimit { node: Node(1), ms: 500 })
    );
    assert_eq!(pacer.admit(prefix(1), 1000, &CALM, 500), Ok(()));
    assert_eq!(pacer.update(&LoadReport { level: 1, ..CALM }, 600), [prefix(1)]);
    assert_eq!(pacer.admit(prefix(2), 100, &CALM, 800), Err(PacingError::Recovering { ms: 100 }));
    assert_eq!(pacer.admit(prefix(2), 100, &CALM, 900), Ok(()));
    let draining = LoadReport { node_state: NodeState::Draining, ..CALM };
    assert_eq!(pacer.update(&draining, 901), [prefix(2)]);
    assert_eq!(pacer.admit(prefix(3), 1, &draining, 5000), Err(PacingError::Draining(Node(1))));
}

/// Guards against rounding: a rate that is no whole number of tokens per millisecond is reached even if a
/// prefill is attempted every millisecond.
#[test]
fn fractions_of_a_token_are_not_lost() {
    let mut pacer =
        Pacer::new(Node(1), PacingLimits { tokens_per_second: 1500, max_in_flight: 1000, ..LIMITS }, 0);
    let sent = (0..10_000).filter(|now| pacer.admit(prefix(*now), 100, &CALM, *now).is_ok()).count();
    assert_eq!(sent, 149);
}
