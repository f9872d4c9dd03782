//! A client's connection: what may be read from it, how long it may stay where it is, and when another process can
//! continue it.
//!
//! One request at a time passes. Nothing of the next one is let through before the response to this one is written, so
//! that whoever closes the connection or hands it over knows whether a request is crossing. [`Connection`] owns the
//! state; the driver owns the socket and the clock.

mod planted_faults;

use serde::{Deserialize, Serialize};

#[cfg(not(feature = "mutants"))]
use self::planted_faults::Fault;
#[cfg(feature = "mutants")]
pub use self::planted_faults::Fault;
use crate::InvalidTransition;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Nothing has been received yet.
    #[default]
    New,
    /// A part of a request's head has been received.
    Head,
    /// A request's head is complete, its body is not.
    Body,
    /// The request is complete, its response is not.
    Response,
    /// Kept alive, with no open request.
    Idle,
    /// Nothing more is served on it.
    Closing,
    /// Another process owns it.
    HandedOver,
}

/// What a complete head says about its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Framing {
    /// All of it has been received already.
    #[serde(rename = "Here")]
    Complete,
    /// Its length is known, and some of it is still to come.
    #[serde(rename = "Told")]
    KnownLength,
    /// Its end is found only by reading it, so the connection closes after it.
    #[serde(rename = "Unknown")]
    UnknownLength,
}

/// What happens on the connection, or is asked of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// The first bytes of a head were read.
    #[serde(rename = "Begun")]
    HeadStarted,
    /// A complete head was read.
    #[serde(rename = "Head")]
    HeadComplete(Framing),
    /// What was read is no valid head.
    #[serde(rename = "Unreadable")]
    MalformedHead,
    /// The last byte of a body of known length was read.
    #[serde(rename = "BodyRead")]
    BodyComplete,
    /// The response is written, or never will be.
    #[serde(rename = "Answered")]
    ResponseFinished,
    /// The connection came from another process, with a response in progress that continues here.
    #[serde(rename = "Resumed")]
    StreamResumed,
    /// The response in progress can continue in another process.
    #[serde(rename = "Leaves")]
    StreamDetached,
    /// The successor process asks for the connection.
    #[serde(rename = "Asked")]
    HandOverRequested,
    /// The time limit of [`Connection::timeout_kind`] passed.
    #[serde(rename = "Due")]
    TimedOut,
    /// The connection table is full: the connection should make room for another client.
    Evicted,
    /// Whether the client has stopped reading what is written.
    #[serde(rename = "Blocked")]
    WriteBlocked(bool),
    /// Whether bytes of a request were read that have not been passed on.
    #[serde(rename = "Ahead")]
    PipelinedBytes(bool),
}

/// What the driver must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    /// Nothing.
    #[serde(rename = "Nothing")]
    None,
    /// Close the connection.
    Close,
    /// Hand the connection over to the successor process.
    HandOver {
        /// Whether a response in progress goes with it.
        stream: bool,
    },
}

/// Which time limit applies to a connection where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TimeoutKind {
    /// Until the first byte.
    FirstByte,
    /// Until the rest of a head.
    PartialHead,
    /// Between two requests (keep-alive).
    Idle,
    /// Until the client reads the rest of a response.
    WriteStall,
    /// For what the client still sends after the end.
    Linger,
    /// None of its own: the request and its response have timers.
    Request,
}

/// The state machine of one client connection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Connection {
    stage: Stage,
    /// The client has stopped reading what is written.
    blocked: bool,
    /// Bytes of a request have been read that the stage does not show yet.
    pipelined_bytes: bool,
    /// The open request is the last on this connection.
    last_request: bool,
    /// The response in progress can continue in another process.
    stream_detached: bool,
    #[cfg(feature = "mutants")]
    fault: Option<Fault>,
}

impl Connection {
    /// A connection in this stage, for listing the rows of the transition table.
    #[cfg(feature = "mutants")]
    pub fn at(stage: Stage) -> Self {
        Connection { stage, ..Connection::default() }
    }

    /// Where the connection stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether the connection must close after the open request. That is also so while its body has not been read to
    /// the end: nobody knows then where the next request begins.
    pub fn closes_after_response(&self) -> bool {
        self.last_request || self.stage != Stage::Response
    }

    /// Whether nothing is lost by closing it now.
    pub fn is_evictable(&self) -> bool {
        let has_open_request = matches!(self.stage, Stage::Body | Stage::Response);
        !self.blocked && (!has_open_request || self.has_fault(Fault::EvictsOpenRequest))
    }

    /// Whether bytes that arrive now belong to a request, which will be read.
    pub fn awaits_request(&self) -> bool {
        !self.blocked && matches!(self.stage, Stage::New | Stage::Head | Stage::Idle)
    }

    /// Whether nothing at all is under way on it, in either direction.
    pub fn is_idle(&self) -> bool {
        !self.blocked && !self.pipelined_bytes && self.is_between_requests()
    }

    fn is_between_requests(&self) -> bool {
        matches!(self.stage, Stage::New | Stage::Idle)
    }

    /// Whether bytes have been read that belong to a further request.
    pub fn has_pipelined_bytes(&self) -> bool {
        self.pipelined_bytes
    }

    /// Whether another process can take it as it is: nothing is in a buffer in either direction, and it is between
    /// two requests or its response can continue elsewhere.
    pub fn can_hand_over(&self) -> bool {
        let nothing_unwritten = !self.blocked || self.has_fault(Fault::HandsOverUnwritten);
        let nothing_unread = !self.pipelined_bytes || self.has_fault(Fault::HandsOverHalfHead);
        let buffers_empty = nothing_unwritten && nothing_unread;
        buffers_empty && (self.is_between_requests() || self.stream_detached)
    }

    /// Which time limit applies now.
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

    /// Handles one input and returns what must be done.
    ///
    /// # Errors
    /// An input that cannot occur in the present stage changes nothing.
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

    /// Moves on to the stage that follows.
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

    /// The transition table of requests and responses; `None` where the input cannot occur.
    fn next_stage(&self, input: Input) -> Option<Stage> {
        match (self.stage, input) {
            (Stage::New | Stage::Head | Stage::Idle, Input::HeadStarted) => Some(Stage::Head),
            (Stage::Head | Stage::Idle, Input::HeadComplete(Framing::Complete)) => Some(Stage::Response),
            (Stage::Head | Stage::Idle, Input::HeadComplete(_)) => Some(Stage::Body),
            (Stage::Head | Stage::Idle, Input::MalformedHead) => Some(Stage::Closing),
            (Stage::Body, Input::BodyComplete) => Some(Stage::Response),
            // The response came before the end of the body: what still arrives is read and dropped.
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

    /// An open request has timers of its own, so that the connection's cannot expire.
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
