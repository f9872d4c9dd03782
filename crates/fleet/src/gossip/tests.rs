use super::*;
use crate::MemberId;

#[test]
fn each_cell_is_sent_logarithmically_often_and_the_least_sent_first() {
    let id = |key: u8| CellId { origin: MemberId(1), kind: 1, key: vec![key] };
    assert_eq!([1, 3, 12, 50].map(transmission_limit), [2, 3, 5, 7]);
    let mut queue = GossipQueue::default();
    queue.add(id(1));
    (0..4).for_each(|_| queue.count_transmission(&id(1), 12));
    queue.add(id(2));
    assert!(queue.in_order().eq(&[id(2), id(1)]));
    queue.count_transmission(&id(1), 12);
    assert!(queue.in_order().eq(&[id(2)]));
    queue.count_transmission(&id(9), 12);
    queue.retain(|id| id.key != [2]);
    assert!(queue.is_empty());
}
