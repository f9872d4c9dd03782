//! A connection to a server: whether a request may be written to it, and what its end says of the request.
//!
//! One request at a time. The one thing that this machine may never get wrong is whether a request's last byte can
//! have reached its server: before it, the request never ran, after it, it may have.

use serde::{Deserialize, Serialize};

use crate::InvalidTransition;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Being opened.
    Connecting,
    /// Up, with no request on it.
    Idle,
    /// A request is being written; not all of it is out.
    Writing,
    /// Its last byte is out; the head of its answer is not here.
    AwaitingHead,
    /// The answer's body comes in.
    Streaming,
    /// The server has closed it, or said what nobody asked for, while it stood idle.
    Stale,
    Closing,
    /// Another process reads on.
    HandedOver,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// It is up.
    #[serde(rename = "Up")]
    Connected,
    /// It did not come up.
    #[serde(rename = "Refused")]
    ConnectFailed,
    /// A request is to be written. `serving`: its server may get something new at this moment.
    Send { serving: bool },
    /// Some bytes of the request were handed to the machine.
    #[serde(rename = "Wrote")]
    BytesWritten,
    /// So was its last one.
    #[serde(rename = "WroteAll")]
    LastByteWritten,
    /// The head of the answer has come whole.
    #[serde(rename = "Head")]
    HeadReceived,
    /// The answer has come to its end.
    #[serde(rename = "End")]
    ResponseComplete,
    /// Reading has stopped between two chunks, for another process to go on.
    #[serde(rename = "Stands")]
    ReadPaused,
    /// The server closed it, reset it or said what cannot be read.
    #[serde(rename = "Broke")]
    Broken,
    /// Whoever waited for it gave up, or it has stood idle for too long.
    #[serde(rename = "Dropped")]
    Abandoned,
    /// The server is to get nothing new.
    Drained,
}

/// What is to be done, or what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    #[serde(rename = "Nothing")]
    None,
    /// Write the request.
    Write,
    /// Not a byte went out, and this connection was an old one: the same request on another is no second attempt.
    Replace,
    /// Nothing of the request can have run.
    NeverRan,
    /// The request may have run.
    MayHaveRun,
    /// The server must get nothing: nothing was written, and the connection is closed.
    #[serde(rename = "KeptBack")]
    Withheld,
    /// Take it for the next request.
    #[serde(rename = "Keep")]
    Reuse,
    Close,
    /// The open answer goes on elsewhere.
    HandOver,
}

/// A fault planted in the machine, for the explorer to show that it finds each.
#[cfg(feature = "mutants")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    WritesToDrained,
    ReplacesAfterByte,
    CallsSentNeverRan,
    KeepsDrained,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Connection {
    stage: Stage,
    /// It has carried a request before this one.
    used: bool,
    /// A byte of the open request is out.
    has_written: bool,
    /// Its server is to get nothing new.
    drained: bool,
    #[cfg(feature = "mutants")]
    fault: Option<Fault>,
}

impl Default for Connection {
    fn default() -> Self {
        Connection {
            stage: Stage::Connecting,
            used: false,
            has_written: false,
            drained: false,
            #[cfg(feature = "mutants")]
            fault: None,
        }
    }
}

impl Connection {
    /// A connection that stands there, for whoever lists the table's rows.
    #[cfg(feature = "mutants")]
    pub fn at(stage: Stage) -> Self {
        Connection { stage, ..Connection::default() }
    }

    #[cfg(feature = "mutants")]
    pub fn plant(&mut self, fault: Option<Fault>) {
        self.fault = fault;
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether a byte of the open request is out.
    pub fn has_written(&self) -> bool {
        self.has_written
    }

    /// The transition table.
    pub fn step(&mut self, input: Input) -> Result<Effect, InvalidTransition> {
        use Stage::*;
        #[cfg(feature = "mutants")]
        let planted = self.fault;
        let (next, effect) = match (self.stage, input) {
            (Stale | Closing | HandedOver, _) => return self.ended(input),
            (Connecting, Input::Connected) => (Idle, Effect::None),
            (Connecting, Input::ConnectFailed | Input::Broken) => (Closing, Effect::NeverRan),
            // Connecting takes time: what was told meanwhile counts at the first byte.
            (Idle, Input::Send { serving }) => {
                let may = serving && !self.drained;
                #[cfg(feature = "mutants")]
                let may = may || planted == Some(Fault::WritesToDrained);
                if may {
                    self.has_written = false;
                    (Writing, Effect::Write)
                } else {
                    (Closing, Effect::Withheld)
                }
            }
            (Idle, Input::Broken) => (Stale, Effect::Close),
            (Writing, Input::BytesWritten) => {
                self.has_written = true;
                (Writing, Effect::None)
            }
            (Writing, Input::LastByteWritten) => {
                self.has_written = true;
                (AwaitingHead, Effect::None)
            }
            (Writing, Input::Broken) => {
                let replace = self.used && !self.has_written;
                #[cfg(feature = "mutants")]
                let replace = replace || self.used && planted == Some(Fault::ReplacesAfterByte);
                (Closing, if replace { Effect::Replace } else { Effect::NeverRan })
            }
            // Answered before its end was written: the server has made up its mind.
            (Writing | AwaitingHead, Input::HeadReceived) => (Streaming, Effect::None),
            (AwaitingHead | Streaming, Input::Broken) => {
                let ran = Effect::MayHaveRun;
                #[cfg(feature = "mutants")]
                let ran = if planted == Some(Fault::CallsSentNeverRan) { Effect::NeverRan } else { ran };
                (Closing, ran)
            }
            (Streaming, Input::ResponseComplete) => {
                let keep = !self.drained;
                #[cfg(feature = "mutants")]
                let keep = keep || planted == Some(Fault::KeepsDrained);
                (self.used, self.has_written) = (true, false);
                if keep {
                    (Idle, Effect::Reuse)
                } else {
                    (Closing, Effect::Close)
                }
            }
            (Streaming, Input::ReadPaused) => (HandedOver, Effect::HandOver),
            (_, Input::Abandoned) => (Closing, Effect::Close),
            // What stands idle is closed; a request under way may end.
            (stage, Input::Drained) => {
                self.drained = true;
                match stage {
                    Idle => (Closing, Effect::Close),
                    _ => (stage, Effect::None),
                }
            }
            _ => return Err(self.impossible(&input)),
        };
        self.stage = next;
        Ok(effect)
    }

    /// After its end, what was on its way may still come, and changes nothing.
    fn ended(&self, input: Input) -> Result<Effect, InvalidTransition> {
        match (self.stage, input) {
            (Stage::Stale, Input::Send { .. }) => Ok(Effect::Replace),
            (_, Input::Abandoned | Input::Drained | Input::Broken) => Ok(Effect::None),
            _ => Err(self.impossible(&input)),
        }
    }

    fn impossible(&self, input: &Input) -> InvalidTransition {
        InvalidTransition::new("server connection", input, self)
    }
}
