//! The sketch against an exact map: recording requests and listing the 64 hottest prefixes, over 100,000
//! prefixes of which few are hot.
//! `cargo bench -p glenrail-cache-warming`

use std::collections::HashMap;

use divan::{black_box, Bencher};
use glenrail_cache_warming::sketch::Sketch;
use glenrail_cache_warming::{Model, Node, PromptPrefix, Team};

const REQUESTS: usize = 200_000;
const PREFIXES: f64 = 100_000.0;

fn main() {
    divan::main();
}

/// Returns the same requests in every run. The popularity of their prefixes approximates Zipf's law, by
/// inverse transform sampling of its continuous form.
fn requests() -> Vec<(PromptPrefix, u32)> {
    let mut rng = fastrand::Rng::with_seed(7);
    let rank = |unit: f64| PREFIXES.powf(unit) as u64;
    let one = |key: u64| {
        (PromptPrefix { team: Team(key % 100), model: Model(key % 7), key }, 500 + (key * 37 % 6000) as u32)
    };
    (0..REQUESTS).map(|_| one(rank(rng.f64()))).collect()
}

#[divan::bench(args = [64, 256, 1024], items_count = REQUESTS)]
fn sketch(bencher: Bencher, capacity: usize) {
    let requests = requests();
    bencher.bench(|| {
        let mut sketch = Sketch::new(capacity, 30_000, 0);
        for (at, (prefix, tokens)) in requests.iter().enumerate() {
            // The time advances by one second every 1,000 requests, as a caller with a coarse clock passes
            // it.
            sketch.record_request(*prefix, *tokens, Some(Node(1)), (at / 1000 * 1000) as u64);
        }
        black_box(sketch.hottest(64).len())
    });
}

/// The exact counterpart: one decayed count for each prefix, never removed.
#[divan::bench(items_count = REQUESTS)]
fn exact(bencher: Bencher) {
    let requests = requests();
    bencher.bench(|| {
        let mut exact: HashMap<PromptPrefix, (f64, u64)> = HashMap::new();
        for (at, (prefix, tokens)) in requests.iter().enumerate() {
            let now = (at / 1000 * 1000) as u64;
            let (weight, last_requested) = exact.entry(*prefix).or_insert((0.0, now));
            *weight = *weight * (-((now - *last_requested) as f64) / 30_000.0).exp2() + f64::from(*tokens);
            *last_requested = now;
        }
        let mut all: Vec<_> = exact.into_iter().collect();
        all.sort_by(|a, b| b.1 .0.total_cmp(&a.1 .0));
        black_box(all.len())
    });
}
