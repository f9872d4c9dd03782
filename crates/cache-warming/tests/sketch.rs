//! The sketch against exact counts.

use std::collections::HashMap;

use glenrail_cache_warming::sketch::Sketch;
use glenrail_cache_warming::sketch_codec::{decode, encode, SketchDecodeError, FORMAT_VERSION};
use glenrail_cache_warming::{Member, Model, Node, PromptPrefix, Team};
use proptest::prelude::*;

const HALF_LIFE: u64 = 10_000;

fn prefix(id: u64) -> PromptPrefix {
    PromptPrefix { team: Team(id % 3), model: Model(id % 2), key: id }
}

/// Generates requests as (prefix, tokens, time since the last one, member).
fn requests() -> impl Strategy<Value = Vec<(u64, u32, u64, usize)>> {
    let skewed = prop_oneof![4 => 0u64..4, 1 => 0u64..60];
    prop::collection::vec((skewed, 1u32..4000, 0u64..3000, 0usize..3), 1..400)
}

fn count(
    requests: &[(u64, u32, u64, usize)], capacity: usize,
) -> (Vec<Sketch>, HashMap<PromptPrefix, f64>, u64) {
    let mut sketches = vec![Sketch::new(capacity, HALF_LIFE, 0); 3];
    let (mut exact, mut now): (HashMap<PromptPrefix, f64>, u64) = (HashMap::new(), 0);
    for (id, tokens, elapsed, member) in requests {
        now += elapsed;
        exact.values_mut().for_each(|w| *w *= (-(*elapsed as f64) / HALF_LIFE as f64).exp2());
        *exact.entry(prefix(*id)).or_default() += f64::from(*tokens);
        sketches[*member].record_request(prefix(*id), *tokens, Some(Node(1)), now);
    }
    (sketches, exact, now)
}

/// Checks that no count exceeds its true value or falls short of it by more than the stated undercount, and
/// that the undercount is within its bound.
fn check_bounds(
    sketch: &Sketch, exact: &HashMap<PromptPrefix, f64>, capacity: usize,
) -> Result<(), TestCaseError> {
    let (total, slack) = (exact.values().sum::<f64>(), 1e-6);
    prop_assert!((sketch.total() - total).abs() <= total * slack);
    prop_assert!(sketch.max_undercount() <= total / (capacity as f64 + 1.0) + slack);
    for (prefix, weight) in exact {
        let counted = sketch.get(prefix).map_or(0.0, |stats| stats.weight);
        prop_assert!(counted <= weight + weight * slack, "{counted} {weight}");
        prop_assert!(counted + sketch.max_undercount() >= weight - total * slack, "{counted} {weight}");
    }
    Ok(())
}

proptest! {
    #[test]
    fn counts_are_within_the_stated_bound(requests in requests(), capacity in 1usize..20) {
        let single_member: Vec<_> = requests.iter().map(|a| (a.0, a.1, a.2, 0)).collect();
        let (sketches, exact, now) = count(&single_member, capacity);
        let mut sketch = sketches[0].clone();
        sketch.decay(now);
        check_bounds(&sketch, &exact, capacity)?;
        prop_assert!(sketch.len() <= 2 * capacity);
    }

    /// The bound also holds for sketches that were encoded, whole or cut to a few prefixes.
    #[test]
    fn merged_counts_are_within_the_stated_bound(
        requests in requests(), capacity in 1usize..20, room in 60usize..2000
    ) {
        let (sketches, exact, now) = count(&requests, capacity);
        let mut merged = Sketch::new(capacity, HALF_LIFE, now);
        sketches.iter().for_each(|s| merged.merge(s, now));
        check_bounds(&merged, &exact, capacity)?;

        let all_encoded: Vec<Vec<u8>> = sketches.iter().map(|s| encode(s, room, now)).collect();
        let mut merged_encoded = Sketch::new(capacity, HALF_LIFE, now);
        let mut min_prefixes = capacity;
        for encoded in &all_encoded {
            prop_assert!(encoded.len() <= room);
            let received = decode(encoded, capacity, HALF_LIFE, 500, now + 500)
                .map_err(|e| TestCaseError::fail(e.to_string()))?;
            // What was cut to fit is part of the stated undercount.
            min_prefixes = min_prefixes.min(received.len());
            merged_encoded.merge(&received, now + 500);
        }
        let decayed: HashMap<_, _> =
            exact.iter().map(|(b, w)| (*b, w * (-500.0 / HALF_LIFE as f64).exp2())).collect();
        let nothing_cut = all_encoded.iter().zip(&sketches).all(|(_, s)| s.len() <= min_prefixes);
        check_bounds(&merged_encoded, &decayed, if nothing_cut { min_prefixes } else { 0 })?;
    }

    #[test]
    fn decoding_accepts_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut framed = vec![FORMAT_VERSION];
        framed.extend(&bytes);
        for encoded in [bytes, framed] {
            if let Ok(sketch) = decode(&encoded, 4, HALF_LIFE, 0, 0) {
                prop_assert!(sketch.len() <= 8 && sketch.total().is_finite());
            }
        }
    }
}

#[test]
fn an_encoded_sketch_is_decoded_and_other_formats_are_rejected() {
    let mut sketch = Sketch::new(8, HALF_LIFE, 1000);
    sketch.record_request(prefix(5), 700, Some(Node(9)), 2000);
    sketch.add_holder(&prefix(5), Member(4));
    let mut bytes = encode(&sketch, 1100, 2500);
    // Received on a clock with another origin.
    let received = decode(&bytes, 8, HALF_LIFE, 100, 90_100).expect("a sketch encoded by this build");
    let stats = received.get(&prefix(5)).expect("the prefix is in the sketch");
    assert_eq!(
        (stats.last_requested, stats.prefill_nodes.clone(), stats.holders.clone()),
        (89_500, vec![(Node(9), 89_500)], vec![Member(4)])
    );
    assert!(matches!(decode(&bytes, 8, HALF_LIFE + 1, 0, 0), Err(SketchDecodeError::HalfLife { .. })));
    bytes[0] = 9;
    let rejected = decode(&bytes, 8, HALF_LIFE, 0, 0).map(|_| ());
    assert_eq!(rejected, Err(SketchDecodeError::Format { found: 9 }));
}
