//! Time of a check with 10,000 teams and 1,000 models, compared with the reference implementation, and time
//! to compile the table.
//!
//!     cargo bench -p glenrail-grants --bench check

#[path = "../tests/support/large.rs"]
mod large;

use divan::{black_box, Bencher};
use glenrail_grants::compiled::Table;
use glenrail_grants::reference::ReferenceTable;
use glenrail_grants::sections::Sections;
use large::{document, model, team, MODELS, TEAMS};

fn main() {
    let table = Table::from_document(&document());
    let (rows, blocks, timelines) = table.sizes();
    println!("{rows} rows, {blocks} blocks of 64 cells, {timelines} timelines");
    divan::main();
}

/// Returns pairs of a team and a model that are spread over the table, so that a check rarely finds its cells
/// in the CPU cache because the previous check loaded them.
fn pairs() -> Vec<(usize, usize)> {
    (0..1 << 16).map(|n: usize| (n * 7_919 % (TEAMS - 110), n * 104_729 / 3 % MODELS)).collect()
}

#[divan::bench(sample_count = 100, sample_size = 1000)]
fn by_ids(bencher: Bencher) {
    let table = Table::from_document(&document());
    let ids: Vec<_> = pairs()
        .into_iter()
        .filter_map(|(t, m)| Some((table.team(&team(t))?, table.model(&model(m))?)))
        .collect();
    let mut n = 0;
    bencher.bench_local(|| {
        n = (n + 1) % ids.len();
        black_box(table.check(ids[n].0, ids[n].1, n as u64))
    });
}

#[divan::bench(sample_count = 100, sample_size = 1000)]
fn by_names(bencher: Bencher) {
    let table = Table::from_document(&document());
    let names: Vec<_> = pairs().into_iter().map(|(t, m)| (team(t), model(m))).collect();
    let mut n = 0;
    bencher.bench_local(|| {
        n = (n + 1) % names.len();
        black_box(table.check_names(&names[n].0, &names[n].1, n as u64))
    });
}

#[divan::bench(sample_count = 50, sample_size = 4)]
fn reference_by_names(bencher: Bencher) {
    let reference = ReferenceTable::new(&Sections::from_document(&document()));
    let names: Vec<_> = pairs().into_iter().map(|(t, m)| (team(t), model(m))).collect();
    let mut n = 0;
    bencher.bench_local(|| {
        n = (n + 1) % names.len();
        black_box(reference.check(&names[n].0, &names[n].1, n as u64))
    });
}

#[divan::bench(sample_count = 10, sample_size = 1)]
fn compile(bencher: Bencher) {
    let document = document();
    bencher.bench_local(|| Table::from_document(&document));
}
