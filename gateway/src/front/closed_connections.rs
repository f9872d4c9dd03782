//! Counters of client connections that the gateway closed because its connection table was full, by stage and
//! by the time spent in that stage.
//!
//! A gateway runs on one thread, so the counters are thread-local.

use std::cell::RefCell;
use std::time::Duration;

use glenrail_request_lifecycle::client::Stage;
use serde_json::{json, Value};

use super::unanswered;
use crate::log;

/// Upper bounds of the age ranges, and their names in the operators' counters. Higher ages are counted in a
/// last range.
const AGE_BOUNDS: [(Duration, &str); 3] = [
    (Duration::from_millis(10), "under_10_ms"),
    (Duration::from_millis(100), "under_100_ms"),
    (Duration::from_millis(1_000), "under_1000_ms"),
];
/// Name of the range of all higher ages.
const OLDER: &str = "older";

/// Names of the stages in the operators' counters.
const STAGES: [&str; 4] = ["never_read", "head_begun", "between_requests", "closing"];

/// Numbers of closed connections since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClosedConnections {
    /// Evicted connections by stage and age range.
    pub evicted: [[u64; AGE_BOUNDS.len() + 1]; STAGES.len()],
    /// Evicted connections that had unread bytes.
    pub evicted_unread: u64,
    /// Connections over the cap that were closed without being read.
    pub over_cap: u64,
}

thread_local! {
    static COUNTS: RefCell<ClosedConnections> = RefCell::default();
}

/// State of a connection at its eviction.
#[derive(Clone, Copy, Debug)]
pub struct EvictedConnection {
    /// Stage of its state machine.
    pub stage: Stage,
    /// Time spent in that stage.
    pub age: Duration,
    /// Whether bytes of its client were unread.
    pub has_unread: bool,
}

impl EvictedConnection {
    fn stage_index(&self) -> usize {
        match self.stage {
            Stage::New => 0,
            Stage::Head => 1,
            Stage::Body | Stage::Response | Stage::Idle => 2,
            Stage::Closing | Stage::HandedOver => 3,
        }
    }

    fn age_index(&self) -> usize {
        AGE_BOUNDS.iter().position(|(bound, _)| self.age < *bound).unwrap_or(AGE_BOUNDS.len())
    }
}

/// Counts and logs an eviction.
pub fn count_evicted(connection: &EvictedConnection) {
    let (stage, age) = (connection.stage_index(), connection.age_index());
    COUNTS.with_borrow_mut(|counts| {
        counts.evicted[stage][age] += 1;
        counts.evicted_unread += u64::from(connection.has_unread);
    });
    log!(
        "connection evicted for another client's: {}, after {} ms in that stage, {} bytes unread",
        STAGES[stage],
        connection.age.as_millis(),
        if connection.has_unread { "some" } else { "no" }
    );
}

/// Counts a connection that was closed because the maximum number of connections was already being rejected.
pub fn count_over_cap() {
    COUNTS.with_borrow_mut(|counts| counts.over_cap += 1);
}

/// Returns the counts since the process began.
pub fn counts() -> ClosedConnections {
    COUNTS.with_borrow(|counts| *counts)
}

/// Returns the counts as JSON for the operators.
pub fn to_json() -> Value {
    let counts = counts();
    let by_age = |ages: &[u64]| -> Value {
        let names = AGE_BOUNDS.iter().map(|(_, name)| *name).chain([OLDER]);
        names.zip(ages).map(|(name, count)| (name.to_string(), Value::from(*count))).collect()
    };
    let by_stage = STAGES.iter().zip(&counts.evicted);
    let evicted: Value = by_stage.map(|(name, ages)| ((*name).to_string(), by_age(ages))).collect();
    json!({
        "evicted": evicted,
        "evicted_unread": counts.evicted_unread,
        "over_cap": counts.over_cap,
        "unanswered": unanswered::to_json(),
    })
}
