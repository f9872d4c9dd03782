//! The servers as the engine knows them: their addresses, the idle connections to them, and whether they can be reached.

use std::collections::BTreeMap;

use glenrail_request_lifecycle::reachability::{release_order, Candidate, Millis, Reachability};
use glenrail_router::ServerId;
use tokio::time::Instant;

use super::connection::{Connection, Peer};
use super::standing::RecentChecks;

/// A server as discovery lists it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerAddress {
    /// The server.
    pub server: ServerId,
    /// Host and port.
    pub address: String,
    /// Whether it receives new requests.
    pub is_serving: bool,
    /// Its zone; servers become unreachable by zones.
    pub zone: u32,
    /// When it last started, in Unix milliseconds, as the list says; 0 for long ago.
    pub started_ms: u64,
}

/// What the engine knows of one server.
#[derive(Default)]
pub(super) struct ServerRecord {
    pub peer: Peer,
    pub is_serving: bool,
    zone: u32,
    /// Idle connections, and since when; the oldest first.
    pub idle: Vec<(Instant, Connection)>,
    /// Whether a connection is being opened that is to stand beside attempts.
    pub is_opening_sentinel: bool,
    /// The last checks of connections to it.
    pub checks: RecentChecks,
    reachability: Reachability,
}

/// All servers of one engine.
pub(super) struct ServerTable {
    created: Instant,
    servers: BTreeMap<ServerId, ServerRecord>,
}

impl ServerTable {
    pub fn new() -> Self {
        ServerTable { created: Instant::now(), servers: BTreeMap::new() }
    }

    /// Removes the servers that a complete list lacks.
    pub fn retain_listed(&mut self, listed: &[ServerAddress]) {
        self.servers.retain(|id, _| listed.iter().any(|address| address.server == *id));
    }

    /// Applies changes to the list.
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
            // A connection to its earlier address, or to the process before its restart, carries no request.
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

    /// Since when the connection that was idle longest is idle.
    pub fn oldest_idle(&self) -> Option<Instant> {
        let oldest = |record: &ServerRecord| record.idle.first().map(|(idle_since, _)| *idle_since);
        self.servers.values().filter_map(oldest).min()
    }

    /// Milliseconds since the table was created.
    pub fn now(&self) -> Millis {
        self.created.elapsed().as_millis() as Millis
    }

    /// Records what a call has shown of a server's reachability.
    pub fn record(&mut self, server: ServerId, event: impl FnOnce(&mut Reachability, Millis)) {
        let now = self.now();
        if let Some(record) = self.servers.get_mut(&server) {
            event(&mut record.reachability, now);
        }
    }

    /// The servers that may be asked for a release, in the order in which they are to be asked: any that runs accepts it,
    /// and those that drain come last.
    pub fn release_order(&self) -> Vec<ServerId> {
        let mut servers = self.ordered(true);
        servers.extend(self.ordered(false));
        servers
    }

    /// The servers that receive new requests, or those that do not, the most likely to answer first.
    fn ordered(&self, is_serving: bool) -> Vec<ServerId> {
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
