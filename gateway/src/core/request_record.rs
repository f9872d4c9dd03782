//! The one line that the log gets on a request once nothing of it is left: every attempt, its outcome and what its
//! server said of itself, so that a request can be followed through every gateway that it met.

use glenrail_access_log::{AttemptRecord, Release, RequestOutcome, RequestRecord, Stage};
use glenrail_request_lifecycle::request::{
    AttemptState, FinalResponse, Request as Machine, ResponseState, Stage as Asked, Status as How,
};
use glenrail_router::{AttemptStatus, Idempotency, LoadReport, Millis, RejectReason, Request, Settings};

/// What is kept of a request for its line, beside its machine.
pub(super) struct RecordBuilder {
    story: RequestRecord,
    arrived: Millis,
}

impl RecordBuilder {
    /// `now` on the module's clock, `unix` the same moment on the machine's.
    pub fn new(ask: &Request, name: &str, settings: &Settings, now: Millis, unix: Millis) -> Self {
        let class = settings.classes.get(ask.class as usize).cloned().unwrap_or_default();
        let story = RequestRecord {
            id: name.into(),
            class: ask.class,
            at_most_once: class.idempotency != Idempotency::Idempotent,
            tenant: ask.tenant,
            session: ask.session,
            prefix: ask.prefix,
            prompt_tokens: ask.prompt_tokens,
            prefix_tokens: ask.prefix_tokens,
            arrived_unix_ms: unix.round(),
            latency_objective_ms: class.latency_objective
                + class.latency_objective_per_1000_tokens * ask.prompt_tokens / 1000.0,
            priority_weight: class.priority_weight,
            ..RequestRecord::default()
        };
        RecordBuilder { story, arrived: now }
    }

    /// `place`: the server's zone and its cell in that.
    pub fn sent(&mut self, server: u64, asked: Asked, place: Option<(u32, u32)>, cold: bool, now: Millis) {
        let stage = if asked == Asked::Prefill { Stage::Read } else { Stage::Run };
        let sent = now - self.arrived;
        let to = format!("{server:x}");
        self.story.attempts.push(AttemptRecord {
            server: to,
            stage,
            location: place,
            sent_ms: sent,
            slow_start: cold,
            ..AttemptRecord::default()
        });
    }

    pub fn first(&mut self, attempt: usize, now: Millis) {
        if let Some(t) = self.story.attempts.get_mut(attempt) {
            t.first_token_ms = Some(now - self.arrived);
        }
    }

    pub fn ended(
        &mut self, attempt: usize, how: AttemptStatus, kept: f64, report: Option<LoadReport>, now: Millis,
    ) {
        if let Some(t) = self.story.attempts.get_mut(attempt) {
            (t.ended_ms, t.outcome, t.cached_tokens) =
                (now - self.arrived, how.log_label().to_string(), kept);
            (t.in_flight, t.memory_share) = report.map_or((None, None), |r| (r.in_flight, r.memory_share));
        }
    }

    pub fn written(&mut self, attempt: usize, at: Millis) {
        if let Some(t) = self.story.attempts.get_mut(attempt) {
            t.written_ms = Some(at - self.arrived);
        }
    }

    /// A sign shows that it has come to its server.
    pub fn shown_to_arrive(&mut self, attempt: usize, now: Millis) {
        if let Some(t) = self.story.attempts.get_mut(attempt) {
            t.delivered_ms = Some(now - self.arrived);
        }
    }

    /// What is held since then is to be let go.
    pub fn release_ordered(&mut self, held: Millis, now: Millis) {
        let (held, ordered) = (held - self.arrived, now - self.arrived);
        self.story.releases.push(Release { held, ordered, done: None });
    }

    pub fn release_done(&mut self, now: Millis) {
        if let Some(release) = self.story.releases.last_mut() {
            release.done = Some(now - self.arrived);
        }
    }

    /// Why the router refuses or fails it.
    pub fn why(&mut self, reason: RejectReason) {
        if self.story.reject_reason.is_empty() {
            self.story.reject_reason = reason.log_label().to_string();
        }
    }

    /// When the client was owed nothing more.
    pub fn closed(&mut self, now: Millis) {
        if self.story.duration_ms == 0.0 {
            self.story.duration_ms = now - self.arrived;
        }
    }

    pub fn end(mut self, machine: &Machine, now: Millis) -> RequestRecord {
        self.closed(now);
        let served = machine.attempts().iter().any(|a| a.state == AttemptState::Ended(How::Served));
        self.story.outcome = match machine.response() {
            ResponseState::Final(FinalResponse::Rejected) => RequestOutcome::Refused,
            ResponseState::Final(_) => RequestOutcome::Failed,
            ResponseState::Abandoned => RequestOutcome::Left,
            ResponseState::StreamEnded | ResponseState::Pending | ResponseState::Streaming if served => {
                RequestOutcome::Served
            }
            ResponseState::StreamEnded | ResponseState::Pending | ResponseState::Streaming => {
                RequestOutcome::Cut
            }
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
        settings.classes[0].idempotency = Idempotency::IdempotencyKey;
        let ask = Request { id: RequestId(1), class: 0, tenant: 2, ..Request::default() };
        let mut told = RecordBuilder::new(&ask, "a", &settings, 10.0, 5e6);
        told.sent(7, Asked::Prefill, Some((1, 4)), true, 12.0);
        let line = told.story.to_string();
        let story = RequestRecord::parse_line(&format!("{}{line}", glenrail_access_log::LINE_PREFIX))
            .expect("a story");
        assert_eq!((story.class, story.at_most_once, story.tenant), (0, true, 2));
        assert_eq!((story.attempts[0].location, story.attempts[0].slow_start), (Some((1, 4)), true));
    }
}
