//! The sketch against exact counts.

use std::collections::HashMap;

use glenrail_cache_warming::sketch::Sketch;
use glenrail_cache_warming::sketch_codec::{from_bytes, to_bytes, WordError, FORMAT};
use glenrail_cache_warming::{Beginning, Member, Model, Node, Team};
use proptest::prelude::*;

const HALF: u64 = 10_000;

fn beginning(name: u64) -> Beginning {
    Beginning { team: Team(name % 3), model: Model(name % 2), prefix: name }
}

/// Generates requests as (prefix, tokens, time since the last one, member).
fn asks() -> impl Strategy<Value = Vec<(u64, u32, u64, usize)>> {
    let skewed = prop_oneof![4 => 0u64..4, 1 => 0u64..60];
    prop::collection::vec((skewed, 1u32..4000, 0u64..3000, 0usize..3), 1..400)
}

fn count(asks: &[(u64, u32, u64, usize)], capacity: usize) -> (Vec<Sketch>, HashMap<Beginning, f64>, u64) {
    let mut sketches = vec![Sketch::new(capacity, HALF, 0); 3];
    let (mut exact, mut now): (HashMap<Beginning, f64>, u64) = (HashMap::new(), 0);
    for (name, tokens, later, member) in asks {
        now += later;
        exact.values_mut().for_each(|w| *w *= (-(*later as f64) / HALF as f64).exp2());
        *exact.entry(beginning(*name)).or_default() += f64::from(*tokens);
        sketches[*member].asked(beginning(*name), *tokens, Some(Node(1)), now);
    }
    (sketches, exact, now)
}

/// Checks that no count exceeds its true value or falls short of it by more than the stated undercount, and
/// that the undercount is within its bound.
fn holds(sketch: &Sketch, exact: &HashMap<Beginning, f64>, capacity: usize) -> Result<(), TestCaseError> {
    let (total, slack) = (exact.values().sum::<f64>(), 1e-6);
    prop_assert!((sketch.total() - total).abs() <= total * slack);
    prop_assert!(sketch.short_by() <= total / (capacity as f64 + 1.0) + slack);
    for (beginning, weight) in exact {
        let counted = sketch.get(beginning).map_or(0.0, |seen| seen.weight);
        prop_assert!(counted <= weight + weight * slack, "{counted} {weight}");
        prop_assert!(counted + sketch.short_by() >= weight - total * slack, "{counted} {weight}");
    }
    Ok(())
}

proptest! {
    #[test]
    fn counts_are_within_the_stated_bound(asks in asks(), capacity in 1usize..20) {
        let alone: Vec<_> = asks.iter().map(|a| (a.0, a.1, a.2, 0)).collect();
        let (sketches, exact, now) = count(&alone, capacity);
        let mut sketch = sketches[0].clone();
        sketch.decay(now);
        holds(&sketch, &exact, capacity)?;
        prop_assert!(sketch.len() <= 2 * capacity);
    }

    /// The bound also holds for sketches that were encoded, whole or cut to a few prefixes.
    #[test]
    fn merged_counts_are_within_the_stated_bound(asks in asks(), capacity in 1usize..20, room in 60usize..2000) {
        let (sketches, exact, now) = count(&asks, capacity);
        let mut merged = Sketch::new(capacity, HALF, now);
        sketches.iter().for_each(|s| merged.merge(s, now));
        holds(&merged, &exact, capacity)?;

        let words: Vec<Vec<u8>> = sketches.iter().map(|s| to_bytes(s, room, now)).collect();
        let mut told = Sketch::new(capacity, HALF, now);
        let mut fewest = capacity;
        for word in &words {
            prop_assert!(word.len() <= room);
            let heard = from_bytes(word, capacity, HALF, 500, now + 500).map_err(|e| TestCaseError::fail(e.to_string()))?;
            // What was cut to fit is part of the stated undercount.
            fewest = fewest.min(heard.len());
            told.merge(&heard, now + 500);
        }
        let decayed: HashMap<_, _> = exact.iter().map(|(b, w)| (*b, w * (-500.0 / HALF as f64).exp2())).collect();
        let full = words.iter().zip(&sketches).all(|(_, s)| s.len() <= fewest);
        holds(&told, &decayed, if full { fewest } else { 0 })?;
    }

    #[test]
    fn bytes_never_break_a_reader(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut framed = vec![FORMAT];
        framed.extend(&bytes);
        for word in [bytes, framed] {
            if let Ok(sketch) = from_bytes(&word, 4, HALF, 0, 0) {
                prop_assert!(sketch.len() <= 8 && sketch.total().is_finite());
            }
        }
    }
}

#[test]
fn a_word_is_read_back_and_a_foreign_one_refused_by_name() {
    let mut sketch = Sketch::new(8, HALF, 1000);
    sketch.asked(beginning(5), 700, Some(Node(9)), 2000);
    sketch.holds(&beginning(5), Member(4));
    let mut bytes = to_bytes(&sketch, 1100, 2500);
    // Received on a clock with another origin.
    let heard = from_bytes(&bytes, 8, HALF, 100, 90_100).expect("a sketch encoded by this build");
    let seen = heard.get(&beginning(5)).expect("the prefix is in the sketch");
    assert_eq!(
        (seen.last_asked, seen.read_at.clone(), seen.holders.clone()),
        (89_500, vec![(Node(9), 89_500)], vec![Member(4)])
    );
    assert!(matches!(from_bytes(&bytes, 8, HALF + 1, 0, 0), Err(WordError::HalfLife { .. })));
    bytes[0] = 9;
    let refused = from_bytes(&bytes, 8, HALF, 0, 0).map(|_| ());
    assert_eq!(refused, Err(WordError::Format { found: 9 }));
}
