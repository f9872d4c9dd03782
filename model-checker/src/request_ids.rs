//! The world around the tables of request ids: processes that take over from one another, each linked to the next, and
//! clients that use one id again and again.
//!
//! Messages of a link arrive in order and as late as they like, and some twice. A process can be killed at any moment,
//! with or without what it has sent.

use std::collections::{BTreeSet, VecDeque};

use glenrail_request_lifecycle::request_ids::{
    Decision, Effect, Fault, Input, LinkId, Message, RequestIdTable, SocketCookie, StreamKey,
};
use serde::{Deserialize, Serialize};

use crate::request::Log;
use crate::rules::Rule;
use crate::scenario::{AnyScenario, Scenario};

/// The only id.
const ID: u8 = 0;

/// The bounds of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    /// Number of processes, each the successor of the one before.
    pub processes: u8,
    /// Most requests.
    pub claims: u8,
    /// Most hand-overs of a stream.
    pub hand_overs: u8,
    /// Most processes that are killed.
    pub kills: u8,
    /// Most successors that shut down.
    pub shutdowns: u8,
    /// Most messages that arrive twice.
    pub repeats: u8,
    /// A fault planted in the tables.
    pub fault: Option<Fault>,
}

/// One thing that can happen. Processes are numbered from the oldest, and a link has the number of its older process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// A process hands over to the next one.
    Connect(u8),
    /// A client sends a request to this process.
    Claim(u8),
    /// The process no longer waits for the decision.
    Withdraw(u8),
    /// The process has finished its request.
    Finish(u8),
    /// The process hands the stream of its request over.
    HandOver(u8),
    /// The process hands over a stream that it has continued.
    HandOverAgain(u8),
    /// The stream that this process has handed over reaches the next one.
    StreamArrives(u8),
    /// The stream that this process continues ends.
    StreamEnds(u8),
    /// The first message on a link reaches this process.
    Deliver {
        /// The receiver.
        to: u8,
        /// The link.
        link: u8,
        /// Whether it arrives a second time.
        twice: bool,
    },
    /// The process is killed.
    Kill(u8),
    /// The process exits, with everything finished.
    Exit(u8),
    /// What a process had sent on this link before it was killed is lost.
    LoseMessages {
        /// The receiver.
        to: u8,
        /// The link.
        link: u8,
    },
    /// The process notices the end of a link.
    Disconnect {
        /// The process.
        at: u8,
        /// The link.
        link: u8,
    },
    /// The process notices that its successor no longer serves.
    SuccessorEnded(u8),
    /// The process shuts down, so that its predecessor accepts again.
    ShutDown(u8),
    /// The time has passed for which the process keeps the ids of this link.
    RetentionElapsed {
        /// The process.
        at: u8,
        /// The link.
        link: u8,
    },
}

/// The stage of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    NotStarted,
    /// Started, but does not accept requests yet.
    Starting,
    Serving,
    /// Serves while it shuts down.
    ShuttingDown,
    Ended {
        killed: bool,
    },
}

/// A request as its process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OpenRequest {
    serial: u8,
    is_handed_over: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    stage: Stage,
    table: RequestIdTable<u8>,
    is_waiting: bool,
    request: Option<OpenRequest>,
    /// Serial of the request whose stream this process continues.
    stream: Option<u8>,
    retained: BTreeSet<u8>,
    has_seen_successor_end: bool,
}

/// A link between a process and its successor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Link {
    to_older: VecDeque<Message<u8>>,
    to_newer: VecDeque<Message<u8>>,
    is_open_at_older: bool,
    is_open_at_newer: bool,
    /// Serial of the request whose stream is on its way to the newer process.
    stream: Option<u8>,
}

/// A state of the world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    processes: Vec<Process>,
    links: Vec<Link>,
    next_serial: u8,
    /// Whether a stream was lost on its way, whose id no process releases then.
    has_lost_stream: bool,
    left: Setup,
    /// The first rule that was broken.
    pub violated: Option<Rule>,
}

impl Scenario for Setup {
    type World = World;
    type Action = Action;

    const TERMINATION_RULE: Rule = Rule::IdsAreFreeAgain;

    fn start(&self) -> World {
        let process = |index| {
            let mut table = RequestIdTable::default();
            table.plant(self.fault);
            Process {
                stage: if index == 0 { Stage::Serving } else { Stage::NotStarted },
                table,
                is_waiting: false,
                request: None,
                stream: None,
                retained: BTreeSet::new(),
                has_seen_successor_end: false,
            }
        };
        World {
            processes: (0..self.processes).map(process).collect(),
            links: vec![Link::default(); usize::from(self.processes - 1)],
            next_serial: 0,
            has_lost_stream: false,
            left: *self,
            violated: None,
        }
    }

    fn enabled_actions(&self, world: &World, actions: &mut Vec<Action>) {
        if world.violated.is_none() {
            (0..self.processes).for_each(|process| world.actions_of(process, actions));
            (0..self.processes - 1).for_each(|link| world.actions_on(link, actions));
        }
    }

    fn apply(&self, world: &mut World, action: Action, _: &mut Log) {
        world.apply(action);
    }

    fn is_inevitable(_: &World, action: Action) -> bool {
        !matches!(
            action,
            Action::Connect(_)
                | Action::Claim(_)
                | Action::HandOver(_)
                | Action::HandOverAgain(_)
                | Action::Kill(_)
                | Action::Exit(_)
                | Action::ShutDown(_)
                | Action::Deliver { twice: true, .. }
        )
    }

    fn violated(world: &World) -> Option<Rule> {
        world.violated
    }

    fn has_terminated(world: &World) -> bool {
        let mut running = world.processes.iter().filter(|process| process.is_running());
        running.all(|process| !process.table.is_in_use(&ID))
    }

    fn to_any(&self) -> AnyScenario {
        AnyScenario::RequestIds(*self)
    }
}

impl Process {
    fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Starting | Stage::Serving | Stage::ShuttingDown)
    }

    fn was_killed(&self) -> bool {
        self.stage == Stage::Ended { killed: true }
    }

    fn serves(&self) -> bool {
        matches!(self.stage, Stage::Serving | Stage::ShuttingDown)
    }

    fn has_open_request(&self) -> bool {
        self.request.is_some() || self.stream.is_some()
    }
}

impl World {
    fn process(&self, index: u8) -> &Process {
        &self.processes[usize::from(index)]
    }

    fn process_mut(&mut self, index: u8) -> &mut Process {
        &mut self.processes[usize::from(index)]
    }

    fn link(&self, index: u8) -> Option<&Link> {
        self.links.get(usize::from(index))
    }

    fn actions_of(&self, index: u8, actions: &mut Vec<Action>) {
        let process = self.process(index);
        if !process.is_running() {
            return;
        }
        let has_successor = self.link(index).is_some_and(|link| link.is_open_at_older);
        // A successor takes over once it serves, and until it shuts down.
        let is_replaced = has_successor && self.process(index + 1).stage == Stage::Serving;
        let may_hand_over = is_replaced && self.left.hand_overs > 0;
        if self.left.claims > 0 && process.serves() && !process.is_waiting {
            actions.push(Action::Claim(index));
        }
        if process.is_waiting {
            actions.push(Action::Withdraw(index));
        }
        if let Some(request) = process.request {
            actions.push(Action::Finish(index));
            if may_hand_over && !request.is_handed_over {
                actions.push(Action::HandOver(index));
            }
        }
        if process.stream.is_some() {
            actions.push(Action::StreamEnds(index));
            if may_hand_over {
                actions.push(Action::HandOverAgain(index));
            }
        }
        if self.left.kills > 0 {
            actions.push(Action::Kill(index));
        }
        if index > 0 && self.left.shutdowns > 0 && process.stage == Stage::Serving {
            actions.push(Action::ShutDown(index));
        }
        // Operators end a process only while another one serves.
        let is_told_to_end = is_replaced || process.stage == Stage::ShuttingDown;
        if is_told_to_end
            && !process.is_waiting
            && !process.has_open_request()
            && !self.has_unread_messages(index)
        {
            actions.push(Action::Exit(index));
        }
        // Ids are retained for longer than an older process, which has been told to end, can wait for a decision or have
        // a request open, and than a stream or a message can be on its way.
        let older = &self.processes[..usize::from(index)];
        let is_stream_in_transit = self.links.iter().any(|link| link.stream.is_some());
        let is_message_in_transit = self.links.iter().any(|link| !link.to_older.is_empty());
        let is_older_open = older.iter().any(|process| process.is_waiting || process.has_open_request());
        // Between two processes that end in order, every id is released.
        let is_orderly = self.processes.len() == 2
            && !self.has_lost_stream
            && !self.processes.iter().any(Process::was_killed);
        if !is_older_open && !is_stream_in_transit && !is_message_in_transit && !is_orderly {
            let retained = process.retained.iter();
            actions.extend(retained.map(|link| Action::RetentionElapsed { at: index, link: *link }));
        }
    }

    /// Whether a message has come that the process has not read; it reads them before it exits.
    fn has_unread_messages(&self, index: u8) -> bool {
        self.link(index).is_some_and(|link| !link.to_older.is_empty())
            || index > 0 && self.link(index - 1).is_some_and(|link| !link.to_newer.is_empty())
    }

    fn actions_on(&self, index: u8, actions: &mut Vec<Action>) {
        let link = &self.links[usize::from(index)];
        let (older, newer) = (self.process(index), self.process(index + 1));
        if newer.stage == Stage::NotStarted {
            if older.serves() && older.table.is_arbiter() {
                actions.push(Action::Connect(index));
            }
            return;
        }
        if link.stream.is_some() {
            actions.push(Action::StreamArrives(index));
        }
        if !matches!(newer.stage, Stage::Starting | Stage::Serving)
            && older.is_running()
            && !older.has_seen_successor_end
        {
            actions.push(Action::SuccessorEnded(index));
        }
        let ends = [
            (index, &link.to_older, link.is_open_at_older, newer.stage),
            (index + 1, &link.to_newer, link.is_open_at_newer, older.stage),
        ];
        for (to, messages, _, sender) in ends.into_iter().filter(|(_, _, is_open, _)| *is_open) {
            if !messages.is_empty() {
                actions.push(Action::Deliver { to, link: index, twice: false });
                if self.left.repeats > 0 {
                    actions.push(Action::Deliver { to, link: index, twice: true });
                }
            }
            match sender {
                Stage::Ended { .. } if messages.is_empty() => {
                    actions.push(Action::Disconnect { at: to, link: index });
                }
                Stage::Ended { killed: true } => actions.push(Action::LoseMessages { to, link: index }),
                _ => {}
            }
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Connect(link) => self.connect(link),
            Action::Claim(at) => {
                self.left.claims -= 1;
                self.process_mut(at).is_waiting = true;
                self.step(at, Input::Claimed(ID));
            }
            Action::Withdraw(at) => {
                self.process_mut(at).is_waiting = false;
                self.step(at, Input::ClaimWithdrawn(ID));
            }
            Action::Finish(at) => {
                self.process_mut(at).request = None;
                self.step(at, Input::RequestFinished(ID));
            }
            Action::HandOver(at) => self.hand_over(at),
            Action::HandOverAgain(at) => self.hand_over_again(at),
            Action::StreamArrives(link) => self.stream_arrives(link),
            Action::StreamEnds(at) => {
                if let Some(serial) = self.process_mut(at).stream.take() {
                    self.step(at, Input::StreamEnded(cookie(serial)));
                }
            }
            Action::Deliver { to, link, twice } => self.deliver(to, link, twice),
            Action::Kill(at) => {
                self.left.kills -= 1;
                self.end(at, true);
            }
            Action::Exit(at) => self.end(at, false),
            Action::LoseMessages { to, link } => self.lose_messages(to, link),
            Action::Disconnect { at, link } => self.disconnect(at, link),
            Action::SuccessorEnded(at) => {
                self.process_mut(at).has_seen_successor_end = true;
                self.step(at, Input::SuccessorEnded);
            }
            Action::ShutDown(at) => {
                self.left.shutdowns -= 1;
                self.process_mut(at).stage = Stage::ShuttingDown;
                // A stream on its way to a process that shuts down is lost with its connections.
                self.lose_stream(at - 1);
                self.step(at, Input::ShutdownStarted);
            }
            Action::RetentionElapsed { at, link } => {
                self.process_mut(at).retained.remove(&link);
                self.step(at, Input::RetentionElapsed(link_id(link)));
            }
        }
    }

    fn connect(&mut self, index: u8) {
        self.process_mut(index + 1).stage = Stage::Starting;
        let link = &mut self.links[usize::from(index)];
        link.is_open_at_older = true;
        link.is_open_at_newer = true;
        self.step(index + 1, Input::PredecessorConnected(link_id(index)));
        self.step(index, Input::SuccessorConnected(link_id(index)));
    }

    fn hand_over(&mut self, at: u8) {
        let Some(request) = &mut self.process_mut(at).request else { return };
        request.is_handed_over = true;
        let serial = request.serial;
        self.send_stream(at, serial, StreamKey::Request(ID));
    }

    /// The process has nothing left of a stream that it had continued once it has handed it over.
    fn hand_over_again(&mut self, at: u8) {
        let Some(serial) = self.process_mut(at).stream.take() else { return };
        self.send_stream(at, serial, StreamKey::Continued(cookie(serial)));
        self.step(at, Input::StreamEnded(cookie(serial)));
    }

    fn send_stream(&mut self, at: u8, serial: u8, stream: StreamKey<u8>) {
        self.left.hand_overs -= 1;
        self.links[usize::from(at)].stream = Some(serial);
        self.step(at, Input::StreamHandedOver { stream, socket: cookie(serial) });
    }

    fn stream_arrives(&mut self, index: u8) {
        let stream = self.links[usize::from(index)].stream.take();
        let newer = self.process_mut(index + 1);
        let Some(serial) = stream.filter(|_| newer.stage == Stage::Serving) else { return };
        newer.stream = Some(serial);
        self.step(index + 1, Input::StreamArrived(cookie(serial)));
    }

    fn messages_to(&mut self, to: u8, link: u8) -> &mut VecDeque<Message<u8>> {
        let messages = &mut self.links[usize::from(link)];
        if to == link {
            &mut messages.to_older
        } else {
            &mut messages.to_newer
        }
    }

    /// The message that precedes a stream is written before the stream is, so it and those before it arrive.
    fn lose_messages(&mut self, to: u8, link: u8) {
        let messages = self.messages_to(to, link);
        let is_safe = |message: &Message<u8>| matches!(message, Message::ContinueStream(..));
        let safe = messages.iter().rposition(is_safe).map_or(0, |last| last + 1);
        messages.truncate(safe);
    }

    fn deliver(&mut self, to: u8, link: u8, twice: bool) {
        let Some(message) = self.messages_to(to, link).pop_front() else { return };
        if twice {
            self.left.repeats -= 1;
            self.step(to, Input::Received(link_id(link), message.clone()));
        }
        if message == Message::Arbitrate && self.process(to).stage == Stage::Starting {
            self.process_mut(to).stage = Stage::Serving;
        }
        self.step(to, Input::Received(link_id(link), message));
    }

    fn end(&mut self, at: u8, killed: bool) {
        let process = self.process_mut(at);
        process.stage = Stage::Ended { killed };
        process.is_waiting = false;
        process.request = None;
        process.stream = None;
        process.retained.clear();
        for (index, link) in (0..).zip(&mut self.links) {
            if index == at {
                link.to_older.clear();
                link.is_open_at_older = false;
            }
            if index + 1 == at {
                link.to_newer.clear();
                link.is_open_at_newer = false;
            }
        }
        if at > 0 {
            self.lose_stream(at - 1);
        }
    }

    fn lose_stream(&mut self, link: u8) {
        let stream = self.links[usize::from(link)].stream.take();
        self.has_lost_stream |= stream.is_some();
    }

    /// A process that is starting does not wait for a predecessor that has ended.
    fn disconnect(&mut self, at: u8, index: u8) {
        let link = &mut self.links[usize::from(index)];
        if at == index {
            link.is_open_at_older = false;
        } else {
            link.is_open_at_newer = false;
        }
        if self.process(at).stage == Stage::Starting {
            self.process_mut(at).stage = Stage::Serving;
        }
        self.step(at, Input::Disconnected(link_id(index)));
    }

    fn step(&mut self, at: u8, input: Input<u8>) {
        let mut effects = Vec::new();
        self.process_mut(at).table.step(input, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send(LinkId(link), message) => self.send(at, link as u8, message),
                Effect::Decided(_, decision) => self.decided(at, decision),
                Effect::StartRetention(LinkId(link)) => {
                    self.process_mut(at).retained.insert(link as u8);
                }
            }
        }
    }

    fn send(&mut self, from: u8, index: u8, message: Message<u8>) {
        let link = &mut self.links[usize::from(index)];
        match from == index {
            true if link.is_open_at_newer => link.to_newer.push_back(message),
            false if link.is_open_at_older => link.to_older.push_back(message),
            _ => {}
        }
    }

    fn decided(&mut self, at: u8, decision: Decision) {
        if !std::mem::take(&mut self.process_mut(at).is_waiting) {
            return self.violate(Rule::NothingImpossible);
        }
        if decision == Decision::InUse {
            return;
        }
        if self.has_open_request() {
            self.violate(Rule::OneRequestAnId);
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        self.process_mut(at).request = Some(OpenRequest { serial, is_handed_over: false });
    }

    fn has_open_request(&self) -> bool {
        self.processes.iter().any(Process::has_open_request)
            || self.links.iter().any(|link| link.stream.is_some())
    }

    fn violate(&mut self, rule: Rule) {
        self.violated.get_or_insert(rule);
    }
}

fn link_id(link: u8) -> LinkId {
    LinkId(u32::from(link))
}

/// The client's socket of a request, which is the same in all processes.
fn cookie(serial: u8) -> SocketCookie {
    SocketCookie(u64::from(serial))
}
