//! Report of the weight that clients requested, by result. The weight of every turn is counted under exactly one
//! [`TurnResult`], so the shares add up to the whole.
//!
//! A client's requests for one turn of a conversation have different ids and may arrive at different gateways. They are
//! recognized as one turn by class, session and prompt length. The loss of a late turn is attributed to the
//! longest of its waits.

mod served_shares;
mod state_transfers;
mod text;
mod turn;

use std::collections::BTreeMap;

use self::served_shares::Owner;
pub use self::served_shares::{
    ServedShare, ServedShares, StarvedOwners, STARVED_CLASS_THRESHOLD, STARVED_TENANT_THRESHOLD,
};
pub use self::state_transfers::StateTransfers;
pub use self::turn::TurnResult;
use self::turn::{Turn, PREFILLED_OUTCOME};
use crate::{AttemptRecord, RequestOutcome, RequestRecord, Stage};

/// Key in [`LossReport::rejected`] of requests without any attempt.
const NO_ATTEMPT: &str = "unsent";

/// Interval of a run whose turns a report counts. Warm-up and cool-down can be excluded.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    /// Start of the interval, in seconds after the first request (inclusive).
    pub from_s: f64,
    /// End of the interval, in seconds after the first request (exclusive).
    pub to_s: f64,
}

impl Interval {
    /// The interval that contains all turns.
    pub const ALL: Interval = Interval { from_s: 0.0, to_s: f64::MAX };

    fn contains(&self, began_s: f64) -> bool {
        self.from_s <= began_s && began_s < self.to_s
    }
}

/// Totals of turns with the same result.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TurnTotals {
    /// Number of turns.
    pub turns: usize,
    /// Requested weight: priority weight times tokens.
    pub weight: f64,
}

/// Stage and outcome by which attempts are grouped for counting.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKind {
    /// Whether the stage was prefill; otherwise it was execution.
    pub is_prefill: bool,
    /// Outcome, as named by the router's `log_label`.
    pub outcome: String,
}

/// Numbers of attempts of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCount {
    /// Number of all attempts of the kind.
    pub attempts: usize,
    /// Number of attempts at servers in slow start.
    pub at_slow_start: usize,
}

/// A server in one of its roles.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ServerKey {
    is_prefill: bool,
    server: String,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ServerCount {
    attempts: usize,
    /// Number of attempts without a result.
    lost: usize,
    time_ms: f64,
}

/// The lines printed for one turn, one for each request.
#[derive(Debug, PartialEq)]
struct TurnDetail {
    weight: f64,
    lines: String,
}

/// The report over the records of many gateways.
#[derive(Debug, Default, PartialEq)]
pub struct LossReport {
    /// Number of requests in the interval.
    pub requests: usize,
    /// Number of turns in the interval.
    pub turns: usize,
    /// Total requested weight: priority weight times tokens.
    pub requested_weight: f64,
    /// Turns by result. Results without turns are absent.
    pub results: BTreeMap<TurnResult, TurnTotals>,
    /// Attempts by stage and outcome.
    pub attempts: BTreeMap<AttemptKind, AttemptCount>,
    /// Number of rejected requests by the outcome of their last attempt, or `unsent` if they had no attempt.
    pub rejected: BTreeMap<String, usize>,
    /// Requested and served weight by class.
    pub classes: ServedShares,
    /// Requested and served weight by tenant.
    pub tenants: ServedShares,
    /// Tokens of KV states that were transferred, and of those that no decode server fetched.
    pub transfers: StateTransfers,
    details: BTreeMap<TurnResult, Vec<TurnDetail>>,
    servers: BTreeMap<ServerKey, ServerCount>,
}

impl LossReport {
    /// Creates the report of `records`, which must be sorted by arrival, for the turns that started within the
    /// interval.
    pub fn new(records: &[RequestRecord], interval: Interval) -> LossReport {
        let first_arrival = records.first().map_or(0.0, |record| record.arrived_unix_ms);
        let mut report = LossReport::default();
        for turn in turns(records).values() {
            let arrival = turn.requests.first().map_or(first_arrival, |first| first.arrived_unix_ms);
            if interval.contains((arrival - first_arrival) / 1000.0) {
                report.add(turn);
            }
        }
        report
    }

    fn add(&mut self, turn: &Turn) {
        let (result, weight) = (turn.result(), turn.weight());
        self.turns += 1;
        self.requests += turn.requests.len();
        self.requested_weight += weight;
        self.classes.add(turn, |request| Owner { id: request.class, at_most_once: request.at_most_once });
        self.tenants.add(turn, |request| Owner { id: request.tenant, at_most_once: false });
        self.transfers.add(turn);
        let sum = self.results.entry(result).or_default();
        sum.turns += 1;
        sum.weight += weight;
        let lines = turn.requests.iter().map(|request| format!("    {request}\n")).collect();
        self.details.entry(result).or_default().push(TurnDetail { weight, lines });
        self.add_rejected(turn);
        turn.attempts().for_each(|(_, attempt)| self.add_attempt(attempt));
    }

    fn add_rejected(&mut self, turn: &Turn) {
        let rejected = turn.requests.iter().filter(|request| request.outcome == RequestOutcome::Rejected);
        for request in rejected {
            let last = request.attempts.last().map_or(NO_ATTEMPT, |attempt| &attempt.outcome);
            *self.rejected.entry(last.into()).or_default() += 1;
        }
    }

    fn add_attempt(&mut self, attempt: &AttemptRecord) {
        let is_prefill = attempt.stage == Stage::Prefill;
        let kind = AttemptKind { is_prefill, outcome: attempt.outcome.clone() };
        let count = self.attempts.entry(kind).or_default();
        count.attempts += 1;
        count.at_slow_start += usize::from(attempt.slow_start);
        let key = ServerKey { is_prefill, server: attempt.server.clone() };
        let server = self.servers.entry(key).or_default();
        let is_lost = attempt.first_token_ms.is_none() && attempt.outcome != PREFILLED_OUTCOME;
        server.attempts += 1;
        server.lost += usize::from(is_lost);
        server.time_ms += attempt.first_token_ms.unwrap_or(attempt.ended_ms) - attempt.sent_ms;
    }

    /// Fraction of the requested weight whose turns had this result.
    pub fn share(&self, result: TurnResult) -> f64 {
        self.results.get(&result).map_or(0.0, |sum| sum.weight) / self.requested_weight.max(1e-9)
    }
}

/// Groups the records into turns by class, session and prompt length.
fn turns(records: &[RequestRecord]) -> BTreeMap<(u32, u64, u64), Turn<'_>> {
    let mut turns: BTreeMap<(u32, u64, u64), Turn> = BTreeMap::new();
    for record in records {
        let key = (record.class, record.session, record.prompt_tokens.to_bits());
        turns.entry(key).or_insert(Turn { requests: Vec::new() }).requests.push(record);
    }
    turns
}

#[cfg(test)]
mod tests;
