//! Connection pool: reuses idle connections and closes them at the idle timeout.

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

/// Time limit within which a connection must accept another request once its response has been read; otherwise it is
/// closed.
const REUSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of idle connections considered for an attempt: the one that it uses and its sentinel.
const MAX_COMPARED_IDLE: usize = 2;

/// Returns the usual time limit of a step, or the time until the deadline if that is shorter.
pub(super) fn limit_to_deadline(usual: Duration, deadline: Option<Instant>) -> Duration {
    deadline.map_or(usual, |deadline| usual.min(deadline.saturating_duration_since(Instant::now())))
}

impl Engine {
    /// Returns whether a server is listed as receiving new requests.
    pub(super) fn is_serving(&self, server: ServerId) -> bool {
        self.0.servers.borrow().get(server).is_some_and(|record| record.is_serving)
    }

    /// Returns whether the current server list allows this kind of request over a connection to `peer`.
    pub(super) fn may_receive(&self, server: ServerId, peer: &Peer, kind: RequestKind) -> bool {
        // Any running server accepts a release, even one that is no longer listed.
        if kind == RequestKind::Release {
            return true;
        }
        let servers = self.0.servers.borrow();
        let Some(record) = servers.get(server) else { return false };
        record.peer.address == peer.address && (record.is_serving || kind.allowed_while_draining())
    }

    /// Takes the usable connection that became idle last.
    pub(super) fn take_idle(&self, server: ServerId) -> Option<Connection> {
        let mut servers = self.0.servers.borrow_mut();
        self.pop_usable(servers.get_mut(server)?).map(|(_, connection)| connection)
    }

    /// Takes an idle connection for an attempt that claims a lease. If two are usable, the other one remains
    /// idle as the sentinel.
    pub(super) fn take_idle_beside_sentinel(&self, server: ServerId) -> Option<Connection> {
        let mut servers = self.0.servers.borrow_mut();
        let record = servers.get_mut(server)?;
        let mut last_idle = Vec::new();
        while last_idle.len() < MAX_COMPARED_IDLE {
            let Some(usable) = self.pop_usable(record) else { break };
            last_idle.push(usable);
        }
        let taken = connection_to_take(last_idle.len()).map(|index| last_idle.remove(index));
        record.idle.extend(last_idle.into_iter().rev());
        taken.map(|(_, connection)| connection)
    }

    /// Removes the usable connection that became idle last, with the time since which it was idle.
    fn pop_usable(&self, record: &mut ServerRecord) -> Option<(Instant, Connection)> {
        while let Some((idle_since, mut connection)) = record.idle.pop() {
            // The task that closes connections at the idle timeout may not have run yet.
            if idle_since.elapsed() < self.0.limits.idle_timeout && connection.is_usable() {
                return Some((idle_since, connection));
            }
        }
        None
    }

    /// Takes, of the idle connections that were opened before `at`, the one that became idle last.
    pub(super) fn take_idle_opened_before(&self, server: ServerId, at: Instant) -> Option<Connection> {
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

    /// Opens a sentinel if the policy requires one. No request waits for it, and it is opened only if a
    /// connection slot is free.
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

    /// Opens a connection and counts it under the kind of its first request.
    pub(super) async fn open_and_count(
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
        let limit = limit_to_deadline(usual, deadline);
        let peer = self.0.servers.borrow().get(server).map(|record| record.peer.clone());
        let peer = peer.ok_or(CallError::NotSent)?;
        // A lack of slots is local, so it is not recorded as a failure of the server.
        let slot = self.acquire_slot().await.ok_or(CallError::NotSent)?;
        let closing = self.closing_sender();
        match timeout(limit, Connection::open(peer, slot, closing)).await {
            Ok(Ok(connection)) => Ok(connection),
            // A timeout after less than half the usual limit is no evidence against the server.
            Err(_) if limit < usual / 2 => Err(CallError::NotSent),
            _ => {
                self.record_reachability(server, Reachability::query_lost);
                Err(CallError::ConnectFailed)
            }
        }
    }

    /// Acquires a slot for one more connection. If none is free, closes all idle connections and those that wait for
    /// their servers to close.
    async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.0.connection_slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        self.close_idle();
        self.0.closing.close_all();
        // The tasks of these connections end when they are next scheduled.
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

    /// Adds a connection without a request in progress to the pool, or closes it if it no longer matches the
    /// server list.
    pub(super) fn add_idle(&self, server: ServerId, connection: Connection) {
        {
            let mut servers = self.0.servers.borrow_mut();
            let Some(record) = servers.get_mut(server) else { return };
            // The server list may have changed since the connection was opened: the server may have moved,
            // restarted or started to drain.
            if !record.is_serving || record.peer != connection.peer {
                return;
            }
            record.idle.push((Instant::now(), connection));
        }
        self.reap_idle();
    }

    /// Closes connections at the idle timeout until none is idle. One task serves all connections: with a task for each
    /// returned connection, memory use grew with the request rate times the idle timeout.
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
