//! The pool of connections: idle ones are reused, and closed after their idle time.

use std::time::Duration;

use glenrail_request_lifecycle::reachability::Reachability;
use glenrail_request_lifecycle::sentinel::{connection_to_take, SENTINEL_POLICY};
use glenrail_router::ServerId;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep_until, timeout, Instant};

use super::connection::{Connection, Peer};
use super::server_request::RequestKind;
use super::server_table::ServerRecord;
use super::Engine;
use crate::upstream::CallError;

/// A connection whose response has been read is free for the next request within this time, or it is closed.
const REUSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Idle connections that are looked at for an attempt: the one that it takes and the one that stands beside it.
const MOST_COMPARED: usize = 2;

/// The usual time for a step, or what is left until the deadline if that is less.
pub(super) fn time_for(usual: Duration, deadline: Option<Instant>) -> Duration {
    deadline.map_or(usual, |deadline| usual.min(deadline.saturating_duration_since(Instant::now())))
}

impl Engine {
    /// Whether the list says that a server receives new requests.
    pub(super) fn is_serving(&self, server: ServerId) -> bool {
        self.0.servers.borrow().get(server).is_some_and(|record| record.is_serving)
    }

    /// Whether a server may receive this over a connection that leads there, by what the list says now.
    pub(super) fn may_receive(&self, server: ServerId, peer: &Peer, kind: RequestKind) -> bool {
        // Any server that runs accepts a release, also one that has left the list.
        if kind == RequestKind::Release {
            return true;
        }
        let servers = self.0.servers.borrow();
        let Some(record) = servers.get(server) else { return false };
        record.peer.address == peer.address && (record.is_serving || kind.allowed_while_draining())
    }

    /// An idle connection that can be used.
    pub(super) fn take_idle(&self, server: ServerId) -> Option<Connection> {
        let mut servers = self.0.servers.borrow_mut();
        self.pop_usable(servers.get_mut(server)?).map(|(_, connection)| connection)
    }

    /// An idle connection for an attempt that a lease waits for, with another one left beside it if there are two.
    pub(super) fn take_idle_beside_sentinel(&self, server: ServerId) -> Option<Connection> {
        let mut servers = self.0.servers.borrow_mut();
        let record = servers.get_mut(server)?;
        let mut last_idle = Vec::new();
        while last_idle.len() < MOST_COMPARED {
            let Some(usable) = self.pop_usable(record) else { break };
            last_idle.push(usable);
        }
        let taken = connection_to_take(last_idle.len()).map(|index| last_idle.remove(index));
        record.idle.extend(last_idle.into_iter().rev());
        taken.map(|(_, connection)| connection)
    }

    /// The connection that became idle last, of those that can be used.
    fn pop_usable(&self, record: &mut ServerRecord) -> Option<(Instant, Connection)> {
        while let Some((idle_since, mut connection)) = record.idle.pop() {
            // The task that closes old ones may not have run yet.
            if idle_since.elapsed() < self.0.limits.idle_timeout && connection.is_usable() {
                return Some((idle_since, connection));
            }
        }
        None
    }

    /// Takes the idle connection that was used last of those that were open at this moment.
    pub(super) fn take_standing(&self, server: ServerId, at: Instant) -> Option<Connection> {
        let mut servers = self.0.servers.borrow_mut();
        let record = servers.get_mut(server)?;
        loop {
            let index = record.idle.iter().rposition(|(_, connection)| connection.opened < at)?;
            let (_, mut connection) = record.idle.remove(index);
            if connection.is_usable() {
                return Some(connection);
            }
        }
    }

    /// Opens a connection that stands beside attempts where the policy wants one. Nothing waits for it, and it occupies a slot
    /// that is free.
    pub(super) fn open_sentinel(&self, server: ServerId) {
        let mut servers = self.0.servers.borrow_mut();
        let Some(record) = servers.get_mut(server) else { return };
        if record.is_opening_sentinel || !SENTINEL_POLICY.should_open(record.idle.len()) {
            return;
        }
        let Ok(slot) = self.0.connection_slots.clone().try_acquire_owned() else { return };
        record.is_opening_sentinel = true;
        let (engine, opened) =
            (self.clone(), Connection::open(record.peer.clone(), slot, self.closing_sender()));
        spawn_local(async move {
            let opened = timeout(engine.0.limits.connect_timeout, opened).await;
            if let Some(record) = engine.0.servers.borrow_mut().get_mut(server) {
                record.is_opening_sentinel = false;
            }
            match opened {
                Ok(Ok(connection)) => {
                    engine.0.counts.borrow_mut().connections_opened.probe += 1;
                    engine.add_idle(server, connection);
                }
                _ => engine.0.counts.borrow_mut().connections_failed += 1,
            }
        });
    }

    /// Closes the idle connections to a server.
    pub(super) fn close_idle_of(&self, server: ServerId) {
        if let Some(record) = self.0.servers.borrow_mut().get_mut(server) {
            record.idle.clear();
        }
    }

    /// Opens a connection for a request of this kind, and counts it.
    pub(super) async fn open_counted(
        &self, server: ServerId, kind: RequestKind, deadline: Option<Instant>,
    ) -> Result<Connection, CallError> {
        let opened = self.open(server, deadline).await;
        let mut counts = self.0.counts.borrow_mut();
        match (&opened, kind) {
            (Err(_), _) => counts.connections_failed += 1,
            (Ok(_), RequestKind::Attempt) => counts.connections_opened.attempt += 1,
            (Ok(_), RequestKind::ReserveSlot) => counts.connections_opened.slot_reservation += 1,
            (Ok(_), RequestKind::Probe) => counts.connections_opened.probe += 1,
            (Ok(_), RequestKind::Release) => counts.connections_opened.release += 1,
        }
        opened
    }

    async fn open(&self, server: ServerId, deadline: Option<Instant>) -> Result<Connection, CallError> {
        let usual = self.0.limits.connect_timeout;
        let limit = time_for(usual, deadline);
        let peer = self.0.servers.borrow().get(server).map(|record| record.peer.clone());
        let peer = peer.ok_or(CallError::NotSent)?;
        // Without a slot nothing is known of the server: the lack is here.
        let slot = self.acquire_slot().await.ok_or(CallError::NotSent)?;
        let closing = self.closing_sender();
        match timeout(limit, Connection::open(peer, slot, closing)).await {
            Ok(Ok(connection)) => Ok(connection),
            // So short a time says nothing about the server.
            Err(_) if limit < usual / 2 => Err(CallError::NotSent),
            _ => {
                self.record(server, Reachability::query_lost);
                Err(CallError::ConnectFailed)
            }
        }
    }

    /// A slot for one more connection; where there is none, all idle connections are closed for it, and those that wait for
    /// their servers' ends.
    async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.0.connection_slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        self.close_idle();
        self.0.closing.abandon();
        // Their tasks end in the next turn of the loop.
        yield_now().await;
        self.0.connection_slots.clone().try_acquire_owned().ok()
    }

    /// Returns a connection to the pool once its last response has been read.
    pub(super) fn recycle(&self, server: ServerId, mut connection: Connection) {
        if !connection.finish_response(self.is_serving(server)) {
            return;
        }
        let engine = self.clone();
        spawn_local(async move {
            if timeout(REUSE_TIMEOUT, connection.sender.ready()).await.is_ok_and(|ready| ready.is_ok()) {
                engine.add_idle(server, connection);
            }
        });
    }

    /// Adds a connection that carries nothing to the pool.
    pub(super) fn add_idle(&self, server: ServerId, connection: Connection) {
        {
            let mut servers = self.0.servers.borrow_mut();
            let Some(record) = servers.get_mut(server) else { return };
            // The list may have said meanwhile that the server is at another address now.
            if !record.is_serving || record.peer != connection.peer {
                return;
            }
            record.idle.push((Instant::now(), connection));
        }
        self.reap_idle();
    }

    /// Closes connections that were idle for too long, for as long as there are any. One task does so for all: one for
    /// each connection that was returned used memory with rate times idle time.
    fn reap_idle(&self) {
        if self.0.is_reaping.replace(true) {
            return;
        }
        let engine = self.clone();
        spawn_local(async move {
            let limit = engine.0.limits.idle_timeout;
            loop {
                let Some(oldest) = engine.0.servers.borrow().oldest_idle() else { break };
                sleep_until(oldest + limit).await;
                let now = Instant::now();
                for record in engine.0.servers.borrow_mut().values_mut() {
                    record.idle.retain(|(idle_since, _)| *idle_since + limit > now);
                }
            }
            engine.0.is_reaping.set(false);
        });
    }
}
