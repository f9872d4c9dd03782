//! What became of a turn: all tries of a client for one answer, and what took most of their time.

use crate::{AttemptRecord, RequestOutcome, RequestRecord, Stage};

/// A read that ends within so many milliseconds a token of what it had to read did not wait (the slowest reader's
/// pace, cold); the same for a stream's begin, by token of state.
const READ_MS: f64 = 0.12;
const BEGIN_MS: f64 = 0.02;
/// What any attempt takes, beside its work.
const ATTEMPT_MS: f64 = 60.0;

/// What became of a turn, and by what cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    InTime,
    /// Answered late, or never: most of its time went by at a reader's queue ...
    LateReader,
    /// ... at a writer's queue ...
    LateWriter,
    /// ... in attempts that brought nothing (time-outs, call-backs, resets, errors, no connection) ...
    LateLost,
    /// ... between attempts: turned away, no server found, or between a client's tries.
    LateBetween,
    /// Every try was refused; none had been sent.
    RefusedUnsent,
    /// Refused after attempts.
    RefusedAfter,
    Failed,
    /// The stream broke after its begin.
    Cut,
    /// The client went before its time, and never came back.
    Left,
}

pub(super) const FATES: [(Fate, &str); 10] = [
    (Fate::InTime, "in time"),
    (Fate::LateReader, "late: waited at a reader"),
    (Fate::LateWriter, "late: waited at a writer"),
    (Fate::LateLost, "late: attempts that brought nothing"),
    (Fate::LateBetween, "late: between attempts and tries"),
    (Fate::RefusedUnsent, "refused unsent"),
    (Fate::RefusedAfter, "refused after attempts"),
    (Fate::Failed, "failed"),
    (Fate::Cut, "stream cut"),
    (Fate::Left, "client left first"),
];

/// All tries of one turn, in order of arrival.
pub(super) struct Turn<'a> {
    pub tries: Vec<&'a RequestRecord>,
}

impl Turn<'_> {
    pub fn worth(&self) -> f64 {
        self.tries.first().map_or(0.0, |s| s.priority_weight * (s.prompt_tokens + 500.0))
    }

    /// First token of the answer that was served, since the first try's arrival.
    pub fn served(&self) -> Option<f64> {
        let came = self.tries.first()?.arrived_unix_ms;
        let served = self.tries.iter().find(|s| s.outcome == RequestOutcome::Served)?;
        Some(served.arrived_unix_ms - came + served.first()?)
    }

    pub fn attempts(&self) -> impl Iterator<Item = (&RequestRecord, &AttemptRecord)> {
        self.tries.iter().flat_map(|s| s.attempts.iter().map(move |t| (*s, t)))
    }

    /// Time that went by beyond the work itself: at readers, at writers, in lost attempts, between them.
    fn times(&self) -> [f64; 4] {
        let mut times = [0.0; 4];
        let mut busy = 0.0;
        for (story, t) in self.attempts() {
            let until = t.first_token_ms.unwrap_or(t.ended_ms);
            let took = (until - t.sent_ms).max(0.0);
            busy += took;
            let own = ATTEMPT_MS
                + match t.stage {
                    Stage::Read => (story.prompt_tokens - t.cached_tokens).max(0.0) * READ_MS,
                    Stage::Run => story.prompt_tokens * BEGIN_MS,
                };
            match (t.stage, t.outcome.as_str()) {
                (Stage::Read, "Read") => times[0] += (took - own).max(0.0),
                _ if t.first_token_ms.is_some() => times[1] += (took - own).max(0.0),
                _ => times[2] += took,
            }
        }
        let whole: f64 = match (self.served(), self.tries.first(), self.tries.last()) {
            (Some(first), ..) => first,
            (None, Some(a), Some(z)) => z.arrived_unix_ms - a.arrived_unix_ms + z.duration_ms,
            _ => 0.0,
        };
        times[3] = (whole - busy).max(0.0);
        times
    }

    pub fn fate(&self) -> Fate {
        let Some(last) = self.tries.last() else { return Fate::Left };
        let in_time =
            self.tries.first().zip(self.served()).is_some_and(|(s, first)| first <= s.latency_objective_ms);
        if in_time {
            return Fate::InTime;
        }
        let late = self.served().is_some();
        if !late && self.tries.iter().any(|s| s.outcome == RequestOutcome::Cut) {
            return Fate::Cut;
        }
        let unsent = self.tries.iter().all(|s| s.attempts.is_empty());
        match last.outcome {
            RequestOutcome::Refused if !late => {
                return if unsent { Fate::RefusedUnsent } else { Fate::RefusedAfter }
            }
            RequestOutcome::Left if !late && last.duration_ms < last.latency_objective_ms => {
                return Fate::Left
            }
            _ => {}
        }
        let times = self.times();
        let most = (0..4).max_by(|a, b| times[*a].total_cmp(&times[*b])).unwrap_or(3);
        match most {
            _ if !late
                && last.outcome == RequestOutcome::Failed
                && last.duration_ms < last.latency_objective_ms =>
            {
                Fate::Failed
            }
            0 => Fate::LateReader,
            1 => Fate::LateWriter,
            2 => Fate::LateLost,
            _ => Fate::LateBetween,
        }
    }
}
