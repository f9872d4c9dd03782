//! The world around the time limits of one response: a server that writes a head, events, comments and chunks at any pace, a
//! client that is slow, and upgrades. Time passes in ticks; after each one the gateway ends the response if its limit has
//! passed, and the world judges that by what the server has written.

use std::time::Duration;

use glenrail_request_lifecycle::response_timing::{
    Activity, Expiry, Fault, Progress, ResponseLimits, ResponseTiming,
};
use serde::{Deserialize, Serialize};

use crate::request::Log;
use crate::rules::Rule;
use crate::scenario::{AnyScenario, Scenario};

/// Maximum pause before the first event, in ticks.
const PAUSE: u8 = 2;
/// Maximum time between two events, in ticks.
const EVENT_INTERVAL: u8 = 3;
/// Maximum duration of one event, in ticks.
const EVENT_DURATION: u8 = 5;
/// Maximum duration of a size line, in ticks.
const FRAMING_DURATION: u8 = 2;

/// The bounds of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    /// Number of ticks.
    pub ticks: u8,
    /// Most times that the client stops reading.
    pub suspensions: u8,
    /// Most upgrades.
    pub hand_overs: u8,
    /// A fault planted in the machine.
    pub fault: Option<Fault>,
}

/// One thing that can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Time passes, and the gateway looks at the limit.
    Tick,
    /// The response makes progress, or reading is suspended or resumed.
    Observe(Progress),
    /// Another process continues the stream.
    HandOver,
}

/// What the server has written of something that is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Written {
    began: u8,
    last_byte: u8,
}

impl Written {
    fn is_still_being_written(&self, now: u8) -> bool {
        now - self.last_byte < EVENT_INTERVAL && now - self.began < EVENT_DURATION
    }

    fn is_too_long(&self, now: u8) -> bool {
        now - self.began >= EVENT_DURATION
    }
}

/// What the server has written behind the last data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Framing {
    Complete,
    Incomplete { began: u8 },
    ChunkBegun(Written),
}

impl Framing {
    fn chunk(self) -> Option<Written> {
        match self {
            Framing::ChunkBegun(chunk) => Some(chunk),
            _ => None,
        }
    }
}

/// How far the server has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    AwaitingHead,
    Head { last_byte: u8 },
    Body { last_byte: u8 },
    Events { last_event: u8, event: Option<Written>, framing: Framing },
}

/// A state of the world. Times are in ticks in which the gateway reads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    machine: ResponseTiming<Duration>,
    stage: Stage,
    /// Ticks since the start.
    clock: u8,
    /// Ticks in which the response was read.
    read_ticks: u8,
    is_suspended: bool,
    ticks: u8,
    suspensions: u8,
    hand_overs: u8,
    has_ended: bool,
    violated: Option<Rule>,
}

fn ticks(ticks: u8) -> Duration {
    Duration::from_secs(ticks.into())
}

fn limits() -> ResponseLimits {
    ResponseLimits {
        pause: Some(ticks(PAUSE)),
        event_interval: ticks(EVENT_INTERVAL),
        event_duration: ticks(EVENT_DURATION),
        framing_duration: ticks(FRAMING_DURATION),
        min_framing_wait: ticks(EVENT_INTERVAL),
        activity: Activity::Events,
    }
}

impl Scenario for Setup {
    type World = World;
    type Action = Action;

    fn start(&self) -> World {
        let mut machine = ResponseTiming::new(limits());
        machine.plant(self.fault);
        World {
            machine,
            stage: Stage::AwaitingHead,
            clock: 0,
            read_ticks: 0,
            is_suspended: false,
            ticks: self.ticks,
            suspensions: self.suspensions,
            hand_overs: self.hand_overs,
            has_ended: false,
            violated: None,
        }
    }

    fn enabled_actions(&self, world: &World, actions: &mut Vec<Action>) {
        world.enabled_actions(actions);
    }

    fn apply(&self, world: &mut World, action: Action, _: &mut Log) {
        match action {
            Action::Tick => world.tick(),
            Action::Observe(progress) => world.observe(progress),
            Action::HandOver => world.hand_over(self.fault),
        }
    }

    fn is_inevitable(_: &World, action: Action) -> bool {
        action == Action::Tick
    }

    fn violated(world: &World) -> Option<Rule> {
        world.violated
    }

    fn has_terminated(world: &World) -> bool {
        world.has_ended || world.ticks == 0
    }

    fn to_any(&self) -> AnyScenario {
        AnyScenario::ResponseTiming(*self)
    }
}

impl World {
    fn enabled_actions(&self, actions: &mut Vec<Action>) {
        if self.violated.is_some() || self.has_ended || self.ticks == 0 {
            return;
        }
        actions.push(Action::Tick);
        if self.is_suspended {
            return actions.push(Action::Observe(Progress::ReadingResumed));
        }
        let progress: &[Progress] = match self.stage {
            Stage::AwaitingHead => &[Progress::HeadBytes, Progress::HeadComplete],
            Stage::Head { .. } => &[Progress::HeadBytes, Progress::InterimHead, Progress::HeadComplete],
            Stage::Body { .. } => &[Progress::EventBytes, Progress::OtherBytes, Progress::EventComplete],
            Stage::Events { framing: Framing::Incomplete { .. }, .. } => {
                &[Progress::FramingBytes, Progress::FramingComplete, Progress::ChunkBegun]
            }
            Stage::Events { .. } => &[
                Progress::FramingBytes,
                Progress::ChunkBegun,
                Progress::EventBytes,
                Progress::OtherBytes,
                Progress::IgnoredBytes,
                Progress::EventComplete,
            ],
        };
        actions.extend(progress.iter().copied().map(Action::Observe));
        if let Stage::Events { event, framing, .. } = self.stage {
            if self.suspensions > 0 {
                actions.push(Action::Observe(Progress::ReadingSuspended));
            }
            if self.hand_overs > 0 && event.is_none() && framing == Framing::Complete {
                actions.push(Action::HandOver);
            }
        }
    }

    fn tick(&mut self) {
        self.ticks -= 1;
        self.clock += 1;
        self.read_ticks += u8::from(!self.is_suspended);
        match self.machine.expired(ticks(self.clock)) {
            Some(expiry) => {
                self.has_ended = true;
                if !self.is_due() {
                    self.violate(match expiry {
                        Expiry::HeadStalled | Expiry::BodyStalled => Rule::SlowHeadNotCut,
                        _ => Rule::WrittenEventNotCut,
                    });
                }
            }
            None if self.is_due() && self.has_event_too_long() => self.violate(Rule::SlowEventIsBounded),
            None if self.is_due() => self.violate(Rule::ClientReleasedInTime),
            None => {}
        }
    }

    /// Whether the response has to be ended, by what the server has written.
    fn is_due(&self) -> bool {
        let now = self.read_ticks;
        match self.stage {
            _ if self.is_suspended => false,
            Stage::AwaitingHead => false,
            Stage::Head { last_byte } | Stage::Body { last_byte } => now - last_byte >= PAUSE,
            Stage::Events { last_event, event, framing: Framing::Incomplete { began } } => {
                let last_byte = event.map_or(last_event, |event| event.last_byte);
                now - began >= FRAMING_DURATION && now - last_byte >= EVENT_INTERVAL
            }
            Stage::Events { last_event, event, framing } => {
                let written = [event, framing.chunk()].into_iter().flatten();
                now - last_event >= EVENT_INTERVAL
                    && !written.into_iter().any(|written| written.is_still_being_written(now))
            }
        }
    }

    fn has_event_too_long(&self) -> bool {
        let Stage::Events { event, framing, .. } = self.stage else { return false };
        [event, framing.chunk()].into_iter().flatten().any(|written| written.is_too_long(self.read_ticks))
    }

    fn observe(&mut self, progress: Progress) {
        self.machine.observe(progress, ticks(self.clock));
        match progress {
            Progress::ReadingSuspended => {
                self.is_suspended = true;
                self.suspensions -= 1;
            }
            Progress::ReadingResumed => self.is_suspended = false,
            _ => self.stage = self.stage_after(progress),
        }
    }

    fn stage_after(&self, progress: Progress) -> Stage {
        let now = self.read_ticks;
        let continued = |written: Option<Written>| Written {
            began: written.map_or(now, |written| written.began),
            last_byte: now,
        };
        let Stage::Events { last_event, event, framing } = self.stage else {
            return self.stage_before_events(progress);
        };
        let behind_data = |event| Stage::Events { last_event, event, framing: Framing::Complete };
        match progress {
            Progress::EventComplete => {
                Stage::Events { last_event: now, event: None, framing: Framing::Complete }
            }
            Progress::EventBytes => behind_data(Some(continued(event.or(framing.chunk())))),
            Progress::FramingBytes => {
                let began = match framing {
                    Framing::Incomplete { began } => began,
                    Framing::Complete | Framing::ChunkBegun(_) => now,
                };
                Stage::Events { last_event, event, framing: Framing::Incomplete { began } }
            }
            Progress::ChunkBegun => {
                let chunk = continued(framing.chunk().or(event));
                Stage::Events { last_event, event, framing: Framing::ChunkBegun(chunk) }
            }
            Progress::IgnoredBytes => behind_data(None),
            _ => behind_data(event),
        }
    }

    /// Returns the stage after progress before the first event.
    fn stage_before_events(&self, progress: Progress) -> Stage {
        let now = self.read_ticks;
        match (self.stage, progress) {
            (_, Progress::EventComplete) => {
                Stage::Events { last_event: now, event: None, framing: Framing::Complete }
            }
            (_, Progress::HeadBytes) => Stage::Head { last_byte: now },
            (_, Progress::InterimHead) => Stage::AwaitingHead,
            _ => Stage::Body { last_byte: now },
        }
    }

    fn hand_over(&mut self, fault: Option<Fault>) {
        self.hand_overs -= 1;
        let Some(last_event) = self.machine.last_event() else { return };
        self.machine = ResponseTiming::resumed(limits(), last_event);
        self.machine.plant(fault);
    }

    fn violate(&mut self, rule: Rule) {
        self.violated.get_or_insert(rule);
    }
}
