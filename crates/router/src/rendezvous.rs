//! The order in which every router would try the readers for a request: rendezvous hashing, the same at all of them
//! for the same servers. No state, no I/O.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::api::ServerId;

/// A server's place for a key, the highest first; its weight is its share of all keys against the others'.
fn score(server: ServerId, weight: f64, key: u64) -> f64 {
    let mut h = DefaultHasher::new();
    (server.0, key).hash(&mut h);
    let unit = ((h.finish() >> 11) as f64 + 1.0) / ((1u64 << 53) as f64 + 1.0);
    -weight / unit.ln()
}

/// These servers, each with its weight, in order for a beginning. Among its first `homes` the session is hashed
/// again, so that every router sends a session to one of them.
pub fn ranked_servers(
    servers: Vec<(ServerId, f64)>, beginning: u64, session: u64, homes: usize,
) -> Vec<ServerId> {
    let by = |key: u64| move |s: &(ServerId, f64)| score(s.0, s.1, key);
    let mut ranked = servers;
    let (place, again) = (by(beginning), by(session));
    ranked.sort_by(|a, b| place(b).total_cmp(&place(a)));
    let homes = ranked.len().min(homes);
    ranked[..homes].sort_by(|a, b| again(b).total_cmp(&again(a)));
    ranked.into_iter().map(|s| s.0).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Losing a server moves nobody but what lay there, and an additional home takes sessions from none but to itself.
        #[test]
        fn order_is_kept_when_a_server_or_a_home_is_lost(count in 2u64..40, lost in 0u64..40, homes in 1usize..6,
                                                         beginning: u64, session: u64) {
            let all: Vec<(ServerId, f64)> = (0..count).map(|n| (ServerId(n * 7 + 1), 1.0)).collect();
            let whole = ranked_servers(all.clone(), beginning, session, 1);
            let gone = ServerId((lost % count) * 7 + 1);
            let fewer = ranked_servers(all.iter().copied().filter(|s| s.0 != gone).collect(), beginning, session, 1);
            let kept: Vec<ServerId> = whole.iter().copied().filter(|s| *s != gone).collect();
            prop_assert_eq!(fewer, kept);
            let (some, more) = (ranked_servers(all.clone(), beginning, session, homes), ranked_servers(all, beginning, session, homes + 1));
            let new = whole.get(homes).copied();
            prop_assert!(some[0] == more[0] || new == Some(more[0]), "{:?} {:?}", some, more);
        }
    }
}
