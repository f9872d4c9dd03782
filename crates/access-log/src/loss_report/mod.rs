//! Where the weight that clients asked for went: every turn's weight falls to exactly one [`TurnResult`], so the parts add up.
//!
//! A client's requests for one turn of a conversation have ids of their own, and may come to different gateways; they are
//! recognized as one turn by class, session and prompt length. A turn that was not answered in time is laid to what took
//! most of its time.

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

/// What a rejected request is counted under where no attempt had been made.
const NO_ATTEMPT: &str = "unsent";

/// Which turns a report counts: what a run warms up and cools down with can be left out.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    /// Turns that began this long after the first request, or later (s).
    pub from_s: f64,
    /// Turns that began before this long after the first request (s).
    pub to_s: f64,
}

impl Interval {
    /// All turns.
    pub const ALL: Interval = Interval { from_s: 0.0, to_s: f64::MAX };

    fn contains(&self, began_s: f64) -> bool {
        self.from_s <= began_s && began_s < self.to_s
    }
}

/// Turns, and the weight that they asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TurnTotals {
    /// Their number.
    pub turns: usize,
    /// Priority weight times tokens.
    pub weight: f64,
}

/// Attempts that are counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKind {
    /// They asked to read a prompt; else to answer.
    pub is_prefill: bool,
    /// Their outcome, as the router's `log_label` has it.
    pub outcome: String,
}

/// How many attempts there were of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCount {
    /// All of them.
    pub attempts: usize,
    /// Those at servers in slow start.
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
    /// Attempts that brought nothing.
    lost: usize,
    time_ms: f64,
}

/// A turn, request by request, to be printed.
#[derive(Debug, PartialEq)]
struct TurnDetail {
    weight: f64,
    lines: String,
}

/// The report over many gateways' records.
#[derive(Debug, Default, PartialEq)]
pub struct LossReport {
    /// Requests counted.
    pub requests: usize,
    /// Turns counted.
    pub turns: usize,
    /// Weight asked for: priority weight times tokens.
    pub requested_weight: f64,
    /// Turns by what became of them.
    pub results: BTreeMap<TurnResult, TurnTotals>,
    /// Attempts by stage and outcome.
    pub attempts: BTreeMap<AttemptKind, AttemptCount>,
    /// Rejected requests, by what their last attempt brought (`unsent`: there was none).
    pub rejected: BTreeMap<String, usize>,
    /// What each class asked for, and what became of it.
    pub classes: ServedShares,
    /// What each tenant asked for, and what became of it.
    pub tenants: ServedShares,
    /// States that were transferred, and those that nobody fetched.
    pub transfers: StateTransfers,
    details: BTreeMap<TurnResult, Vec<TurnDetail>>,
    servers: BTreeMap<ServerKey, ServerCount>,
}

impl LossReport {
    /// The report of these records, which stand in order of arrival, over the turns that began within the interval.
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

    /// The share of the weight asked for that came to this result.
    pub fn share(&self, result: TurnResult) -> f64 {
        self.results.get(&result).map_or(0.0, |sum| sum.weight) / self.requested_weight.max(1e-9)
    }
}

/// The records' turns, by class, session and prompt length.
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
