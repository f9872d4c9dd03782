//! Prefix table: which server a session and a shared beginning live at, and what it should still keep.

use super::Router;
use crate::{api::*, state::*};

/// Most entries kept; a session and a beginning take one each.
pub const CAPACITY: usize = 50_000;
/// An entry older than this is not believed (ms; the design's figure).
const EXPIRY: Millis = 30_000.0;
/// Share of a session's prompt that its last reader is taken to have kept.
const SESSION_KEPT: f64 = 0.8;

impl RequestState {
    /// What a reader matched by this key should still keep of the prompt.
    pub fn cached_tokens(&self, key: Option<AffinityKey>) -> f64 {
        match key {
            Some(AffinityKey::Session(_)) => self.request.prompt_tokens * SESSION_KEPT,
            Some(AffinityKey::Prefix(_)) => self.request.prefix_tokens,
            None => 0.0,
        }
    }
}

impl Router {
    /// Where this key lives, as long as it is believed.
    pub(super) fn affinity_server(&mut self, key: &AffinityKey) -> Option<ServerId> {
        let now = self.now;
        self.affinity_table.get(key).filter(|e| now < e.1 + EXPIRY).map(|e| e.0)
    }

    /// The session lives at this server from now on, and the shared beginning unless its entry still holds:
    /// one read elsewhere must not move it, or a jam scatters all homes, each move a read from the start.
    pub(super) fn record_affinity(&mut self, id: RequestId, server: ServerId) {
        let Some(Request { session, prefix, .. }) = self.requests.get(&id).map(|j| &j.request) else {
            return;
        };
        self.affinity_table.put(AffinityKey::Session(*session), (server, self.now));
        if let Some(key) = prefix.map(AffinityKey::Prefix) {
            let holds = |e: &(ServerId, Millis)| self.now < e.1 + EXPIRY && self.servers.contains_key(&e.0);
            if self.affinity_table.peek(&key).is_none_or(|e| e.0 == server || !holds(e)) {
                self.affinity_table.put(key, (server, self.now));
            }
        }
    }
}
