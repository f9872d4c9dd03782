//! Rendezvous hashing: the order in which every router tries the prefill servers for a request.
//!
//! Pure functions: the same servers and keys give the same order at all routers.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::api::ServerId;

/// Score of a server for a key. The highest is tried first; the weight is the server's share of all keys,
/// relative to the other servers.
fn score(server: ServerId, weight: f64, key: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (server.0, key).hash(&mut hasher);
    let unit = ((hasher.finish() >> 11) as f64 + 1.0) / ((1u64 << 53) as f64 + 1.0);
    -weight / unit.ln()
}

/// These servers, each with its weight, in order for a hash key (a prefix, or else a session). Among the
/// first `preferred_count` the session is hashed again, so that every router sends a session to one of them.
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
