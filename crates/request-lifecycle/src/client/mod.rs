//! Connection of a client: what may be read from it, which time limit applies to it, and when it can be closed or
//! handed over to another process.
//!
//! A connection carries one request at a time. The next request is not processed before the response to the current
//! one is written, so it is always known whether a request is in progress when the connection is closed or handed
//! over. [`Connection`] owns the state; the driver owns the socket and the clock.

mod planted_faults;

use serde::{Deserialize, Serialize};

#[cfg(not(feature = "mutants"))]
use self::planted_faults::Fault;
#[cfg(feature = "mutants")]
pub use self::planted_faults::Fault;
use crate::InvalidTransition;

/// Stage of a client connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// No byte has been received yet.
    #[default]
    New,
    /// A part of a request head has been received.
    Head,
    /// The head of a request is complete, its body is not.
    Body,
    /// A request is complete, its response is not.
    Response,
    /// Kept alive after a response, with no request in progress.
    Idle,
    /// No further request is served on the connection.
    Closing,
    /// Another process owns the connection.
    HandedOver,
}

/// Framing of a request body, as given by the complete head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Framing {
    /// The whole body has been received already.
    #[serde(rename = "Here")]
    Complete,
    /// The length is known, and a part of the body has not been received.
    #[serde(rename = "Told")]
    KnownLength,
    /// The end of the body is found only by reading it, so the connection closes after the response.
    #[serde(rename = "Unknown")]
    UnknownLength,
}

/// An event on the connection, or a command of the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// The first bytes of a request head were read.
    #[serde(rename = "Begun")]
    HeadStarted,
    /// A complete request head was read.
    #[serde(rename = "Head")]
    HeadComplete(Framing),
    /// The bytes read are not a valid request head.
    #[serde(rename = "Unreadable")]
    MalformedHead,
    /// The last byte of a body of known length was read.
    #[serde(rename = "BodyRead")]
    BodyComplete,
    /// The response was written completely, or will not be written.
    #[serde(rename = "Answered")]
    ResponseFinished,
    /// The connection was received from another process, and its response in progress continues here.
    #[serde(rename = "Resumed")]
    StreamResumed,
    /// The response in progress can be continued by another process from now on.
    #[serde(rename = "Leaves")]
    StreamDetached,
    /// The successor process requests the connection.
    #[serde(rename = "Asked")]
    HandOverRequested,
    /// The time limit of [`Connection::timeout_kind`] passed.
    #[serde(rename = "Due")]
    TimedOut,
    /// The connection table is full, and this connection is to be closed if nothing is lost by that.
    Evicted,
    /// Whether the client has stopped reading, so that writes are blocked.
    #[serde(rename = "Blocked")]
    WriteBlocked(bool),
    /// Whether bytes of a request were read that have not been processed.
    #[serde(rename = "Ahead")]
    PipelinedBytes(bool),
}

/// An action for the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    /// No action.
    #[serde(rename = "Nothing")]
    None,
    /// Close the connection.
    Close,
    /// Hand the connection over to the successor process.
    HandOver {
        /// Whether a response in progress is handed over with the connection.
        stream: bool,
    },
}

/// Kind of time limit that applies to a connection in its current stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TimeoutKind {
    /// Limit until the first byte is received.
    FirstByte,
    /// Limit until the rest of a request head is received.
    PartialHead,
    /// Limit between two requests (keep-alive).
    Idle,
    /// Limit until the client continues to read a response.
    WriteStall,
    /// Limit for reading what the client still sends after the last response.
    Linger,
    /// No limit of the connection: the request and its response have timers of their own.
    Request,
}

/// State machine of one client connection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Connection {
    stage: Stage,
    /// Whether the client has stopped reading, so that writes are blocked.
    blocked: bool,
    /// Whether bytes of a request have been read that the stage does not reflect yet.
    pipelined_bytes: bool,
    /// Whether the current request is the last one on this connection.
    last_request: bool,
    /// Whether the response in progress can be continued by another process.
    stream_detached: bool,
    #[cfg(feature = "mutants")]
    fault: Option<Fault>,
}

impl Connection {
    /// Creates a connection in the given stage, for listing the rows of the transition table.
    #[cfg(feature = "mutants")]
    pub fn at(stage: Stage) -> Self {
        Connection { stage, ..Connection::default() }
    }

    /// Returns the current stage, [`Stage::New`] at first.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns whether the connection must close after the current request. This also holds while the body has not
    /// been read completely, because it is then unknown where the next request begins.
    pub fn closes_after_response(&self) -> bool {
        self.last_request || self.stage != Stage::Response
    }

    /// Returns whether the connection can be closed now without losing a request or a response.
    pub fn is_evictable(&self) -> bool {
        let has_open_request = matches!(self.stage, Stage::Body | Stage::Response);
        !self.blocked && (!has_open_request || self.has_fault(Fault::EvictsOpenRequest))
    }

    /// Returns whether bytes that arrive now belong to a request that will be read.
    pub fn awaits_request(&self) -> bool {
        !self.blocked && matches!(self.stage, Stage::New | Stage::Head | Stage::Idle)
    }

    /// Returns whether nothing is in progress on the connection in either direction.
    pub fn is_idle(&self) -> bool {
        !self.blocked && !self.pipelined_bytes && self.is_between_requests()
    }

    fn is_between_requests(&self) -> bool {
        matches!(self.stage, Stage::New | Stage::Idle)
    }

    /// Returns whether bytes of a further request have been read.
    pub fn has_pipelined_bytes(&self) -> bool {
        self.pipelined_bytes
    }

    /// Returns whether another process can take over the connection: nothing is buffered in either direction, and the
    /// connection is between two requests or its response can be continued elsewhere.
    pub fn can_hand_over(&self) -> bool {
        let nothing_unwritten = !self.blocked || self.has_fault(Fault::HandsOverUnwritten);
        let nothing_unread = !self.pipelined_bytes || self.has_fault(Fault::HandsOverHalfHead);
        let buffers_empty = nothing_unwritten && nothing_unread;
        buffers_empty && (self.is_between_requests() || self.stream_detached)
    }

    /// Returns the kind of time limit that applies in the current stage.
    pub fn timeout_kind(&self) -> TimeoutKind {
        match self.stage {
            Stage::Body | Stage::Response | Stage::HandedOver => TimeoutKind::Request,
            _ if self.blocked => TimeoutKind::WriteStall,
            Stage::New => TimeoutKind::FirstByte,
            Stage::Head => TimeoutKind::PartialHead,
            Stage::Idle => TimeoutKind::Idle,
            Stage::Closing => TimeoutKind::Linger,
        }
    }

    /// Processes one input and returns the resulting effect.
    ///
    /// # Errors
    /// Returns [`InvalidTransition`] if the input is not valid in the current stage; nothing is changed then.
    pub fn step(&mut self, input: Input) -> Result<Effect, InvalidTransition> {
        if self.stage == Stage::HandedOver {
            return Err(self.invalid_transition(&input));
        }
        match input {
            Input::HeadStarted
            | Input::HeadComplete(_)
            | Input::MalformedHead
            | Input::BodyComplete
            | Input::ResponseFinished
            | Input::StreamResumed
            | Input::StreamDetached => self.advance(input),
            Input::HandOverRequested => Ok(self.hand_over()),
            Input::TimedOut => self.on_timeout(),
            Input::Evicted if self.is_evictable() => Ok(Effect::Close),
            Input::Evicted => Ok(Effect::None),
            Input::WriteBlocked(blocked) => {
                self.blocked = blocked;
                Ok(Effect::None)
            }
            Input::PipelinedBytes(pipelined_bytes) => {
                self.pipelined_bytes = pipelined_bytes;
                Ok(Effect::None)
            }
        }
    }

    /// Applies an input that may change the stage.
    fn advance(&mut self, input: Input) -> Result<Effect, InvalidTransition> {
        let Some(next) = self.next_stage(input) else { return Err(self.invalid_transition(&input)) };
        match input {
            Input::HeadComplete(framing) => self.last_request = framing == Framing::UnknownLength,
            Input::StreamDetached => self.stream_detached = true,
            Input::ResponseFinished => self.stream_detached = false,
            _ => {}
        }
        self.stage = next;
        Ok(Effect::None)
    }

    /// Looks up the next stage in the transition table of requests and responses; `None` if the input is not valid.
    fn next_stage(&self, input: Input) -> Option<Stage> {
        match (self.stage, input) {
            (Stage::New | Stage::Head | Stage::Idle, Input::HeadStarted) => Some(Stage::Head),
            (Stage::Head | Stage::Idle, Input::HeadComplete(Framing::Complete)) => Some(Stage::Response),
            (Stage::Head | Stage::Idle, Input::HeadComplete(_)) => Some(Stage::Body),
            (Stage::Head | Stage::Idle, Input::MalformedHead) => Some(Stage::Closing),
            (Stage::Body, Input::BodyComplete) => Some(Stage::Response),
            // The response was complete before the body; the rest of the body is read and dropped.
            (Stage::Closing, Input::BodyComplete) => Some(Stage::Closing),
            (Stage::Body | Stage::Response, Input::ResponseFinished) => Some(self.stage_after_response()),
            (Stage::New, Input::StreamResumed) => Some(Stage::Response),
            (Stage::Response, Input::StreamDetached) => Some(Stage::Response),
            _ => None,
        }
    }

    fn stage_after_response(&self) -> Stage {
        if self.closes_after_response() && !self.has_fault(Fault::KeepsAfterUnread) {
            Stage::Closing
        } else {
            Stage::Idle
        }
    }

    fn hand_over(&mut self) -> Effect {
        if !self.can_hand_over() {
            return Effect::None;
        }
        let stream = self.stage == Stage::Response;
        self.stage = Stage::HandedOver;
        Effect::HandOver { stream }
    }

    /// Handles an expired time limit of the connection. While a request is in progress no such limit applies.
    fn on_timeout(&self) -> Result<Effect, InvalidTransition> {
        match self.stage {
            Stage::Body | Stage::Response => Err(self.invalid_transition(&Input::TimedOut)),
            _ => Ok(Effect::Close),
        }
    }

    fn invalid_transition(&self, input: &Input) -> InvalidTransition {
        InvalidTransition::new("client connection", input, self)
    }
}

#[cfg(test)]
mod tests;
