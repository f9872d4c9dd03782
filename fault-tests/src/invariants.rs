//! The platform's rules as invariants, checked over the records of a run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::clock::{Micros, MILLISECOND};
use crate::process_ends::{ProcessEnd, ProcessEnds};
use crate::record::{Event, Record, Stage};

/// Time that the platform allows a leased state beyond the lease limit in the settings.
const LEASE_SLACK: Micros = 350 * MILLISECOND;
/// Tolerance of a deadline announced to an engine over the client's remaining time, in seconds.
const DEADLINE_SLACK_S: f64 = 0.15;
/// Time after a client's disconnection within which an attempt may still begin.
const DISCONNECT_SLACK: Micros = 100 * MILLISECOND;
/// Tolerance of a response over the deadline.
const ANSWER_SLACK: Micros = 500 * MILLISECOND;
/// Maximum delay with which a link observes the end of a connection, relative to the first byte of the next attempt.
const CLOSE_SLACK: Micros = 100 * MILLISECOND;
/// Maximum delay between the end of a connection and the record of the end of the engine's work on it.
const WORK_END_SLACK: Micros = 10 * MILLISECOND;
/// Time after the first byte of a request within which its connection is not closed in favor of another client's.
const BEGUN_REQUEST_GRACE: Micros = 120 * MILLISECOND;
/// Statuses of responses that declare a retry to be safe.
const REJECTION_STATUSES: [u16; 2] = [429, 503];

/// Property that has to hold for each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A leased state is claimed or released in time, not counting periods with a delivered attempt in flight.
    LeaseEndsInTime,
    /// No two attempts are in flight at the same time.
    OneAttempt,
    /// No attempt begins after its client has disconnected.
    NotAfterClientLeft,
    /// The deadline announced to an engine is at most the client's remaining time.
    DeadlineAnnounced,
    /// A request that the gateway has read is answered in time.
    Answered,
    /// A non-repeatable request is executed at most once.
    AtMostOnce,
    /// A rejected non-repeatable request, which may be sent again, was not executed and has no attempt in progress, prefills
    /// included.
    RejectionIsTrue,
}

/// Breach of an invariant by a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub invariant: Invariant,
    pub request: String,
    pub at: Micros,
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: request {} at {} us: {}", self.invariant, self.request, self.at, self.detail)
    }
}

/// Returns the violations in the records of a run that ended at `end` with this lease limit, sorted by time.
pub fn check_invariants(records: &[Record], lease_limit: Duration, end: Micros) -> Vec<Violation> {
    let mut by_request: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in records {
        by_request.entry(record.event.request()).or_default().push(record);
    }
    let limit = lease_limit.as_micros() as Micros + LEASE_SLACK;
    let process_ends = ProcessEnds::of(records);
    // Events of gateways have an empty request.
    by_request.remove("");
    let mut violations = Vec::new();
    for (request, records) in by_request {
        let history = RequestHistory { request, records, end, process_ends: &process_ends };
        violations.extend(history.lease_ends_in_time(limit));
        violations.extend(history.one_attempt());
        violations.extend(history.not_after_client_left());
        violations.extend(history.deadline_announced());
        violations.extend(history.answered_in_time());
        violations.extend(history.closed_unread_is_accurate());
        violations.extend(history.begun_request_is_not_cut_early());
        violations.extend(history.at_most_once());
    }
    violations.sort_by_key(|violation| violation.at);
    violations
}

/// Records of one request, with the end of the run and the ends of the gateways' processes.
struct RequestHistory<'a> {
    request: &'a str,
    records: Vec<&'a Record>,
    end: Micros,
    process_ends: &'a ProcessEnds,
}

/// Attempt as recorded by its link.
#[derive(Clone, Copy, Debug)]
struct Attempt<'a> {
    link: &'a str,
    connection: u64,
    began: Micros,
    /// When its response began, or its connection was closed; `None` if neither was recorded.
    ended: Option<Micros>,
}

impl Attempt<'_> {
    fn gateway(&self) -> &str {
        self.link.rsplit_once('-').map_or(self.link, |(gateway, _)| gateway)
    }

    fn engine(&self) -> &str {
        self.link.rsplit_once('-').map_or(self.link, |(_, engine)| engine)
    }
}

impl<'a> RequestHistory<'a> {
    fn violation(&self, invariant: Invariant, at: Micros, detail: String) -> Violation {
        Violation { invariant, request: self.request.to_string(), at, detail }
    }

    fn sent(&self) -> Option<(Micros, f64, bool)> {
        self.records.iter().find_map(|record| match record.event {
            Event::Sent { deadline, repeatable, .. } => Some((record.at, deadline, repeatable)),
            _ => None,
        })
    }

    /// Returns the end of the gateway process that received the request, if it has ended.
    fn process_end(&self) -> Option<ProcessEnd> {
        self.process_ends.end_for_request(&self.records)
    }

    /// Returns the time until which the state can have been released: a killed gateway releases nothing.
    fn release_possible_until(&self) -> Micros {
        let killed_at = self.process_end().and_then(|end| end.killed_at());
        killed_at.map_or(self.end, |killed_at| killed_at.min(self.end))
    }

    fn attempts(&self) -> Vec<Attempt<'a>> {
        let mut attempts: Vec<Attempt> = Vec::new();
        for record in &self.records {
            match record.event {
                Event::FirstByte { connection, .. } => {
                    attempts.push(Attempt {
                        link: &record.source,
                        connection,
                        began: record.at,
                        ended: None,
                    });
                }
                Event::Replied { connection, .. } | Event::Closed { connection, .. } => {
                    let same = |a: &&mut Attempt| a.link == record.source && a.connection == connection;
                    if let Some(attempt) = attempts.iter_mut().rfind(same) {
                        attempt.ended.get_or_insert(record.at);
                    }
                }
                _ => {}
            }
        }
        attempts
    }

    /// Returns for each delivered attempt when it arrived at a running engine, and when it was no longer in flight.
    fn deliveries(&self) -> Vec<(Micros, Micros)> {
        let mut attempts = self.attempts();
        let mut delivery_periods = Vec::new();
        for record in self.records.iter().filter(|r| matches!(r.event, Event::Delivered { .. })) {
            let matches_delivery = |a: &Attempt| a.engine() == record.source && a.began <= record.at;
            let Some(at) = attempts.iter().position(matches_delivery) else { continue };
            let attempt = attempts.remove(at);
            delivery_periods.push((record.at, attempt.ended.unwrap_or(Micros::MAX)));
        }
        delivery_periods
    }

    fn lease_ends_in_time(&self, limit: Micros) -> Option<Violation> {
        let delivery_periods = self.deliveries();
        let mut since: Option<Micros> = None;
        for record in &self.records {
            let end = match record.event {
                Event::StateLeased { .. } if since.is_none() => {
                    since = Some(record.at);
                    continue;
                }
                Event::StateClaimed { .. } | Event::Released { .. } | Event::StateLost { .. } => record.at,
                _ => continue,
            };
            let Some(from) = since.take() else { continue };
            if let Some(late) = self.too_long_unclaimed(
                &delivery_periods,
                from,
                end.min(self.release_possible_until()),
                limit,
            ) {
                return Some(late);
            }
        }
        self.too_long_unclaimed(&delivery_periods, since?, self.release_possible_until(), limit)
    }

    /// Returns a violation if no attempt was in flight for longer than `limit` at a time from `from` until `until`.
    fn too_long_unclaimed(
        &self, delivery_periods: &[(Micros, Micros)], from: Micros, until: Micros, limit: Micros,
    ) -> Option<Violation> {
        let mut in_flight: Vec<(Micros, Micros)> =
            delivery_periods.iter().copied().filter(|o| o.1 > from && o.0 < until).collect();
        in_flight.sort_unstable();
        in_flight.push((until, until));
        let mut idle_since = from;
        for (begins, ends) in in_flight {
            let unclaimed = begins.saturating_sub(idle_since);
            if unclaimed > limit {
                let detail =
                    format!("state leased for {} ms with no attempt in flight", unclaimed / MILLISECOND);
                return Some(self.violation(Invariant::LeaseEndsInTime, idle_since + limit, detail));
            }
            idle_since = idle_since.max(ends);
        }
        None
    }

    fn one_attempt(&self) -> Option<Violation> {
        let attempts = self.attempts();
        attempts.windows(2).find_map(|pair| {
            let ended = pair[0].ended.unwrap_or(self.end);
            let detail =
                || format!("attempt begun on {} while another is open on {}", pair[1].link, pair[0].link);
            (ended > pair[1].began + CLOSE_SLACK)
                .then(|| self.violation(Invariant::OneAttempt, pair[1].began, detail()))
        })
    }

    fn not_after_client_left(&self) -> Option<Violation> {
        let disconnected_at =
            self.records.iter().find(|r| matches!(r.event, Event::ClientDisconnected { .. }))?.at;
        let late = self.attempts().into_iter().find(|a| a.began > disconnected_at + DISCONNECT_SLACK)?;
        let detail = format!(
            "attempt begun on {} {} ms after the client disconnected",
            late.link,
            (late.began - disconnected_at) / MILLISECOND
        );
        Some(self.violation(Invariant::NotAfterClientLeft, late.began, detail))
    }

    fn deadline_announced(&self) -> Option<Violation> {
        let (sent, deadline, _) = self.sent()?;
        self.records.iter().find_map(|record| {
            let Event::Written { announced_deadline: Some(stated), .. } = record.event else { return None };
            let remaining = deadline - (record.at.saturating_sub(sent)) as f64 / 1e6;
            let detail =
                || format!("announced {stated:.3} s on {} with {remaining:.3} s remaining", record.source);
            (stated > remaining + DEADLINE_SLACK_S)
                .then(|| self.violation(Invariant::DeadlineAnnounced, record.at, detail()))
        })
    }

    fn answered_in_time(&self) -> Option<Violation> {
        let (sent, deadline, _) = self.sent()?;
        let due = sent + (deadline * 1e6) as Micros + ANSWER_SLACK;
        // A request that is unanswered when its process ends stays unanswered.
        let expected_by = self.process_end().map_or(due, |process| due.min(process.ended_at + ANSWER_SLACK));
        let end = self.records.iter().find(|r| {
            matches!(
                r.event,
                Event::Answered { .. }
                    | Event::ClientDisconnected { .. }
                    | Event::Unanswered { .. }
                    | Event::ClosedUnread { .. }
            )
        });
        // A pipelined request was written before the time at which it counts as sent.
        let is_pipelined = self.records.iter().any(|r| matches!(r.event, Event::Pipelined { .. }));
        let lost_to_kill = |seen_at| {
            let process_end = self.process_end();
            process_end.is_some_and(|process| {
                process.is_lost_to_kill(sent, seen_at) || process.killed && is_pipelined
            })
        };
        match end.map(|record| (&record.event, record.at)) {
            Some((Event::Unanswered { .. }, at)) if !lost_to_kill(at) => {
                Some(self.violation(Invariant::Answered, at, "connection closed without a response".into()))
            }
            Some((Event::Answered { status: 200, complete: false, .. }, at))
                if self.is_cut_by_kill(at) && !lost_to_kill(at) =>
            {
                Some(self.violation(Invariant::Answered, at, "accepted late and cut off by the kill".into()))
            }
            Some((Event::Answered { status, .. }, at)) if *status != 200 && at > due => {
                Some(self.violation(Invariant::Answered, at, format!("{status} too late")))
            }
            None if self.end > expected_by && !lost_to_kill(expected_by) => {
                Some(self.violation(Invariant::Answered, expected_by, "no answer in time".into()))
            }
            _ => None,
        }
    }

    /// A gateway cannot have forwarded a request that it has not read.
    fn closed_unread_is_accurate(&self) -> Option<Violation> {
        let closed_unread = self.records.iter().find(|r| matches!(r.event, Event::ClosedUnread { .. }))?;
        let forwarded = self
            .attempts()
            .into_iter()
            .find(|attempt| attempt.gateway() == closed_unread.source && attempt.began < closed_unread.at)?;
        let detail = format!(
            "connection closed with the request unread, but an attempt had begun on {}",
            forwarded.link
        );
        Some(self.violation(Invariant::Answered, closed_unread.at, detail))
    }

    /// Returns whether the kill of the gateway caused what its client observed at `seen_at`.
    fn is_cut_by_kill(&self, seen_at: Micros) -> bool {
        self.process_end().is_some_and(|end| end.is_caused_by_kill(seen_at, CLOSE_SLACK))
    }

    /// The connection of a partly read request is not closed before the grace period has passed, unless its process is ending.
    fn begun_request_is_not_cut_early(&self) -> Option<Violation> {
        let first_time_of = |predicate: fn(&Event) -> bool| {
            self.records.iter().find(|record| predicate(&record.event)).map(|r| r.at)
        };
        let began = first_time_of(|event| matches!(event, Event::RequestBegun { .. }))?;
        let ended = first_time_of(|event| matches!(event, Event::ClosedPartlyRead { .. }))?;
        let process_was_ending = self.process_end().is_some_and(|process| process.is_ending_by(ended));
        if ended >= began + BEGUN_REQUEST_GRACE || process_was_ending {
            return None;
        }
        let detail = format!(
            "connection closed {} us after the first byte of the request, which was partly read",
            ended - began
        );
        Some(self.violation(Invariant::Answered, ended, detail))
    }

    fn at_most_once(&self) -> Option<Violation> {
        let (_, _, repeatable) = self.sent()?;
        let claims: Vec<&&Record> =
            self.records.iter().filter(|r| matches!(r.event, Event::StateClaimed { .. })).collect();
        if repeatable {
            return None;
        }
        if let Some(second) = claims.get(1) {
            let detail = format!("executed again at {}", second.source);
            return Some(self.violation(Invariant::AtMostOnce, second.at, detail));
        }
        let rejected = self.records.iter().find(|r| match r.event {
            Event::Answered { status, .. } => REJECTION_STATUSES.contains(&status),
            _ => false,
        })?;
        let detail = match claims.first() {
            Some(claim) => format!("rejected, but executed at {}", claim.source),
            None => {
                format!(
                    "rejected, but still in progress at {}",
                    self.server_at_work_after(rejected.at + WORK_END_SLACK)?
                )
            }
        };
        Some(self.violation(Invariant::RejectionIsTrue, rejected.at, detail))
    }

    /// Returns an engine that was working on an attempt after `at`, or began to later.
    fn server_at_work_after(&self, at: Micros) -> Option<&'a str> {
        let delivered = self.records.iter().filter(|record| matches!(record.event, Event::Delivered { .. }));
        let still_runs = |delivery: &&&'a Record| {
            let is_end = |record: &&&'a Record| {
                let ends = matches!(record.event, Event::Ended { .. });
                ends && record.source == delivery.source && record.at >= delivery.at
            };
            self.records.iter().find(is_end).is_none_or(|end| end.at > at)
        };
        delivered.into_iter().find(still_runs).map(|record| record.source.as_str())
    }
}

/// Returns the number of attempts of a stage that engines received for a request.
pub fn attempts_delivered(records: &[Record], request: &str, stage: Stage) -> usize {
    let is_delivery = |record: &&Record| {
        record.event.request() == request
            && matches!(record.event, Event::Delivered { stage: delivered_stage, .. } if delivered_stage == stage)
    };
    records.iter().filter(is_delivery).count()
}
