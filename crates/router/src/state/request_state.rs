//! A request that is open, and its attempts.

use super::{Server, Stage};
use crate::api::*;

#[derive(Clone, Copy, Default)]
pub struct Attempt {
    pub server: ServerId,
    pub stage: Stage,
    pub sent: Millis,
    pub out: bool,
    pub cancelled: bool,
    pub first: Option<Millis>,
    /// It ended as it should have: nothing speaks against its server.
    pub well: bool,
    pub work: f64,
}

#[derive(Default)]
pub struct Job {
    pub ask: Request,
    /// How often this router was asked of late as it came, this one included: for anything, and for its
    /// beginning.
    pub asked: [f64; 2],
    pub class: RequestClass,
    pub arrived: Millis,
    pub deadline: Millis,
    pub attempts: Vec<Attempt>,
    pub state_at: Option<ServerId>,
    pub idle_since: Millis,
    /// Since when what is held for it waits. Of an attempt that is not known to have arrived, the time ran on.
    pub held_since: Millis,
    pub over_share: bool,
    /// The first attempt that may have had an effect: its zone, cell and time.
    pub ran: Option<(u32, u32, Millis)>,
    pub closed: bool,
    /// Servers looked at on its behalf, and when.
    pub looks: Vec<(ServerId, Millis)>,
    /// Until then the timer for its next step is out, and no second one is set.
    pub again: Millis,
}

impl Job {
    /// Whether it waits for its answer to begin.
    pub fn open(&self) -> bool {
        !self.closed && !self.begun()
    }
    /// Tokens of its answer, by its hint or else half of what is permitted.
    pub fn expected_out(&self) -> f64 {
        let hint = self.ask.expected_duration.filter(|h| *h > 0.0 && self.class.inter_token_objective > 0.0);
        hint.map_or(self.ask.max_tokens / 2.0, |h| h / self.class.inter_token_objective)
    }
    /// Share of this server's memory that its answer will hold.
    pub fn share(&self, at: &Server) -> f64 {
        (self.ask.prompt_tokens + self.expected_out()) / at.memory_tokens
    }
    /// By when the first token is wanted, from the arrival on.
    pub fn aim(&self) -> Millis {
        self.class.latency_objective
            + self.class.latency_objective_per_1000_tokens * self.ask.prompt_tokens / 1000.0
    }
    pub fn any_out(&self) -> bool {
        self.attempts.iter().any(|a| a.out)
    }
    pub fn begun(&self) -> bool {
        self.attempts.iter().any(|a| a.out && a.first.is_some())
    }
    /// The answer of one of its attempts that are out begins; gives that attempt, or none if there is no such one.
    pub fn begin(&mut self, attempt: u32, now: Millis) -> Option<Attempt> {
        let a = self.attempts.get_mut(attempt as usize).filter(|a| a.out)?;
        a.first = Some(now);
        self.state_at = None;
        Some(*a)
    }
    /// One of its attempts that were out has come to this end; gives that attempt, or none if there is no such one.
    pub fn end(&mut self, o: &AttemptOutcome, now: Millis) -> Option<Attempt> {
        let a = self.attempts.get_mut(o.attempt as usize).filter(|a| a.out)?;
        a.out = false;
        a.well = o.status == AttemptStatus::Prefilled;
        let ended = *a;
        self.idle_since = now;
        if o.delivered {
            self.held_since = now;
        }
        self.closed |= o.closed;
        if o.status == AttemptStatus::Prefilled {
            self.state_at = Some(ended.server);
        }
        // Whichever attempt it was that might have had the effect: of one that never ran, nothing is left.
        if o.status.never_ran() && self.ran.is_some_and(|ran| ran.2 == ended.sent) {
            self.ran = None;
        }
        Some(ended)
    }
    /// Calls back what is out and has not begun, wherever it is.
    pub fn call_back(&mut self, out: &mut Vec<Action>) {
        for (n, a) in self.attempts.iter_mut().enumerate() {
            if a.out && !a.cancelled && a.first.is_none() {
                a.cancelled = true;
                out.push(Action::Cancel { id: self.ask.id, attempt: n as u32 });
            }
        }
    }
    /// Whether it is being read, or has been and waits for a writer.
    pub fn will_write(&self) -> bool {
        let reads = |a: &Attempt| a.out && a.stage == Stage::Read;
        self.open() && (self.state_at.is_some() && !self.any_out() || self.attempts.iter().any(reads))
    }
    /// Whether an attempt of this stage came to nothing there.
    pub fn tried(&self, server: ServerId, stage: Stage) -> bool {
        self.attempts.iter().any(|a| a.server == server && a.stage == stage && !a.well)
    }
}
