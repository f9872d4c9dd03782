//! The rules of the platform as invariants over the records of a trial.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::clock::{Micros, MILLISECOND};
use crate::process_ends::{GatewayLives, LifeEnd};
use crate::record::{Event, Record, Stage};

/// The platform allows what is held so much more than the settings do.
const HELD_SLACK: Micros = 350 * MILLISECOND;
/// A deadline told to an engine may be so much above what is left to the client (s).
const DEADLINE_SLACK: f64 = 0.15;
/// A client's leaving counts after so long.
const LEFT_SLACK: Micros = 100 * MILLISECOND;
/// A final answer may be so late.
const ANSWER_SLACK: Micros = 500 * MILLISECOND;
/// The end of a connection is seen on a link so much later than the first byte on the next may be.
const CLOSE_SLACK: Micros = 100 * MILLISECOND;
/// An engine's end of its work is recorded so much later than the end of its connection, at most.
const END_SLACK: Micros = 10 * MILLISECOND;
/// A connection on which a request has begun is not closed for another client's within this time.
const BEGUN_REQUEST_TIME: Micros = 120 * MILLISECOND;
/// Answers that say that trying again is harmless.
const REFUSALS: [u16; 2] = [429, 503];

/// What has to hold for each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// While no attempt has arrived and is out, what is held is taken or let go in time.
    LeaseEndsInTime,
    /// No two attempts are out at once.
    OneAttempt,
    /// No attempt begins once its client has left.
    NotAfterClientLeft,
    /// An engine is told at most the time that is left to the client.
    DeadlineAnnounced,
    /// A request that was read gets its answer, in time.
    Answered,
    /// What must not be repeated has its effect at most once.
    AtMostOnce,
    /// What is refused, so called harmless to send again, has had no effect, and no attempt of it, reads too, still runs.
    RejectionIsTrue,
}

/// An invariant that did not hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub invariant: Invariant,
    pub request: String,
    pub at: Micros,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: request {} at {} us: {}", self.invariant, self.request, self.at, self.what)
    }
}

/// Judges all requests of a trial that ended at `end`, with this limit for what is held.
pub fn judge(records: &[Record], pin_limit: Duration, end: Micros) -> Vec<Violation> {
    let mut by_request: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in records {
        by_request.entry(record.event.request()).or_default().push(record);
    }
    let limit = pin_limit.as_micros() as Micros + HELD_SLACK;
    let lives = GatewayLives::of(records);
    // What concerns a gateway has no request.
    by_request.remove("");
    let mut violations = Vec::new();
    for (request, records) in by_request {
        let case = RequestHistory { request, records, end, lives: &lives };
        violations.extend(case.lease_ends_in_time(limit));
        violations.extend(case.one_attempt());
        violations.extend(case.not_after_client_left());
        violations.extend(case.deadline_announced());
        violations.extend(case.answered());
        violations.extend(case.not_taken_is_true());
        violations.extend(case.begun_request_has_its_time());
        violations.extend(case.at_most_once());
    }
    violations.sort_by_key(|violation| violation.at);
    violations
}

/// The records of one request.
struct RequestHistory<'a> {
    request: &'a str,
    records: Vec<&'a Record>,
    end: Micros,
    lives: &'a GatewayLives,
}

/// An attempt as its link saw it.
#[derive(Clone, Copy, Debug)]
struct Attempt<'a> {
    link: &'a str,
    connection: u64,
    began: Micros,
    /// When its answer began to come, or its connection was closed.
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
    fn violation(&self, invariant: Invariant, at: Micros, what: String) -> Violation {
        Violation { invariant, request: self.request.to_string(), at, what }
    }

    fn sent(&self) -> Option<(Micros, f64, bool)> {
        self.records.iter().find_map(|record| match record.event {
            Event::Sent { deadline, repeatable, .. } => Some((record.at, deadline, repeatable)),
            _ => None,
        })
    }

    /// The end of the gateway process that got the request, if it has ended.
    fn life_end(&self) -> Option<LifeEnd> {
        self.lives.end_for(&self.records)
    }

    /// Until when somebody can have let go of what is held: a gateway that was killed lets go of nothing.
    fn released_until(&self) -> Micros {
        let killed_at = self.life_end().and_then(|end| end.killed_at());
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

    /// When each attempt arrived at a running engine, and when it ceased to be out.
    fn deliveries(&self) -> Vec<(Micros, Micros)> {
        let mut attempts = self.attempts();
        let mut arrived = Vec::new();
        for record in self.records.iter().filter(|r| matches!(r.event, Event::Delivered { .. })) {
            let here = |a: &Attempt| a.engine() == record.source && a.began <= record.at;
            let Some(at) = attempts.iter().position(here) else { continue };
            let attempt = attempts.remove(at);
            arrived.push((record.at, attempt.ended.unwrap_or(Micros::MAX)));
        }
        arrived
    }

    fn lease_ends_in_time(&self, limit: Micros) -> Option<Violation> {
        let arrived = self.deliveries();
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
            if let Some(late) = self.too_long_unclaimed(&arrived, from, end.min(self.released_until()), limit)
            {
                return Some(late);
            }
        }
        self.too_long_unclaimed(&arrived, since?, self.released_until(), limit)
    }

    /// The longest time between these two moments in which nothing was out, where that is too long.
    fn too_long_unclaimed(
        &self, arrived: &[(Micros, Micros)], from: Micros, until: Micros, limit: Micros,
    ) -> Option<Violation> {
        let mut out: Vec<(Micros, Micros)> =
            arrived.iter().copied().filter(|o| o.1 > from && o.0 < until).collect();
        out.sort_unstable();
        out.push((until, until));
        let mut free = from;
        for (begins, ends) in out {
            let waited = begins.saturating_sub(free);
            if waited > limit {
                let what = format!("held for {} ms with no attempt out", waited / MILLISECOND);
                return Some(self.violation(Invariant::LeaseEndsInTime, free + limit, what));
            }
            free = free.max(ends);
        }
        None
    }

    fn one_attempt(&self) -> Option<Violation> {
        let attempts = self.attempts();
        attempts.windows(2).find_map(|pair| {
            let ended = pair[0].ended.unwrap_or(self.end);
            let what = || format!("begun on {} while one is open on {}", pair[1].link, pair[0].link);
            (ended > pair[1].began + CLOSE_SLACK)
                .then(|| self.violation(Invariant::OneAttempt, pair[1].began, what()))
        })
    }

    fn not_after_client_left(&self) -> Option<Violation> {
        let left = self.records.iter().find(|r| matches!(r.event, Event::ClientDisconnected { .. }))?.at;
        let late = self.attempts().into_iter().find(|a| a.began > left + LEFT_SLACK)?;
        let what = format!("begun on {} {} ms after", late.link, (late.began - left) / MILLISECOND);
        Some(self.violation(Invariant::NotAfterClientLeft, late.began, what))
    }

    fn deadline_announced(&self) -> Option<Violation> {
        let (sent, deadline, _) = self.sent()?;
        self.records.iter().find_map(|record| {
            let Event::Written { announced_deadline: Some(told), .. } = record.event else { return None };
            let left = deadline - (record.at.saturating_sub(sent)) as f64 / 1e6;
            let what = || format!("told {told:.3} s on {}, left are {left:.3} s", record.source);
            (told > left + DEADLINE_SLACK)
                .then(|| self.violation(Invariant::DeadlineAnnounced, record.at, what()))
        })
    }

    fn answered(&self) -> Option<Violation> {
        let (sent, deadline, _) = self.sent()?;
        let due = sent + (deadline * 1e6) as Micros + ANSWER_SLACK;
        // What its process has left unanswered stays so.
        let seen_by = self.life_end().map_or(due, |life| due.min(life.ended_at + ANSWER_SLACK));
        let end = self.records.iter().find(|r| {
            matches!(
                r.event,
                Event::Answered { .. }
                    | Event::ClientDisconnected { .. }
                    | Event::Unanswered { .. }
                    | Event::NotTaken { .. }
            )
        });
        // What was written behind another request came before it counts as sent.
        let is_pipelined = self.records.iter().any(|r| matches!(r.event, Event::Pipelined { .. }));
        let excused = |seen| {
            let life_end = self.life_end();
            life_end.is_some_and(|life| life.excuses(sent, seen) || life.killed && is_pipelined)
        };
        match end.map(|record| (&record.event, record.at)) {
            Some((Event::Unanswered { .. }, at)) if !excused(at) => {
                Some(self.violation(Invariant::Answered, at, "its connection was closed unanswered".into()))
            }
            Some((Event::Answered { status: 200, complete: false, .. }, at))
                if self.is_cut_by_kill(at) && !excused(at) =>
            {
                Some(self.violation(Invariant::Answered, at, "taken late, and cut off by the kill".into()))
            }
            Some((Event::Answered { status, .. }, at)) if *status != 200 && at > due => {
                Some(self.violation(Invariant::Answered, at, format!("{status} too late")))
            }
            None if self.end > seen_by && !excused(seen_by) => {
                Some(self.violation(Invariant::Answered, seen_by, "no answer in time".into()))
            }
            _ => None,
        }
    }

    /// What a gateway leaves unread it cannot have forwarded.
    fn not_taken_is_true(&self) -> Option<Violation> {
        let not_taken = self.records.iter().find(|r| matches!(r.event, Event::NotTaken { .. }))?;
        let forwarded = self
            .attempts()
            .into_iter()
            .find(|attempt| attempt.gateway() == not_taken.source && attempt.began < not_taken.at)?;
        let what =
            format!("its connection was closed as if it were unread, and it had begun on {}", forwarded.link);
        Some(self.violation(Invariant::Answered, not_taken.at, what))
    }

    /// Whether the gateway was killed about when its client saw this.
    fn is_cut_by_kill(&self, seen: Micros) -> bool {
        self.life_end().is_some_and(|end| end.is_by_kill(seen, CLOSE_SLACK))
    }

    /// A connection on which a request has begun is not ended over what was read of it before its time, unless its process ends.
    fn begun_request_has_its_time(&self) -> Option<Violation> {
        let at =
            |fits: fn(&Event) -> bool| self.records.iter().find(|record| fits(&record.event)).map(|r| r.at);
        let began = at(|event| matches!(event, Event::RequestBegun { .. }))?;
        let ended = at(|event| matches!(event, Event::EndedInPart { .. }))?;
        let process_ends = self.life_end().is_some_and(|life| life.ends_by(ended));
        if ended >= began + BEGUN_REQUEST_TIME || process_ends {
            return None;
        }
        let what = format!("closed {} us after its first byte, with some of it read", ended - began);
        Some(self.violation(Invariant::Answered, ended, what))
    }

    fn at_most_once(&self) -> Option<Violation> {
        let (_, _, repeatable) = self.sent()?;
        let runs: Vec<&&Record> =
            self.records.iter().filter(|r| matches!(r.event, Event::StateClaimed { .. })).collect();
        if repeatable {
            return None;
        }
        if let Some(second) = runs.get(1) {
            let what = format!("run again at {}", second.source);
            return Some(self.violation(Invariant::AtMostOnce, second.at, what));
        }
        let refused = self.records.iter().find(|r| match r.event {
            Event::Answered { status, .. } => REFUSALS.contains(&status),
            _ => false,
        })?;
        let what = match runs.first() {
            Some(run) => format!("refused, and run at {}", run.source),
            None => format!("refused, and still at {}", self.server_at_work_after(refused.at + END_SLACK)?),
        };
        Some(self.violation(Invariant::RejectionIsTrue, refused.at, what))
    }

    /// An engine that worked on an attempt then, or began to later.
    fn server_at_work_after(&self, at: Micros) -> Option<&'a str> {
        let delivered = self.records.iter().filter(|record| matches!(record.event, Event::Delivered { .. }));
        let still_runs = |begun: &&&'a Record| {
            let is_end = |record: &&&'a Record| {
                let ends = matches!(record.event, Event::Ended { .. });
                ends && record.source == begun.source && record.at >= begun.at
            };
            self.records.iter().find(is_end).is_none_or(|end| end.at > at)
        };
        delivered.into_iter().find(still_runs).map(|record| record.source.as_str())
    }
}

/// How many attempts of a stage engines took for a request.
pub fn attempts_delivered(records: &[Record], request: &str, stage: Stage) -> usize {
    let fits = |record: &&Record| {
        record.event.request() == request
            && matches!(record.event, Event::Delivered { stage: of, .. } if of == stage)
    };
    records.iter().filter(fits).count()
}
