//! An attempt of a request at one server: its states, replies and outcomes.

use serde::{Deserialize, Serialize};

use super::Server;
use crate::evidence::{InterruptedWork, Observation};

/// Part of the request that an attempt has its server perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Process the prompt and keep its KV state. This has no effect that is visible to a client.
    #[serde(rename = "Read")]
    Prefill,
    /// Execute the request and produce its response. This may have the request's side effects.
    #[serde(rename = "Run")]
    Execute,
}

/// Outcome of an attempt. The router is notified of exactly one for each attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Status {
    /// The response is complete, or another process continues it.
    Served,
    /// The server processed the prompt and holds its KV state.
    #[serde(rename = "Read")]
    Prefilled,
    /// The server responded with an error. The request may have run.
    Error,
    /// The server rejected the attempt before running it, for example by load shedding.
    #[serde(rename = "Declined")]
    Rejected,
    /// No response, or no further event of a stream, arrived in time. The request may have run.
    Timeout,
    /// The last byte of the attempt was never written, so it cannot have run.
    #[serde(rename = "Connect")]
    ConnectFailed,
    /// The connection broke after the attempt was written. The request may have run.
    Reset,
    /// The response could not be parsed. The request may have run.
    #[serde(rename = "Spoilt")]
    MalformedResponse,
    /// The attempt was cancelled, or the client stopped reading its stream. The request may have run.
    Cancelled,
    /// The attempt was cancelled because its delivery was not confirmed before the lease limit of the reservation
    /// that it was to use. The request may have run.
    Undelivered,
    /// The gateway did not send the attempt, or its server found the request itself invalid. It did not run.
    NotSent,
}

impl Status {
    /// Returns whether this outcome proves that the server had received the attempt.
    pub fn proves_delivery(self) -> bool {
        matches!(
            self,
            Status::Served | Status::Prefilled | Status::Error | Status::Rejected | Status::MalformedResponse
        )
    }

    /// Returns what was observed last on the connection of an attempt that was interrupted before its response was
    /// complete; `None` for any other outcome.
    pub fn interrupted_by(self) -> Option<Observation> {
        match self {
            Status::Cancelled | Status::Undelivered | Status::Timeout => Some(Observation::LocalClose),
            Status::Reset => Some(Observation::Reset),
            Status::MalformedResponse => Some(Observation::ResponseOnConnection),
            Status::Served
            | Status::Prefilled
            | Status::Error
            | Status::Rejected
            | Status::ConnectFailed
            | Status::NotSent => None,
        }
    }

    /// Returns whether the server may have run the attempt. A completed prefill does not count.
    ///
    /// A request that may have run must not be run again unless it is idempotent.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Status::Rejected | Status::ConnectFailed | Status::NotSent | Status::Prefilled)
    }
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptState {
    /// Requested by the router; it waits until earlier reservations of the request are released.
    Queued,
    /// Being sent to its server or received by it, with no reply yet; see [`Attempt::delivered`].
    InFlight,
    /// Cancelled; the engine has not dropped its call yet.
    Cancelling,
    /// Its response is being forwarded to the client; it can no longer be cancelled.
    Streaming,
    /// Ended with this outcome.
    Ended(Status),
}

/// An attempt of a request at one server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Server that the attempt is sent to.
    pub server: Server,
    /// Part of the request that the server performs.
    pub stage: Stage,
    /// Progress of the attempt, [`AttemptState::Queued`] at first.
    pub state: AttemptState,
    /// Whether there is evidence that its last byte reached a running server. A completed write is no evidence,
    /// because a write to a dead connection succeeds too; so it must not stop the lease limit.
    pub delivered: bool,
    /// Whether it was cancelled because its delivery was not confirmed in time.
    pub undelivered: bool,
    /// Whether it is an interrupted prefill whose server is not proven to have stopped working on it.
    #[serde(rename = "unnoticed_close")]
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub unconfirmed_close: bool,
}

impl Attempt {
    /// Creates an attempt that the router has requested and that has not been sent.
    pub fn new(server: Server, stage: Stage) -> Attempt {
        let state = AttemptState::Queued;
        Attempt { server, stage, state, delivered: false, undelivered: false, unconfirmed_close: false }
    }

    /// Returns whether the attempt has ended and may have executed the request.
    pub fn may_have_run(&self) -> bool {
        self.stage == Stage::Execute
            && matches!(self.state, AttemptState::Ended(status) if status.may_have_run())
    }

    /// Returns whether the attempt, queued or sent, has no outcome yet.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, AttemptState::Ended(_))
    }

    /// Returns whether the attempt was dispatched to its server and has not ended.
    pub(crate) fn is_dispatched(&self) -> bool {
        matches!(self.state, AttemptState::InFlight | AttemptState::Cancelling | AttemptState::Streaming)
    }
}

/// Result of the call of an attempt, before any part of its response was forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The server has processed the prompt and holds its KV state.
    #[serde(rename = "Read")]
    Prefilled,
    /// The first complete event of the response was received.
    #[serde(rename = "Begins")]
    FirstEvent,
    /// The server rejected the attempt before running it, for example by load shedding.
    #[serde(rename = "Declined")]
    Rejected,
    /// The server found the request itself invalid; every server would reject it.
    #[serde(rename = "Unfit")]
    Unprocessable,
    /// The server responded with an error.
    Error,
    /// No connection could be opened, or it failed before the last byte was written.
    #[serde(rename = "Connect")]
    ConnectFailed,
    /// The connection broke after the attempt was written, and the server may still be working on it.
    Reset,
    /// The connection broke after the attempt was written, and the server is known to have stopped working on it.
    ResetAndEnded,
    /// The response could not be parsed.
    #[serde(rename = "Spoilt")]
    MalformedResponse,
    /// The gateway wrote nothing, for example because the server must not receive new requests by then.
    NotSent,
}

impl Reply {
    /// Returns what is known about the server's work on the attempt beyond what the attempt's status shows.
    pub(crate) fn known_work(self) -> InterruptedWork {
        match self {
            Reply::ResetAndEnded => InterruptedWork::Ended,
            _ => InterruptedWork::MayRun,
        }
    }
}

/// How the stream of a response that was being forwarded ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StreamEnd {
    /// The last event was forwarded.
    #[serde(rename = "Whole")]
    Complete,
    /// Another process continues the stream.
    #[serde(rename = "Moved")]
    HandedOver,
    /// The connection to the server broke.
    Reset,
    /// A later part of the response could not be parsed.
    #[serde(rename = "Spoilt")]
    MalformedResponse,
    /// No event was received within the idle limit.
    #[serde(rename = "Silent")]
    IdleTimeout,
    /// The client stopped reading the stream.
    #[serde(rename = "Untaken")]
    ClientStalled,
}

impl StreamEnd {
    /// Returns the outcome of an attempt whose stream ended in this way.
    pub fn status(self) -> Status {
        match self {
            StreamEnd::Complete | StreamEnd::HandedOver => Status::Served,
            StreamEnd::Reset => Status::Reset,
            StreamEnd::MalformedResponse => Status::MalformedResponse,
            StreamEnd::IdleTimeout => Status::Timeout,
            StreamEnd::ClientStalled => Status::Cancelled,
        }
    }
}
