//! Data about one client connection for the report of its end: bytes of requests without a response, and why the
//! connection ended.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use glenrail_request_lifecycle::client::Stage;

use super::unanswered::{self, EndReason, RequestProgress, UnansweredEnd};

/// Decision to end a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndDecision {
    pub reason: EndReason,
    /// Stage of the connection at the time of the decision.
    pub stage: Stage,
    /// Time that the connection had spent in the stage by then.
    pub age: Duration,
}

/// Input of one connection that has no response yet, and the decision to end the connection.
#[derive(Default)]
pub(super) struct ConnectionEnd {
    client: Cell<Option<SocketAddr>>,
    /// Number of bytes read that belong to no request with a complete response.
    bytes_read: Cell<u64>,
    /// The part of `bytes_read` that belongs to no request that was passed on.
    bytes_buffered: Cell<usize>,
    /// Bytes that were unread when the connection was dropped.
    bytes_unread: Cell<usize>,
    /// Bytes that were read and discarded; counted by the code that discards them.
    pub bytes_dropped: Cell<usize>,
    response_aborted: Cell<bool>,
    client_ended: Cell<bool>,
    decision: Cell<Option<EndDecision>>,
}

impl ConnectionEnd {
    /// Creates the data of a new connection from the given address.
    pub fn new(client: Option<SocketAddr>) -> Self {
        ConnectionEnd { client: Cell::new(client), ..ConnectionEnd::default() }
    }

    /// Records that bytes of a request were read; 0 means that the client has ended its sending side.
    pub fn note_read(&self, bytes: usize) {
        self.bytes_read.set(self.bytes_read.get() + bytes as u64);
        if bytes == 0 {
            self.note_client_ended();
        }
    }

    /// Records the number of bytes that are unread when the connection is dropped.
    pub fn note_unread(&self, bytes: usize) {
        self.bytes_unread.set(bytes);
    }

    /// Records how many of the bytes that were read belong to no request that was passed on.
    pub fn note_buffered(&self, bytes: usize) {
        self.bytes_buffered.set(bytes);
    }

    /// Records that the client has ended the connection or its sending side.
    pub fn note_client_ended(&self) {
        self.client_ended.set(true);
    }

    /// Records that the request that was passed on has a complete response.
    pub fn note_answered(&self) {
        self.bytes_read.set(self.bytes_buffered.get() as u64);
    }

    /// Records that the response will not be completed.
    pub fn note_response_aborted(&self) {
        self.response_aborted.set(true);
    }

    /// Returns why the connection ended: the client or an aborted response if one was recorded, otherwise `other`.
    pub fn reason_or(&self, other: EndReason) -> EndReason {
        match (self.client_ended.get(), self.response_aborted.get()) {
            (true, _) => EndReason::ClientEnded,
            (false, true) => EndReason::ResponseAborted,
            (false, false) => other,
        }
    }

    /// Records a decision to end the connection; only the first one is kept.
    pub fn decide(&self, decision: EndDecision) {
        self.decision.set(self.decision.get().or(Some(decision)));
    }

    /// Reports the end of the connection, if a request is left without a complete response. `fallback` is used
    /// if no decision was recorded.
    pub fn report(&self, fallback: EndDecision) {
        let EndDecision { reason, stage, age } = self.decision.get().unwrap_or(fallback);
        let bytes_read = self.bytes_read.get();
        // In this stage unread bytes are the rest of the last request, which had its response early.
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
