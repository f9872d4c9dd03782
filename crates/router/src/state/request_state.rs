//! A request that is open, and its attempts.

use super::{ServerRecord, Stage};
use crate::api::*;

#[derive(Clone, Copy, Default)]
pub struct Attempt {
    pub server: ServerId,
    pub stage: Stage,
    pub sent_at: Millis,
    pub in_flight: bool,
    pub cancelled: bool,
    pub first_token_at: Option<Millis>,
    /// It ended as it should have: nothing speaks against its server.
    pub succeeded: bool,
    pub work: f64,
}

#[derive(Default)]
pub struct RequestState {
    pub request: Request,
    /// How often this router was asked of late as it came, this one included: for anything, and for its
    /// beginning.
    pub recent_requests: [f64; 2],
    pub class: RequestClass,
    pub arrived_at: Millis,
    pub deadline: Millis,
    pub attempts: Vec<Attempt>,
    pub prefilled_on: Option<ServerId>,
    pub idle_since: Millis,
    /// Since when what is held for it waits. Of an attempt that is not known to have arrived, the time ran on.
    pub lease_since: Millis,
    pub over_quota: bool,
    /// The first attempt that may have had an effect: its zone, cell and time.
    pub possible_execution: Option<(u32, u32, Millis)>,
    pub closed: bool,
    /// Servers looked at on its behalf, and when.
    pub probes: Vec<(ServerId, Millis)>,
    /// Until then the timer for its next step is out, and no second one is set.
    pub step_timer_due: Millis,
}

impl RequestState {
    /// Whether it waits for its answer to begin.
    pub fn awaits_first_token(&self) -> bool {
        !self.closed && !self.is_streaming()
    }
    /// Tokens of its answer, by its hint or else half of what is permitted.
    pub fn expected_answer_tokens(&self) -> f64 {
        let hint =
            self.request.expected_duration.filter(|h| *h > 0.0 && self.class.inter_token_objective > 0.0);
        hint.map_or(self.request.max_tokens / 2.0, |h| h / self.class.inter_token_objective)
    }
    /// Share of this server's memory that its answer will hold.
    pub fn memory_share(&self, at: &ServerRecord) -> f64 {
        (self.request.prompt_tokens + self.expected_answer_tokens()) / at.memory_tokens
    }
    /// By when the first token is wanted, from the arrival on.
    pub fn first_token_objective(&self) -> Millis {
        self.class.latency_objective
            + self.class.latency_objective_per_1000_tokens * self.request.prompt_tokens / 1000.0
    }
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight)
    }
    pub fn is_streaming(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight && a.first_token_at.is_some())
    }
    /// The answer of one of its attempts that are out begins; gives that attempt, or none if there is no such one.
    pub fn record_first_token(&mut self, attempt: u32, now: Millis) -> Option<Attempt> {
        let a = self.attempts.get_mut(attempt as usize).filter(|a| a.in_flight)?;
        a.first_token_at = Some(now);
        self.prefilled_on = None;
        Some(*a)
    }
    /// One of its attempts that were out has come to this end; gives that attempt, or none if there is no such one.
    pub fn record_outcome(&mut self, o: &AttemptOutcome, now: Millis) -> Option<Attempt> {
        let a = self.attempts.get_mut(o.attempt as usize).filter(|a| a.in_flight)?;
        a.in_flight = false;
        a.succeeded = o.status == AttemptStatus::Prefilled;
        let ended = *a;
        self.idle_since = now;
        if o.delivered {
            self.lease_since = now;
        }
        self.closed |= o.closed;
        if o.status == AttemptStatus::Prefilled {
            self.prefilled_on = Some(ended.server);
        }
        // Whichever attempt it was that might have had the effect: of one that never ran, nothing is left.
        if o.status.proves_not_run() && self.possible_execution.is_some_and(|ran| ran.2 == ended.sent_at) {
            self.possible_execution = None;
        }
        Some(ended)
    }
    /// Calls back what is out and has not begun, wherever it is.
    pub fn cancel_attempts(&mut self, out: &mut Vec<Action>) {
        for (n, a) in self.attempts.iter_mut().enumerate() {
            if a.in_flight && !a.cancelled && a.first_token_at.is_none() {
                a.cancelled = true;
                out.push(Action::Cancel { id: self.request.id, attempt: n as u32 });
            }
        }
    }
    /// Whether it is being read, or has been and waits for a writer.
    pub fn needs_decode_server(&self) -> bool {
        let reads = |a: &Attempt| a.in_flight && a.stage == Stage::Prefill;
        self.awaits_first_token()
            && (self.prefilled_on.is_some() && !self.has_attempt_in_flight()
                || self.attempts.iter().any(reads))
    }
    /// Whether an attempt of this stage came to nothing there.
    pub fn has_failed_on(&self, server: ServerId, stage: Stage) -> bool {
        self.attempts.iter().any(|a| a.server == server && a.stage == stage && !a.succeeded)
    }
}
