//! Connection to a server: whether a request may be written to it, and what its end implies for the request.
//!
//! A connection carries one request at a time. The critical fact is whether the last byte of a request can
//! have reached the server: until that byte is written the request cannot have run, afterwards it may have
//! run. A request whose response begins before its last byte is written may have run too. [`Connection`] owns
//! the state; the driver owns the socket and the clock.

mod planted_faults;

use serde::{Deserialize, Serialize};

#[cfg(not(feature = "mutants"))]
use self::planted_faults::Fault;
#[cfg(feature = "mutants")]
pub use self::planted_faults::Fault;
use crate::InvalidTransition;

/// Stage of a connection to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The connection is being opened.
    #[default]
    Connecting,
    /// Open, with no request in progress.
    Idle,
    /// A request is being written; its last byte has not been written.
    Writing,
    /// The request was written; the head of its response has not been received.
    AwaitingHead,
    /// The body of the response is being received.
    Streaming,
    /// The server closed the connection, or sent unexpected data, while it was idle.
    Stale,
    /// Closed, or being closed.
    Closing,
    /// Another process continues to read the response.
    HandedOver,
}

/// An event on the connection, or a command of the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// The connection was opened.
    #[serde(rename = "Up")]
    Connected,
    /// The connection could not be opened.
    #[serde(rename = "Refused")]
    ConnectFailed,
    /// The driver is about to write a request.
    Send {
        /// Whether the server may receive new requests at this moment.
        serving: bool,
    },
    /// Some bytes of the request were passed to the operating system, but not the last one.
    #[serde(rename = "Wrote")]
    BytesWritten,
    /// The last byte of the request was passed to the operating system.
    #[serde(rename = "WroteAll")]
    LastByteWritten,
    /// The complete response head was received.
    #[serde(rename = "Head")]
    HeadReceived,
    /// The end of the response was received.
    #[serde(rename = "End")]
    ResponseComplete,
    /// Reading stopped between two chunks, so that another process can continue.
    #[serde(rename = "Stands")]
    ReadPaused,
    /// The server closed or reset the connection, or sent data that cannot be parsed.
    #[serde(rename = "Broke")]
    Broken,
    /// The driver gave up on the request, or the idle limit of the connection passed.
    #[serde(rename = "Dropped")]
    Abandoned,
    /// The server drains, so it must not receive new requests.
    Drained,
}

/// An action for the driver, or a conclusion about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    /// No action.
    #[serde(rename = "Nothing")]
    None,
    /// Write the request.
    Write,
    /// Send the same request on another connection. No byte of it was written on this one, which closed while
    /// idle or had carried a request before, so this is not a second attempt.
    Replace,
    /// The request cannot have run.
    NeverRan,
    /// The request may have run.
    MayHaveRun,
    /// Write nothing and close the connection, because the server must not receive new requests.
    #[serde(rename = "KeptBack")]
    Withheld,
    /// Return the connection to the pool for the next request.
    #[serde(rename = "Keep")]
    Reuse,
    /// Close the connection.
    Close,
    /// Hand the connection over to another process, which continues the response.
    HandOver,
}

/// State machine of one connection to a server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Connection {
    stage: Stage,
    /// Whether an earlier request was completed on this connection.
    used: bool,
    /// Whether a byte of the current request was written.
    has_written: bool,
    /// Whether the server must not receive new requests.
    drained: bool,
    #[cfg(feature = "mutants")]
    fault: Option<Fault>,
}

impl Connection {
    /// Creates a connection in the given stage, for listing the rows of the transition table.
    #[cfg(feature = "mutants")]
    pub fn at(stage: Stage) -> Self {
        Connection { stage, ..Connection::default() }
    }

    /// Returns the current stage, [`Stage::Connecting`] at first.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns whether a byte of the current request was written.
    pub fn has_written(&self) -> bool {
        self.has_written
    }

    /// Processes one input and returns the resulting effect.
    ///
    /// # Errors
    /// Returns [`InvalidTransition`] if the input is not valid in the current stage; nothing is changed then.
    pub fn step(&mut self, input: Input) -> Result<Effect, InvalidTransition> {
        let Some((next, effect)) = self.transition(input) else {
            return Err(InvalidTransition::new("server connection", &input, self));
        };
        self.record(input, effect);
        self.stage = next;
        Ok(effect)
    }

    /// Looks up the next stage and the effect in the transition table; `None` if the input is not valid.
    fn transition(&self, input: Input) -> Option<(Stage, Effect)> {
        let row = match (self.stage, input) {
            (Stage::Stale, Input::Send { .. }) => (Stage::Stale, Effect::Replace),
            // Events that were already under way may arrive after the connection has ended, and change nothing.
            (
                Stage::Stale | Stage::Closing | Stage::HandedOver,
                Input::Abandoned | Input::Drained | Input::Broken,
            ) => (self.stage, Effect::None),
            (Stage::Stale | Stage::Closing | Stage::HandedOver, _) => return None,
            (Stage::Connecting, Input::Connected) => (Stage::Idle, Effect::None),
            (Stage::Connecting, Input::ConnectFailed | Input::Broken) => (Stage::Closing, Effect::NeverRan),
            (Stage::Idle, Input::Send { serving }) => self.on_send(serving),
            (Stage::Idle, Input::Broken) => (Stage::Stale, Effect::Close),
            (Stage::Writing, Input::BytesWritten) => (Stage::Writing, Effect::None),
            (Stage::Writing, Input::LastByteWritten) => (Stage::AwaitingHead, Effect::None),
            (Stage::Writing, Input::Broken) => (Stage::Closing, self.on_broken_while_writing()),
            // A response may begin before the last byte of the request, if the server does not need the rest.
            (Stage::Writing | Stage::AwaitingHead, Input::HeadReceived) => (Stage::Streaming, Effect::None),
            (Stage::AwaitingHead | Stage::Streaming, Input::Broken) => {
                (Stage::Closing, self.on_broken_after_write())
            }
            (Stage::Streaming, Input::ResponseComplete) => self.on_response_complete(),
            (Stage::Streaming, Input::ReadPaused) => (Stage::HandedOver, Effect::HandOver),
            (_, Input::Abandoned) => (Stage::Closing, Effect::Close),
            // An idle connection is closed; a request in progress may complete.
            (Stage::Idle, Input::Drained) => (Stage::Closing, Effect::Close),
            (_, Input::Drained) => (self.stage, Effect::None),
            _ => return None,
        };
        Some(row)
    }

    /// Updates the fields other than the stage. Called before the stage changes.
    fn record(&mut self, input: Input, effect: Effect) {
        match input {
            Input::Send { .. } if effect == Effect::Write => self.has_written = false,
            Input::BytesWritten | Input::LastByteWritten => self.has_written = true,
            Input::ResponseComplete => {
                self.used = true;
                self.has_written = false;
            }
            Input::Drained if !self.has_ended() => self.drained = true,
            _ => {}
        }
    }

    fn has_ended(&self) -> bool {
        matches!(self.stage, Stage::Stale | Stage::Closing | Stage::HandedOver)
    }

    /// Decides whether a request may be written. The server may have started to drain while the connection was being
    /// opened, so this is checked immediately before the first byte.
    fn on_send(&self, serving: bool) -> (Stage, Effect) {
        let permitted = serving && !self.drained;
        if permitted || self.has_fault(Fault::WritesToDrained) {
            (Stage::Writing, Effect::Write)
        } else {
            (Stage::Closing, Effect::Withheld)
        }
    }

    /// Returns the effect for a connection that broke before the last byte of the request was written.
    fn on_broken_while_writing(&self) -> Effect {
        let nothing_written = !self.has_written || self.has_fault(Fault::ReplacesAfterByte);
        if self.used && nothing_written {
            Effect::Replace
        } else {
            Effect::NeverRan
        }
    }

    /// Returns the effect for a connection that broke after the last byte of the request was written, or
    /// after the response began.
    fn on_broken_after_write(&self) -> Effect {
        if self.has_fault(Fault::CallsSentNeverRan) {
            Effect::NeverRan
        } else {
            Effect::MayHaveRun
        }
    }

    fn on_response_complete(&self) -> (Stage, Effect) {
        if !self.drained || self.has_fault(Fault::KeepsDrained) {
            (Stage::Idle, Effect::Reuse)
        } else {
            (Stage::Closing, Effect::Close)
        }
    }
}
