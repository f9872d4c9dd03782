//! One turn of a conversation: all requests of a client for one response, and the cause of a late or missing response.

use crate::{AttemptRecord, RequestOutcome, RequestRecord, Stage};

/// Expected time of a prefill per uncached token, in milliseconds, at the rate of the slowest server. Time beyond it
/// counts as waiting.
const PREFILL_MS_PER_TOKEN: f64 = 0.12;
/// Expected time until the first token of a stream per token of fetched KV state, in milliseconds.
const FIRST_TOKEN_MS_PER_TOKEN: f64 = 0.02;
/// Expected time of any attempt that does not depend on its number of tokens, in milliseconds.
const ATTEMPT_OVERHEAD_MS: f64 = 60.0;
/// Tokens that count for the weight of every turn in addition to its prompt.
const BASE_WEIGHT_TOKENS: f64 = 500.0;
/// Outcome of an attempt whose prefill succeeded, as named by the router's `log_label`.
pub(super) const PREFILLED_OUTCOME: &str = "Read";

/// Result of a turn, with the cause of a late or missing response. The weights of all results add up to the requested
/// weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TurnResult {
    /// The first token was sent within the latency objective.
    InTime,
    /// Late or without a response; the longest wait was at prefill servers.
    LatePrefill,
    /// Late or without a response; the longest wait was at decode servers.
    LateDecode,
    /// Late or without a response; the longest wait was in attempts without a result: timeouts,
    /// cancellations, resets, errors and failed connections.
    LateAttemptsLost,
    /// Late or without a response; the longest wait was between attempts, while servers rejected the request,
    /// no server was available, or the client paused between its requests.
    LateBetweenAttempts,
    /// All requests were rejected, and no attempt was made.
    RejectedUnsent,
    /// The last request was rejected, and at least one attempt was made.
    RejectedAfterAttempts,
    /// The last request failed before the latency objective.
    Failed,
    /// A response stream broke after its start.
    StreamBroken,
    /// The client disconnected before the latency objective and sent no further request.
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

    /// The result's name in the report, which docs/on-call.md explains.
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

/// Wait times of a turn, in milliseconds, by where they were spent. At prefill and decode servers, only the
/// time in excess of the expected work counts; attempts without a result count with their entire duration.
#[derive(Default)]
struct WaitTimes {
    at_prefill: f64,
    at_decode: f64,
    attempts_lost: f64,
    between_attempts: f64,
}

impl WaitTimes {
    /// Returns the result for the longest time; of equal ones, the last in the order of the list below.
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

/// Expected time of an attempt that does not wait, in milliseconds.
fn expected_work_ms(request: &RequestRecord, attempt: &AttemptRecord) -> f64 {
    let work = match attempt.stage {
        Stage::Prefill => (request.prompt_tokens - attempt.cached_tokens).max(0.0) * PREFILL_MS_PER_TOKEN,
        Stage::Execute => request.prompt_tokens * FIRST_TOKEN_MS_PER_TOKEN,
    };
    ATTEMPT_OVERHEAD_MS + work
}

impl Turn<'_> {
    /// Priority weight of the turn's class, multiplied by its prompt tokens plus [`BASE_WEIGHT_TOKENS`].
    pub fn weight(&self) -> f64 {
        let weight =
            |first: &&RequestRecord| first.priority_weight * (first.prompt_tokens + BASE_WEIGHT_TOKENS);
        self.requests.first().map_or(0.0, weight)
    }

    /// Time of the first token of the served request, in milliseconds since the arrival of the turn's first request;
    /// `None` if no request was served.
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

    /// Time in milliseconds from the arrival of the first request to the first token, or without one to the end of the
    /// last request.
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

    /// Result of the turn; for a late response, by the longest of its wait times.
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
