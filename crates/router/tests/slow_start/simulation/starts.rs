//! Start of servers during the simulation, and the notification of the routers.

use std::collections::BTreeSet;

use glenrail_router::*;

use super::{is_prefill_server, ScheduledEvent, Server, Simulation, STARTED};
use crate::common::{probed_servers, request_with_prefix, server_entry, DECODE, PREFILL};
use crate::scenario::RouterRestarts;

impl Simulation {
    /// Returns a prefix whose first preferred server, in the hash order of all routers, is one of the
    /// starting servers.
    pub(super) fn prefix_of_starting_server(&self) -> u64 {
        let starting = self.starting_servers();
        let mut settings = Settings { router_count: 300, ..self.settings.clone() };
        settings.limits.probes = true;
        let started = |entry: ServerEntry| ServerEntry {
            started: starting.contains(&entry.server.0).then_some(STARTED),
            ..entry
        };
        let servers: Vec<ServerEntry> = self.server_list().into_iter().map(started).collect();
        let probed_for = |prefix: u64| {
            let mut router = Router::new(1, settings.clone());
            let mut actions = Vec::new();
            let list = Event::ServerList { update: ListUpdate::Full, servers: servers.clone() };
            router.handle(STARTED, list, &mut actions);
            router.handle(STARTED, Event::Request(request_with_prefix(prefix, prefix)), &mut actions);
            probed_servers(&actions)
        };
        let prefers_starting =
            |prefix: &u64| probed_for(*prefix).iter().any(|server| starting.contains(server));
        (self.scenario.seed * 1_000..).find(prefers_starting).unwrap_or_default()
    }

    /// Returns the current server list: cells of four prefill servers and four decode servers each.
    pub(super) fn server_list(&self) -> Vec<ServerEntry> {
        let entry = |(id, server): (&u64, &Server)| {
            let kind = if is_prefill_server(*id) { PREFILL } else { DECODE };
            let started = server.is_starting.then_some(STARTED);
            ServerEntry { cell: (*id as u32 % 100) / 4, started, ..server_entry(*id, kind, 0) }
        };
        self.servers.iter().map(entry).collect()
    }

    /// Starts some servers, notifies all routers at the same time, and schedules the restarts of routers.
    pub(super) fn start_servers(&mut self) {
        let starting = self.starting_servers();
        for (id, server) in self.servers.iter_mut().filter(|(id, _)| starting.contains(id)) {
            server.is_starting = true;
            server.is_unreachable = false;
            if self.scenario.zone_returns {
                server.ends.clear();
                self.dead_connections.extend((0..self.scenario.routers).map(|router| (router, *id)));
            }
        }
        for router in 0..self.scenario.routers {
            let servers = self.server_list().into_iter().filter(|entry| entry.started.is_some()).collect();
            self.handle(router, Event::ServerList { update: ListUpdate::Delta, servers });
        }
        let RouterRestarts { start, share, within, rounds } = self.scenario.router_restarts;
        for round in 0..rounds {
            for router in 0..self.scenario.routers {
                if self.next_unit() < share {
                    let seconds = start + within * (round as f64 + self.next_unit());
                    self.schedule(STARTED + 1_000.0 * seconds, router, ScheduledEvent::RouterRestart);
                }
            }
        }
    }

    /// Returns the servers that start: those of a zone, or else an evenly spaced selection of each role.
    pub(super) fn starting_servers(&self) -> BTreeSet<u64> {
        let count = self.scenario.starting as u64;
        let every = (self.scenario.servers / self.scenario.starting) as u64;
        let is_starting = |id: &u64| match self.scenario.zone_returns {
            true => id % 100 < count,
            false => (id % 100).is_multiple_of(every),
        };
        self.servers.keys().copied().filter(is_starting).collect()
    }

    /// Makes the zone unreachable: its requests in flight are lost, and no connection to it can be
    /// established.
    pub(super) fn disconnect_zone(&mut self) {
        for id in self.starting_servers() {
            if let Some(server) = self.servers.get_mut(&id) {
                server.is_unreachable = true;
                server.ends.clear();
            }
        }
    }
}
