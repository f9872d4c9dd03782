//! Prefix table: which server has the prefix of a session or a shared prefix in its cache.
//!
//! State: the router's `affinity_table`, bounded and least recently used first out. Guards against entries
//! that outlive the cache they stand for.

use super::Router;
use crate::api::{Millis, RequestId, ServerId};
use crate::state::{AffinityEntry, AffinityKey, RequestState};

/// Most entries; a session and a prefix take one each.
pub(super) const CAPACITY: usize = 50_000;
/// Time to live of an entry (ms), about that of a cached prefix.
const TIME_TO_LIVE: Millis = 30_000.0;
/// Share of a session's prompt that its last prefill server should still have cached.
const SESSION_CACHED_SHARE: f64 = 0.8;

impl AffinityEntry {
    fn is_live(&self, now: Millis) -> bool {
        now < self.updated_at + TIME_TO_LIVE
    }
}

impl RequestState {
    /// Prompt tokens that a server found by this key should have cached.
    pub(super) fn cached_tokens(&self, key: Option<AffinityKey>) -> f64 {
        match key {
            Some(AffinityKey::Session(_)) => self.request.prompt_tokens * SESSION_CACHED_SHARE,
            Some(AffinityKey::Prefix(_)) => self.request.prefix_tokens,
            None => 0.0,
        }
    }
}

impl Router {
    /// The server that a key is tied to. The look-up counts as a use of the entry.
    pub(super) fn affinity_server(&mut self, key: &AffinityKey) -> Option<ServerId> {
        let now = self.now;
        self.affinity_table.get(key).filter(|entry| entry.is_live(now)).map(|entry| entry.server)
    }

    /// Ties a request's session to the server that has done its prefill, and its prefix unless that has a
    /// live entry.
    ///
    /// One request that was diverted must not move the prefix, or a short overload would scatter all
    /// prefixes, each move costing a prefill from the start.
    pub(super) fn record_affinity(&mut self, id: RequestId, server: ServerId) {
        let Some(state) = self.requests.get(&id) else { return };
        let now = self.now;
        let entry = AffinityEntry { server, updated_at: now };
        self.affinity_table.put(AffinityKey::Session(state.request.session), entry);
        let Some(key) = state.request.prefix.map(AffinityKey::Prefix) else { return };
        let is_tied_elsewhere = self.affinity_table.peek(&key).is_some_and(|existing| {
            let is_valid = existing.is_live(now) && self.servers.contains_key(&existing.server);
            existing.server != server && is_valid
        });
        if !is_tied_elsewhere {
            self.affinity_table.put(key, entry);
        }
    }
}
