//! What a soak run of one seed gave, and how it is printed.

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

/// What the gateways' logs say in this time before the first violation is reported.
const LOG_WINDOW: Duration = Duration::from_millis(500);

/// Nine in ten restarted gateways are ready within this time.
const READY_TARGET: Duration = Duration::from_secs(10);
const RESTARTS_PER_SLOW_RESTART: usize = 10;

/// What a run of one seed gave.
#[derive(Debug, Default)]
pub struct Report {
    pub seed: u64,
    pub faults: Vec<String>,
    pub requests: usize,
    /// Answers by status; 0 where there was none.
    pub statuses: BTreeMap<u16, usize>,
    /// How the requests on kept connections ended.
    pub sessions: Outcomes,
    pub restarts: Vec<Restart>,
    pub violations: Vec<Violation>,
    /// What is known of the first violation: records, log lines, and how late the run was then.
    pub evidence: Vec<String>,
    /// Invariants that the gateways' own logs say were broken.
    pub reported_violations: Vec<String>,
    /// How late the run itself was.
    pub lateness: Lateness,
}

impl Report {
    pub fn passed(&self) -> bool {
        let slow_restarts = self.restarts.iter().filter(|restart| restart.ready_after > READY_TARGET).count();
        let meets_ready_target = slow_restarts * RESTARTS_PER_SLOW_RESTART <= self.restarts.len();
        self.violations.is_empty() && self.reported_violations.is_empty() && meets_ready_target
    }

    /// What was latest in the time before a violation of which the log is printed, too.
    fn latest_before(&self, violation: &Violation) -> Option<LatenessSample> {
        let from = violation.at.saturating_sub(LOG_WINDOW.as_micros() as Micros);
        self.lateness.between(from, violation.at).into_iter().max_by_key(|sample| sample.late_by)
    }

    /// Whether a gateway has counted a break of its own about this violation's request.
    pub fn is_counted(&self, violation: &Violation) -> bool {
        self.reported_violations.iter().any(|line| contains_word(line, &violation.request))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} requests, {} faults, statuses {:?}, {} violations, {} told by the gateways",
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
                "  {} restarts, {planned} planned, {series} with further signals, ready within {slowest:?}; kept \
                 connections {:?}",
                self.restarts.len(),
                self.sessions
            )?;
        }
        writeln!(f, "  the run itself: {}", self.lateness)?;
        if self.passed() {
            return Ok(());
        }
        self.restarts.iter().try_for_each(|restart| writeln!(f, "  restart: {restart:?}"))?;
        self.faults.iter().try_for_each(|fault| writeln!(f, "  drawn: {fault}"))?;
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
        self.reported_violations.iter().try_for_each(|line| writeln!(f, "  told: {line}"))
    }
}

/// What is known of a violation: the records of its request and of the gateways' ends, what the gateways' logs say of the
/// request, of its client's connection and around that time, and how late the run was then.
pub fn collect_evidence(
    violation: &Violation, records: &[Record], deployment: &Deployment, lateness: &Lateness,
) -> Vec<String> {
    // The ends of gateways are about no request.
    let concerns = |request: &str| request == violation.request || request.is_empty();
    let of_request = records.iter().filter(|record| concerns(record.event.request()));
    let record_lines = of_request.map(|record| serde_json::to_string(record).unwrap_or_default());
    let begun_at = records.iter().find(|record| record.event.request() == violation.request);
    let log_from = violation.at.saturating_sub(LOG_WINDOW.as_micros() as Micros);
    let from = begun_at.map_or(log_from, |record| record.at.min(log_from));
    let lateness_lines =
        lateness.between(from, violation.at).into_iter().map(|sample| format!("the run itself: {sample}"));
    record_lines
        .chain(deployment.log_lines(&violation.request))
        .chain(connection_log(&violation.request, records, deployment))
        .chain(deployment.log_between(log_from, violation.at))
        .chain(lateness_lines)
        .collect()
}

/// What the gateways' logs say of the connection on which a client wrote this request.
fn connection_log(request: &str, records: &[Record], deployment: &Deployment) -> Vec<String> {
    let client = records.iter().find_map(|record| match &record.event {
        Event::RequestBegun { request: begun, client, .. } if begun == request => Some(client.to_string()),
        _ => None,
    });
    let Some(client) = client else { return Vec::new() };
    deployment.log_lines(&client).into_iter().filter(|line| contains_word(line, &client)).collect()
}

/// Whether a line has this name as a whole word; both `25f1-e` and `127.0.0.1:400` begin longer names.
fn contains_word(line: &str, word: &str) -> bool {
    let is_word_character = |character: char| character.is_ascii_alphanumeric() || character == '-';
    line.match_indices(word).any(|(at, _)| {
        let before = line[..at].chars().next_back();
        let after = line[at + word.len()..].chars().next();
        !before.is_some_and(is_word_character) && !after.is_some_and(is_word_character)
    })
}
