//! One turn of a conversation: all requests of a client for one answer, and what took most of their time.

use crate::{AttemptRecord, RequestOutcome, RequestRecord, Stage};

/// A prefill that ends within this time a token that it had to read did not wait (ms; the slowest server's pace).
const PREFILL_MS_PER_TOKEN: f64 = 0.12;
/// The same for the begin of a stream, by token of state that it fetches (ms).
const FIRST_TOKEN_MS_PER_TOKEN: f64 = 0.02;
/// What any attempt takes, beside its work (ms).
const ATTEMPT_OVERHEAD_MS: f64 = 60.0;
/// Tokens that every request counts for, beside its prompt.
const BASE_WEIGHT_TOKENS: f64 = 500.0;
/// An attempt's outcome that means a prefill ended well.
pub(super) const PREFILLED_OUTCOME: &str = "Read";

/// What became of a turn, and by what cause. The causes of all turns add up to what was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TurnResult {
    /// Answered within its latency objective.
    InTime,
    /// Late or never answered; most of its time went by in a prefill server's queue.
    LatePrefill,
    /// Late or never answered; most of its time went by in a decode server's queue.
    LateDecode,
    /// Late or never answered; most of its time went by in attempts that brought nothing: time-outs, cancellations, resets,
    /// errors, no connection.
    LateAttemptsLost,
    /// Late or never answered; most of its time went by between attempts: rejected by servers, no server available, or the
    /// client's own pauses.
    LateBetweenAttempts,
    /// Every request was rejected, and none had been sent to a server.
    RejectedUnsent,
    /// Rejected after attempts.
    RejectedAfterAttempts,
    /// Failed for good.
    Failed,
    /// The stream broke after its begin.
    StreamBroken,
    /// The client disconnected before the objective, and never came back.
    ClientDisconnected,
}

impl TurnResult {
    /// All results, in the order of the report.
    pub const ALL: [TurnResult; 10] = [
        TurnResult::InTime,
        TurnResult::LatePrefill,
        TurnResult::LateDecode,
        TurnResult::LateAttemptsLost,
        TurnResult::LateBetweenAttempts,
        TurnResult::RejectedUnsent,
        TurnResult::RejectedAfterAttempts,
        TurnResult::Failed,
        TurnResult::StreamBroken,
        TurnResult::ClientDisconnected,
    ];

    /// Its name in the report, which docs/on-call.md explains.
    pub fn name(self) -> &'static str {
        match self {
            TurnResult::InTime => "in time",
            TurnResult::LatePrefill => "late: waited at a reader",
            TurnResult::LateDecode => "late: waited at a writer",
            TurnResult::LateAttemptsLost => "late: attempts that brought nothing",
            TurnResult::LateBetweenAttempts => "late: between attempts and tries",
            TurnResult::RejectedUnsent => "refused unsent",
            TurnResult::RejectedAfterAttempts => "refused after attempts",
            TurnResult::Failed => "failed",
            TurnResult::StreamBroken => "stream cut",
            TurnResult::ClientDisconnected => "client left first",
        }
    }
}

/// All requests of one turn, in order of arrival.
pub(super) struct Turn<'a> {
    pub requests: Vec<&'a RequestRecord>,
}

/// Time of a turn beyond the work itself (ms).
#[derive(Default)]
struct WaitTimes {
    at_prefill: f64,
    at_decode: f64,
    attempts_lost: f64,
    between_attempts: f64,
}

impl WaitTimes {
    /// The result for the largest of them; of equal ones the later in this order.
    fn largest(&self) -> TurnResult {
        let times = [
            (self.at_prefill, TurnResult::LatePrefill),
            (self.at_decode, TurnResult::LateDecode),
            (self.attempts_lost, TurnResult::LateAttemptsLost),
            (self.between_attempts, TurnResult::LateBetweenAttempts),
        ];
        let largest = times.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
        largest.map_or(TurnResult::LateBetweenAttempts, |(_, result)| result)
    }
}

/// What an attempt's own work takes where it does not wait (ms).
fn expected_work_ms(request: &RequestRecord, attempt: &AttemptRecord) -> f64 {
    let work = match attempt.stage {
        Stage::Prefill => (request.prompt_tokens - attempt.cached_tokens).max(0.0) * PREFILL_MS_PER_TOKEN,
        Stage::Execute => request.prompt_tokens * FIRST_TOKEN_MS_PER_TOKEN,
    };
    ATTEMPT_OVERHEAD_MS + work
}

impl Turn<'_> {
    /// The priority weight of the turn's class times its prompt's tokens.
    pub fn weight(&self) -> f64 {
        let weight =
            |first: &&RequestRecord| first.priority_weight * (first.prompt_tokens + BASE_WEIGHT_TOKENS);
        self.requests.first().map_or(0.0, weight)
    }

    /// When the first token of the answer that was served came, in ms since the first request's arrival.
    pub fn first_token_ms(&self) -> Option<f64> {
        let arrived = self.requests.first()?.arrived_unix_ms;
        let served = self.requests.iter().find(|request| request.outcome == RequestOutcome::Served)?;
        Some(served.arrived_unix_ms - arrived + served.first_token_ms()?)
    }

    /// All attempts of the turn, each with its request.
    pub fn attempts(&self) -> impl Iterator<Item = (&RequestRecord, &AttemptRecord)> {
        self.requests
            .iter()
            .flat_map(|request| request.attempts.iter().map(move |attempt| (*request, attempt)))
    }

    fn wait_times(&self) -> WaitTimes {
        let mut times = WaitTimes::default();
        let mut in_attempts = 0.0;
        for (request, attempt) in self.attempts() {
            let until = attempt.first_token_ms.unwrap_or(attempt.ended_ms);
            let duration = (until - attempt.sent_ms).max(0.0);
            in_attempts += duration;
            let waited = (duration - expected_work_ms(request, attempt)).max(0.0);
            if attempt.stage == Stage::Prefill && attempt.outcome == PREFILLED_OUTCOME {
                times.at_prefill += waited;
            } else if attempt.first_token_ms.is_some() {
                times.at_decode += waited;
            } else {
                times.attempts_lost += duration;
            }
        }
        times.between_attempts = (self.duration_ms() - in_attempts).max(0.0);
        times
    }

    /// From the first arrival to the first token, or else to the end of the last request (ms).
    fn duration_ms(&self) -> f64 {
        match (self.first_token_ms(), self.requests.first(), self.requests.last()) {
            (Some(first_token), ..) => first_token,
            (None, Some(first), Some(last)) => {
                last.arrived_unix_ms - first.arrived_unix_ms + last.duration_ms
            }
            _ => 0.0,
        }
    }

    fn is_in_time(&self) -> bool {
        let first = self.requests.first().zip(self.first_token_ms());
        first.is_some_and(|(request, first_token)| first_token <= request.latency_objective_ms)
    }

    /// What became of the turn.
    pub fn result(&self) -> TurnResult {
        let Some(last) = self.requests.last() else { return TurnResult::ClientDisconnected };
        if self.is_in_time() {
            return TurnResult::InTime;
        }
        let answered_late = self.first_token_ms().is_some();
        if answered_late {
            return self.wait_times().largest();
        }
        let before_objective = last.duration_ms < last.latency_objective_ms;
        match last.outcome {
            _ if self.requests.iter().any(|request| request.outcome == RequestOutcome::StreamBroken) => {
                TurnResult::StreamBroken
            }
            RequestOutcome::Rejected if self.requests.iter().all(|request| request.attempts.is_empty()) => {
                TurnResult::RejectedUnsent
            }
            RequestOutcome::Rejected => TurnResult::RejectedAfterAttempts,
            RequestOutcome::ClientDisconnected if before_objective => TurnResult::ClientDisconnected,
            RequestOutcome::Failed if before_objective => TurnResult::Failed,
            _ => self.wait_times().largest(),
        }
    }
}
