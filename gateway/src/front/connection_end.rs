//! What is kept of one client's connection for the report of its end: bytes of requests without an answer, and who ended it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use glenrail_request_lifecycle::client::Stage;

use super::unanswered::{self, EndReason, RequestProgress, UnansweredEnd};

/// The decision to end a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndDecision {
    pub reason: EndReason,
    /// The stage of the connection at the decision, and for how long it had been in it.
    pub stage: Stage,
    pub age: Duration,
}

/// What of a connection's input has no answer yet.
#[derive(Default)]
pub(super) struct ConnectionEnd {
    client: Cell<Option<SocketAddr>>,
    /// Bytes read since the last answer was complete.
    bytes_read: Cell<u64>,
    /// Those of them that belong to no request that was passed on.
    bytes_buffered: Cell<usize>,
    /// Bytes that lay unread as it was dropped.
    bytes_unread: Cell<usize>,
    /// Bytes that were read only to be dropped; counted by whoever drops them.
    pub bytes_dropped: Cell<usize>,
    response_aborted: Cell<bool>,
    client_ended: Cell<bool>,
    decision: Cell<Option<EndDecision>>,
}

impl ConnectionEnd {
    /// Of a connection of this client.
    pub fn new(client: Option<SocketAddr>) -> Self {
        ConnectionEnd { client: Cell::new(client), ..ConnectionEnd::default() }
    }

    /// Bytes of a request were read; none means that the client has ended its sending.
    pub fn note_read(&self, bytes: usize) {
        self.bytes_read.set(self.bytes_read.get() + bytes as u64);
        if bytes == 0 {
            self.note_client_ended();
        }
    }

    /// So many bytes lie unread as it is dropped.
    pub fn note_unread(&self, bytes: usize) {
        self.bytes_unread.set(bytes);
    }

    /// So many of the bytes that were read belong to no request that was passed on.
    pub fn note_buffered(&self, bytes: usize) {
        self.bytes_buffered.set(bytes);
    }

    /// The client has ended its connection, or its sending.
    pub fn note_client_ended(&self) {
        self.client_ended.set(true);
    }

    /// What was passed on has a complete answer.
    pub fn note_answered(&self) {
        self.bytes_read.set(self.bytes_buffered.get() as u64);
    }

    /// The response will never be complete.
    pub fn note_response_aborted(&self) {
        self.response_aborted.set(true);
    }

    /// Why the connection ended, if neither the client nor an aborted response ended it before.
    pub fn reason_or(&self, other: EndReason) -> EndReason {
        match (self.client_ended.get(), self.response_aborted.get()) {
            (true, _) => EndReason::ClientEnded,
            (false, true) => EndReason::ResponseAborted,
            (false, false) => other,
        }
    }

    /// The first decision counts.
    pub fn decide(&self, decision: EndDecision) {
        self.decision.set(self.decision.get().or(Some(decision)));
    }

    /// Reports the end, if a request is left without a complete answer. `undecided` stands where nobody decided it.
    pub fn report(&self, undecided: EndDecision) {
        let EndDecision { reason, stage, age } = self.decision.get().unwrap_or(undecided);
        let bytes_read = self.bytes_read.get();
        // Behind a last request that was answered early comes its rest.
        let bytes_unread = match stage {
            Stage::Closing => 0,
            _ => self.bytes_unread.get() + self.bytes_dropped.get(),
        };
        let is_unanswered = bytes_read > 0 || bytes_unread > 0 || self.response_aborted.get();
        let is_handed_over = stage == Stage::HandedOver && reason != EndReason::HandoverFailed;
        if !is_unanswered || is_handed_over {
            return;
        }
        let progress = match stage {
            _ if self.response_aborted.get() => RequestProgress::Read,
            Stage::Response if bytes_read > 0 => RequestProgress::Read,
            _ if bytes_read > 0 => RequestProgress::PartlyRead,
            _ => RequestProgress::Unread,
        };
        let client = self.client.get();
        unanswered::report(&UnansweredEnd { reason, progress, client, bytes_read, bytes_unread, stage, age });
    }
}
