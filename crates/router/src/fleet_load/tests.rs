//! Decisions about many routers keep their order and bounds whatever is seen.

use super::*;
use crate::api::ServerEntry;
use proptest::prelude::*;

fn sight() -> impl Strategy<Value = Sight> {
    prop_oneof![
        (0.0..80.0, any::<bool>()).prop_map(|(load, crowded)| Sight::Seen(load, crowded)),
        Just(Sight::Unseen),
        Just(Sight::Asked),
        Just(Sight::Deaf),
    ]
}

proptest! {
    /// Whatever is seen, a request goes to one of its candidates, never past one that would do, and what was
    /// asked is never asked again.
    #[test]
    fn the_first_that_will_do_gets_it(sights in prop::collection::vec(sight(), 1..6), may_look: bool) {
        match next(&sights, may_look) {
            Next::Send(n) => {
                prop_assert!(n < sights.len());
                let will_do = |s: &Sight| matches!(s, Sight::Seen(_, false) | Sight::Asked);
                prop_assert!(!sights[..n].iter().any(will_do));
                if let Sight::Seen(load, true) = sights[n] {
                    let less = |s: &Sight| matches!(s, Sight::Seen(other, _) if *other < load);
                    prop_assert!(!sights.iter().any(less));
                }
            }
            Next::Look(which) => {
                prop_assert!(may_look && !which.is_empty());
                prop_assert!(which.iter().all(|n| sights[*n] == Sight::Unseen));
            }
            Next::Wait => prop_assert!(sights.contains(&Sight::Asked)),
        }
    }

    /// Asking on behalf of a request comes to an end: two rounds of looks at the most.
    #[test]
    fn looks_come_to_an_end(answers in prop::collection::vec(sight(), 1..6)) {
        let mut sights = vec![Sight::Unseen; answers.len()];
        for _ in 0..=2 {
            match next(&sights, true) {
                Next::Send(_) => return Ok(()),
                Next::Look(which) => for n in which {
                    let heard = matches!(answers[n], Sight::Seen(..));
                    sights[n] = if heard { answers[n] } else { Sight::Deaf };
                }
                Next::Wait => prop_assert!(false, "nothing is out"),
            }
        }
        prop_assert!(false, "still looking: {:?}", sights);
    }

    /// Dearer looks are never more, and at the price of our deployments there are four and two.
    #[test]
    fn dearer_looks_are_fewer(a in 0.0..0.1f64, b in 0.0..0.1f64, moved in 0.0..0.1f64) {
        let (cheap, dear) = (a.min(b), a.max(b));
        prop_assert!(looks_earned(dear) <= looks_earned(cheap) && looks_earned(cheap) <= LOOKS);
        prop_assert!(looks_earned(dear) * dear <= LOOKS_MAY_COST + 1e-9);
        prop_assert!(writers_seen(dear, moved) <= writers_seen(cheap, moved));
        prop_assert_eq!((looks_earned(0.003), writers_seen(0.003, 0.03)), (4.0, 2));
        prop_assert_eq!((looks_earned(0.012), writers_seen(0.012, 0.03)), (1.0, 1));
        prop_assert_eq!(writers_seen(a.max(1e-6), 0.0), 0);
    }

    /// More requests for a beginning never take a home away, and there are never more homes than readers.
    #[test]
    fn homes_grow_with_what_is_asked(asked in 1.0..50.0, more in 0.0..50.0, others in 0.0..200.0,
                                     readers in 1usize..200, routers in 1.0..400.0) {
        let few = homes(asked, asked + others, readers, routers, 1.0);
        let many = homes(asked + more, asked + more + others, readers, routers, 1.0);
        prop_assert!(1 <= few && few <= many && many <= readers);
    }

    /// A beginning asks for more the more of all is asked for it, and never for more than there is; of
    /// its home never for more than of another.
    #[test]
    fn a_beginning_asks_for_its_share(asked in 0.0..50.0, more in 0.0..50.0, others in 0.0..200.0,
                                      weights in prop::collection::vec(0.1..4.0f64, 1..60)) {
        let of = |(weight, n)| {
            let info = ServerEntry { weight, server: ServerId(n), ..ServerEntry::default() };
            Server { info, ..Server::default() }
        };
        let readers: Vec<Server> = weights.iter().copied().zip(0..).map(of).collect();
        let asks = |asked: f64, home: Option<&ServerId>, of: &Server| {
            Asked::of([asked + others, asked], readers.iter(), home).at(of)
        };
        let s = &readers[0];
        prop_assert!(asks(asked, None, s) <= asks(asked + more, None, s));
        prop_assert!(asks(asked, None, s) <= weights.iter().sum());
        prop_assert_eq!(asks(asked.min(1.0), None, s), 0.0);
        let home = asks(asked, Some(&s.info.server), s);
        prop_assert!(home <= asks(asked, None, s) && home <= weights[0]);
    }

    /// A server is not crowded for having what the others have, give or take the floor; one hot server among few
    /// that were heard of does not make its own load the usual one.
    #[test]
    fn the_usual_load_is_not_crowded(loads in prop::collection::vec(0.0..60.0, 0..40), hot in 10.0..80.0) {
        let middle = usual(loads.clone());
        prop_assert!(!crowded(middle, middle) && !crowded(middle + FLOOR, middle));
        prop_assert!(crowded(hot, usual(vec![hot])));
    }

    /// A wait is told by what the reader has in hand, by a fresh word only, and only where own requests cannot.
    #[test]
    fn a_wait_is_told_by_what_is_in_hand(load in 0.0..60.0, more in 0.1..10.0, age in 0.0..2_000.0) {
        let at = |load| Server { seen: Some((load, 0.0)), ..Server::default() };
        let (less, wait) = (told_wait(&at(load), 300.0, age, 0.1, 900.0), told_wait(&at(load + more), 300.0, age, 0.1, 900.0));
        prop_assert_eq!(less < wait, age <= SEEN);
        prop_assert_eq!(told_wait(&at(load), 2.0, age, 0.1, 900.0), 0.0);
    }

    /// What a server said long ago is worth nothing, and what it says now everything.
    #[test]
    fn what_was_seen_fades_into_the_usual(load in 0.0..60.0, usual in 1.0..20.0, age in 0.0..60_000.0) {
        let s = Server { seen: Some((load, 0.0)), ..Server::default() };
        prop_assert_eq!(reckon(&s, 0.0, usual, false), load);
        let late = reckon(&s, age, usual, false);
        prop_assert!(late >= load.min(usual) - 1e-9 && late <= load.max(usual) + 1e-9);
        prop_assert!((reckon(&s, 1e6, usual, false) - usual).abs() < 1e-6);
    }
}
