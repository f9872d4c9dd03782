use super::*;
use crate::{CellId, Incarnation};

#[test]
fn pages_fit_and_omit_no_cell_that_could_fit() {
    let cell = |index: u64, bytes: usize| {
        let id = CellId { origin: MemberId(index), kind: 300, key: vec![1; 9] };
        Cell::new(id, Incarnation(u64::MAX), u64::MAX, 5_000, Some(vec![0; bytes]))
    };
    let cells: Vec<_> = (0..200).map(|index| cell(index, index as usize * 7)).collect();
    let (pages, oversized) = paginate(cells, MAX_BODY_BYTES);
    assert!(pages.iter().all(|page| Body::Cells(page.clone()).to_bytes().len() <= MAX_BODY_BYTES));
    assert_eq!(pages.iter().map(Vec::len).sum::<usize>() + oversized, 200);
    assert!(oversized > 0 && oversized < 60);
}

#[test]
fn the_longest_digests_fit() {
    let digest = Digest {
        origin: MemberId(u64::MAX),
        incarnation: Incarnation(u64::MAX),
        cells: u32::MAX,
        newest_version: u64::MAX,
        truncated: true,
        hash: u64::MAX,
    };
    let digests = vec![digest; MAX_DIGESTS_PER_DATAGRAM];
    let (from, to) = (MemberId(0), MemberId(u64::MAX));
    assert!(Body::Digests { from, to, digests }.to_bytes().len() <= MAX_BODY_BYTES);
}

#[test]
fn truncated_overlong_and_unknown_bodies_are_not_parsed() {
    let bytes = Body::Swim(vec![1, 2, 3]).to_bytes();
    assert_eq!(Body::parse(&bytes), Some(Body::Swim(vec![1, 2, 3])));
    assert_eq!(Body::parse(&bytes[..3]), None);
    assert_eq!(Body::parse(&[&bytes[..], &[0]].concat()), None);
    assert_eq!(Body::parse(&[200, 1, 0]), None);
}
