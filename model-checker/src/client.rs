//! The world round one client's connection: its real machine, a client that may send, stall and take nothing at
//! any time, and a second process that may ask for the connection at any time.

use glenrail_request_lifecycle::client::{Connection, Effect, Fault, Framing, Input, Stage, TimeoutKind};
use serde::{Deserialize, Serialize};

use crate::coverage as cover;
use crate::rules::Rule;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    /// Most requests that the client sends.
    pub requests: u8,
    /// Most times that it stops taking what is written.
    pub stalls: u8,
    pub fault: Option<Fault>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Act {
    /// A part of a head is sent, and read.
    HeadBegins,
    HeadEnds(Framing),
    HeadIsNone,
    BodyEnds,
    /// The gateway answers, before the body's end or after it.
    AnswerEnds,
    /// The answer under way can go on in another process.
    StreamLeaves,
    /// This connection came from another process, with an answer under way.
    StreamResumes,
    /// What was read is passed on.
    Passed,
    /// Bytes of the next request are read, and kept back.
    Pipelines,
    Stalls(bool),
    Asked,
    Evicted,
    Due,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    machine: Connection,
    requests: u8,
    stalls: u8,
    /// A request has been read whole that is not answered.
    open: bool,
    /// Bytes of an earlier request's body may still come.
    body_unread: bool,
    ahead: bool,
    /// A head that is whole is being passed on.
    passing: bool,
    stalled: bool,
    streaming: bool,
    leaving: bool,
    ended: bool,
    pub violated: Option<Rule>,
}

impl Setup {
    pub fn start(&self) -> World {
        let mut machine = Connection::default();
        machine.plant(self.fault);
        World {
            machine,
            requests: self.requests,
            stalls: self.stalls,
            open: false,
            body_unread: false,
            ahead: false,
            passing: false,
            stalled: false,
            streaming: false,
            leaving: false,
            ended: false,
            violated: None,
        }
    }
}

impl World {
    pub fn acts(&self, out: &mut Vec<Act>) {
        if self.violated.is_some() || self.ended {
            return;
        }
        let stage = self.machine.stage();
        // The gate lets nothing through but in these.
        if matches!(stage, Stage::New | Stage::Head | Stage::Idle) {
            if self.requests > 0 || self.ahead {
                out.push(Act::HeadBegins);
            }
            if self.ahead {
                out.extend(
                    [Framing::Complete, Framing::KnownLength, Framing::UnknownLength].map(Act::HeadEnds),
                );
                out.push(Act::HeadIsNone);
            }
        }
        if stage == Stage::New && !self.ahead {
            out.push(Act::StreamResumes);
        }
        if self.body_unread && matches!(stage, Stage::Body | Stage::Closing) {
            out.push(Act::BodyEnds);
        }
        if matches!(stage, Stage::Body | Stage::Response) {
            out.push(Act::AnswerEnds);
        }
        if stage == Stage::Response {
            if !self.leaving {
                out.push(Act::StreamLeaves);
            }
            if !self.ahead && self.requests > 0 {
                out.push(Act::Pipelines);
            }
        }
        if self.passing {
            out.push(Act::Passed);
        }
        if self.stalled {
            out.push(Act::Stalls(false));
        } else if self.stalls > 0 {
            out.push(Act::Stalls(true));
        }
        out.extend([Act::Asked, Act::Evicted]);
        if self.machine.timeout_kind() != TimeoutKind::Request {
            out.push(Act::Due);
        }
    }

    pub fn apply(&mut self, act: Act) {
        let input = match act {
            Act::HeadBegins => {
                self.requests -= u8::from(!self.ahead);
                self.ahead = true;
                self.feed(Input::PipelinedBytes(true));
                Input::HeadStarted
            }
            Act::HeadEnds(framing) => {
                if self.body_unread {
                    self.violate(Rule::NoRequestInBody);
                }
                (self.passing, self.open) = (true, true);
                self.body_unread = framing != Framing::Complete;
                Input::HeadComplete(framing)
            }
            Act::HeadIsNone => {
                self.passing = true;
                Input::MalformedHead
            }
            Act::BodyEnds => {
                self.body_unread = false;
                Input::BodyComplete
            }
            Act::AnswerEnds => {
                (self.open, self.streaming, self.leaving) = (false, false, false);
                Input::ResponseFinished
            }
            Act::StreamLeaves => {
                self.leaving = true;
                Input::StreamDetached
            }
            Act::StreamResumes => {
                (self.open, self.streaming) = (true, true);
                Input::StreamResumed
            }
            Act::Passed => {
                (self.passing, self.ahead) = (false, false);
                Input::PipelinedBytes(false)
            }
            Act::Pipelines => {
                self.ahead = true;
                self.requests -= 1;
                Input::PipelinedBytes(true)
            }
            Act::Stalls(stalled) => {
                self.stalls -= u8::from(stalled);
                self.stalled = stalled;
                Input::WriteBlocked(stalled)
            }
            Act::Asked => Input::HandOverRequested,
            Act::Evicted => Input::Evicted,
            Act::Due => Input::TimedOut,
        };
        self.feed(input);
    }

    fn violate(&mut self, rule: Rule) {
        self.violated.get_or_insert(rule);
    }

    fn feed(&mut self, input: Input) {
        cover::client(self.machine.stage(), input);
        match self.machine.step(input) {
            Err(_) => self.violate(Rule::NothingImpossible),
            Ok(Effect::None) => {}
            Ok(Effect::Close) => {
                self.ended = true;
                // A close between two requests may cross one that nobody has read: its client sends it again.
                if self.open {
                    self.violate(Rule::NoCloseAcrossRequest);
                }
            }
            Ok(Effect::HandOver { stream }) => {
                self.ended = true;
                if self.open && !(stream && self.leaving) {
                    self.violate(Rule::NoCloseAcrossRequest);
                }
                if self.ahead || self.stalled {
                    self.violate(Rule::HandedOverClean);
                }
            }
        }
    }

    /// Whether it comes by itself sooner or later: nobody owes the connection a request or a successor.
    pub fn comes(&self, act: Act) -> bool {
        !matches!(act, Act::HeadBegins | Act::HeadEnds(_) | Act::HeadIsNone | Act::Asked | Act::Evicted)
    }

    pub fn rests_well(&self) -> bool {
        self.ended
    }
}
