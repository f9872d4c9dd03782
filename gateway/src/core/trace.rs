//! The one line that the log gets on a request once nothing of it is left: every attempt, its outcome and what its
//! server said of itself, so that a request can be followed through every gateway that it met.

use deckhub::{Ms, Report, Request, Settings, Status};
use glenrail_lifecycle::request::{Answer, Final, Request as Machine, Stage as Asked, Status as How, Step};
use glenrail_story::{End, Stage, Story, Try};

/// What is kept of a request for its line, beside its machine.
pub(super) struct Told {
    story: Story,
    arrived: Ms,
}

impl Told {
    /// `now` on the module's clock, `unix` the same moment on the machine's.
    pub fn new(ask: &Request, name: &str, settings: &Settings, now: Ms, unix: Ms) -> Self {
        let class = settings.classes.get(ask.class as usize).cloned().unwrap_or_default();
        let story = Story {
            id: name.into(),
            class: ask.class,
            session: ask.session,
            prefix: ask.prefix,
            prompt: ask.prompt_tokens,
            shared: ask.prefix_tokens,
            came: unix.round(),
            aim: class.aim + class.aim_per_1000_tokens * ask.prompt_tokens / 1000.0,
            worth: class.worth,
            ..Story::default()
        };
        Told { story, arrived: now }
    }

    pub fn sent(&mut self, server: u64, asked: Asked, cold: bool, now: Ms) {
        let stage = if asked == Asked::Read { Stage::Read } else { Stage::Run };
        let sent = now - self.arrived;
        self.story.tries.push(Try { to: format!("{server:x}"), stage, sent, cold, ..Try::default() });
    }

    pub fn first(&mut self, attempt: usize, now: Ms) {
        if let Some(t) = self.story.tries.get_mut(attempt) {
            t.first = Some(now - self.arrived);
        }
    }

    pub fn ended(&mut self, attempt: usize, how: Status, kept: f64, report: Option<Report>, now: Ms) {
        if let Some(t) = self.story.tries.get_mut(attempt) {
            (t.ended, t.how, t.kept) = (now - self.arrived, format!("{how:?}"), kept);
            (t.in_flight, t.memory) = report.map_or((None, None), |r| (r.in_flight, r.memory));
        }
    }

    /// When the client was owed nothing more.
    pub fn closed(&mut self, now: Ms) {
        if self.story.took == 0.0 {
            self.story.took = now - self.arrived;
        }
    }

    pub fn end(mut self, machine: &Machine, now: Ms) -> Story {
        self.closed(now);
        let served = machine.attempts().iter().any(|a| a.step == Step::Ended(How::Served));
        self.story.end = match machine.answer() {
            Answer::Given(Final::Refused) => End::Refused,
            Answer::Given(_) => End::Failed,
            Answer::Abandoned => End::Left,
            Answer::Streamed | Answer::Owed | Answer::Streaming if served => End::Served,
            Answer::Streamed | Answer::Owed | Answer::Streaming => End::Cut,
        };
        self.story
    }
}
