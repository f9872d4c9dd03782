//! Rendezvous hashing: the order in which all routers try the prefill servers for a request.
//!
//! The functions are pure, so the same servers and keys result in the same order at all routers.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::api::ServerId;

/// Returns the score of a server for a key. The server with the highest score is tried first. The weight is
/// the server's share of all keys relative to the other servers.
fn score(server: ServerId, weight: f64, key: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (server.0, key).hash(&mut hasher);
    let unit = ((hasher.finish() >> 11) as f64 + 1.0) / ((1u64 << 53) as f64 + 1.0);
    -weight / unit.ln()
}

/// Returns the servers, given with their weights, in the order for a hash key (a prefix, or else a session).
/// The first `preferred_count` servers are ordered by a hash of the session, so that every router sends a
/// session to the same one of them.
pub fn ranked_servers(
    mut servers: Vec<(ServerId, f64)>, hash_key: u64, session: u64, preferred_count: usize,
) -> Vec<ServerId> {
    sort_by_score(&mut servers, hash_key);
    let preferred_count = servers.len().min(preferred_count);
    sort_by_score(&mut servers[..preferred_count], session);
    servers.into_iter().map(|(id, _)| id).collect()
}

fn sort_by_score(servers: &mut [(ServerId, f64)], key: u64) {
    let score_of = |server: &(ServerId, f64)| score(server.0, server.1, key);
    servers.sort_by(|a, b| score_of(b).total_cmp(&score_of(a)));
}

#[cfg(test)]
mod tests;
