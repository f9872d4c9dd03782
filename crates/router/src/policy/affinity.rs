//! Prefix affinity: requests of a session or with a shared prefix go to the prefill server that has it
//! cached.
//!
//! State: none of its own; the prefix table maps keys to servers, and a consistent hash serves where it has
//! no entry. Guards the prefix caches, which pay only if every router sends a prefix to the same few servers.

use super::Router;
use crate::api::{Action, Request, Role, ServerId};
use crate::state::{AffinityKey, Placement, RequestState, ServerRecord, Stage};
use crate::{fleet_load, rendezvous};

/// A popular prefix gets one preferred server for each so many times an average server's share of all
/// requests.
const LOAD_PER_PREFERRED_SERVER: f64 = 1.0;

/// A server found in the prefix table, and the key it was found by.
#[derive(Clone, Copy)]
struct AffinityMatch {
    server: ServerId,
    key: AffinityKey,
}

impl Router {
    /// Chooses by session, else by shared prefix, else by consistent hash; then diverts from an overloaded
    /// server.
    pub(super) fn choose_prefill_server(
        &mut self, request: &mut RequestState, actions: &mut Vec<Action>,
    ) -> Option<Placement> {
        let roles = [Role::Prefill, Role::Mixed];
        let eligible = self.eligible_servers(&roles, request, Stage::Prefill, actions);
        let preferred_count = self.preferred_server_count(request, &eligible);
        let matched = self.match_affinity(request, &eligible, preferred_count);
        let ranked = self.hash_order(&eligible, request, preferred_count);
        let preferred = match matched {
            Some(found) => found.server,
            None => self.first_without_excess(&ranked, &eligible)?,
        };
        let cached_tokens = request.cached_tokens(matched.map(|found| found.key));
        let server = if self.probes_before_send() {
            let matched_server = matched.map(|found| found.server);
            self.choose_by_load_probe(matched_server, &ranked, request, actions)?
        } else {
            self.divert(preferred, cached_tokens, &eligible, request)
        };
        let stage = Stage::first_for(self.servers.get(&server)?.role);
        let cached_tokens = if server == preferred { cached_tokens } else { 0.0 };
        Some(Placement { server, stage, cached_tokens })
    }

    /// The eligible server that the prefix table names for the session, or else for the prefix of a request.
    /// A prefix with several preferred servers is hashed instead.
    fn match_affinity(
        &mut self, request: &RequestState, eligible: &[ServerId], preferred_count: usize,
    ) -> Option<AffinityMatch> {
        let session = AffinityKey::Session(request.request.session);
        if let Some(server) = self.affinity_server(&session).filter(|id| eligible.contains(id)) {
            return Some(AffinityMatch { server, key: session });
        }
        let prefix = request.request.prefix.filter(|_| preferred_count == 1)?;
        let key = AffinityKey::Prefix(prefix);
        let server = self.affinity_server(&key).filter(|id| eligible.contains(id))?;
        (!self.has_excess_sends(server, eligible)).then_some(AffinityMatch { server, key })
    }

    /// The first server in hash order that has not been sent too much of late, or else the first.
    fn first_without_excess(&self, ranked: &[ServerId], eligible: &[ServerId]) -> Option<ServerId> {
        let below_excess = ranked.iter().find(|id| !self.has_excess_sends(**id, eligible));
        below_excess.or(ranked.first()).copied()
    }

    /// How many preferred servers the prefix of a request has.
    ///
    /// A prefix with more requests than one server can bear gets several, and each session one of them: in a
    /// large fleet no router's own counts would show that all together overload a single one. Cost: each
    /// further server prefills the prefix once.
    fn preferred_server_count(&self, request: &RequestState, eligible: &[ServerId]) -> usize {
        let routers = self.router_count();
        let recent = request.recent_requests;
        fleet_load::preferred_servers(recent, eligible.len(), routers, LOAD_PER_PREFERRED_SERVER)
    }

    /// Eligible servers in the order in which every router tries them for a request, by weight.
    ///
    /// A mixed server counts for as much as gives it, of all requests, its share of all servers: a prefill
    /// server also works for the decode servers, a mixed one only for itself.
    fn hash_order(
        &self, eligible: &[ServerId], request: &RequestState, preferred_count: usize,
    ) -> Vec<ServerId> {
        let count = |role| self.servers.values().filter(|server| server.role == role).count() as f64;
        let (prefill_count, decode_count) = (count(Role::Prefill), count(Role::Decode));
        let mixed_weight =
            if prefill_count > 0.0 { prefill_count / (prefill_count + decode_count) } else { 1.0 };
        // In a large fleet a server in slow start is preferred for what it can be sent, at all routers alike.
        let slow_start_weight = |server: &ServerRecord| match self.probes_before_send() {
            true => self.capacity_share(server),
            false => 1.0,
        };
        let weight = |server: &ServerRecord| match server.role {
            Role::Mixed => slow_start_weight(server) * mixed_weight,
            Role::Prefill | Role::Decode => slow_start_weight(server),
        };
        let weighted = eligible.iter().map(|id| (*id, self.servers.get(id).map_or(1.0, weight))).collect();
        let Request { session, .. } = request.request;
        rendezvous::ranked_servers(weighted, request.request.hash_key(), session, preferred_count)
    }
}
