//! One attempt of a request at one server: its states, and what can come back for it.

use serde::{Deserialize, Serialize};

use super::Server;
use crate::evidence::{CutWork, Observation};

/// What an attempt asks of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// To read the prompt and hold its KV state. This has no effect that a client could notice.
    #[serde(rename = "Read")]
    Prefill,
    /// To answer the request. This may have the request's effect.
    #[serde(rename = "Run")]
    Execute,
}

/// How an attempt ended. The router gets exactly one for each attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Status {
    /// Its answer came to its end, or another process continues it.
    Served,
    /// The prompt was read, and its KV state waits at the server.
    #[serde(rename = "Read")]
    Prefilled,
    /// The server answered with an error. The request may have run.
    Error,
    /// The server rejected it (load shedding): it did not run.
    #[serde(rename = "Declined")]
    Rejected,
    /// Nothing came back in time. The request may have run.
    Timeout,
    /// It cannot have run: its last byte was never written.
    #[serde(rename = "Connect")]
    ConnectFailed,
    /// Its connection broke after the request was written. The request may have run.
    Reset,
    /// What came back could not be parsed. The request may have run.
    #[serde(rename = "Spoilt")]
    MalformedResponse,
    /// It was cancelled, or its client left. The request may have run.
    Cancelled,
    /// It was written, but nothing showed in time that it had arrived, and was cancelled, since the reservation that it
    /// was to use may not wait longer. The request may have run.
    Undelivered,
    /// The gateway never sent it.
    NotSent,
}

impl Status {
    /// Whether this can only come back from a server that had received the attempt.
    pub fn shows_arrival(self) -> bool {
        matches!(
            self,
            Status::Served | Status::Prefilled | Status::Error | Status::Rejected | Status::MalformedResponse
        )
    }

    /// What was seen last of an attempt that was cut off before its answer was complete; `None` for any other.
    pub fn cut_by(self) -> Option<Observation> {
        match self {
            Status::Cancelled | Status::Undelivered | Status::Timeout => Some(Observation::OwnClose),
            Status::Reset => Some(Observation::Reset),
            Status::MalformedResponse => Some(Observation::AnswerHere),
            Status::Served
            | Status::Prefilled
            | Status::Error
            | Status::Rejected
            | Status::ConnectFailed
            | Status::NotSent => None,
        }
    }

    /// Whether the server may have begun what was asked.
    ///
    /// The rule behind it: a request that may have run must not be run again unless it is idempotent.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Status::Rejected | Status::ConnectFailed | Status::NotSent | Status::Prefilled)
    }
}

/// Where one attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptState {
    /// Ordered by the router; it waits until earlier reservations of this request are released.
    Queued,
    /// Being sent to its server, or already there; [`Attempt::delivered`] says what is known.
    InFlight,
    /// Cancelled, but its call is not dropped yet.
    Cancelling,
    /// Its answer is being forwarded to the client; it can no longer be cancelled.
    Streaming,
    /// It has ended.
    Ended(Status),
}

/// One attempt at one server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The server that it is for.
    pub server: Server,
    /// What it asks of the server.
    pub stage: Stage,
    /// Where it stands.
    pub state: AttemptState,
    /// Something has shown that its last byte reached a server that runs. Being written is not enough: a write onto a
    /// dead connection succeeds too, so it may not stop the lease limit.
    pub delivered: bool,
    /// It was cancelled because no sign of delivery came in time.
    pub undelivered: bool,
    /// It was cut off, and nothing proves that its server will not work on it any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub unnoticed_close: bool,
}

impl Attempt {
    /// An attempt that the router has ordered and that is not sent yet.
    pub fn new(server: Server, stage: Stage) -> Attempt {
        let state = AttemptState::Queued;
        Attempt { server, stage, state, delivered: false, undelivered: false, unnoticed_close: false }
    }

    /// Whether it has ended and may have had the request's effect.
    pub fn may_have_run(&self) -> bool {
        self.stage == Stage::Execute
            && matches!(self.state, AttemptState::Ended(status) if status.may_have_run())
    }

    /// Whether its outcome is still to come.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, AttemptState::Ended(_))
    }

    /// Whether it is at its server, or may be.
    pub(crate) fn may_be_at_server(&self) -> bool {
        matches!(self.state, AttemptState::InFlight | AttemptState::Cancelling | AttemptState::Streaming)
    }
}

/// What came back for an attempt before any of its answer was forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The server has read the prompt and holds its KV state.
    #[serde(rename = "Read")]
    Prefilled,
    /// The first complete event of the answer is here.
    #[serde(rename = "Begins")]
    FirstEvent,
    /// The server rejected it (load shedding).
    #[serde(rename = "Declined")]
    Rejected,
    /// The request itself is at fault; every server would find the same.
    #[serde(rename = "Unfit")]
    Unprocessable,
    /// The server failed.
    Error,
    /// No connection came up, or it failed before the last byte was written.
    #[serde(rename = "Connect")]
    ConnectFailed,
    /// The connection broke after the request was written, and its server may still work on it.
    Reset,
    /// The connection broke after the request was written, and its server is known to work on it no more.
    ResetAndEnded,
    /// The answer could not be parsed.
    #[serde(rename = "Spoilt")]
    MalformedResponse,
    /// The gateway withheld it: by then its server was to receive nothing new.
    NotSent,
}

impl Reply {
    /// What is known of the server's work on the attempt, besides what the attempt's status shows.
    pub(crate) fn known_work(self) -> CutWork {
        match self {
            Reply::ResetAndEnded => CutWork::Ended,
            _ => CutWork::MayRun,
        }
    }
}

/// How an answer that was being forwarded ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StreamEnd {
    /// Its last event was forwarded.
    #[serde(rename = "Whole")]
    Complete,
    /// Another process continues it.
    #[serde(rename = "Moved")]
    HandedOver,
    /// The server's connection broke.
    Reset,
    /// The rest of it could not be parsed.
    #[serde(rename = "Spoilt")]
    MalformedResponse,
    /// No event came for too long.
    #[serde(rename = "Silent")]
    IdleTimeout,
    /// The client no longer reads what is forwarded.
    #[serde(rename = "Untaken")]
    ClientStalled,
}

impl StreamEnd {
    /// The outcome of the attempt whose stream ended so.
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
