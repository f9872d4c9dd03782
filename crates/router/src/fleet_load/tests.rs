//! Properties of the decisions in a large fleet, for any load information.

use super::*;
use crate::api::ServerEntry;
use crate::state::server_record::ReportedLoad;
use proptest::prelude::*;

fn any_load_status() -> impl Strategy<Value = LoadStatus> {
    prop_oneof![
        (0.0..80.0, any::<bool>())
            .prop_map(|(load, is_overloaded)| LoadStatus::Reported { load, is_overloaded }),
        Just(LoadStatus::Unknown),
        Just(LoadStatus::Probing),
        Just(LoadStatus::Unavailable),
    ]
}

fn recent_requests(same_prefix: f64, total: f64) -> RecentRequests {
    RecentRequests { total, same_prefix }
}

/// Returns a server that reported this load at time 0.
fn server_with_load(in_flight: f64) -> ServerRecord {
    let reported_load = Some(ReportedLoad { in_flight, reported_at: 0.0 });
    ServerRecord { reported_load, ..ServerRecord::default() }
}

proptest! {
    /// A request is sent to one of its candidates, and never to a later one than the first that is not
    /// overloaded or is being probed. A server is not probed twice for a request.
    #[test]
    fn the_first_candidate_that_is_not_overloaded_is_chosen(
        candidates in prop::collection::vec(any_load_status(), 1..6), can_probe: bool,
    ) {
        let budget = if can_probe { ProbeBudget::Available } else { ProbeBudget::Exhausted };
        match next_step(&candidates, budget) {
            NextStep::Send(chosen) => {
                prop_assert!(chosen < candidates.len());
                let would_do = |candidate: &LoadStatus| matches!(
                    candidate,
                    LoadStatus::Reported { is_overloaded: false, .. } | LoadStatus::Probing
                );
                prop_assert!(!candidates[..chosen].iter().any(would_do));
                let chosen = candidates[chosen];
                if let LoadStatus::Reported { load: chosen_load, is_overloaded: true } = chosen {
                    let is_less = |candidate: &LoadStatus| matches!(
                        candidate,
                        LoadStatus::Reported { load, .. } if *load < chosen_load
                    );
                    prop_assert!(!candidates.iter().any(is_less));
                }
            }
            NextStep::Probe(indices) => {
                prop_assert!(can_probe && !indices.is_empty());
                prop_assert!(indices.iter().all(|index| candidates[*index] == LoadStatus::Unknown));
            }
            NextStep::Wait => prop_assert!(candidates.contains(&LoadStatus::Probing)),
        }
    }

    /// A request causes at most two rounds of probes.
    #[test]
    fn probes_for_a_request_end_after_two_rounds(answers in prop::collection::vec(any_load_status(), 1..6)) {
        let mut candidates = vec![LoadStatus::Unknown; answers.len()];
        for _ in 0..=2 {
            match next_step(&candidates, ProbeBudget::Available) {
                NextStep::Send(_) => return Ok(()),
                NextStep::Probe(indices) => for index in indices {
                    let answered = matches!(answers[index], LoadStatus::Reported { .. });
                    candidates[index] = if answered { answers[index] } else { LoadStatus::Unavailable };
                }
                NextStep::Wait => prop_assert!(false, "no probe is in flight"),
            }
        }
        prop_assert!(false, "probes after two rounds: {:?}", candidates);
    }

    /// A higher price never results in more probes. At the two prices of the deployments, a request adds 4
    /// probes to the budget or 1, and 2 decode servers are probed or 1.
    #[test]
    fn more_expensive_probes_are_fewer(a in 0.0..0.1f64, b in 0.0..0.1f64, transfer_price in 0.0..0.1f64) {
        let (low, high) = (a.min(b), a.max(b));
        prop_assert!(probes_per_request(high) <= probes_per_request(low));
        prop_assert!(probes_per_request(low) <= MAX_PROBES_PER_REQUEST);
        prop_assert!(probes_per_request(high) * high <= PROBE_COST_LIMIT + 1e-9);
        let probed = |probe_price| decode_servers_to_probe(probe_price, transfer_price);
        prop_assert!(probed(high) <= probed(low));
        prop_assert_eq!((probes_per_request(0.003), decode_servers_to_probe(0.003, 0.03)), (4.0, 2));
        prop_assert_eq!((probes_per_request(0.012), decode_servers_to_probe(0.012, 0.03)), (1.0, 1));
        prop_assert_eq!(decode_servers_to_probe(a.max(1e-6), 0.0), 0);
    }

    /// More requests for a prefix never reduce its number of preferred servers, which is at most the number
    /// of servers.
    #[test]
    fn preferred_servers_grow_with_the_requests_for_a_prefix(
        same_prefix in 1.0..50.0, more in 0.0..50.0, others in 0.0..200.0,
        servers in 1usize..200, routers in 1.0..400.0,
    ) {
        let fewer_requests = recent_requests(same_prefix, same_prefix + others);
        let more_requests = recent_requests(same_prefix + more, same_prefix + more + others);
        let fewer = preferred_servers(fewer_requests, servers, routers, 1.0);
        let more = preferred_servers(more_requests, servers, routers, 1.0);
        prop_assert!(1 <= fewer && fewer <= more && more <= servers);
    }

    /// The demand of a prefix grows with its requests and never exceeds the total capacity. At its preferred
    /// server it is never higher than at another.
    #[test]
    fn the_demand_of_a_prefix_grows_with_its_share_of_requests(
        same_prefix in 0.0..50.0, more in 0.0..50.0, others in 0.0..200.0,
        weights in prop::collection::vec(0.1..4.0f64, 1..60),
    ) {
        let server_of = |(weight, id)| {
            let entry = ServerEntry { weight, server: ServerId(id), ..ServerEntry::default() };
            ServerRecord { entry, ..ServerRecord::default() }
        };
        let servers: Vec<ServerRecord> = weights.iter().copied().zip(0..).map(server_of).collect();
        let demand = |same_prefix: f64, preferred: Option<&ServerId>, server: &ServerRecord| {
            let recent = recent_requests(same_prefix, same_prefix + others);
            PrefixDemand::new(recent, servers.iter(), preferred).at_server(server)
        };
        let first = &servers[0];
        prop_assert!(demand(same_prefix, None, first) <= demand(same_prefix + more, None, first));
        prop_assert!(demand(same_prefix, None, first) <= weights.iter().sum());
        prop_assert_eq!(demand(same_prefix.min(1.0), None, first), 0.0);
        let at_preferred = demand(same_prefix, Some(&first.entry.server), first);
        prop_assert!(at_preferred <= demand(same_prefix, None, first) && at_preferred <= weights[0]);
    }

    /// A load that exceeds the typical load by at most [`OVERLOAD_FLOOR`] is not an overload. A load of 10 or
    /// more is an overload even if no other load is known, because default loads then determine the typical
    /// load.
    #[test]
    fn the_typical_load_is_not_an_overload(
        loads in prop::collection::vec(0.0..60.0, 0..40), high in 10.0..80.0,
    ) {
        let typical = typical_load(loads.clone());
        prop_assert!(!is_overloaded(typical, typical) && !is_overloaded(typical + OVERLOAD_FLOOR, typical));
        prop_assert!(is_overloaded(high, typical_load(vec![high])));
    }

    /// A wait is estimated from the reported load only if the report is fresh, and only in a large fleet.
    #[test]
    fn a_reported_wait_needs_a_fresh_report_and_a_large_fleet(
        load in 0.0..60.0, more in 0.1..10.0, age in 0.0..2_000.0,
    ) {
        let wait = |load, routers| reported_wait(&server_with_load(load), routers, age, 0.1, 900.0);
        prop_assert_eq!(wait(load, 300.0) < wait(load + more, 300.0), age <= LOAD_REPORT_TTL);
        prop_assert_eq!(wait(load, 2.0), 0.0);
    }

    /// A fresh report has full weight in the estimated load, and a very old one has none.
    #[test]
    fn a_reported_load_fades_into_the_typical_load(
        load in 0.0..60.0, typical in 1.0..20.0, age in 0.0..60_000.0,
    ) {
        let server = server_with_load(load);
        prop_assert_eq!(estimated_load(&server, 0.0, typical, Phase::WarmedUp), load);
        let later = estimated_load(&server, age, typical, Phase::WarmedUp);
        prop_assert!(later >= load.min(typical) - 1e-9 && later <= load.max(typical) + 1e-9);
        prop_assert!((estimated_load(&server, 1e6, typical, Phase::WarmedUp) - typical).abs() < 1e-6);
    }
}
