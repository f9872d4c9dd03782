use rand::SeedableRng;

use super::*;
use crate::{Incarnation, MemberId};

#[test]
fn each_member_is_picked_once_a_pass_and_failed_ones_are_skipped() {
    let member = |id| Member {
        id: MemberId(id),
        incarnation: Incarnation(1),
        rejoins: 0,
        address: ([10, 0, 0, 1], 1).into(),
    };
    let all: Vec<_> = (0..5).map(member).collect();
    let (mut cycle, mut rng) = (Cycle::default(), StdRng::seed_from_u64(1));
    for _ in 0..10 {
        let mut picked: Vec<_> = (0..5).flat_map(|_| cycle.next(1, &all, &mut rng)).collect();
        picked.sort_by_key(|member| member.id);
        assert_eq!(picked, all);
    }
    assert_eq!(cycle.next(9, &all, &mut rng).len(), 5);
    assert!((0..9).flat_map(|_| cycle.next(2, &all[1..], &mut rng)).all(|picked| picked != all[0]));
    assert_eq!(cycle.next(1, &[], &mut rng), []);
}
