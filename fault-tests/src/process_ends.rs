//! The lives of each gateway's processes, from the records: when one was told to end, and how it ended.

use std::collections::BTreeMap;

use crate::clock::{Micros, MILLISECOND};
use crate::record::{Event, Record};

/// What the kill finds unanswered is lost if it came later than this after SIGTERM.
const LATE_REQUEST_AFTER: Micros = 700 * MILLISECOND;
/// Where the kill's beginning was not noted: its end may be noted so much later than clients have seen it.
const KILL_RECORD_SLACK: Micros = 300 * MILLISECOND;

/// A connection to a process that has been killed is noted for so long at most. No new process listens sooner.
const CONNECT_AFTER_KILL_SLACK: Micros = 10 * MILLISECOND;

/// The end of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEnd {
    /// When it was first told to end, if it was.
    pub terminated_at: Option<Micros>,
    /// When it had been waited for.
    pub ended_at: Micros,
    /// Whether it was killed; else it ended by itself.
    pub killed: bool,
    /// When the kill was about to be sent, if that was noted.
    kill_requested_at: Option<Micros>,
}

/// The ends of all gateways' processes, by name, in order.
#[derive(Clone, Debug, Default)]
pub struct ProcessEnds(BTreeMap<String, Vec<ProcessEnd>>);

impl ProcessEnds {
    /// Reads them from records in the order of their times.
    pub fn of(records: &[Record]) -> ProcessEnds {
        let mut process_ends = ProcessEnds::default();
        let mut terminated: BTreeMap<&str, Micros> = BTreeMap::new();
        let mut kills: BTreeMap<&str, Micros> = BTreeMap::new();
        for record in records {
            match record.event {
                Event::GatewayTerminated => {
                    terminated.entry(&record.source).or_insert(record.at);
                }
                Event::GatewayKilled => {
                    kills.insert(&record.source, record.at);
                }
                Event::GatewayEnded { killed } => {
                    let terminated_at = terminated.remove(record.source.as_str());
                    let kill_requested_at = kills.remove(record.source.as_str());
                    let end = ProcessEnd { terminated_at, ended_at: record.at, killed, kill_requested_at };
                    process_ends.0.entry(record.source.clone()).or_default().push(end);
                }
                _ => {}
            }
        }
        process_ends
    }

    /// The end of the process that got a request, by all records of it, if that process has ended: the one to which the
    /// client's connection was made, whenever the request was written on it.
    pub fn end_for_request(&self, request: &[&Record]) -> Option<ProcessEnd> {
        let connected = request.iter().find_map(|record| match record.event {
            Event::RequestBegun { connected_at, .. } => Some((&record.source, connected_at)),
            _ => None,
        });
        let sent = || request.iter().find(|record| matches!(record.event, Event::Sent { .. }));
        let (gateway, at) = connected.or_else(|| sent().map(|record| (&record.source, record.at)))?;
        self.end_after(gateway, at)
    }

    /// The end of the process that got what a client did at this time, if it has ended.
    fn end_after(&self, gateway: &str, at: Micros) -> Option<ProcessEnd> {
        let ends_after = |end: &ProcessEnd| {
            let slack = if end.killed { CONNECT_AFTER_KILL_SLACK } else { 0 };
            end.ended_at + slack >= at
        };
        self.0.get(gateway)?.iter().copied().find(ends_after)
    }
}

impl ProcessEnd {
    /// When the process was killed, if it was.
    pub fn killed_at(&self) -> Option<Micros> {
        self.killed.then_some(self.kill_requested_at.unwrap_or(self.ended_at))
    }

    /// Whether what a client saw then came from the kill. Where the kill's beginning was not noted, its end may be noted so much
    /// later than clients have seen it.
    pub fn is_caused_by_kill(&self, seen_at: Micros, record_slack: Micros) -> bool {
        let is_after_kill = match self.kill_requested_at {
            Some(kill_requested_at) => seen_at >= kill_requested_at,
            None => seen_at + record_slack >= self.ended_at,
        };
        self.killed && is_after_kill
    }

    /// Whether the process had been told to end, or had ended, by then.
    pub fn is_ending_by(&self, at: Micros) -> bool {
        let end_times = [self.terminated_at, self.kill_requested_at, Some(self.ended_at)];
        end_times.into_iter().flatten().any(|time| time <= at)
    }

    /// Whether a request that was sent then and found no answer by the kill, which its client saw at `seen`, is lost by the
    /// kill alone and not by the gateway: it came before a planned one, or nobody had planned it.
    pub fn is_lost_to_kill(&self, sent_at: Micros, seen_at: Micros) -> bool {
        let caused_by_kill = self.is_caused_by_kill(seen_at, KILL_RECORD_SLACK);
        let is_late_request =
            self.terminated_at.is_some_and(|terminated| sent_at > terminated + LATE_REQUEST_AFTER);
        caused_by_kill && !is_late_request
    }
}
