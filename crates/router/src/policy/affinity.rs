//! Prefix affinity: requests of the same session, or with the same shared prefix, are sent to the prefill or
//! mixed server that probably has their prefix cached.
//!
//! This module has no state of its own. It looks up servers in the prefix table, and uses a consistent hash
//! if there is no entry. Prefix caches are effective only if every router sends a prefix to the same few
//! servers.

use super::Router;
use crate::api::{Action, Request, Role, ServerId};
use crate::state::{AffinityKey, Placement, RequestState, ServerRecord, Stage};
use crate::{fleet_load, rendezvous};

/// Intended share of all requests that one preferred server receives for a popular prefix, as a multiple of
/// an average server's share.
const LOAD_PER_PREFERRED_SERVER: f64 = 1.0;

/// Server that was found in the prefix table, and the key of its entry.
#[derive(Clone, Copy)]
struct AffinityMatch {
    server: ServerId,
    key: AffinityKey,
}

impl Router {
    /// Selects a prefill or mixed server by session, else by shared prefix, else by consistent hash, and
    /// diverts the request if that server is overloaded.
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

    /// Returns the eligible server in the prefix table for the session, or else for the prefix of a request.
    /// The entry of the prefix is not used if the prefix has several preferred servers, or if its server has
    /// excess sends; the consistent hash then determines the server.
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

    /// Returns the first server in hash order without excess sends, or else the first one.
    fn first_without_excess(&self, ranked: &[ServerId], eligible: &[ServerId]) -> Option<ServerId> {
        let below_excess = ranked.iter().find(|id| !self.has_excess_sends(**id, eligible));
        below_excess.or(ranked.first()).copied()
    }

    /// Returns the number of preferred servers of the request's prefix.
    ///
    /// A prefix with more requests than one server can handle gets several preferred servers, and each of its
    /// sessions is sent to one of them. In a large fleet, a router's own counts would not reveal that all
    /// routers together overload a single server. Each further server has to prefill the prefix once.
    fn preferred_server_count(&self, request: &RequestState, eligible: &[ServerId]) -> usize {
        let routers = self.router_count();
        let recent = request.recent_requests;
        fleet_load::preferred_servers(recent, eligible.len(), routers, LOAD_PER_PREFERRED_SERVER)
    }

    /// Returns the eligible servers in the order in which every router tries them for a request.
    ///
    /// The weight of a mixed server is such that its share of all requests equals its share of all servers. A
    /// prefill server receives a larger share, because it also prefills for the decode servers.
    fn hash_order(
        &self, eligible: &[ServerId], request: &RequestState, preferred_count: usize,
    ) -> Vec<ServerId> {
        let count = |role| self.servers.values().filter(|server| server.role == role).count() as f64;
        let (prefill_count, decode_count) = (count(Role::Prefill), count(Role::Decode));
        let mixed_weight =
            if prefill_count > 0.0 { prefill_count / (prefill_count + decode_count) } else { 1.0 };
        // In a large fleet, all routers weight a server in slow start by the share of its capacity that it
        // may receive.
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
