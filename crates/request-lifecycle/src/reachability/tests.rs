//! Tests of releases while some servers are unreachable.

use proptest::prelude::*;

use super::*;

fn candidate(server: u32, zone: u32) -> Candidate<u32> {
    Candidate { server, zone, has_idle_connection: false, reachability: Reachability::default() }
}

/// Simulates one release against servers that respond after a given time or never.
///
/// Returns the time of the first response, if there was one, and the number of servers called.
fn simulate_release(
    order: Vec<u32>, answer_time: impl Fn(u32) -> Option<Millis>, limit: Millis,
) -> (Option<Millis>, usize) {
    let mut release = ReleaseRounds::new(order, 0, limit);
    let mut now = 0;
    let mut called = 0;
    let mut answers = Vec::new();
    loop {
        for server in release.next_round(now) {
            called += 1;
            answers.extend(answer_time(server).map(|after| now + after));
        }
        let Some(wake) = release.next_wake(now) else { return (None, called) };
        match answers.iter().min() {
            Some(first) if *first <= wake => return (Some(*first), called),
            _ => now = wake.max(now),
        }
    }
}

/// Guards releases while a zone is unreachable for 6 s and holds 40 KV states: each release reaches a server of
/// another zone long before the lease limit, whichever servers responded last. Calling five servers one after
/// another, with 100 ms for each, would end after 500 ms without success.
#[test]
fn release_reaches_another_zone_when_one_is_cut_off() {
    const CUT_OFF_ZONE: u32 = 1;
    for round in 0..40u32 {
        // The servers of the unreachable zone responded last, and have connections that seem to be open.
        let candidates: Vec<Candidate<u32>> = (0..30)
            .map(|index| {
                let zone = index % 3;
                let is_cut_off = zone == CUT_OFF_ZONE;
                let mut candidate = candidate(index * 40 + round, zone);
                candidate.reachability.answered(if is_cut_off { 900 + u64::from(index) } else { 500 });
                candidate.has_idle_connection = is_cut_off;
                candidate
            })
            .collect();
        let is_cut_off = |server: u32| {
            candidates.iter().any(|candidate| candidate.server == server && candidate.zone == CUT_OFF_ZONE)
        };
        let answer_time = |server: u32| (!is_cut_off(server)).then_some(5);
        let (answered, called) = simulate_release(release_order(&candidates, 1_000), answer_time, 600);
        assert_eq!((answered, called), (Some(ROUND_INTERVAL_MS + 5), 3));
    }
}

/// Guards the order of zones: once a call to a zone has failed and no server there has responded since, its servers
/// are called last.
#[test]
fn zone_known_to_be_cut_off_is_asked_last() {
    let mut candidates: Vec<Candidate<u32>> = (0..9).map(|server| candidate(server, server % 3)).collect();
    candidates.iter_mut().for_each(|candidate| candidate.reachability.answered(100));
    candidates[1].reachability.query_lost(200);
    assert_ne!(release_order(&candidates, 300)[0] % 3, 1);
    assert_eq!(release_order(&candidates, 300).last(), Some(&1));
    candidates[4].reachability.answered(250);
    assert_eq!(release_order(&candidates, 300)[0], 4);
    // A short call without a response makes a server suspect before the call has failed.
    candidates[4].reachability.query_sent(260);
    assert_eq!(release_order(&candidates, 300)[0], 4);
    assert_ne!(release_order(&candidates, 400)[0] % 3, 1);
}

proptest! {
    /// A single reachable server is enough, whichever it is: the order contains every server once, and the
    /// reachable one responds to the call of its round.
    #[test]
    fn one_server_that_answers_is_found(
        zones in prop::collection::vec(0u32..4, 1..24), reachable in 0usize..24, answer_time in 1u64..400,
    ) {
        let candidates: Vec<Candidate<u32>> =
            zones.iter().enumerate().map(|(server, zone)| candidate(server as u32, *zone)).collect();
        let reachable = (reachable % candidates.len()) as u32;
        let order = release_order(&candidates, 0);
        let mut sorted = order.clone();
        sorted.sort_unstable();
        prop_assert_eq!(sorted, (0..candidates.len() as u32).collect::<Vec<_>>());
        let position = order.iter().position(|server| *server == reachable).unwrap_or(0) as u64;
        let rounds = position.div_ceil(SERVERS_PER_LATER_ROUND as u64);
        let (answered, _) =
            simulate_release(order, |server| (server == reachable).then_some(answer_time), 10_000);
        prop_assert_eq!(answered, Some(rounds * ROUND_INTERVAL_MS + answer_time));
    }

    /// A release to which no server responds ends without a response, after at most one call for each server.
    #[test]
    fn release_ends_when_no_server_answers(servers in 0usize..60, limit in 1u64..2_000) {
        let (answered, called) = simulate_release((0..servers as u32).collect(), |_| None, limit);
        prop_assert_eq!(answered, None);
        prop_assert!(called <= servers);
    }
}
