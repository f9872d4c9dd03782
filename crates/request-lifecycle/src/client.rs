//! A client's connection: where it stands, what may be read of it, how long it may stand there, and when another
//! process can go on with it.
//!
//! One request at a time passes. Nothing of the next one is let through before the answer to this one is out, so
//! that whoever closes the connection, or hands it over, knows whether a request is crossing.

use serde::{Deserialize, Serialize};

use crate::Impossible;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Nothing has come yet.
    Gate,
    /// A part of a head has come.
    Head,
    /// A request's head is in, its body is not.
    Body,
    /// The request is in, its answer is not out.
    Answer,
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
    Here,
    /// Its length is told, and some of it is still to come.
    Told,
    /// Its end is found only by reading it; so the connection ends after it.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// Some bytes of a head have come.
    Begun,
    /// A head has come whole.
    Head(Framing),
    /// What came is no head.
    Unreadable,
    /// The last byte of a body whose length was told.
    BodyRead,
    /// The answer is out, or will never be.
    Answered,
    /// Another process began the answer that is to go on here.
    Resumed,
    /// The open answer goes no further here.
    Leaves,
    /// Another process serves in this one's place, and asks for what it can go on with.
    Asked,
    /// It has stood where it is for too long.
    Due,
    /// It has to give way to another client.
    Evicted,
    /// The client takes nothing of what is written, or takes it again.
    Blocked(bool),
    /// Bytes were read that were not passed on, or none are left.
    Ahead(bool),
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    Nothing,
    Close,
    /// Goes to the other process; `stream`: with its open answer.
    HandOver {
        stream: bool,
    },
}

/// How long a connection may stand where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Patience {
    /// For its first byte.
    First,
    /// For the rest of a head.
    HalfHead,
    /// Between two requests.
    Idle,
    /// For the rest of an answer to be taken.
    Untaken,
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
    ahead: bool,
    /// The open request is the last on this connection.
    last: bool,
    /// The open answer can go on in another process.
    leaving: bool,
    #[cfg(feature = "mutants")]
    fault: Option<Fault>,
}

impl Default for Connection {
    fn default() -> Self {
        Connection {
            stage: Stage::Gate,
            blocked: false,
            ahead: false,
            last: false,
            leaving: false,
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
    pub fn ends(&self) -> bool {
        self.last || self.stage != Stage::Answer
    }

    /// Whether nothing is lost by closing it now.
    pub fn gives_way(&self) -> bool {
        let open = matches!(self.stage, Stage::Body | Stage::Answer);
        #[cfg(feature = "mutants")]
        let open = open && self.fault != Some(Fault::EvictsOpenRequest);
        !self.blocked && !open
    }

    /// Whether bytes that come now are a request's, which will be read.
    pub fn awaits_request(&self) -> bool {
        !self.blocked && matches!(self.stage, Stage::Gate | Stage::Head | Stage::Idle)
    }

    /// Whether nothing at all is under way on it, in either direction.
    pub fn rests(&self) -> bool {
        !self.blocked && !self.ahead && matches!(self.stage, Stage::Gate | Stage::Idle)
    }

    /// Whether bytes have been read that belong to a further request.
    pub fn has_ahead(&self) -> bool {
        self.ahead
    }

    /// Whether another process can take it as it is: nothing at all is under way on it, in either direction, or
    /// what went before of its answer is out.
    pub fn can_go(&self) -> bool {
        let (quiet, at_rest) =
            (!self.blocked && !self.ahead, matches!(self.stage, Stage::Gate | Stage::Idle));
        #[cfg(feature = "mutants")]
        let quiet = match self.fault {
            Some(Fault::HandsOverHalfHead) => !self.blocked,
            Some(Fault::HandsOverUnwritten) => !self.ahead,
            _ => quiet,
        };
        quiet && (at_rest || self.leaving)
    }

    pub fn patience(&self) -> Patience {
        match self.stage {
            Stage::Body | Stage::Answer | Stage::HandedOver => Patience::Request,
            _ if self.blocked => Patience::Untaken,
            Stage::Gate => Patience::First,
            Stage::Head => Patience::HalfHead,
            Stage::Idle => Patience::Idle,
            Stage::Closing => Patience::Linger,
        }
    }

    /// The transition table.
    pub fn step(&mut self, input: Input) -> Result<Effect, Impossible> {
        use Stage::*;
        let next = match (self.stage, input) {
            (HandedOver, _) => return Err(self.impossible(&input)),
            (_, Input::Blocked(blocked)) => {
                self.blocked = blocked;
                return Ok(Effect::Nothing);
            }
            (_, Input::Ahead(ahead)) => {
                self.ahead = ahead;
                return Ok(Effect::Nothing);
            }
            (Gate | Head | Idle, Input::Begun) => Head,
            (Head | Idle, Input::Head(framing)) => {
                self.last = framing == Framing::Unknown;
                if framing == Framing::Here {
                    Answer
                } else {
                    Body
                }
            }
            (Head | Idle, Input::Unreadable) => Closing,
            (Body, Input::BodyRead) => Answer,
            // Answered before its end: what still comes is read and dropped.
            (Closing, Input::BodyRead) => Closing,
            // Of a request that was answered before its body's end, none knows where the next one begins.
            (Body | Answer, Input::Answered) => {
                self.leaving = false;
                let ends = self.ends();
                #[cfg(feature = "mutants")]
                let ends = ends && self.fault != Some(Fault::KeepsAfterUnread);
                if ends {
                    Closing
                } else {
                    Idle
                }
            }
            (Gate, Input::Resumed) => Answer,
            (Answer, Input::Leaves) => {
                self.leaving = true;
                Answer
            }
            (_, Input::Asked) => {
                if !self.can_go() {
                    return Ok(Effect::Nothing);
                }
                let stream = self.stage == Answer;
                self.stage = HandedOver;
                return Ok(Effect::HandOver { stream });
            }
            (Body | Answer, Input::Due) => return Err(self.impossible(&input)),
            (_, Input::Due) => return Ok(Effect::Close),
            (_, Input::Evicted) => {
                return Ok(if self.gives_way() { Effect::Close } else { Effect::Nothing });
            }
            (Gate | Head | Idle, Input::BodyRead | Input::Leaves | Input::Answered)
            | (Gate, Input::Head(_) | Input::Unreadable)
            | (Closing, Input::Answered)
            | (Body | Answer | Closing, Input::Begun | Input::Head(_) | Input::Unreadable)
            | (Answer, Input::BodyRead)
            | (Body | Closing, Input::Leaves)
            | (Head | Body | Answer | Idle | Closing, Input::Resumed) => return Err(self.impossible(&input)),
        };
        self.stage = next;
        Ok(Effect::Nothing)
    }

    fn impossible(&self, input: &Input) -> Impossible {
        Impossible::new("client connection", input, self)
    }
}

#[cfg(test)]
mod tests;
