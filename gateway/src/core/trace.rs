//! The one line that the log gets on a request once nothing of it is left: every attempt, its outcome and what its
//! server said of itself, so that a request can be followed through every gateway that it met.

use glenrail_access_log::{End, Release, Stage, Story, Try};
use glenrail_request_lifecycle::request::{
    Answer, Final, Request as Machine, Stage as Asked, Status as How, Step,
};
use glenrail_router::{Effect, Ms, Reason, Report, Request, Settings, Status};

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
            once: class.effect != Effect::Safe,
            tenant: ask.tenant,
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

    /// `place`: the server's zone and its cell in that.
    pub fn sent(&mut self, server: u64, asked: Asked, place: Option<(u32, u32)>, cold: bool, now: Ms) {
        let stage = if asked == Asked::Read { Stage::Read } else { Stage::Run };
        let sent = now - self.arrived;
        let to = format!("{server:x}");
        self.story.tries.push(Try { to, stage, place, sent, cold, ..Try::default() });
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

    pub fn written(&mut self, attempt: usize, at: Ms) {
        if let Some(t) = self.story.tries.get_mut(attempt) {
            t.written = Some(at - self.arrived);
        }
    }

    /// A sign shows that it has come to its server.
    pub fn shown_to_arrive(&mut self, attempt: usize, now: Ms) {
        if let Some(t) = self.story.tries.get_mut(attempt) {
            t.arrived = Some(now - self.arrived);
        }
    }

    /// What is held since then is to be let go.
    pub fn release_ordered(&mut self, held: Ms, now: Ms) {
        let (held, ordered) = (held - self.arrived, now - self.arrived);
        self.story.releases.push(Release { held, ordered, done: None });
    }

    pub fn release_done(&mut self, now: Ms) {
        if let Some(release) = self.story.releases.last_mut() {
            release.done = Some(now - self.arrived);
        }
    }

    /// Why the router refuses or fails it.
    pub fn why(&mut self, reason: Reason) {
        if self.story.why.is_empty() {
            self.story.why = format!("{reason:?}");
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

#[cfg(test)]
mod tests {
    use super::*;
    use glenrail_router::RequestId;

    /// Guards against an account that cannot tell whom a fleet starves, or which states leave their cell.
    #[test]
    fn a_line_holds_class_tenant_and_places() {
        let mut settings = crate::core::tests::settings();
        settings.classes[0].effect = Effect::Keyed;
        let ask = Request { id: RequestId(1), class: 0, tenant: 2, ..Request::default() };
        let mut told = Told::new(&ask, "a", &settings, 10.0, 5e6);
        told.sent(7, Asked::Read, Some((1, 4)), true, 12.0);
        let line = told.story.to_string();
        let story = Story::of_line(&format!("{}{line}", glenrail_access_log::WORD)).expect("a story");
        assert_eq!((story.class, story.once, story.tenant), (0, true, 2));
        assert_eq!((story.tries[0].place, story.tries[0].cold), (Some((1, 4)), true));
    }
}
