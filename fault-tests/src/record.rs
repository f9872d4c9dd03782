//! What a trial records: what engines did, what passed on the links to them, and what clients saw.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use crate::clock::{self, Micros};

/// What an attempt asks of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// To read the prompt and hold its state.
    Prefill,
    /// To fetch the state and answer.
    Decode,
}

/// How an engine's work on an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkEnd {
    Answered,
    /// The state to be written from was gone.
    Rejected,
    /// The gateway closed the connection.
    Dropped,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The last byte of an attempt came to an engine that runs.
    Delivered { request: String, stage: Stage },
    /// A reader holds the state of a request from now on.
    StateLeased { request: String },
    /// A writer has fetched the state, and the request has its effect.
    StateClaimed { request: String },
    /// An engine was told to let go of what is held for a request.
    Released { request: String },
    /// The state is gone with its engine.
    StateLost { request: String },
    /// An engine's work on an attempt has ended.
    Ended { request: String, stage: Stage, end: WorkEnd },
    /// The first byte of an attempt passed from a gateway onto a link.
    FirstByte { request: String, connection: u64 },
    /// Its last byte did; `told` is the deadline that it named, in seconds.
    Written { request: String, connection: u64, announced_deadline: Option<f64> },
    /// The first bytes of its answer were given to the gateway.
    Replied { request: String, connection: u64 },
    /// The connection that carried it was closed by the gateway, or broke.
    Closed { request: String, connection: u64 },
    /// A client wrote the first byte of a request, on a connection that stood by then; `client` is its end of it.
    RequestBegun { request: String, client: SocketAddr, connected_at: Micros },
    /// A client wrote the last byte of its request; it waits so long for the first token, in seconds.
    Sent { request: String, deadline: f64, repeatable: bool },
    /// A client closed its connection with no answer.
    ClientDisconnected { request: String },
    /// A client got its final answer: a status and whether the body came to its end.
    Answered { request: String, status: u16, complete: bool },
    /// The gateway closed a client's connection with no answer.
    Unanswered { request: String },
    /// The gateway closed a client's connection before the whole request was written on it, and has read some of it.
    #[serde(rename = "ended_in_part")]
    ClosedPartlyRead { request: String },
    /// The gateway closed a client's connection in order and has not read the request: its client sends it again elsewhere.
    #[serde(rename = "not_taken")]
    ClosedUnread { request: String },
    /// The request was written behind another one, before that one was answered; it counts as sent once it has been.
    Pipelined { request: String },
    /// A gateway was told to end (SIGTERM or SIGINT).
    GatewayTerminated,
    /// A gateway's process was stopped.
    GatewayPaused,
    /// It was continued.
    GatewayContinued,
    /// A gateway's process is about to be killed.
    GatewayKilled,
    /// A gateway's process has ended, by itself or killed, and was waited for.
    GatewayEnded { killed: bool },
}

impl Event {
    /// The request that this is about; nothing where it is about a gateway.
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

/// One thing that happened, when and where.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub at: Micros,
    /// An engine, a link (`gateway-engine`) or a gateway as its clients name it.
    pub source: String,
    #[serde(flatten)]
    pub event: Event,
}

/// All records of one trial, in the order in which they came in.
#[derive(Clone, Debug, Default)]
pub struct Records(Arc<Mutex<Vec<Record>>>);

impl Records {
    /// Adds what happens now.
    pub fn add(&self, source: &str, event: Event) {
        self.push(Record { at: clock::now(), source: source.to_string(), event });
    }

    /// Adds what was recorded elsewhere.
    pub fn push(&self, record: Record) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }

    /// All of them so far, in the order of their times.
    pub fn all(&self) -> Vec<Record> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        all.sort_by_key(|record| record.at);
        all
    }

    /// How many records of one request fit.
    pub fn count(&self, request: &str, predicate: impl Fn(&Event) -> bool) -> usize {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.iter().filter(|r| r.event.request() == request && predicate(&r.event)).count()
    }
}
