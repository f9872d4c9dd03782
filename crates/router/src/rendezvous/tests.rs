//! Stability of rendezvous hashing when the servers change.

use super::*;
use proptest::prelude::*;

proptest! {
    /// The removal of a server does not change the order of the other servers. An additional preferred server
    /// receives some sessions, and all other sessions keep their server.
    #[test]
    fn order_is_stable_when_a_server_leaves_or_a_preferred_server_is_added(
        count in 2u64..40, removed in 0u64..40, preferred in 1usize..6, hash_key: u64, session: u64,
    ) {
        let servers: Vec<(ServerId, f64)> = (0..count).map(|n| (ServerId(n * 7 + 1), 1.0)).collect();
        let complete = ranked_servers(servers.clone(), hash_key, session, 1);
        let removed = ServerId((removed % count) * 7 + 1);
        let remaining = servers.iter().copied().filter(|s| s.0 != removed).collect();
        let reduced = ranked_servers(remaining, hash_key, session, 1);
        let expected: Vec<ServerId> = complete.iter().copied().filter(|id| *id != removed).collect();
        prop_assert_eq!(reduced, expected);
        let fewer = ranked_servers(servers.clone(), hash_key, session, preferred);
        let more = ranked_servers(servers, hash_key, session, preferred + 1);
        let added = complete.get(preferred).copied();
        prop_assert!(fewer[0] == more[0] || added == Some(more[0]), "{:?} {:?}", fewer, more);
    }
}
