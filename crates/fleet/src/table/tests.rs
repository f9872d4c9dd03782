use proptest::prelude::*;

use super::*;
use crate::Settings;

const BOUNDS: fn() -> Bounds = || Bounds::from_settings(&Settings::default());

fn cell(origin: u64, incarnation: u64, key: u8, version: u64, value: u8) -> Cell {
    let id = CellId { origin: MemberId(origin), kind: u16::from(key % 3), key: vec![key] };
    let value = (!value.is_multiple_of(4)).then(|| vec![value]);
    Cell::new(id, Incarnation(incarnation), version, 0, value)
}

fn cells() -> impl Strategy<Value = Vec<Cell>> {
    let any_cell =
        (1u64..4, 1u64..3, 0u8..6, 1u64..8, 0u8..5).prop_map(|(o, i, k, v, x)| cell(o, i, k, v, x));
    prop::collection::vec(any_cell, 0..40)
}

/// Observable state of a table: its weight, digests and cells.
fn contents(table: &Table) -> (usize, Vec<Digest>, Vec<Cell>) {
    let digests = table.digests(MemberId(0), MemberId(u64::MAX));
    let held = digests.iter().flat_map(|digest| table.cells_above(0, digest.origin, 0)).collect();
    (table.bytes(), digests, held)
}

fn table_of(bounds: Bounds, cells: &[Cell]) -> Table {
    let mut table = Table::new(MemberId(9), bounds);
    cells.iter().for_each(|cell| {
        table.merge(0, cell);
    });
    table
}

/// One round of anti-entropy between two members: both compare the digests and merge the cells that they lack.
fn repair(a: &mut Table, b: &mut Table) {
    let all = (MemberId(0), MemberId(u64::MAX));
    let (digests_of_a, digests_of_b) = (a.digests(all.0, all.1), b.digests(all.0, all.1));
    let ids: std::collections::BTreeSet<_> =
        digests_of_a.iter().chain(&digests_of_b).map(|digest| digest.origin).collect();
    for id in ids {
        let find = |all: &[Digest]| all.iter().find(|digest| digest.origin == id).copied();
        let (in_a, in_b) = (find(&digests_of_a), find(&digests_of_b));
        let (need_a, need_b) = (compare(in_a.as_ref(), in_b.as_ref()), compare(in_b.as_ref(), in_a.as_ref()));
        let from_a = need_a.send_above_version.map_or(Vec::new(), |version| a.cells_above(0, id, version));
        let from_b = need_b.send_above_version.map_or(Vec::new(), |version| b.cells_above(0, id, version));
        assert!(
            need_a.request == need_b.send_above_version.is_some(),
            "one side requests exactly what the other would send"
        );
        from_a.iter().for_each(|cell| {
            b.merge(0, cell);
        });
        from_b.iter().for_each(|cell| {
            a.merge(0, cell);
        });
    }
}

proptest! {
    #[test]
    fn merging_is_commutative_and_idempotent(mut cells_to_merge in cells(), seed in any::<u64>()) {
        let once = contents(&table_of(BOUNDS(), &cells_to_merge));
        let twice: Vec<_> = cells_to_merge.iter().chain(&cells_to_merge).cloned().collect();
        prop_assert_eq!(&contents(&table_of(BOUNDS(), &twice)), &once);
        // Merges the cells in a random order.
        cells_to_merge.sort_by_key(|cell| {
            blake3::hash(&[&seed.to_le_bytes()[..], format!("{cell:?}").as_bytes()].concat()).as_bytes().to_owned()
        });
        prop_assert_eq!(&contents(&table_of(BOUNDS(), &cells_to_merge)), &once);
    }

    #[test]
    fn digests_repair_any_two_tables(first in cells(), second in cells()) {
        let (mut a, mut b) = (table_of(BOUNDS(), &first), table_of(BOUNDS(), &second));
        let union = contents(&table_of(BOUNDS(), &[first, second].concat()));
        for _ in 0..3 {
            repair(&mut a, &mut b);
        }
        prop_assert_eq!(contents(&a), contents(&b));
        prop_assert_eq!(contents(&a), union);
    }

    #[test]
    fn merging_never_exceeds_the_bounds(cells_to_merge in cells(), big in 0usize..300) {
        let bounds = Bounds {
            max_entries_per_origin: 3,
            max_bytes_per_origin: 400,
            max_origins: 2,
            max_total_bytes: 500,
            ..BOUNDS()
        };
        let mut table = Table::new(MemberId(9), bounds);
        for mut cell in cells_to_merge {
            cell.value = cell.value.map(|value| value.repeat(big));
            table.merge(0, &cell);
            prop_assert!(table.bytes() <= 500 && table.origins() <= 2);
            prop_assert!(table.digests(MemberId(0), MemberId(9)).iter().all(|digest| digest.cells <= 3));
            let weights: usize = contents(&table).2.iter().map(Cell::weight).sum();
            prop_assert_eq!(weights, table.bytes());
        }
    }

    /// Guards against members that keep different cells at the bound on the number of cells.
    #[test]
    fn cells_kept_at_a_bound_do_not_depend_on_the_merge_order(mut cells_to_merge in cells()) {
        let bounds = Bounds { max_entries_per_origin: 3, ..BOUNDS() };
        let forward = contents(&table_of(bounds, &cells_to_merge));
        cells_to_merge.reverse();
        prop_assert_eq!(contents(&table_of(bounds, &cells_to_merge)).2, forward.2);
    }
}

#[test]
fn the_age_of_a_cell_is_transferred_and_never_decreases() {
    let bounds = BOUNDS();
    let mut a = table_of(bounds, &[cell(1, 1, 1, 1, 1)]);
    let forwarded = a.cell(100_000, &cell(1, 1, 1, 1, 1).id).unwrap();
    assert_eq!(forwarded.age(), 100_000);
    // The second table's clock has another zero: only the age in the cell matters.
    let mut b = Table::new(MemberId(9), bounds);
    assert_eq!(b.merge(5, &forwarded), MergeOutcome::Applied);
    b.expire(5 + bounds.max_value_age - 100_000 - 1);
    assert_eq!(b.len(), 1);
    b.expire(5 + bounds.max_value_age - 100_000);
    assert_eq!(b.len(), 0);
    let late = a.cell(bounds.max_value_age, &forwarded.id).unwrap();
    assert_eq!(b.merge(7, &late), MergeOutcome::Expired);
    a.expire(bounds.max_value_age);
    assert!(a.is_empty() && a.bytes() == 0);
}

#[test]
fn a_tombstone_outlives_the_value() {
    let bounds = BOUNDS();
    let tombstone = cell(1, 1, 1, 2, 0);
    let mut table = table_of(bounds, &[cell(1, 1, 1, 1, 1), tombstone.clone()]);
    assert_eq!(table.get(MemberId(1), 1, &[1]), None);
    table.expire(bounds.max_value_age);
    assert_eq!(table.merge(bounds.max_value_age, &cell(1, 1, 1, 1, 1)), MergeOutcome::Stale);
    table.expire(2 * bounds.max_value_age);
    assert!(table.is_empty());
}

#[test]
fn a_later_incarnation_drops_all_cells_of_an_earlier() {
    let mut table = table_of(BOUNDS(), &[cell(1, 1, 1, 7, 1), cell(1, 1, 2, 8, 1)]);
    assert_eq!(table.merge(0, &cell(1, 2, 3, 1, 1)), MergeOutcome::Applied);
    assert_eq!((table.len(), table.incarnation(MemberId(1))), (1, Some(Incarnation(2))));
    assert_eq!(table.merge(0, &cell(1, 1, 1, 9, 1)), MergeOutcome::Stale);
    assert!(table.advance_incarnation(MemberId(1), Incarnation(3)) && table.is_empty());
}
