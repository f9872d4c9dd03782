//! A connection to a server: whether a request may be written to it, and what its end says about the request.
//!
//! One request at a time. The one thing that this machine must never get wrong is whether a request's last byte can
//! have reached its server: before it, the request never ran; after it, the request may have run. [`Connection`] owns
//! the state; the driver owns the socket and the clock.

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
    /// Being opened.
    #[default]
    Connecting,
    /// Up, with no request on it.
    Idle,
    /// A request is being written; its last byte is not written yet.
    Writing,
    /// The request is written; the head of its response has not been received.
    AwaitingHead,
    /// The body of the response is being received.
    Streaming,
    /// The server closed it, or sent something unasked, while it was idle.
    Stale,
    /// Closed, or about to be.
    Closing,
    /// Another process reads on.
    HandedOver,
}

/// What happens on the connection, or is asked of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// It is up.
    #[serde(rename = "Up")]
    Connected,
    /// It did not come up.
    #[serde(rename = "Refused")]
    ConnectFailed,
    /// A request is to be written.
    Send {
        /// Whether its server may receive something new at this moment.
        serving: bool,
    },
    /// Some bytes of the request were passed to the operating system.
    #[serde(rename = "Wrote")]
    BytesWritten,
    /// So was its last byte.
    #[serde(rename = "WroteAll")]
    LastByteWritten,
    /// The complete head of the response was received.
    #[serde(rename = "Head")]
    HeadReceived,
    /// The response has come to its end.
    #[serde(rename = "End")]
    ResponseComplete,
    /// Reading has stopped between two chunks, for another process to continue.
    #[serde(rename = "Stands")]
    ReadPaused,
    /// The server closed it, reset it or sent something that cannot be parsed.
    #[serde(rename = "Broke")]
    Broken,
    /// Whoever waited for it gave up, or it has been idle for too long.
    #[serde(rename = "Dropped")]
    Abandoned,
    /// The server must receive nothing new (it drains).
    Drained,
}

/// What the driver must do, or what is known of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    /// Nothing.
    #[serde(rename = "Nothing")]
    None,
    /// Write the request.
    Write,
    /// Send the same request on another connection: not a byte was written, and this one had been idle in the pool, so
    /// that is no second attempt.
    Replace,
    /// The request cannot have run.
    NeverRan,
    /// The request may have run.
    MayHaveRun,
    /// The server must receive nothing: nothing was written, and the connection is closed.
    #[serde(rename = "KeptBack")]
    Withheld,
    /// Return it to the pool for the next request.
    #[serde(rename = "Keep")]
    Reuse,
    /// Close it.
    Close,
    /// The open response continues in another process.
    HandOver,
}

/// The state machine of one connection to a server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Connection {
    stage: Stage,
    /// It has carried a request before this one.
    used: bool,
    /// A byte of the open request is written.
    has_written: bool,
    /// Its server must receive nothing new.
    drained: bool,
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

    /// Whether a byte of the open request is written.
    pub fn has_written(&self) -> bool {
        self.has_written
    }

    /// Handles one input and returns what must be done.
    ///
    /// # Errors
    /// An input that cannot occur in the present stage changes nothing.
    pub fn step(&mut self, input: Input) -> Result<Effect, InvalidTransition> {
        let Some((next, effect)) = self.transition(input) else {
            return Err(InvalidTransition::new("server connection", &input, self));
        };
        self.record(input, effect);
        self.stage = next;
        Ok(effect)
    }

    /// The transition table; `None` where the input cannot occur.
    fn transition(&self, input: Input) -> Option<(Stage, Effect)> {
        let row = match (self.stage, input) {
            (Stage::Stale, Input::Send { .. }) => (Stage::Stale, Effect::Replace),
            // After its end, what was on its way may still arrive, and changes nothing.
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
            (Stage::Writing, Input::Broken) => (Stage::Closing, self.lost_while_writing()),
            // A response before the request's last byte: the server has decided without the rest.
            (Stage::Writing | Stage::AwaitingHead, Input::HeadReceived) => (Stage::Streaming, Effect::None),
            (Stage::AwaitingHead | Stage::Streaming, Input::Broken) => {
                (Stage::Closing, self.lost_after_write())
            }
            (Stage::Streaming, Input::ResponseComplete) => self.on_response_complete(),
            (Stage::Streaming, Input::ReadPaused) => (Stage::HandedOver, Effect::HandOver),
            (_, Input::Abandoned) => (Stage::Closing, Effect::Close),
            // An idle connection is closed; a request in progress may end.
            (Stage::Idle, Input::Drained) => (Stage::Closing, Effect::Close),
            (_, Input::Drained) => (self.stage, Effect::None),
            _ => return None,
        };
        Some(row)
    }

    /// Notes what the input shows beyond the stage. Called before the stage changes.
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

    /// Connecting takes time, so whether the server drains is decided here, at the first byte.
    fn on_send(&self, serving: bool) -> (Stage, Effect) {
        let permitted = serving && !self.drained;
        if permitted || self.has_fault(Fault::WritesToDrained) {
            (Stage::Writing, Effect::Write)
        } else {
            (Stage::Closing, Effect::Withheld)
        }
    }

    /// The connection broke before the last byte of the request was written.
    fn lost_while_writing(&self) -> Effect {
        let nothing_written = !self.has_written || self.has_fault(Fault::ReplacesAfterByte);
        if self.used && nothing_written {
            Effect::Replace
        } else {
            Effect::NeverRan
        }
    }

    /// The connection broke after the last byte of the request was written.
    fn lost_after_write(&self) -> Effect {
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
