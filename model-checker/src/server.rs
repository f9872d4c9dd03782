//! The world round one connection to a server, from its opening through several requests to its end, at rest in
//! the pool too: it may break, drain or be dropped at any moment.

use glenrail_request_lifecycle::server::{Connection, Effect, Fault, Input, Stage};
use serde::{Deserialize, Serialize};

use crate::coverage as cover;
use crate::rules::Rule;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    /// Most requests on one connection.
    pub requests: u8,
    pub fault: Option<Fault>,
}

/// What happens is what the machine is fed.
pub type Act = Input;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    machine: Connection,
    requests: u8,
    told_drained: bool,
    /// A byte, and the last byte, of the open request is out.
    wrote: bool,
    reached: bool,
    ended: bool,
    pub violated: Option<Rule>,
}

impl Setup {
    pub fn start(&self) -> World {
        let mut machine = Connection::default();
        machine.plant(self.fault);
        let (wrote, reached) = (false, false);
        World {
            machine,
            requests: self.requests,
            told_drained: false,
            wrote,
            reached,
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
        let serving = !self.told_drained;
        let more = self.requests > 0;
        match self.machine.stage() {
            Stage::Connecting => out.extend([Input::Connected, Input::ConnectFailed, Input::Broken]),
            Stage::Idle | Stage::Stale => {
                if more {
                    out.push(Input::Send { serving });
                    // The word comes to the pool first, or to the connection.
                    out.push(Input::Send { serving: false });
                }
                out.push(Input::Broken);
            }
            Stage::Writing => {
                out.extend([Input::BytesWritten, Input::LastByteWritten, Input::HeadReceived, Input::Broken])
            }
            Stage::AwaitingHead => out.extend([Input::HeadReceived, Input::Broken]),
            Stage::Streaming => out.extend([Input::ResponseComplete, Input::ReadPaused, Input::Broken]),
            // What was on its way still comes.
            Stage::Closing | Stage::HandedOver => out.push(Input::Broken),
        }
        out.push(Input::Abandoned);
        if !self.told_drained {
            out.push(Input::Drained);
        }
    }

    pub fn apply(&mut self, act: Act) {
        let stage = self.machine.stage();
        cover::server(stage, act);
        match act {
            Input::Send { .. } => self.requests -= 1,
            Input::Drained => self.told_drained = true,
            Input::BytesWritten => self.wrote = true,
            Input::LastByteWritten => (self.wrote, self.reached) = (true, true),
            _ => {}
        }
        let Ok(effect) = self.machine.step(act) else {
            return self.violate(Rule::NothingImpossible);
        };
        match effect {
            Effect::Write => {
                if self.told_drained {
                    self.violate(Rule::NothingToDrained);
                }
                (self.wrote, self.reached) = (false, false);
            }
            Effect::NeverRan if self.reached => self.violate(Rule::NeverRanIsTrue),
            Effect::Replace if self.wrote => self.violate(Rule::ReplacedUnwritten),
            Effect::Reuse if self.told_drained => self.violate(Rule::DrainedNotKept),
            Effect::Reuse => (self.wrote, self.reached) = (false, false),
            _ => {}
        }
        // Once it is closed, a word or two may still come for it.
        let over = matches!(stage, Stage::Closing | Stage::HandedOver | Stage::Stale);
        self.ended = over && matches!(act, Input::Abandoned);
    }

    fn violate(&mut self, rule: Rule) {
        self.violated.get_or_insert(rule);
    }

    /// Whether it comes by itself sooner or later: whoever waits gives up, and what stands idle is dropped.
    pub fn comes(&self, act: Act) -> bool {
        act == Input::Abandoned
    }

    pub fn rests_well(&self) -> bool {
        self.ended
    }
}
