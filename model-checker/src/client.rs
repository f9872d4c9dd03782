//! The world around one client's connection: its real machine, a client that may send, stall and stop reading at any
//! time, and a successor process that may ask for the connection at any time.

use glenrail_request_lifecycle::client::{Connection, Effect, Fault, Framing, Input, Stage, TimeoutKind};
use serde::{Deserialize, Serialize};

use crate::coverage;
use crate::request::Log;
use crate::rules::Rule;
use crate::scenario::{AnyScenario, Scenario};

/// The bounds of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    /// Most requests that the client sends.
    pub requests: u8,
    /// Most times that it stops reading what is written.
    pub stalls: u8,
    /// A fault planted in the connection's machine.
    pub fault: Option<Fault>,
}

/// One thing that happens. Stored traces have the renamed spellings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// A part of a head is sent and read.
    #[serde(rename = "HeadBegins")]
    StartHead,
    /// The rest of a head is read.
    #[serde(rename = "HeadEnds")]
    CompleteHead(Framing),
    /// What was read turns out to be no head.
    #[serde(rename = "HeadIsNone")]
    RejectHead,
    /// The last byte of a body is read.
    #[serde(rename = "BodyEnds")]
    CompleteBody,
    /// The gateway finishes the response, before the end of the body or after it.
    #[serde(rename = "AnswerEnds")]
    FinishResponse,
    /// From now on the response in progress can continue in another process.
    #[serde(rename = "StreamLeaves")]
    DetachStream,
    /// The connection came from another process, with a response in progress.
    #[serde(rename = "StreamResumes")]
    ResumeStream,
    /// What was read is passed on.
    #[serde(rename = "Passed")]
    PassOn,
    /// Bytes of the next request are read and buffered.
    #[serde(rename = "Pipelines")]
    PipelineRequest,
    /// The client stops reading, or reads again.
    #[serde(rename = "Stalls")]
    Stall(bool),
    /// The successor process asks for the connection.
    #[serde(rename = "Asked")]
    RequestHandOver,
    /// Another client needs the room.
    #[serde(rename = "Evicted")]
    Evict,
    /// The time limit passes.
    #[serde(rename = "Due")]
    TimeOut,
}

/// A state of the world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    machine: Connection,
    /// Requests that the client may still send.
    requests: u8,
    /// Stalls that may still happen.
    stalls: u8,
    /// A request has been read completely and not been answered.
    has_open_request: bool,
    /// Bytes of an earlier request's body may still arrive.
    body_unread: bool,
    /// Bytes of a request are buffered.
    has_buffered_bytes: bool,
    /// A complete head is being passed on.
    passing_on: bool,
    is_stalled: bool,
    /// The response in progress came from another process.
    is_streaming: bool,
    /// The response in progress can continue in another process.
    stream_detached: bool,
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
            stalls: self.stalls,
            has_open_request: false,
            body_unread: false,
            has_buffered_bytes: false,
            passing_on: false,
            is_stalled: false,
            is_streaming: false,
            stream_detached: false,
            has_ended: false,
            violated: None,
        }
    }

    fn enabled_actions(&self, world: &World, actions: &mut Vec<Action>) {
        world.enabled_actions(actions);
    }

    fn apply(&self, world: &mut World, action: Action, _: &mut Log) {
        let input = world.perform(action);
        world.feed(input);
    }

    /// Nobody owes the connection a request, a hand-over or an eviction.
    fn is_inevitable(_: &World, action: Action) -> bool {
        !matches!(
            action,
            Action::StartHead
                | Action::CompleteHead(_)
                | Action::RejectHead
                | Action::RequestHandOver
                | Action::Evict
        )
    }

    fn violated(world: &World) -> Option<Rule> {
        world.violated
    }

    fn has_terminated(world: &World) -> bool {
        world.has_ended
    }

    fn to_any(&self) -> AnyScenario {
        AnyScenario::Client(*self)
    }
}

impl World {
    fn enabled_actions(&self, actions: &mut Vec<Action>) {
        if self.violated.is_some() || self.has_ended {
            return;
        }
        self.enabled_of_requests(actions);
        self.enabled_of_responses(actions);
        if self.passing_on {
            actions.push(Action::PassOn);
        }
        if self.is_stalled {
            actions.push(Action::Stall(false));
        } else if self.stalls > 0 {
            actions.push(Action::Stall(true));
        }
        actions.extend([Action::RequestHandOver, Action::Evict]);
        if self.machine.timeout_kind() != TimeoutKind::Request {
            actions.push(Action::TimeOut);
        }
    }

    fn enabled_of_requests(&self, actions: &mut Vec<Action>) {
        let stage = self.machine.stage();
        // The gateway reads a head in no other stage.
        if matches!(stage, Stage::New | Stage::Head | Stage::Idle) {
            if self.requests > 0 || self.has_buffered_bytes {
                actions.push(Action::StartHead);
            }
            if self.has_buffered_bytes {
                let framings = [Framing::Complete, Framing::KnownLength, Framing::UnknownLength];
                actions.extend(framings.map(Action::CompleteHead));
                actions.push(Action::RejectHead);
            }
        }
        if stage == Stage::New && !self.has_buffered_bytes {
            actions.push(Action::ResumeStream);
        }
        if self.body_unread && matches!(stage, Stage::Body | Stage::Closing) {
            actions.push(Action::CompleteBody);
        }
    }

    fn enabled_of_responses(&self, actions: &mut Vec<Action>) {
        let stage = self.machine.stage();
        if matches!(stage, Stage::Body | Stage::Response) {
            actions.push(Action::FinishResponse);
        }
        if stage == Stage::Response {
            if !self.stream_detached {
                actions.push(Action::DetachStream);
            }
            if !self.has_buffered_bytes && self.requests > 0 {
                actions.push(Action::PipelineRequest);
            }
        }
    }

    /// Has the action happen, and returns what the machine is fed for it.
    fn perform(&mut self, action: Action) -> Input {
        match action {
            Action::StartHead => self.start_head(),
            Action::CompleteHead(framing) => self.complete_head(framing),
            Action::RejectHead => {
                self.passing_on = true;
                Input::MalformedHead
            }
            Action::CompleteBody => {
                self.body_unread = false;
                Input::BodyComplete
            }
            Action::FinishResponse => {
                self.has_open_request = false;
                self.is_streaming = false;
                self.stream_detached = false;
                Input::ResponseFinished
            }
            Action::DetachStream => {
                self.stream_detached = true;
                Input::StreamDetached
            }
            Action::ResumeStream => {
                self.has_open_request = true;
                self.is_streaming = true;
                Input::StreamResumed
            }
            Action::PassOn => {
                self.passing_on = false;
                self.has_buffered_bytes = false;
                Input::PipelinedBytes(false)
            }
            Action::PipelineRequest => {
                self.has_buffered_bytes = true;
                self.requests -= 1;
                Input::PipelinedBytes(true)
            }
            Action::Stall(stalled) => {
                self.stalls -= u8::from(stalled);
                self.is_stalled = stalled;
                Input::WriteBlocked(stalled)
            }
            Action::RequestHandOver => Input::HandOverRequested,
            Action::Evict => Input::Evicted,
            Action::TimeOut => Input::TimedOut,
        }
    }

    fn start_head(&mut self) -> Input {
        self.requests -= u8::from(!self.has_buffered_bytes);
        self.has_buffered_bytes = true;
        self.feed(Input::PipelinedBytes(true));
        Input::HeadStarted
    }

    fn complete_head(&mut self, framing: Framing) -> Input {
        if self.body_unread {
            self.violate(Rule::NoRequestInBody);
        }
        self.passing_on = true;
        self.has_open_request = true;
        self.body_unread = framing != Framing::Complete;
        Input::HeadComplete(framing)
    }

    fn violate(&mut self, rule: Rule) {
        self.violated.get_or_insert(rule);
    }

    fn feed(&mut self, input: Input) {
        coverage::mark_client(self.machine.stage(), input);
        match self.machine.step(input) {
            Err(_) => self.violate(Rule::NothingImpossible),
            Ok(Effect::None) => {}
            Ok(Effect::Close) => self.close(),
            Ok(Effect::HandOver { stream }) => self.hand_over(stream),
        }
    }

    /// A close between two requests may cross one that nobody has read: its client sends it again.
    fn close(&mut self) {
        self.has_ended = true;
        if self.has_open_request {
            self.violate(Rule::NoCloseAcrossRequest);
        }
    }

    fn hand_over(&mut self, stream: bool) {
        self.has_ended = true;
        if self.has_open_request && !(stream && self.stream_detached) {
            self.violate(Rule::NoCloseAcrossRequest);
        }
        if self.has_buffered_bytes || self.is_stalled {
            self.violate(Rule::HandedOverClean);
        }
    }
}
