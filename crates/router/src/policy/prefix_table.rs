//! Prefix table: maps sessions and shared prefixes to the server that has them in its cache.
//!
//! The state is the router's `affinity_table`, a bounded map with least-recently-used eviction. Entries
//! expire, because a server evicts prefixes from its cache.

use super::Router;
use crate::api::{Millis, RequestId, ServerId};
use crate::state::{AffinityEntry, AffinityKey, RequestState};

/// Maximum number of entries. A session and a prefix use one entry each.
pub(super) const CAPACITY: usize = 50_000;
/// Time to live of an entry (ms), similar to that of a prefix in a server's cache.
const TIME_TO_LIVE: Millis = 30_000.0;
/// Estimated share of a session's prompt that is cached at its last prefill server.
const SESSION_CACHED_SHARE: f64 = 0.8;

impl AffinityEntry {
    fn is_live(&self, now: Millis) -> bool {
        now < self.updated_at + TIME_TO_LIVE
    }
}

impl RequestState {
    /// Returns the estimated number of prompt tokens that are cached at a server found by this key.
    pub(super) fn cached_tokens(&self, key: Option<AffinityKey>) -> f64 {
        match key {
            Some(AffinityKey::Session(_)) => self.request.prompt_tokens * SESSION_CACHED_SHARE,
            Some(AffinityKey::Prefix(_)) => self.request.prefix_tokens,
            None => 0.0,
        }
    }
}

impl Router {
    /// Returns the server that a key maps to, or `None` if there is no entry or it has expired. The look-up
    /// counts as a use of the entry.
    pub(super) fn affinity_server(&mut self, key: &AffinityKey) -> Option<ServerId> {
        let now = self.now;
        self.affinity_table.get(key).filter(|entry| entry.is_live(now)).map(|entry| entry.server)
    }

    /// Maps a request's session to the server that completed its prefill, and also its prefix unless that
    /// already maps to another listed server.
    ///
    /// A single diverted request must not move the prefix. Otherwise a short overload would scatter all
    /// prefixes, and each move causes a complete prefill.
    pub(super) fn record_affinity(&mut self, id: RequestId, server: ServerId) {
        let Some(state) = self.requests.get(&id) else { return };
        let now = self.now;
        let entry = AffinityEntry { server, updated_at: now };
        self.affinity_table.put(AffinityKey::Session(state.request.session), entry);
        let Some(key) = state.request.prefix.map(AffinityKey::Prefix) else { return };
        let is_mapped_elsewhere = self.affinity_table.peek(&key).is_some_and(|existing| {
            let is_valid = existing.is_live(now) && self.servers.contains_key(&existing.server);
            existing.server != server && is_valid
        });
        if !is_mapped_elsewhere {
            self.affinity_table.put(key, entry);
        }
    }
}
