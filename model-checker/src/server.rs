//! The world around one connection to a server, from its opening through several requests to its end, in the pool too:
//! it may break, drain or be abandoned at any moment.

use glenrail_request_lifecycle::server::{Connection, Effect, Fault, Input, Stage};
use serde::{Deserialize, Serialize};

use crate::coverage;
use crate::request::Log;
use crate::rules::Rule;
use crate::scenario::{AnyScenario, Scenario};

/// The bounds of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    /// Most requests on one connection.
    pub requests: u8,
    /// A fault planted in the connection's machine.
    pub fault: Option<Fault>,
}

/// What happens is what the machine is fed.
pub type Action = Input;

/// A state of the world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    machine: Connection,
    /// Requests that may still be sent.
    requests: u8,
    drain_announced: bool,
    /// A byte of the open request is written.
    has_written: bool,
    /// Its last byte is written.
    may_have_arrived: bool,
    has_ended: bool,
    /// The first rule that was broken.
    pub violated: Option<Rule>,
}

impl Scenario for Setup {
    type World = World;
    type Action = Action;

    fn start(&self) -> World {
        let mut machine = Connection::default();
        machine.plant(self.fault);
        World {
            machine,
            requests: self.requests,
            drain_announced: false,
            has_written: false,
            may_have_arrived: false,
            has_ended: false,
            violated: None,
        }
    }

    fn enabled_actions(&self, world: &World, actions: &mut Vec<Action>) {
        world.enabled_actions(actions);
    }

    fn apply(&self, world: &mut World, action: Action, _: &mut Log) {
        world.apply(action);
    }

    /// Whoever waits gives up, and an idle connection is dropped.
    fn is_inevitable(_: &World, action: Action) -> bool {
        action == Input::Abandoned
    }

    fn violated(world: &World) -> Option<Rule> {
        world.violated
    }

    fn has_terminated(world: &World) -> bool {
        world.has_ended
    }

    fn to_any(&self) -> AnyScenario {
        AnyScenario::Server(*self)
    }
}

impl World {
    fn enabled_actions(&self, actions: &mut Vec<Action>) {
        if self.violated.is_some() || self.has_ended {
            return;
        }
        match self.machine.stage() {
            Stage::Connecting => {
                actions.extend([Input::Connected, Input::ConnectFailed, Input::Broken]);
            }
            Stage::Idle | Stage::Stale => {
                if self.requests > 0 {
                    actions.push(Input::Send { serving: !self.drain_announced });
                    // The pool may learn of a drain before the connection does.
                    actions.push(Input::Send { serving: false });
                }
                actions.push(Input::Broken);
            }
            Stage::Writing => actions.extend([
                Input::BytesWritten,
                Input::LastByteWritten,
                Input::HeadReceived,
                Input::Broken,
            ]),
            Stage::AwaitingHead => actions.extend([Input::HeadReceived, Input::Broken]),
            Stage::Streaming => {
                actions.extend([Input::ResponseComplete, Input::ReadPaused, Input::Broken]);
            }
            // What was on its way may still arrive.
            Stage::Closing | Stage::HandedOver => actions.push(Input::Broken),
        }
        actions.push(Input::Abandoned);
        if !self.drain_announced {
            actions.push(Input::Drained);
        }
    }

    fn apply(&mut self, action: Action) {
        let stage = self.machine.stage();
        coverage::mark_server(stage, action);
        self.note_action(action);
        let Ok(effect) = self.machine.step(action) else {
            return self.violate(Rule::NothingImpossible);
        };
        self.check_effect(effect);
        // The first thing after the end may be late news of it; the connection is forgotten once it is abandoned.
        let was_closed = matches!(stage, Stage::Closing | Stage::HandedOver | Stage::Stale);
        self.has_ended = was_closed && action == Input::Abandoned;
    }

    fn note_action(&mut self, action: Action) {
        match action {
            Input::Send { .. } => self.requests -= 1,
            Input::Drained => self.drain_announced = true,
            Input::BytesWritten => self.has_written = true,
            Input::LastByteWritten => {
                self.has_written = true;
                self.may_have_arrived = true;
            }
            _ => {}
        }
    }

    fn check_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Write => {
                if self.drain_announced {
                    self.violate(Rule::NothingToDrained);
                }
                self.begin_request();
            }
            Effect::NeverRan if self.may_have_arrived => self.violate(Rule::NeverRanIsTrue),
            Effect::Replace if self.has_written => self.violate(Rule::ReplacedUnwritten),
            Effect::Reuse if self.drain_announced => self.violate(Rule::DrainedNotKept),
            Effect::Reuse => self.begin_request(),
            _ => {}
        }
    }

    /// Nothing of the next request is written yet.
    fn begin_request(&mut self) {
        self.has_written = false;
        self.may_have_arrived = false;
    }

    fn violate(&mut self, rule: Rule) {
        self.violated.get_or_insert(rule);
    }
}
