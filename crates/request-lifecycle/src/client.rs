//! A client's connection: where it stands, what may be read of it, how long it may stand there, and when another
//! process can go on with it.
//!
//! One request at a time passes. Nothing of the next one is let through before the answer to this one is out, so
//! that whoever closes the connection, or hands it over, knows whether a request is crossing.

use serde::{Deserialize, Serialize};

use crate::InvalidTransition;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Nothing has come yet.
    New,
    /// A part of a head has come.
    Head,
    /// A request's head is in, its body is not.
    Body,
    /// The request is in, its answer is not out.
    Response,
    /// Kept, with no open request.
    Idle,
    /// Nothing more is served on it.
    Closing,
    /// Another process's.
    HandedOver,
}

/// What a whole head says of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Framing {
    /// All of it is here already.
    #[serde(rename = "Here")]
    Complete,
    /// Its length is told, and some of it is still to come.
    #[serde(rename = "Told")]
    KnownLength,
    /// Its end is found only by reading it; so the connection ends after it.
    #[serde(rename = "Unknown")]
    UnknownLength,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// Some bytes of a head have come.
    #[serde(rename = "Begun")]
    HeadStarted,
    /// A head has come whole.
    #[serde(rename = "Head")]
    HeadComplete(Framing),
    /// What came is no head.
    #[serde(rename = "Unreadable")]
    MalformedHead,
    /// The last byte of a body whose length was told.
    #[serde(rename = "BodyRead")]
    BodyComplete,
    /// The answer is out, or will never be.
    #[serde(rename = "Answered")]
    ResponseFinished,
    /// Another process began the answer that is to go on here.
    #[serde(rename = "Resumed")]
    StreamResumed,
    /// The open answer goes no further here.
    #[serde(rename = "Leaves")]
    StreamDetached,
    /// Another process serves in this one's place, and asks for what it can go on with.
    #[serde(rename = "Asked")]
    HandOverRequested,
    /// It has stood where it is for too long.
    #[serde(rename = "Due")]
    TimedOut,
    /// It has to give way to another client.
    Evicted,
    /// The client takes nothing of what is written, or takes it again.
    #[serde(rename = "Blocked")]
    WriteBlocked(bool),
    /// Bytes were read that were not passed on, or none are left.
    #[serde(rename = "Ahead")]
    PipelinedBytes(bool),
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    #[serde(rename = "Nothing")]
    None,
    Close,
    /// Goes to the other process; `stream`: with its open answer.
    HandOver {
        stream: bool,
    },
}

/// How long a connection may stand where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TimeoutKind {
    /// For its first byte.
    FirstByte,
    /// For the rest of a head.
    PartialHead,
    /// Between two requests.
    Idle,
    /// For the rest of an answer to be taken.
    WriteStall,
    /// For what still comes after the end.
    Linger,
    /// As long as its request and answer take, which have timers of their own.
    Request,
}

/// A fault planted in the machine, for the explorer to show that it finds each.
#[cfg(feature = "mutants")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    EvictsOpenRequest,
    HandsOverHalfHead,
    HandsOverUnwritten,
    KeepsAfterUnread,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Connection {
    stage: Stage,
    /// The client does not take what is written.
    blocked: bool,
    /// Bytes of a request have been read that the stage does not show yet.
    pipelined_bytes: bool,
    /// The open request is the last on this connection.
    last_request: bool,
    /// The open answer can go on in another process.
    stream_detached: bool,
    #[cfg(feature = "mutants")]
    fault: Option<Fault>,
}

impl Default for Connection {
    fn default() -> Self {
        Connection {
            stage: Stage::New,
            blocked: false,
            pipelined_bytes: false,
            last_request: false,
            stream_detached: false,
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

    /// Whether the connection must end after the open request; so it is when its body was not read to the end.
    pub fn closes_after_response(&self) -> bool {
        self.last_request || self.stage != Stage::Response
    }

    /// Whether nothing is lost by closing it now.
    pub fn is_evictable(&self) -> bool {
        let open = matches!(self.stage, Stage::Body | Stage::Response);
        #[cfg(feature = "mutants")]
        let open = open && self.fault != Some(Fault::EvictsOpenRequest);
        !self.blocked && !open
    }

    /// Whether bytes that come now are a request's, which will be read.
    pub fn awaits_request(&self) -> bool {
        !self.blocked && matches!(self.stage, Stage::New | Stage::Head | Stage::Idle)
    }

    /// Whether nothing at all is under way on it, in either direction.
    pub fn is_idle(&self) -> bool {
        !self.blocked && !self.pipelined_bytes && matches!(self.stage, Stage::New | Stage::Idle)
    }

    /// Whether bytes have been read that belong to a further request.
    pub fn has_pipelined_bytes(&self) -> bool {
        self.pipelined_bytes
    }

    /// Whether another process can take it as it is: nothing at all is under way on it, in either direction, or
    /// what went before of its answer is out.
    pub fn can_hand_over(&self) -> bool {
        let (quiet, at_rest) =
            (!self.blocked && !self.pipelined_bytes, matches!(self.stage, Stage::New | Stage::Idle));
        #[cfg(feature = "mutants")]
        let quiet = match self.fault {
            Some(Fault::HandsOverHalfHead) => !self.blocked,
            Some(Fault::HandsOverUnwritten) => !self.pipelined_bytes,
            _ => quiet,
        };
        quiet && (at_rest || self.stream_detached)
    }

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

    /// The transition table.
    pub fn step(&mut self, input: Input) -> Result<Effect, InvalidTransition> {
        use Stage::*;
        let next = match (self.stage, input) {
            (HandedOver, _) => return Err(self.impossible(&input)),
            (_, Input::WriteBlocked(blocked)) => {
                self.blocked = blocked;
                return Ok(Effect::None);
            }
            (_, Input::PipelinedBytes(ahead)) => {
                self.pipelined_bytes = ahead;
                return Ok(Effect::None);
            }
            (New | Head | Idle, Input::HeadStarted) => Head,
            (Head | Idle, Input::HeadComplete(framing)) => {
                self.last_request = framing == Framing::UnknownLength;
                if framing == Framing::Complete {
                    Response
                } else {
                    Body
                }
            }
            (Head | Idle, Input::MalformedHead) => Closing,
            (Body, Input::BodyComplete) => Response,
            // Answered before its end: what still comes is read and dropped.
            (Closing, Input::BodyComplete) => Closing,
            // Of a request that was answered before its body's end, none knows where the next one begins.
            (Body | Response, Input::ResponseFinished) => {
                self.stream_detached = false;
                let ends = self.closes_after_response();
                #[cfg(feature = "mutants")]
                let ends = ends && self.fault != Some(Fault::KeepsAfterUnread);
                if ends {
                    Closing
                } else {
                    Idle
                }
            }
            (New, Input::StreamResumed) => Response,
            (Response, Input::StreamDetached) => {
                self.stream_detached = true;
                Response
            }
            (_, Input::HandOverRequested) => {
                if !self.can_hand_over() {
                    return Ok(Effect::None);
                }
                let stream = self.stage == Response;
                self.stage = HandedOver;
                return Ok(Effect::HandOver { stream });
            }
            (Body | Response, Input::TimedOut) => return Err(self.impossible(&input)),
            (_, Input::TimedOut) => return Ok(Effect::Close),
            (_, Input::Evicted) => {
                return Ok(if self.is_evictable() { Effect::Close } else { Effect::None });
            }
            (New | Head | Idle, Input::BodyComplete | Input::StreamDetached | Input::ResponseFinished)
            | (New, Input::HeadComplete(_) | Input::MalformedHead)
            | (Closing, Input::ResponseFinished)
            | (
                Body | Response | Closing,
                Input::HeadStarted | Input::HeadComplete(_) | Input::MalformedHead,
            )
            | (Response, Input::BodyComplete)
            | (Body | Closing, Input::StreamDetached)
            | (Head | Body | Response | Idle | Closing, Input::StreamResumed) => {
                return Err(self.impossible(&input))
            }
        };
        self.stage = next;
        Ok(Effect::None)
    }

    fn impossible(&self, input: &Input) -> InvalidTransition {
        InvalidTransition::new("client connection", input, self)
    }
}

#[cfg(test)]
mod tests;
