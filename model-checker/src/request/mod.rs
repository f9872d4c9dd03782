//! The world round one request: its real machine, the real machine of each connection to a server, a router that
//! may order anything at any time, and an adversary that chooses what happens next.
//!
//! There is no clock: whatever may happen may happen now. A timer that is armed may fire at any moment, so a
//! property that holds here holds for every length of the waits. Troubles are counted, so that all sets of so many
//! are explored in all orders; what is no trouble is free, so that every path comes to rest.

use glenrail_request_lifecycle::request::{
    AttemptState, Effect, Fault, FinalResponse, Input, Reply, Request, RequestPolicy, ResponseState,
    RetrySafety, Stage, StreamEnd, Timer,
};
use glenrail_request_lifecycle::server::{self, Connection};
use glenrail_request_lifecycle::InvalidTransition;
use serde::{Deserialize, Serialize};

use crate::coverage as cover;
use crate::rules::Rule;

/// What a world has, and how much may happen in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    pub readers: u8,
    pub writers: u8,
    pub repeat: RetrySafety,
    pub cancel: bool,
    /// Most troubles on one path.
    pub troubles: u8,
    /// Most orders of each kind.
    pub sends: u8,
    pub cancels: u8,
    pub releases: u8,
    pub holds: u8,
    pub fault: Option<Fault>,
    pub server_fault: Option<server::Fault>,
}

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Act {
    // The router, which may order anything.
    Send(u8),
    Cancel(u8),
    Release,
    Refuse,
    Fail,
    Hold(u8),
    // The way to a server, by attempt.
    Dial(u8),
    /// Takes a kept connection instead.
    Reuse(u8),
    Up(u8),
    Wrote(u8),
    WroteAll(u8),
    /// All of it is written, onto a way that has fallen silent with no error.
    WroteInVain(u8),
    /// What was written in vain comes to its server after all.
    Arrives(u8),
    /// A sign shows that it has arrived.
    ShowsArrival(u8),
    // A server, by attempt.
    Serves(u8),
    Declines(u8),
    FindsUnfit(u8),
    Errs(u8),
    Delivers(u8),
    /// A server goes on with work whose connection is closed here, and does not know it yet.
    ServesOrphan(u8),
    SeesCut(u8),
    // Ends of an attempt.
    Refused(u8),
    Breaks(u8),
    TimesOut(u8),
    Drops(u8),
    StreamEnds(u8, StreamEnd),
    // What was asked beside it.
    ReleaseArrives,
    PlaceServed,
    PlaceSeesCut,
    PlaceReplies(Option<bool>),
    // The rest of the world.
    ClientGoes,
    /// The word comes that this server drains or is gone.
    DrainTold(u8),
    /// A server dies and comes back empty.
    Restarts(u8),
    Fires(Timer),
}

/// What a server knows of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Work {
    Nothing,
    /// Its last byte has come.
    Taken,
    Replying(Reply),
    /// Answered, or given up.
    Done,
    /// The gateway has closed its end, and the server does not know yet.
    Orphan,
}

/// Where the gateway's end of an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Way {
    Nowhere,
    Starting,
    Open,
    Closed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    server: u8,
    stage: Stage,
    way: Way,
    connection: Connection,
    work: Work,
    /// Its server has begun an answer.
    begun: bool,
    /// It was written onto a way that is silent.
    in_vain: bool,
}

impl Call {
    /// Whether it is out in the platform's sense: its last byte has come to a server, and its connection is open.
    fn arrived(&self) -> bool {
        matches!(self.way, Way::Starting | Way::Open) && self.work != Work::Nothing
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Server {
    told_drained: bool,
    restarted: bool,
    /// Holds the prompt's state.
    state: bool,
    /// Holds a place.
    place: bool,
}

/// A call for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PlaceAt {
    None,
    Asked { server: u8, served: bool },
    Orphan { server: u8 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Left {
    troubles: u8,
    sends: u8,
    cancels: u8,
    releases: u8,
    holds: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    machine: Request,
    calls: Vec<Call>,
    servers: Vec<Server>,
    /// A release that is under way; whether it waits until cuts are seen.
    release: Option<bool>,
    place: PlaceAt,
    left: Left,
    client_gone: bool,
    // What the effects have said so far.
    answers: u8,
    refused: bool,
    streams: u8,
    runs: u8,
    outcomes: Vec<u8>,
    armed: [bool; 2],
    over: bool,
    pub violated: Option<Rule>,
}

/// What the machine was fed and what it said, for a replay against it alone.
pub type Log = Vec<(Input, Vec<Effect>)>;

impl Setup {
    fn stage(&self, server: u8) -> Stage {
        if server < self.readers {
            Stage::Prefill
        } else {
            Stage::Execute
        }
    }

    pub fn servers(&self) -> u8 {
        self.readers + self.writers
    }

    pub fn start(&self) -> World {
        let mut effects = Vec::new();
        let terms = RequestPolicy {
            retry_safety: self.repeat,
            max_attempts: usize::from(self.sends),
            cancellation: self.cancel,
        };
        let mut machine = Request::new(terms, &mut effects);
        machine.plant(self.fault);
        let mut world = World {
            machine,
            calls: Vec::new(),
            servers: vec![Server::default(); usize::from(self.servers())],
            release: None,
            place: PlaceAt::None,
            left: Left {
                troubles: self.troubles,
                sends: self.sends + 1,
                cancels: self.cancels,
                releases: self.releases,
                holds: self.holds,
            },
            client_gone: false,
            answers: 0,
            refused: false,
            streams: 0,
            runs: 0,
            outcomes: Vec::new(),
            armed: [false; 2],
            over: false,
            violated: None,
        };
        world.carry_out(self, effects);
        world
    }
}

impl World {
    /// Everything that may happen next.
    pub fn acts(&self, setup: &Setup, out: &mut Vec<Act>) {
        if self.violated.is_some() {
            return;
        }
        let trouble = self.left.troubles > 0;
        if !self.over {
            self.orders(setup, out);
            for timer in [Timer::Deadline, Timer::LeaseLimit] {
                if self.armed[timer as usize] {
                    out.push(Act::Fires(timer));
                }
            }
        }
        for (i, call) in self.calls.iter().enumerate() {
            self.acts_of_call(i as u8, call, trouble, out);
        }
        if let Some(after_cut) = self.release {
            // Whoever waits for a cut to be seen waits as long as that takes.
            if !(after_cut && self.orphans()) {
                out.push(Act::ReleaseArrives);
            }
        }
        match self.place {
            PlaceAt::None => {}
            PlaceAt::Asked { server, served } => {
                if !served {
                    if self.may_hold(server) {
                        out.push(Act::PlaceServed);
                    }
                    out.push(Act::PlaceReplies(Some(false)));
                } else {
                    out.push(Act::PlaceReplies(Some(true)));
                }
                if trouble {
                    out.push(Act::PlaceReplies(None));
                }
            }
            PlaceAt::Orphan { server } => {
                if !self.servers[usize::from(server)].place && self.may_hold(server) {
                    out.push(Act::PlaceServed);
                }
                out.push(Act::PlaceSeesCut);
            }
        }
        if trouble && !self.over {
            if !self.client_gone {
                out.push(Act::ClientGoes);
            }
            for s in 0..setup.servers() {
                let server = &self.servers[usize::from(s)];
                if !server.told_drained {
                    out.push(Act::DrainTold(s));
                }
                if !server.restarted {
                    out.push(Act::Restarts(s));
                }
            }
        }
    }

    fn orders(&self, setup: &Setup, out: &mut Vec<Act>) {
        let left = &self.left;
        for s in 0..setup.servers() {
            if left.sends > 0 {
                out.push(Act::Send(s));
            }
            if left.holds > 0 && setup.stage(s) == Stage::Execute {
                out.push(Act::Hold(s));
            }
        }
        if left.cancels > 0 {
            out.extend((0..self.calls.len() as u8).map(Act::Cancel));
        }
        if left.releases > 0 {
            out.push(Act::Release);
        }
        if self.answers == 0 || setup.fault.is_some() {
            out.push(Act::Refuse);
            out.push(Act::Fail);
        }
    }

    fn acts_of_call(&self, i: u8, call: &Call, trouble: bool, out: &mut Vec<Act>) {
        let step = self.machine.attempts()[usize::from(i)].state;
        let gone = self.servers[usize::from(call.server)].restarted;
        match call.work {
            Work::Taken if call.way == Way::Open => {
                out.push(Act::Serves(i));
                if trouble {
                    out.extend([Act::Declines(i), Act::FindsUnfit(i), Act::Errs(i)]);
                }
            }
            Work::Replying(_) if call.way == Way::Open => out.push(Act::Delivers(i)),
            Work::Orphan => out.extend([Act::ServesOrphan(i), Act::SeesCut(i)]),
            _ => {}
        }
        match call.way {
            Way::Starting => out.extend([Act::Dial(i), Act::Reuse(i)]),
            Way::Open => match call.connection.stage() {
                server::Stage::Connecting => {
                    out.push(Act::Up(i));
                    if trouble {
                        out.push(Act::Refused(i));
                    }
                }
                server::Stage::Writing => {
                    if !call.connection.has_written() {
                        out.push(Act::Wrote(i));
                    }
                    out.push(Act::WroteAll(i));
                    if trouble {
                        out.push(Act::WroteInVain(i));
                    }
                }
                _ => {}
            },
            _ => {}
        }
        if call.way == Way::Open && step != AttemptState::Streaming && (trouble || gone) {
            out.push(Act::Breaks(i));
        }
        let shown = self.machine.attempts()[usize::from(i)].delivered;
        if step == AttemptState::InFlight && call.arrived() && !shown {
            out.push(Act::ShowsArrival(i));
        }
        if call.in_vain && call.way == Way::Open && call.work == Work::Nothing {
            out.push(Act::Arrives(i));
        }
        if matches!(call.way, Way::Starting | Way::Open) {
            match step {
                // Nothing else ends it where the deployment calls nothing back.
                AttemptState::InFlight if trouble || call.in_vain => out.push(Act::TimesOut(i)),
                AttemptState::Cancelling => out.push(Act::Drops(i)),
                AttemptState::Streaming => {
                    out.push(Act::StreamEnds(i, StreamEnd::Complete));
                    if self.client_gone {
                        out.push(Act::StreamEnds(i, StreamEnd::ClientStalled));
                    }
                    if trouble {
                        let ends = [
                            StreamEnd::HandedOver,
                            StreamEnd::Reset,
                            StreamEnd::MalformedResponse,
                            StreamEnd::IdleTimeout,
                        ];
                        out.extend(ends.map(|end| Act::StreamEnds(i, end)));
                    }
                }
                _ => {}
            }
        }
    }

    /// A writer that runs a request holds no place for it beside: the protocol's own words leave open only whether
    /// a read is out.
    fn may_hold(&self, server: u8) -> bool {
        !self.calls.iter().any(|c| c.server == server && c.begun)
    }

    fn orphans(&self) -> bool {
        self.calls.iter().any(|c| c.work == Work::Orphan) || matches!(self.place, PlaceAt::Orphan { .. })
    }

    /// Has it happen.
    pub fn apply(&mut self, setup: &Setup, act: Act, log: &mut Log) {
        if self.costs(act) {
            self.left.troubles -= 1;
        }
        match act {
            Act::Send(s) => {
                self.left.sends -= 1;
                let (server, stage) = (u64::from(s), setup.stage(s));
                self.calls.push(Call {
                    server: s,
                    stage,
                    way: Way::Nowhere,
                    connection: Connection::default(),
                    work: Work::Nothing,
                    begun: false,
                    in_vain: false,
                });
                self.outcomes.push(0);
                let may = !self.servers[usize::from(s)].told_drained;
                self.feed(setup, Input::Send { server, stage, permitted: may }, log);
            }
            Act::Cancel(i) => {
                self.left.cancels -= 1;
                self.feed(setup, Input::Cancel { attempt: i.into() }, log);
            }
            Act::Release => {
                self.left.releases -= 1;
                self.feed(setup, Input::Release, log);
            }
            Act::Refuse => self.feed(setup, Input::Respond(FinalResponse::Rejected), log),
            Act::Fail => self.feed(setup, Input::Respond(FinalResponse::Failed), log),
            Act::Hold(s) => {
                self.left.holds -= 1;
                self.feed(setup, Input::ReserveSlot { server: s.into() }, log);
            }
            Act::Dial(i) => self.calls[usize::from(i)].way = Way::Open,
            Act::Reuse(i) => self.reuse(setup, i, log),
            Act::Up(i) => {
                if self.way(i, server::Input::Connected).is_some() {
                    self.write(setup, i, log);
                }
            }
            Act::Wrote(i) => _ = self.way(i, server::Input::BytesWritten),
            Act::WroteAll(i) => {
                if self.way(i, server::Input::LastByteWritten).is_some() {
                    self.calls[usize::from(i)].work = Work::Taken;
                }
            }
            Act::WroteInVain(i) => {
                if self.way(i, server::Input::LastByteWritten).is_some() {
                    self.calls[usize::from(i)].in_vain = true;
                }
            }
            Act::Arrives(i) => self.calls[usize::from(i)].work = Work::Taken,
            Act::ShowsArrival(i) => self.feed(setup, Input::Delivered { attempt: i.into() }, log),
            Act::Serves(i) => self.serves(i),
            Act::Declines(i) => self.calls[usize::from(i)].work = Work::Replying(Reply::Rejected),
            Act::FindsUnfit(i) => self.calls[usize::from(i)].work = Work::Replying(Reply::Unprocessable),
            Act::Errs(i) => {
                // It may have had its effect before it failed.
                self.runs(i);
                self.calls[usize::from(i)].work = Work::Replying(Reply::Error);
            }
            Act::Delivers(i) => self.delivers(setup, i, log),
            Act::ServesOrphan(i) => {
                self.serves(i);
                self.calls[usize::from(i)].work = Work::Done;
            }
            Act::SeesCut(i) => self.calls[usize::from(i)].work = Work::Done,
            Act::Refused(i) => self.cut(setup, i, server::Input::ConnectFailed, log),
            Act::Breaks(i) => self.cut(setup, i, server::Input::Broken, log),
            Act::TimesOut(i) => {
                self.close(i);
                self.feed(setup, Input::TimedOut { attempt: i.into() }, log);
            }
            Act::Drops(i) => {
                let call = &self.calls[usize::from(i)];
                let unwritten =
                    call.way == Way::Starting || call.connection.stage() == server::Stage::Connecting;
                self.close(i);
                let input = match unwritten {
                    true => Input::Replied { attempt: i.into(), reply: Reply::NotSent },
                    false => Input::CancelCompleted { attempt: i.into() },
                };
                self.feed(setup, input, log);
            }
            Act::StreamEnds(i, end) => {
                let how = match end {
                    StreamEnd::Complete => server::Input::ResponseComplete,
                    StreamEnd::HandedOver => server::Input::ReadPaused,
                    StreamEnd::ClientStalled | StreamEnd::IdleTimeout => server::Input::Abandoned,
                    StreamEnd::Reset | StreamEnd::MalformedResponse => server::Input::Broken,
                };
                self.way(i, how);
                let call = &mut self.calls[usize::from(i)];
                (call.way, call.work) = (Way::Closed, Work::Done);
                self.feed(setup, Input::StreamEnded { attempt: i.into(), end }, log);
            }
            Act::ReleaseArrives => {
                self.release = None;
                for server in &mut self.servers {
                    (server.state, server.place) = (false, false);
                }
                self.feed(setup, Input::Released, log);
            }
            Act::PlaceServed => match &mut self.place {
                PlaceAt::Asked { server, served } => {
                    *served = true;
                    self.servers[usize::from(*server)].place = true;
                }
                PlaceAt::Orphan { server } => self.servers[usize::from(*server)].place = true,
                PlaceAt::None => {}
            },
            Act::PlaceSeesCut => self.place = PlaceAt::None,
            Act::PlaceReplies(held) => {
                self.place = PlaceAt::None;
                self.feed(setup, Input::SlotAnswered { reserved: held }, log);
            }
            Act::ClientGoes => {
                self.client_gone = true;
                self.feed(setup, Input::ClientDisconnected, log);
            }
            Act::DrainTold(s) => {
                self.servers[usize::from(s)].told_drained = true;
                for i in 0..self.calls.len() {
                    if self.calls[i].server == s && self.calls[i].way == Way::Open {
                        self.way(i as u8, server::Input::Drained);
                    }
                }
            }
            Act::Restarts(s) => {
                self.servers[usize::from(s)] = Server {
                    restarted: true,
                    told_drained: self.servers[usize::from(s)].told_drained,
                    ..Server::default()
                };
                for call in self.calls.iter_mut().filter(|c| c.server == s) {
                    if matches!(call.work, Work::Taken | Work::Replying(_) | Work::Orphan) {
                        call.work = Work::Done;
                    }
                }
                if let PlaceAt::Orphan { server } = self.place {
                    if server == s {
                        self.place = PlaceAt::None;
                    }
                }
            }
            Act::Fires(timer) => {
                self.armed[timer as usize] = false;
                self.feed(setup, Input::TimerExpired(timer), log);
                if timer == Timer::LeaseLimit && !self.over && self.holds_unclaimed() && !self.lets_go() {
                    // Its limit has come: to wait for it once more is none of the ways out.
                    self.violate(Rule::HeldIsLetGo);
                }
            }
        }
        self.check();
    }

    /// Whether it comes by itself sooner or later: no trouble, and no order, which the router may never give.
    pub fn comes(&self, act: Act) -> bool {
        // What was written in vain may never arrive, and nobody has to be told that something arrived.
        let order = matches!(
            act,
            Act::Send(_)
                | Act::Cancel(_)
                | Act::Release
                | Act::Refuse
                | Act::Fail
                | Act::Hold(_)
                | Act::Arrives(_)
                | Act::ShowsArrival(_)
        );
        !order && !self.costs(act)
    }

    fn costs(&self, act: Act) -> bool {
        match act {
            Act::Declines(_) | Act::FindsUnfit(_) | Act::Errs(_) | Act::Refused(_) => true,
            Act::WroteInVain(_) => true,
            Act::TimesOut(i) => !self.calls[usize::from(i)].in_vain,
            Act::Breaks(i) => !self.servers[usize::from(self.calls[usize::from(i)].server)].restarted,
            Act::StreamEnds(_, end) => !matches!(end, StreamEnd::Complete | StreamEnd::ClientStalled),
            Act::PlaceReplies(None) | Act::ClientGoes | Act::DrainTold(_) | Act::Restarts(_) => true,
            _ => false,
        }
    }

    fn violate(&mut self, rule: Rule) {
        self.violated.get_or_insert(rule);
    }

    /// Feeds the connection of an attempt.
    fn way(&mut self, i: u8, input: server::Input) -> Option<server::Effect> {
        let connection = &mut self.calls[usize::from(i)].connection;
        cover::server(connection.stage(), input);
        match connection.step(input) {
            Ok(effect) => Some(effect),
            Err(InvalidTransition { .. }) => {
                self.violate(Rule::NothingImpossible);
                None
            }
        }
    }

    /// A connection that has carried another request before.
    fn reuse(&mut self, setup: &Setup, i: u8, log: &mut Log) {
        let mut connection = Connection::default();
        connection.plant(setup.server_fault);
        use server::Input::*;
        for input in [Connected, Send { serving: true }, LastByteWritten, HeadReceived, ResponseComplete] {
            let _ = connection.step(input);
        }
        self.calls[usize::from(i)].connection = connection;
        self.calls[usize::from(i)].way = Way::Open;
        self.write(setup, i, log);
    }

    /// The first byte, if the server may get it.
    fn write(&mut self, setup: &Setup, i: u8, log: &mut Log) {
        if self.calls[usize::from(i)].connection.stage() == server::Stage::Closing {
            return;
        }
        let drained = self.servers[usize::from(self.calls[usize::from(i)].server)].told_drained;
        match self.way(i, server::Input::Send { serving: !drained }) {
            Some(server::Effect::Write) if drained => self.violate(Rule::NothingToDrained),
            None | Some(server::Effect::Write) => {}
            Some(_) => {
                self.calls[usize::from(i)].way = Way::Closed;
                self.feed(setup, Input::Replied { attempt: i.into(), reply: Reply::NotSent }, log);
            }
        }
    }

    /// A connection that fails, and what that says of its request.
    fn cut(&mut self, setup: &Setup, i: u8, how: server::Input, log: &mut Log) {
        let Some(effect) = self.way(i, how) else { return };
        let call = &mut self.calls[usize::from(i)];
        let reached = call.work != Work::Nothing;
        if reached && matches!(effect, server::Effect::Replace | server::Effect::NeverRan) {
            return self.violate(Rule::NeverRanIsTrue);
        }
        if effect == server::Effect::Replace {
            // Another connection for the same attempt.
            call.connection = Connection::default();
            call.connection.plant(setup.server_fault);
            call.way = Way::Open;
            return;
        }
        call.way = Way::Closed;
        call.work = if call.work == Work::Taken { Work::Orphan } else { Work::Done };
        let reply = if effect == server::Effect::NeverRan { Reply::ConnectFailed } else { Reply::Reset };
        self.feed(setup, Input::Replied { attempt: i.into(), reply }, log);
    }

    /// The gateway closes its end.
    fn close(&mut self, i: u8) {
        self.way(i, server::Input::Abandoned);
        let call = &mut self.calls[usize::from(i)];
        call.way = Way::Closed;
        call.work = match call.work {
            Work::Taken => Work::Orphan,
            // What it did is done, whether the answer is read or not; and what was written in vain can only arrive together
            // with its connection's end.
            _ => Work::Done,
        };
    }

    fn runs(&mut self, i: u8) {
        if self.calls[usize::from(i)].stage == Stage::Execute {
            self.runs += 1;
        }
    }

    /// A server does what it was sent.
    fn serves(&mut self, i: u8) {
        let (server, stage) =
            (usize::from(self.calls[usize::from(i)].server), self.calls[usize::from(i)].stage);
        let reply = match stage {
            Stage::Prefill => {
                self.servers[server].state = true;
                Reply::Prefilled
            }
            Stage::Execute if self.servers.iter().any(|s| s.state) => {
                self.runs(i);
                // It fetches the state, and its stream takes the place that it holds.
                self.servers.iter_mut().for_each(|s| s.state = false);
                self.servers[server].place = false;
                self.calls[usize::from(i)].begun = true;
                Reply::FirstEvent
            }
            Stage::Execute => Reply::Rejected,
        };
        self.calls[usize::from(i)].work = Work::Replying(reply);
    }

    fn delivers(&mut self, setup: &Setup, i: u8, log: &mut Log) {
        let Work::Replying(reply) = self.calls[usize::from(i)].work else { return };
        if self.way(i, server::Input::HeadReceived).is_none() {
            return;
        }
        self.calls[usize::from(i)].work = Work::Done;
        if reply == Reply::FirstEvent {
            self.feed(setup, Input::Replied { attempt: i.into(), reply }, log);
            if self.machine.attempts()[usize::from(i)].state != AttemptState::Streaming {
                self.close(i);
                self.feed(setup, Input::CancelCompleted { attempt: i.into() }, log);
            }
            return;
        }
        self.way(i, server::Input::ResponseComplete);
        self.calls[usize::from(i)].way = Way::Closed;
        self.feed(setup, Input::Replied { attempt: i.into(), reply }, log);
    }

    fn feed(&mut self, setup: &Setup, input: Input, log: &mut Log) {
        if self.over {
            // What was on its way when the request ended finds nobody.
            return;
        }
        let mut effects = Vec::new();
        cover::request(&self.machine, &input);
        if self.machine.step(input, &mut effects).is_err() {
            log.push((input, Vec::new()));
            return self.violate(Rule::NothingImpossible);
        }
        log.push((input, effects.clone()));
        self.carry_out(setup, effects);
    }

    /// Carries out what the machine says, as the core does.
    fn carry_out(&mut self, setup: &Setup, effects: Vec<Effect>) {
        for effect in effects {
            if self.over {
                self.violate(Rule::NothingAfterEnd);
            }
            match effect {
                Effect::StartAttempt { attempt } => {
                    if self.calls.iter().any(|c| matches!(c.way, Way::Starting | Way::Open)) {
                        self.violate(Rule::NoSecondAttempt);
                    }
                    if self.release.is_some() {
                        self.violate(Rule::NoSendBesideRelease);
                    }
                    if self.answered() {
                        self.violate(Rule::NothingAfterEnd);
                    }
                    let call = &mut self.calls[attempt];
                    call.connection.plant(setup.server_fault);
                    call.way = Way::Starting;
                }
                Effect::CancelAttempt { .. }
                | Effect::NotifySlot { .. }
                | Effect::NotifyFirstToken { .. }
                | Effect::NotifyClientDisconnected => {}
                Effect::Release { after_cut } => {
                    if self.calls.iter().any(|c| matches!(c.way, Way::Starting | Way::Open)) {
                        self.violate(Rule::NoReleaseBesideAttempt);
                    }
                    if self.release.replace(after_cut).is_some() {
                        self.violate(Rule::NoSendBesideRelease);
                    }
                }
                Effect::RequestSlot { server } => {
                    self.place = PlaceAt::Asked { server: server as u8, served: false }
                }
                Effect::CancelSlotRequest => {
                    if let PlaceAt::Asked { server, served } = self.place {
                        self.place = if served { PlaceAt::None } else { PlaceAt::Orphan { server } };
                    }
                }
                Effect::Respond(last) => {
                    self.answers += 1;
                    self.refused |= last == FinalResponse::Rejected;
                    if self.answers > 1 || self.streams > 0 || self.client_gone {
                        self.violate(Rule::OneFinalAnswer);
                    }
                }
                Effect::ForwardStream { .. } => {
                    self.streams += 1;
                    if self.streams > 1 || self.answers > 0 || self.client_gone {
                        self.violate(Rule::OneFinalAnswer);
                    }
                }
                Effect::NotifyOutcome { attempt, .. } => {
                    self.outcomes[attempt] += 1;
                    if self.outcomes[attempt] > 1 {
                        self.violate(Rule::OneOutcomePerSend);
                    }
                }
                Effect::ArmTimer(timer) => self.armed[timer as usize] = true,
                Effect::DisarmTimer(timer) => self.armed[timer as usize] = false,
                Effect::Finished => self.ends(),
            }
        }
    }

    /// Whether the client has had all that it will get.
    fn answered(&self) -> bool {
        !matches!(self.machine.response(), ResponseState::Pending | ResponseState::Streaming)
    }

    fn ends(&mut self) {
        self.over = true;
        let under_way = self.calls.iter().any(|c| matches!(c.way, Way::Starting | Way::Open));
        if under_way || self.release.is_some() || matches!(self.place, PlaceAt::Asked { .. }) {
            self.violate(Rule::NothingAfterEnd);
        }
        if self.armed != [false; 2] {
            self.violate(Rule::NothingLeftAtRest);
        }
        if self.outcomes.iter().any(|told| *told != 1) {
            self.violate(Rule::OneOutcomePerSend);
        }
    }

    /// What holds in every state.
    fn check(&mut self) {
        if self.runs > 1 && self.machine.policy().retry_safety == RetrySafety::AtMostOnce {
            self.violate(Rule::NeverRunsTwice);
        }
        if self.refused && self.runs > 0 && self.machine.policy().retry_safety == RetrySafety::AtMostOnce {
            self.violate(Rule::RefusalIsTrue);
        }
        let cared_for = !self.over && (self.lets_go() || self.armed[Timer::LeaseLimit as usize]);
        if self.holds_unclaimed() && !cared_for {
            self.violate(Rule::HeldIsLetGo);
        }
    }

    /// Whether a server holds something and no attempt that has arrived is out.
    fn holds_unclaimed(&self) -> bool {
        self.servers.iter().any(|s| s.state || s.place) && !self.calls.iter().any(Call::arrived)
    }

    /// Whether a release is under way, or an attempt is called back: that one is dropped at once, and the release follows.
    fn lets_go(&self) -> bool {
        self.release.is_some() || self.machine.attempts().iter().any(|a| a.state == AttemptState::Cancelling)
    }

    /// Whether a world in which nothing more can happen has come to rest as it should.
    pub fn rests_well(&self) -> bool {
        self.over
    }
}
