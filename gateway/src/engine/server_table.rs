//! Table of the servers of one engine: their addresses, idle connections, recent checks and reachability.

use std::collections::BTreeMap;

use glenrail_request_lifecycle::reachability::{release_order, Candidate, Millis, Reachability};
use glenrail_router::ServerId;
use tokio::time::Instant;

use super::connection::{Connection, Peer};
use super::connection_checks::RecentChecks;

/// A server as discovery lists it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerAddress {
    /// Identifier assigned by discovery.
    pub server: ServerId,
    /// Host and port.
    pub address: String,
    /// Whether the server receives new requests; false while it drains.
    pub is_serving: bool,
    /// Zone of the server. Servers of one zone tend to become unreachable together.
    pub zone: u32,
    /// When the server last started, in Unix milliseconds, as listed; 0 if that was long ago.
    pub started_ms: u64,
}

/// State of one server.
#[derive(Default)]
pub(super) struct ServerRecord {
    pub peer: Peer,
    pub is_serving: bool,
    zone: u32,
    /// Idle connections with the time since which each is idle, the longest idle first.
    pub idle: Vec<(Instant, Connection)>,
    /// Whether a sentinel is being opened.
    pub is_opening_sentinel: bool,
    /// Recent checks of connections to its present address.
    pub checks: RecentChecks,
    reachability: Reachability,
}

/// The servers of one engine, keyed by identifier.
pub(super) struct ServerTable {
    created: Instant,
    servers: BTreeMap<ServerId, ServerRecord>,
}

impl ServerTable {
    pub fn new() -> Self {
        ServerTable { created: Instant::now(), servers: BTreeMap::new() }
    }

    /// Removes the servers that are absent from a complete list.
    pub fn retain_listed(&mut self, listed: &[ServerAddress]) {
        self.servers.retain(|id, _| listed.iter().any(|address| address.server == *id));
    }

    /// Adds or updates the changed servers and removes the removed ones.
    pub fn update(&mut self, changed: &[ServerAddress], removed: &[ServerId]) {
        for id in removed {
            self.servers.remove(id);
        }
        for listed in changed {
            let record = self.servers.entry(listed.server).or_default();
            let peer = Peer { address: listed.address.clone(), started_ms: listed.started_ms };
            if record.peer.address != peer.address {
                record.reachability = Reachability::default();
                record.checks = RecentChecks::default();
            }
            // Connections to an earlier address or to the process before a restart must not carry requests.
            if record.peer != peer || !listed.is_serving {
                record.idle.clear();
            }
            record.peer = peer;
            record.is_serving = listed.is_serving;
            record.zone = listed.zone;
        }
    }

    pub fn get(&self, server: ServerId) -> Option<&ServerRecord> {
        self.servers.get(&server)
    }

    pub fn get_mut(&mut self, server: ServerId) -> Option<&mut ServerRecord> {
        self.servers.get_mut(&server)
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut ServerRecord> {
        self.servers.values_mut()
    }

    /// Returns the time since which the longest idle connection of all servers is idle; `None` without idle connections.
    pub fn oldest_idle(&self) -> Option<Instant> {
        let oldest = |record: &ServerRecord| record.idle.first().map(|(idle_since, _)| *idle_since);
        self.servers.values().filter_map(oldest).min()
    }

    /// Returns the milliseconds since the table was created.
    pub fn now(&self) -> Millis {
        self.created.elapsed().as_millis() as Millis
    }

    /// Records in the reachability of a server that a call was sent, answered or lost.
    pub fn record_reachability(&mut self, server: ServerId, event: impl FnOnce(&mut Reachability, Millis)) {
        let now = self.now();
        if let Some(record) = self.servers.get_mut(&server) {
            event(&mut record.reachability, now);
        }
    }

    /// Returns the servers in the order in which to send them a release. Every running server accepts one; draining
    /// servers come last.
    pub fn release_order(&self) -> Vec<ServerId> {
        let mut servers = self.in_release_order(true);
        servers.extend(self.in_release_order(false));
        servers
    }

    /// Returns the servers that receive new requests, or those that do not, in release order.
    fn in_release_order(&self, is_serving: bool) -> Vec<ServerId> {
        let mut candidates = Vec::new();
        for (server, record) in &self.servers {
            if record.is_serving == is_serving {
                candidates.push(Candidate {
                    server: *server,
                    zone: record.zone,
                    has_idle_connection: !record.idle.is_empty(),
                    reachability: record.reachability,
                });
            }
        }
        release_order(&candidates, self.now())
    }
}
