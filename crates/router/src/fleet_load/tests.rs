//! Decisions about many routers keep their order and bounds whatever is seen.

use super::*;
use crate::api::ServerEntry;
use proptest::prelude::*;

fn sight() -> impl Strategy<Value = LoadKnowledge> {
    prop_oneof![
        (0.0..80.0, any::<bool>()).prop_map(|(load, crowded)| LoadKnowledge::Reported(load, crowded)),
        Just(LoadKnowledge::Unknown),
        Just(LoadKnowledge::Probing),
        Just(LoadKnowledge::NoAnswer),
    ]
}

proptest! {
    /// Whatever is seen, a request goes to one of its candidates, never past one that would do, and what was
    /// asked is never asked again.
    #[test]
    fn the_first_that_will_do_gets_it(sights in prop::collection::vec(sight(), 1..6), may_look: bool) {
        match next_step(&sights, may_look) {
            NextStep::Send(n) => {
                prop_assert!(n < sights.len());
                let will_do = |s: &LoadKnowledge| matches!(s, LoadKnowledge::Reported(_, false) | LoadKnowledge::Probing);
                prop_assert!(!sights[..n].iter().any(will_do));
                if let LoadKnowledge::Reported(load, true) = sights[n] {
                    let less = |s: &LoadKnowledge| matches!(s, LoadKnowledge::Reported(other, _) if *other < load);
                    prop_assert!(!sights.iter().any(less));
                }
            }
            NextStep::Probe(which) => {
                prop_assert!(may_look && !which.is_empty());
                prop_assert!(which.iter().all(|n| sights[*n] == LoadKnowledge::Unknown));
            }
            NextStep::Wait => prop_assert!(sights.contains(&LoadKnowledge::Probing)),
        }
    }

    /// Asking on behalf of a request comes to an end: two rounds of looks at the most.
    #[test]
    fn looks_come_to_an_end(answers in prop::collection::vec(sight(), 1..6)) {
        let mut sights = vec![LoadKnowledge::Unknown; answers.len()];
        for _ in 0..=2 {
            match next_step(&sights, true) {
                NextStep::Send(_) => return Ok(()),
                NextStep::Probe(which) => for n in which {
                    let heard = matches!(answers[n], LoadKnowledge::Reported(..));
                    sights[n] = if heard { answers[n] } else { LoadKnowledge::NoAnswer };
                }
                NextStep::Wait => prop_assert!(false, "nothing is out"),
            }
        }
        prop_assert!(false, "still looking: {:?}", sights);
    }

    /// Dearer looks are never more, and at the price of our deployments there are four and two.
    #[test]
    fn dearer_looks_are_fewer(a in 0.0..0.1f64, b in 0.0..0.1f64, moved in 0.0..0.1f64) {
        let (cheap, dear) = (a.min(b), a.max(b));
        prop_assert!(probes_earned(dear) <= probes_earned(cheap) && probes_earned(cheap) <= MAX_PROBES_PER_REQUEST);
        prop_assert!(probes_earned(dear) * dear <= PROBE_COST_LIMIT + 1e-9);
        prop_assert!(decode_servers_to_probe(dear, moved) <= decode_servers_to_probe(cheap, moved));
        prop_assert_eq!((probes_earned(0.003), decode_servers_to_probe(0.003, 0.03)), (4.0, 2));
        prop_assert_eq!((probes_earned(0.012), decode_servers_to_probe(0.012, 0.03)), (1.0, 1));
        prop_assert_eq!(decode_servers_to_probe(a.max(1e-6), 0.0), 0);
    }

    /// More requests for a beginning never take a home away, and there are never more homes than readers.
    #[test]
    fn homes_grow_with_what_is_asked(asked in 1.0..50.0, more in 0.0..50.0, others in 0.0..200.0,
                                     readers in 1usize..200, routers in 1.0..400.0) {
        let few = preferred_servers(asked, asked + others, readers, routers, 1.0);
        let many = preferred_servers(asked + more, asked + more + others, readers, routers, 1.0);
        prop_assert!(1 <= few && few <= many && many <= readers);
    }

    /// A beginning asks for more the more of all is asked for it, and never for more than there is; of
    /// its home never for more than of another.
    #[test]
    fn a_beginning_asks_for_its_share(asked in 0.0..50.0, more in 0.0..50.0, others in 0.0..200.0,
                                      weights in prop::collection::vec(0.1..4.0f64, 1..60)) {
        let of = |(weight, n)| {
            let info = ServerEntry { weight, server: ServerId(n), ..ServerEntry::default() };
            ServerRecord { entry: info, ..ServerRecord::default() }
        };
        let readers: Vec<ServerRecord> = weights.iter().copied().zip(0..).map(of).collect();
        let asks = |asked: f64, home: Option<&ServerId>, of: &ServerRecord| {
            PrefixDemand::new([asked + others, asked], readers.iter(), home).at_server(of)
        };
        let s = &readers[0];
        prop_assert!(asks(asked, None, s) <= asks(asked + more, None, s));
        prop_assert!(asks(asked, None, s) <= weights.iter().sum());
        prop_assert_eq!(asks(asked.min(1.0), None, s), 0.0);
        let home = asks(asked, Some(&s.entry.server), s);
        prop_assert!(home <= asks(asked, None, s) && home <= weights[0]);
    }

    /// A server is not crowded for having what the others have, give or take the floor; one hot server among few
    /// that were heard of does not make its own load the usual one.
    #[test]
    fn the_usual_load_is_not_crowded(loads in prop::collection::vec(0.0..60.0, 0..40), hot in 10.0..80.0) {
        let middle = typical_load(loads.clone());
        prop_assert!(!is_overloaded(middle, middle) && !is_overloaded(middle + OVERLOAD_FLOOR, middle));
        prop_assert!(is_overloaded(hot, typical_load(vec![hot])));
    }

    /// A wait is told by what the reader has in hand, by a fresh word only, and only where own requests cannot.
    #[test]
    fn a_wait_is_told_by_what_is_in_hand(load in 0.0..60.0, more in 0.1..10.0, age in 0.0..2_000.0) {
        let at = |load| ServerRecord { reported_load: Some((load, 0.0)), ..ServerRecord::default() };
        let (less, wait) = (reported_wait(&at(load), 300.0, age, 0.1, 900.0), reported_wait(&at(load + more), 300.0, age, 0.1, 900.0));
        prop_assert_eq!(less < wait, age <= LOAD_REPORT_TTL);
        prop_assert_eq!(reported_wait(&at(load), 2.0, age, 0.1, 900.0), 0.0);
    }

    /// What a server said long ago is worth nothing, and what it says now everything.
    #[test]
    fn what_was_seen_fades_into_the_usual(load in 0.0..60.0, usual in 1.0..20.0, age in 0.0..60_000.0) {
        let s = ServerRecord { reported_load: Some((load, 0.0)), ..ServerRecord::default() };
        prop_assert_eq!(estimated_load(&s, 0.0, usual, false), load);
        let late = estimated_load(&s, age, usual, false);
        prop_assert!(late >= load.min(usual) - 1e-9 && late <= load.max(usual) + 1e-9);
        prop_assert!((estimated_load(&s, 1e6, usual, false) - usual).abs() < 1e-6);
    }
}
