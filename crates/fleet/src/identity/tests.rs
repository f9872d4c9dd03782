use foca::Identity as _;

use super::*;

#[test]
fn a_later_incarnation_wins_over_any_rejoin_of_an_earlier() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let old = Member { id: MemberId::of_name("a"), incarnation: Incarnation(1), rejoins: 9, address };
    let new = Member { incarnation: Incarnation(2), rejoins: 0, ..old };
    assert!(new.win_addr_conflict(&old) && !old.win_addr_conflict(&new));
    assert!(old.renew().is_some_and(|renewed| renewed.win_addr_conflict(&old)));
}
