//! What the decisions cost: bytes of a word, and time on one core.

use std::hint::black_box;
use std::time::Instant;

use glenrail_overload::level::{Class, Fleet, Heard, RoleWait, Word};
use glenrail_overload::priority::{Admission, Place, Request, RetryAfter, Served};
use glenrail_overload::wire;

const TIMES: u32 = 10_000;

/// A word of a busy member: eight classes, twelve bands.
fn word() -> Word {
    let class = |class| Class {
        class,
        arrived: 90_000,
        marked: 9_000,
        refused: 9_000,
        first: 80_000,
        attempts: 88_000,
    };
    Word {
        life: 1_700_000_000_000,
        number: 100_000,
        wish: 300,
        pressure: 1_200,
        waits: vec![RoleWait { role: 0, wait: 700, aim: 600 }, RoleWait { role: 1, wait: 90, aim: 600 }],
        classes: (0..8).map(class).collect(),
        bands: (0..12).map(|n| (n * 4, 900_000)).collect(),
        seen: Some(40_000_000),
        spare: vec![4_000, 2_000],
    }
}

fn nanoseconds(mut step: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..TIMES).for_each(&mut step);
    start.elapsed().as_nanos() as f64 / f64::from(TIMES)
}

pub fn print() {
    println!("\na word: {} bytes", wire::encode(&word()).map_or(0, |bytes| bytes.len()));
    for members in [3, 12, 50] {
        let heard: Vec<Heard> = (0..members).map(|member| Heard { member, age: 100, word: word() }).collect();
        let took = nanoseconds(|_| _ = black_box(Fleet::of(black_box(&heard))));
        println!("the fleet from {members} words: {:.1} us", took / 1_000.0);
    }
    let bounds = RetryAfter { told: true, least: 200, most: 5_000 };
    let mut admission = Admission::new(bounds, Served::new(10_000, 60_000, 0));
    admission.set(500, 0, &Fleet::of(&[Heard { member: 0, age: 0, word: word() }]).bands);
    let judge = nanoseconds(|n| {
        let place = Place::of(&[3; 32], b"owner", &n.to_le_bytes());
        black_box(admission.judge(u64::from(n), &Request { band: 20, place, later: false }));
    });
    println!("a request's place and verdict: {judge:.0} ns");
}
