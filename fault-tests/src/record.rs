//! Events that a run records: the work of engines, the attempts on the links to them, and the outcomes at clients.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use crate::clock::{self, Micros};

/// Stage of a request that an attempt executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Processes the prompt and leases its state.
    Prefill,
    /// Claims the state and generates the response.
    Decode,
}

/// Outcome of an engine's work on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkEnd {
    Answered,
    /// Rejected, because the state of the prompt no longer exists.
    Rejected,
    /// Cancelled, because the gateway closed the connection.
    Dropped,
}

/// Recorded event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The last byte of an attempt arrived at a running engine.
    Delivered { request: String, stage: Stage },
    /// A prefill server has leased the state of a request.
    StateLeased { request: String },
    /// A decode server has claimed the state, with which the request counts as executed.
    StateClaimed { request: String },
    /// An engine received a release for the state of a request.
    Released { request: String },
    /// The state was lost when its engine was terminated.
    StateLost { request: String },
    /// An engine has ended its work on an attempt.
    Ended { request: String, stage: Stage, end: WorkEnd },
    /// A link received the first byte of an attempt from a gateway.
    FirstByte { request: String, connection: u64 },
    /// A link received the last byte of an attempt, which announced this deadline in seconds, if any.
    Written { request: String, connection: u64, announced_deadline: Option<f64> },
    /// A link forwarded the first bytes of the response to the gateway.
    Replied { request: String, connection: u64 },
    /// The gateway closed the connection of an attempt, or it was reset.
    Closed { request: String, connection: u64 },
    /// A client wrote the first byte of a request on a connection that was established at `connected_at` from `client`.
    RequestBegun { request: String, client: SocketAddr, connected_at: Micros },
    /// A client wrote the last byte of its request; `deadline` for the first token is in seconds.
    Sent { request: String, deadline: f64, repeatable: bool },
    /// A client closed its connection before it had a response.
    ClientDisconnected { request: String },
    /// A client received a response with this status; `complete` is whether it received the whole body.
    Answered { request: String, status: u16, complete: bool },
    /// The gateway closed a client's connection without a response.
    Unanswered { request: String },
    /// The gateway closed a client's connection before the whole request was written, and may have read some of it.
    #[serde(rename = "ended_in_part")]
    ClosedPartlyRead { request: String },
    /// The gateway closed a client's connection in order without reading the request, which can safely be sent elsewhere.
    #[serde(rename = "not_taken")]
    ClosedUnread { request: String },
    /// A request was written behind another one; it counts as sent once that one has a response.
    Pipelined { request: String },
    /// A gateway is sent SIGTERM for a planned end.
    GatewayTerminated,
    /// A gateway's process is paused (SIGSTOP).
    GatewayPaused,
    /// A gateway's process was continued (SIGCONT).
    GatewayContinued,
    /// A gateway's process is about to be killed.
    GatewayKilled,
    /// A gateway's process has exited or was killed, and was waited for.
    GatewayEnded { killed: bool },
}

impl Event {
    /// Returns the request that the event concerns; empty for events of gateways.
    pub fn request(&self) -> &str {
        match self {
            Event::Delivered { request, .. }
            | Event::StateLeased { request }
            | Event::StateClaimed { request }
            | Event::Released { request }
            | Event::StateLost { request }
            | Event::Ended { request, .. }
            | Event::FirstByte { request, .. }
            | Event::Written { request, .. }
            | Event::Replied { request, .. }
            | Event::Closed { request, .. }
            | Event::RequestBegun { request, .. }
            | Event::Sent { request, .. }
            | Event::ClientDisconnected { request }
            | Event::Answered { request, .. }
            | Event::Unanswered { request }
            | Event::ClosedPartlyRead { request }
            | Event::ClosedUnread { request }
            | Event::Pipelined { request } => request,
            Event::GatewayTerminated
            | Event::GatewayPaused
            | Event::GatewayContinued
            | Event::GatewayKilled
            | Event::GatewayEnded { .. } => "",
        }
    }
}

/// Event with its time and source.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub at: Micros,
    /// Name of an engine, of a link (`gateway-engine`), or of a gateway for the events of its clients and process.
    pub source: String,
    #[serde(flatten)]
    pub event: Event,
}

/// All records of one run, in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub struct Records(Arc<Mutex<Vec<Record>>>);

impl Records {
    /// Adds an event with the current time.
    pub fn add(&self, source: &str, event: Event) {
        self.push(Record { at: clock::now(), source: source.to_string(), event });
    }

    /// Adds a record that already has its time.
    pub fn push(&self, record: Record) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }

    /// Returns all records so far, sorted by time.
    pub fn all(&self) -> Vec<Record> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        all.sort_by_key(|record| record.at);
        all
    }

    /// Returns the number of records of a request whose events satisfy the predicate.
    pub fn count(&self, request: &str, predicate: impl Fn(&Event) -> bool) -> usize {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.iter().filter(|r| r.event.request() == request && predicate(&r.event)).count()
    }
}
