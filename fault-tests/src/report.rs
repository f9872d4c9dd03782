//! Result of the soak test for one seed, and its printed form.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::clock::Micros;
use crate::deployment::Deployment;
use crate::invariants::Violation;
use crate::lateness::{Lateness, LatenessSample};
use crate::record::{Event, Record};
use crate::restarts::Restart;
use crate::sessions::Outcomes;

/// Period before a violation for which the gateways' logs and the scheduling delays are reported.
const LOG_WINDOW: Duration = Duration::from_millis(500);

/// Time within which nine in ten restarted gateways have to be ready.
const READY_TARGET: Duration = Duration::from_secs(10);
/// Minimum number of restarts for each one that misses [`READY_TARGET`].
const RESTARTS_PER_SLOW_RESTART: usize = 10;

/// Result of the soak test for one seed.
#[derive(Debug, Default)]
pub struct Report {
    pub seed: u64,
    pub faults: Vec<String>,
    pub requests: usize,
    /// Number of requests by status; 0 counts requests without a response.
    pub statuses: BTreeMap<u16, usize>,
    /// Outcomes of the requests on persistent connections.
    pub sessions: Outcomes,
    pub restarts: Vec<Restart>,
    pub violations: Vec<Violation>,
    /// Evidence for the first violation: records, log lines, and scheduling delays of the run at that time.
    pub evidence: Vec<String>,
    /// Log lines in which gateways report a broken invariant.
    pub reported_violations: Vec<String>,
    /// Scheduling delays of the run itself.
    pub lateness: Lateness,
}

impl Report {
    pub fn passed(&self) -> bool {
        let slow_restarts = self.restarts.iter().filter(|restart| restart.ready_after > READY_TARGET).count();
        let meets_ready_target = slow_restarts * RESTARTS_PER_SLOW_RESTART <= self.restarts.len();
        self.violations.is_empty() && self.reported_violations.is_empty() && meets_ready_target
    }

    /// Returns the longest scheduling delay in the [`LOG_WINDOW`] before a violation.
    fn latest_before(&self, violation: &Violation) -> Option<LatenessSample> {
        let from = violation.at.saturating_sub(LOG_WINDOW.as_micros() as Micros);
        self.lateness.between(from, violation.at).into_iter().max_by_key(|sample| sample.late_by)
    }

    /// Returns whether a gateway has reported a broken invariant for the violation's request.
    pub fn is_counted(&self, violation: &Violation) -> bool {
        self.reported_violations.iter().any(|line| contains_word(line, &violation.request))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} requests, {} faults, statuses {:?}, {} violations, {} reported by the gateways",
            self.seed,
            self.requests,
            self.faults.len(),
            self.statuses,
            self.violations.len(),
            self.reported_violations.len()
        )?;
        if !self.restarts.is_empty() {
            let planned = self.restarts.iter().filter(|restart| restart.planned).count();
            let series = self.restarts.iter().filter(|restart| !restart.series.is_empty()).count();
            let slowest = self.restarts.iter().map(|restart| restart.ready_after).max().unwrap_or_default();
            writeln!(
                f,
                "  {} restarts, {planned} planned, {series} with further signals, ready within {slowest:?}; \
                 persistent connections {:?}",
                self.restarts.len(),
                self.sessions
            )?;
        }
        writeln!(f, "  scheduling delays: {}", self.lateness)?;
        if self.passed() {
            return Ok(());
        }
        self.restarts.iter().try_for_each(|restart| writeln!(f, "  restart: {restart:?}"))?;
        self.faults.iter().try_for_each(|fault| writeln!(f, "  fault: {fault}"))?;
        for violation in &self.violations {
            let counted =
                if self.is_counted(violation) { "counted by a gateway" } else { "counted by no gateway" };
            write!(f, "  broken: {violation} ({counted})")?;
            match self.latest_before(violation) {
                Some(sample) => writeln!(f, "; shortly before, {sample}")?,
                None => writeln!(f)?,
            }
        }
        self.evidence.iter().try_for_each(|line| writeln!(f, "  log: {line}"))?;
        self.reported_violations.iter().try_for_each(|line| writeln!(f, "  reported: {line}"))
    }
}

/// Returns the evidence for a violation: the records of its request and of the gateways' processes, the lines of the gateways'
/// logs about the request, about its client's connection and from the `LOG_WINDOW` before the violation, and the scheduling
/// delays of the run.
pub fn collect_evidence(
    violation: &Violation, records: &[Record], deployment: &Deployment, lateness: &Lateness,
) -> Vec<String> {
    // Events of gateways have an empty request.
    let concerns = |request: &str| request == violation.request || request.is_empty();
    let of_request = records.iter().filter(|record| concerns(record.event.request()));
    let record_lines = of_request.map(|record| serde_json::to_string(record).unwrap_or_default());
    let begun_at = records.iter().find(|record| record.event.request() == violation.request);
    let log_from = violation.at.saturating_sub(LOG_WINDOW.as_micros() as Micros);
    let from = begun_at.map_or(log_from, |record| record.at.min(log_from));
    let lateness_lines =
        lateness.between(from, violation.at).into_iter().map(|sample| format!("scheduling delay: {sample}"));
    record_lines
        .chain(deployment.log_lines(&violation.request))
        .chain(connection_log(&violation.request, records, deployment))
        .chain(deployment.log_between(log_from, violation.at))
        .chain(lateness_lines)
        .collect()
}

/// Returns the lines of the gateways' logs about the connection on which a client wrote this request.
fn connection_log(request: &str, records: &[Record], deployment: &Deployment) -> Vec<String> {
    let client = records.iter().find_map(|record| match &record.event {
        Event::RequestBegun { request: begun, client, .. } if begun == request => Some(client.to_string()),
        _ => None,
    });
    let Some(client) = client else { return Vec::new() };
    deployment.log_lines(&client).into_iter().filter(|line| contains_word(line, &client)).collect()
}

/// Returns whether the line contains the word as a whole: both `25f1-e` and `127.0.0.1:400` are prefixes of longer words.
fn contains_word(line: &str, word: &str) -> bool {
    let is_word_character = |character: char| character.is_ascii_alphanumeric() || character == '-';
    line.match_indices(word).any(|(at, _)| {
        let before = line[..at].chars().next_back();
        let after = line[at + word.len()..].chars().next();
        !before.is_some_and(is_word_character) && !after.is_some_and(is_word_character)
    })
}
