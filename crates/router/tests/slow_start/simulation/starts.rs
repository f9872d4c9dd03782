//! The servers that start, and what all routers are told of them.

use std::collections::BTreeSet;

use glenrail_router::*;

use super::*;

impl Play {
    /// A beginning whose first home, in the order that all routers share, will be one of the servers that start.
    pub(super) fn cold_home(&self) -> u64 {
        let starts = self.starting();
        let mut settings = Settings { router_count: 300, ..self.settings.clone() };
        settings.limits.probes = true;
        let cold =
            |m: ServerEntry| ServerEntry { started: starts.contains(&m.server.0).then_some(STARTED), ..m };
        let members: Vec<ServerEntry> = self.list().into_iter().map(cold).collect();
        let looked_at = |prefix: u64| {
            let (mut router, mut actions) = (Router::new(1, settings.clone()), Vec::new());
            router.handle(
                STARTED,
                Event::ServerList { update: ListUpdate::Full, servers: members.clone() },
                &mut actions,
            );
            let ask = Request { prefix: Some(prefix), ..sample_request(prefix) };
            router.handle(STARTED, Event::Request(ask), &mut actions);
            probed_servers(&actions)
        };
        let cold = |prefix: &u64| looked_at(*prefix).iter().any(|server| starts.contains(server));
        (self.day.seed * 1_000..).find(cold).unwrap_or_default()
    }

    /// Cells of four readers and four writers, as a list tells of them now.
    pub(super) fn list(&self) -> Vec<ServerEntry> {
        let line = |(id, s): (&u64, &Server)| {
            let kind = u32::from(!is_reader(*id));
            let started = s.cold.then_some(STARTED);
            ServerEntry { cell: (*id as u32 % 100) / 4, started, ..server_entry(*id, kind, 0) }
        };
        self.servers.iter().map(line).collect()
    }

    /// Some engines are new and cold, and all routers are told at once.
    pub(super) fn start(&mut self) {
        let starts = self.starting();
        for (id, s) in self.servers.iter_mut().filter(|s| starts.contains(s.0)) {
            (s.cold, s.away) = (true, false);
            if self.day.zone {
                s.ends.clear();
                self.stale.extend((0..self.day.routers).map(|router| (router, *id)));
            }
        }
        for router in 0..self.day.routers {
            let members = self.list().into_iter().filter(|m| m.started.is_some()).collect();
            self.give(router, Event::ServerList { update: ListUpdate::Delta, servers: members });
        }
        let Anew { from, share, within, rounds } = self.day.anew;
        for round in 0..rounds {
            for router in 0..self.day.routers {
                if self.unit() < share {
                    let at = from + within * (round as f64 + self.unit());
                    self.at(STARTED + 1_000.0 * at, router, What::Restart);
                }
            }
        }
    }

    /// The servers that start: a zone's, or spread evenly.
    pub(super) fn starting(&self) -> BTreeSet<u64> {
        let (cold, every) = (self.day.cold as u64, (self.day.servers / self.day.cold) as u64);
        let starts =
            |id: &u64| if self.day.zone { id % 100 < cold } else { (id % 100).is_multiple_of(every) };
        self.servers.keys().copied().filter(starts).collect()
    }

    /// The zone is gone: it answers nobody, and no connection to it comes up.
    pub(super) fn leave(&mut self) {
        for id in self.starting() {
            if let Some(s) = self.servers.get_mut(&id) {
                (s.away, s.ends) = (true, Vec::new());
            }
        }
    }
}
