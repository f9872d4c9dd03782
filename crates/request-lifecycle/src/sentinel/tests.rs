//! Tests of which connections attempts use, and when a sentinel is opened.

use super::{connection_to_take, SentinelPolicy};

/// A connection of the pool, numbered in the order of opening.
type Connection = usize;

/// Simulates a pool that serves attempts one after another. Returns the number of connections opened, and the
/// connection that each attempt used.
fn simulate_pool(policy: SentinelPolicy, attempts: usize) -> (usize, Vec<Connection>) {
    let (mut idle, mut opened, mut used): (Vec<Connection>, usize, Vec<Connection>) = (vec![], 0, vec![]);
    for _ in 0..attempts {
        let taken = match connection_to_take(idle.len()) {
            Some(from_last) => idle.remove(idle.len() - 1 - from_last),
            None => {
                opened += 1;
                opened
            }
        };
        if policy.should_open(idle.len()) {
            opened += 1;
            idle.push(opened);
        }
        used.push(taken);
        idle.push(taken);
    }
    (opened, used)
}

/// Guards the cost of sentinels: one additional connection per server, regardless of the number of attempts.
#[test]
fn a_sentinel_costs_one_connection_once() {
    assert_eq!(simulate_pool(SentinelPolicy::OpenIfNone, 100).0, 2);
    assert_eq!(simulate_pool(SentinelPolicy::ExistingOnly, 100).0, 1);
}

/// Guards against closing either connection at the idle limit while attempts continue.
#[test]
fn the_two_connections_alternate() {
    assert_eq!(simulate_pool(SentinelPolicy::OpenIfNone, 4).1, [1, 2, 1, 2]);
}

/// Guards the selection: if several connections are idle, an attempt leaves the one that became idle last
/// as the sentinel. With one idle connection left, no sentinel is opened.
#[test]
fn the_connection_that_became_idle_last_remains_as_sentinel() {
    assert_eq!([0, 1, 2, 3, 9].map(connection_to_take), [None, Some(0), Some(1), Some(1), Some(1)]);
    assert!(!SentinelPolicy::OpenIfNone.should_open(1));
}
