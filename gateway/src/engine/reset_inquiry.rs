//! Inquiries about a server after a reset: a new connection is refused, the server answers a call on it, or
//! neither.
//!
//! [`evidence`](glenrail_request_lifecycle::evidence) decides what each of the three proves. New connections and probes
//! have a cost across the fleet, so each server gets one inquiry at a time, and its result is shared by all attempts
//! whose connections were reset before it began.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use glenrail_request_lifecycle::reachability::Reachability;
use glenrail_router::ServerId;
use tokio::sync::{Mutex, OwnedSemaphorePermit};
use tokio::time::Instant;

use super::connection::{Connection, Peer};
use super::liveness::ANSWER_TIMEOUT;
use super::stall_tolerance::timeout_allowing_stalls;
use super::Engine;
use crate::exchange::CancelToken;
use crate::upstream::ServerAfterReset;

/// A completed inquiry.
#[derive(Clone, Copy)]
struct Inquiry {
    started_at: Instant,
    result: ServerAfterReset,
}

/// Last inquiry at one address; `None` before the first has been completed. Locked while an inquiry is in progress.
type LastInquiry = Rc<Mutex<Option<Inquiry>>>;

/// Last inquiries, in progress or completed, keyed by server address. An entry that no task uses remains
/// until the next lookup of any address.
#[derive(Default)]
pub(super) struct ResetInquiries(RefCell<BTreeMap<String, LastInquiry>>);

impl ResetInquiries {
    /// Returns the entry for this address and removes the entries that no task uses.
    fn entry(&self, address: &str) -> LastInquiry {
        let mut inquiries = self.0.borrow_mut();
        inquiries.retain(|_, inquiry| Rc::strong_count(inquiry) > 1);
        inquiries.entry(address.to_string()).or_default().clone()
    }
}

impl Engine {
    /// Finds out the state of the server to which this attempt was written. The attempt's connection must have been reset
    /// before this call.
    pub(super) async fn inquire_after_reset(
        &self, server: ServerId, attempt: &CancelToken,
    ) -> ServerAfterReset {
        let Some(address) = attempt.server_address() else { return ServerAfterReset::TimedOut };
        let reset_before = Instant::now();
        let inquiry = self.0.reset_inquiries.entry(&address);
        let mut last = inquiry.lock().await;
        if let Some(shared) = last.filter(|last| last.started_at >= reset_before) {
            return shared.result;
        }
        let started_at = Instant::now();
        let result = self.inquire_on_new_connection(server, address).await;
        *last = Some(Inquiry { started_at, result });
        result
    }

    async fn inquire_on_new_connection(&self, server: ServerId, address: String) -> ServerAfterReset {
        // Open connections serve as evidence for other requests, so none is closed to free a slot for an inquiry.
        let Ok(slot) = self.0.connection_slots.clone().try_acquire_owned() else {
            return ServerAfterReset::TimedOut;
        };
        let answer =
            timeout_allowing_stalls(ANSWER_TIMEOUT, self.call_on_new_connection(server, address, slot)).await;
        let result = answer.unwrap_or(ServerAfterReset::TimedOut);
        match result {
            ServerAfterReset::Responded => self.record_reachability(server, Reachability::answered),
            ServerAfterReset::ConnectionRefused | ServerAfterReset::TimedOut => {
                self.record_reachability(server, Reachability::query_lost);
            }
        }
        result
    }

    async fn call_on_new_connection(
        &self, server: ServerId, address: String, slot: OwnedSemaphorePermit,
    ) -> ServerAfterReset {
        let listed = self.listed_peer(server).filter(|peer| peer.address == address);
        let is_listed = listed.is_some();
        let peer = listed.unwrap_or(Peer { address, started_ms: 0 });
        let mut connection = match Connection::open(peer, slot, self.closing_sender()).await {
            Ok(connection) => connection,
            Err(error) => {
                self.0.counts.borrow_mut().connections_failed += 1;
                return result_of_failed_connect(&error);
            }
        };
        self.0.counts.borrow_mut().connections_opened.probe += 1;
        let check = if is_listed { self.check_call() } else { self.release_of_unused_id() };
        let Ok((kind, check)) = check else { return ServerAfterReset::TimedOut };
        match self.send_check_call(server, &mut connection, kind, check).await {
            Ok(()) => {
                self.add_idle(server, connection);
                ServerAfterReset::Responded
            }
            Err(_) => ServerAfterReset::TimedOut,
        }
    }

    fn listed_peer(&self, server: ServerId) -> Option<Peer> {
        self.0.servers.borrow().get(server).map(|record| record.peer.clone())
    }
}

/// Returns what a failed connection attempt shows about the server.
fn result_of_failed_connect(error: &io::Error) -> ServerAfterReset {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => ServerAfterReset::ConnectionRefused,
        _ => ServerAfterReset::TimedOut,
    }
}
