//! Homes: which reader a request is read at, and at how many a beginning is that many ask for.

use super::Router;
use crate::{api::*, fleet_load, rendezvous, state::*};

/// Hot beginnings have several homes: above this many reader's parts of the requests in this memory (ms).
const HOT_PARTS: f64 = 1.0;

impl Router {
    /// Session, else shared beginning, else consistent hash; then the twice-the-median escape.
    pub(super) fn choose_reader(&mut self, job: &mut Job, out: &mut Vec<Action>) -> Option<Pick> {
        let usable = self.usable(&[Role::Prefill, Role::Mixed], job, Stage::Read, out);
        let homes = self.homes(job, &usable);
        let by_prefix = job.ask.prefix.filter(|_| homes == 1);
        let keys = [Some(Key::Session(job.ask.session)), by_prefix.map(Key::Prefix)];
        let matched = keys.into_iter().flatten().find_map(|key| {
            let home = self.home(&key)?;
            let fits = matches!(key, Key::Session(_)) || !self.pressed(home, &usable);
            (usable.contains(&home) && fits).then_some((home, Some(key)))
        });
        let order = self.hashed(&usable, job, homes);
        let first =
            || order.iter().copied().find(|id| !self.pressed(*id, &usable)).or(order.first().copied());
        let (home, key) = matched.or_else(|| first().map(|s| (s, None)))?;
        let chosen = match self.looks() {
            true => self.look(matched.map(|m| m.0), &order, job, out)?,
            false => self.detour(home, job.kept(key), &usable, job),
        };
        let kept = job.kept(key);
        let stage = Stage::first(self.servers.get(&chosen)?.role);
        Some((chosen, stage, if chosen == home { kept } else { 0.0 }))
    }

    /// Exception: a beginning asked for more often than a reader can bear is read at several homes, each
    /// session at one of them: with hundreds of routers nobody's own counts show a home that all overload.
    /// Harm: each further home reads the beginning once.
    fn homes(&self, job: &Job, usable: &[ServerId]) -> usize {
        let [all, asked] = job.asked;
        fleet_load::homes(asked, all, usable.len(), self.routers(), HOT_PARTS)
    }

    /// A mixed server weighs as much as makes its share of all requests its share of all servers: a reader
    /// reads for the writers too, a mixed one only for itself.
    fn hashed(&self, usable: &[ServerId], job: &Job, homes: usize) -> Vec<ServerId> {
        let count = |role| self.servers.values().filter(|s| s.role == role).count() as f64;
        let (readers, writers) = (count(Role::Prefill), count(Role::Decode));
        let mixed = if readers > 0.0 { readers / (readers + writers) } else { 1.0 };
        let is_mixed = |id: &ServerId| self.servers.get(id).is_some_and(|s| s.role == Role::Mixed);
        // Among many routers a cold reader is home to what it can be trusted with, at all of them alike.
        let warmth = |id| self.servers.get(id).filter(|_| self.looks()).map_or(1.0, |s| self.warmth(s));
        let weighed = usable.iter().map(|id| (*id, warmth(id) * if is_mixed(id) { mixed } else { 1.0 }));
        rendezvous::order(weighed.collect(), job.ask.beginning(), job.ask.session, homes)
    }
}
