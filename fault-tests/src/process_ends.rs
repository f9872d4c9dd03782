//! Ends of each gateway's processes, derived from the records: when a process was sent SIGTERM, and how it ended.

use std::collections::BTreeMap;

use crate::clock::{Micros, MILLISECOND};
use crate::record::{Event, Record};

/// A request that was sent later than this after SIGTERM is not excused if the kill finds it unanswered.
const LATE_REQUEST_AFTER: Micros = 700 * MILLISECOND;
/// Maximum delay between the effect of a kill at clients and the record of the process's end, where only the end of the kill
/// was recorded.
const KILL_RECORD_SLACK: Micros = 300 * MILLISECOND;

/// Maximum time after the end of a killed process at which a client records a connection to it. No new process listens
/// sooner.
const CONNECT_AFTER_KILL_SLACK: Micros = 10 * MILLISECOND;

/// End of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEnd {
    /// When it was first sent SIGTERM; `None` if it was not.
    pub terminated_at: Option<Micros>,
    /// When its exit had been waited for.
    pub ended_at: Micros,
    /// Whether it was killed; otherwise it exited.
    pub killed: bool,
    /// When the kill was about to be sent; `None` if that was not recorded.
    kill_requested_at: Option<Micros>,
}

/// Ends of all gateways' processes, in chronological order by gateway.
#[derive(Clone, Debug, Default)]
pub struct ProcessEnds(BTreeMap<String, Vec<ProcessEnd>>);

impl ProcessEnds {
    /// Collects the ends from records that are sorted by time.
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

    /// Returns the end of the process that received a request, given all records of the request, if that process has ended. It
    /// is the process to which the client connected, independently of when the request was written.
    pub fn end_for_request(&self, request: &[&Record]) -> Option<ProcessEnd> {
        let connected = request.iter().find_map(|record| match record.event {
            Event::RequestBegun { connected_at, .. } => Some((&record.source, connected_at)),
            _ => None,
        });
        let sent = || request.iter().find(|record| matches!(record.event, Event::Sent { .. }));
        let (gateway, at) = connected.or_else(|| sent().map(|record| (&record.source, record.at)))?;
        self.end_after(gateway, at)
    }

    /// Returns the end of the process that ran at this time, if it has ended.
    fn end_after(&self, gateway: &str, at: Micros) -> Option<ProcessEnd> {
        let ends_after = |end: &ProcessEnd| {
            let slack = if end.killed { CONNECT_AFTER_KILL_SLACK } else { 0 };
            end.ended_at + slack >= at
        };
        self.0.get(gateway)?.iter().copied().find(ends_after)
    }
}

impl ProcessEnd {
    /// Returns when the process was killed, if it was.
    pub fn killed_at(&self) -> Option<Micros> {
        self.killed.then_some(self.kill_requested_at.unwrap_or(self.ended_at))
    }

    /// Returns whether the kill caused what a client observed at `seen_at`. If only the end of the kill was recorded, that
    /// record may be up to `record_slack` later than the observation.
    pub fn is_caused_by_kill(&self, seen_at: Micros, record_slack: Micros) -> bool {
        let is_after_kill = match self.kill_requested_at {
            Some(kill_requested_at) => seen_at >= kill_requested_at,
            None => seen_at + record_slack >= self.ended_at,
        };
        self.killed && is_after_kill
    }

    /// Returns whether the process had been sent SIGTERM, or was being killed or had ended, at this time.
    pub fn is_ending_by(&self, at: Micros) -> bool {
        let end_times = [self.terminated_at, self.kill_requested_at, Some(self.ended_at)];
        end_times.into_iter().flatten().any(|time| time <= at)
    }

    /// Returns whether the kill alone, and not the gateway, lost a request that was sent at `sent_at` and whose client observed
    /// the loss at `seen_at`: the kill was unplanned, or the request was not sent late after SIGTERM.
    pub fn is_lost_to_kill(&self, sent_at: Micros, seen_at: Micros) -> bool {
        let caused_by_kill = self.is_caused_by_kill(seen_at, KILL_RECORD_SLACK);
        let is_late_request =
            self.terminated_at.is_some_and(|terminated| sent_at > terminated + LATE_REQUEST_AFTER);
        caused_by_kill && !is_late_request
    }
}
