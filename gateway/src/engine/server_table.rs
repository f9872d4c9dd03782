//! The servers as the engine client knows them: where each is dialled, what stands idle there, whether it can be
//! reached.

use std::collections::BTreeMap;

use glenrail_request_lifecycle::reach::{order, Candidate, Millis, Reachability};
use glenrail_router::ServerId;
use tokio::time::Instant;

use super::connection::{Connection, Peer};

/// A server as discovery lists it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerAddress {
    pub server: ServerId,
    pub address: String,
    pub serving: bool,
    /// Servers are cut off by zones.
    pub zone: u32,
    /// When it last started, as the list says; 0 for long ago.
    pub started_ms: u64,
}

#[derive(Default)]
pub(super) struct ServerRecord {
    pub peer: Peer,
    pub serving: bool,
    zone: u32,
    /// Since when each stands idle, the oldest first.
    pub idle: Vec<(Instant, Connection)>,
    reach: Reachability,
}

pub(super) struct ServerTable {
    began: Instant,
    all: BTreeMap<ServerId, ServerRecord>,
}

impl ServerTable {
    pub fn new() -> Self {
        ServerTable { began: Instant::now(), all: BTreeMap::new() }
    }

    /// Takes in a list, or changes to it.
    pub fn learn(&mut self, whole: bool, changed: &[ServerAddress], gone: &[ServerId]) {
        if whole {
            self.all.retain(|id, _| changed.iter().any(|a| a.server == *id));
        }
        for id in gone {
            self.all.remove(id);
        }
        for a in changed {
            let place = self.all.entry(a.server).or_default();
            let peer = Peer { dial: a.address.clone(), born: a.started_ms };
            if place.peer.dial != peer.dial {
                place.reach = Reachability::default();
            }
            // What leads to where it was, or to what ran there before it came back, serves no request.
            if place.peer != peer || !a.serving {
                place.idle.clear();
            }
            (place.peer, place.serving, place.zone) = (peer, a.serving, a.zone);
        }
    }

    pub fn get(&self, server: ServerId) -> Option<&ServerRecord> {
        self.all.get(&server)
    }

    pub fn get_mut(&mut self, server: ServerId) -> Option<&mut ServerRecord> {
        self.all.get_mut(&server)
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut ServerRecord> {
        self.all.values_mut()
    }

    /// Since when the connection that has stood longest stands idle.
    pub fn oldest(&self) -> Option<Instant> {
        self.all.values().filter_map(|p| p.idle.first().map(|i| i.0)).min()
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Millis {
        self.began.elapsed().as_millis() as Millis
    }

    /// Keeps what a call has shown of a server.
    pub fn note(&mut self, server: ServerId, what: impl FnOnce(&mut Reachability, Millis)) {
        let now = self.now();
        if let Some(place) = self.all.get_mut(&server) {
            what(&mut place.reach, now);
        }
    }

    /// Those that may be asked to let go of something, in the order in which they are to be asked: any that runs takes it,
    /// those that drain last.
    pub fn running(&self) -> Vec<ServerId> {
        let candidate = |(id, p): (&ServerId, &ServerRecord)| Candidate {
            server: *id,
            zone: p.zone,
            has_idle_connection: !p.idle.is_empty(),
            reachability: p.reach,
        };
        let those = |serving: bool| {
            let of = self.all.iter().filter(|(_, p)| p.serving == serving);
            order(&of.map(candidate).collect::<Vec<_>>(), self.now())
        };
        [those(true), those(false)].concat()
    }
}
