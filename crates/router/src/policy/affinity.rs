//! Homes: which reader a request is read at, and at how many a beginning is that many ask for.

use super::Router;
use crate::{api::*, fleet_load, rendezvous, state::*};

/// Hot beginnings have several homes: above this many reader's parts of the requests in this memory (ms).
const HOT_PARTS: f64 = 1.0;

impl Router {
    /// Session, else shared beginning, else consistent hash; then the twice-the-median escape.
    pub(super) fn choose_prefill_server(
        &mut self, job: &mut RequestState, out: &mut Vec<Action>,
    ) -> Option<Placement> {
        let usable = self.eligible_servers(&[Role::Prefill, Role::Mixed], job, Stage::Prefill, out);
        let homes = self.preferred_server_count(job, &usable);
        let by_prefix = job.request.prefix.filter(|_| homes == 1);
        let keys = [Some(AffinityKey::Session(job.request.session)), by_prefix.map(AffinityKey::Prefix)];
        let matched = keys.into_iter().flatten().find_map(|key| {
            let home = self.affinity_server(&key)?;
            let fits = matches!(key, AffinityKey::Session(_)) || !self.has_excess_sends(home, &usable);
            (usable.contains(&home) && fits).then_some((home, Some(key)))
        });
        let order = self.hash_order(&usable, job, homes);
        let first = || {
            order.iter().copied().find(|id| !self.has_excess_sends(*id, &usable)).or(order.first().copied())
        };
        let (home, key) = matched.or_else(|| first().map(|s| (s, None)))?;
        let chosen = match self.probes_before_send() {
            true => self.choose_by_load_probe(matched.map(|m| m.0), &order, job, out)?,
            false => self.divert(home, job.cached_tokens(key), &usable, job),
        };
        let kept = job.cached_tokens(key);
        let stage = Stage::first_for(self.servers.get(&chosen)?.role);
        Some((chosen, stage, if chosen == home { kept } else { 0.0 }))
    }

    /// Exception: a beginning asked for more often than a reader can bear is read at several homes, each
    /// session at one of them: with hundreds of routers nobody's own counts show a home that all overload.
    /// Harm: each further home reads the beginning once.
    fn preferred_server_count(&self, job: &RequestState, usable: &[ServerId]) -> usize {
        let [all, asked] = job.recent_requests;
        fleet_load::preferred_servers(asked, all, usable.len(), self.router_count(), HOT_PARTS)
    }

    /// A mixed server weighs as much as makes its share of all requests its share of all servers: a reader
    /// reads for the writers too, a mixed one only for itself.
    fn hash_order(&self, usable: &[ServerId], job: &RequestState, homes: usize) -> Vec<ServerId> {
        let count = |role| self.servers.values().filter(|s| s.role == role).count() as f64;
        let (readers, writers) = (count(Role::Prefill), count(Role::Decode));
        let mixed = if readers > 0.0 { readers / (readers + writers) } else { 1.0 };
        let is_mixed = |id: &ServerId| self.servers.get(id).is_some_and(|s| s.role == Role::Mixed);
        // Among many routers a cold reader is home to what it can be trusted with, at all of them alike.
        let warmth = |id| {
            self.servers.get(id).filter(|_| self.probes_before_send()).map_or(1.0, |s| self.capacity_share(s))
        };
        let weighed = usable.iter().map(|id| (*id, warmth(id) * if is_mixed(id) { mixed } else { 1.0 }));
        rendezvous::ranked_servers(weighed.collect(), job.request.affinity_key(), job.request.session, homes)
    }
}
