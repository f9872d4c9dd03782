use super::*;
use crate::MemberId;

#[test]
fn each_is_told_a_logarithm_of_times_and_the_least_told_first() {
    let place = |key: u8| Place { origin: MemberId(1), kind: 1, key: vec![key] };
    assert_eq!([1, 3, 12, 50].map(tellings), [2, 3, 5, 7]);
    let mut fresh = Fresh::default();
    fresh.add(place(1));
    (0..4).for_each(|_| fresh.told(&place(1), 12));
    fresh.add(place(2));
    assert!(fresh.in_order().eq(&[place(2), place(1)]));
    fresh.told(&place(1), 12);
    assert!(fresh.in_order().eq(&[place(2)]));
    fresh.told(&place(9), 12);
    fresh.retain(|place| place.key != [2]);
    assert!(fresh.is_empty());
}
