//! The index against plain maps: the cost of a point read, of a change while a view exists, and of an ordered
//! scan of 100 keys.
//!
//!     cargo bench -p glenrail-store --bench index

use std::collections::{BTreeMap, HashMap};

use divan::{black_box, Bencher};
use imbl::OrdMap;

type Value = [u64; 6];

fn main() {
    divan::main();
}

fn key(n: u64) -> Box<[u8]> {
    // Scattered, so that successive keys are not adjacent in the tree.
    n.wrapping_mul(0x9E37_79B9_7F4A_7C15).to_be_bytes().into()
}

const SIZES: [u64; 3] = [1_000, 100_000, 1_000_000];

macro_rules! reads {
    ($name:ident, $map:ty) => {
        #[divan::bench(args = SIZES)]
        fn $name(bencher: Bencher, size: u64) {
            let map: $map = (0..size).map(|n| (key(n), Value::default())).collect();
            let mut n = 0;
            bencher.bench_local(|| {
                n = (n + 7) % size;
                black_box(map.get(&key(n)));
            });
        }
    };
}
reads!(read_ord_map, OrdMap<Box<[u8]>, Value>);
reads!(read_btree_map, BTreeMap<Box<[u8]>, Value>);
reads!(read_hash_map, HashMap<Box<[u8]>, Value>);

/// A change while a view exists: the tree with shared parts copies one path.
#[divan::bench(args = SIZES)]
fn change_beside_a_view_ord_map(bencher: Bencher, size: u64) {
    let mut map: OrdMap<Box<[u8]>, Value> = (0..size).map(|n| (key(n), Value::default())).collect();
    let mut n = 0;
    bencher.bench_local(|| {
        n = (n + 7) % size;
        let view = map.clone();
        map.insert(key(n), [n; 6]);
        view
    });
}

/// A change while a view exists: a plain map has to be copied whole, or locked against its readers.
#[divan::bench(args = [1_000, 100_000], sample_count = 20, sample_size = 1)]
fn change_beside_a_view_btree_map(bencher: Bencher, size: u64) {
    let mut map: BTreeMap<Box<[u8]>, Value> = (0..size).map(|n| (key(n), Value::default())).collect();
    let mut n = 0;
    bencher.bench_local(|| {
        n = (n + 7) % size;
        let view = map.clone();
        map.insert(key(n), [n; 6]);
        view
    });
}

macro_rules! scans {
    ($name:ident, $map:ty) => {
        #[divan::bench(args = SIZES)]
        fn $name(bencher: Bencher, size: u64) {
            let map: $map = (0..size).map(|n| (key(n), Value::default())).collect();
            let mut n = 0;
            bencher.bench_local(|| {
                n = (n + 7) % size;
                black_box(map.range::<Box<[u8]>, _>(key(n)..).take(100).map(|(_, v)| v[0]).sum::<u64>());
            });
        }
    };
}

#[divan::bench(args = SIZES)]
fn scan_ord_map(bencher: Bencher, size: u64) {
    let map: OrdMap<Box<[u8]>, Value> = (0..size).map(|n| (key(n), Value::default())).collect();
    let mut n = 0;
    bencher.bench_local(|| {
        n = (n + 7) % size;
        black_box(map.range::<_, Box<[u8]>>(key(n)..).take(100).map(|(_, v)| v[0]).sum::<u64>());
    });
}
scans!(scan_btree_map, BTreeMap<Box<[u8]>, Value>);
