//! The lives of each gateway's processes, from the records: when one was told to end, and how it ended.

use std::collections::BTreeMap;

use crate::clock::{Micros, MILLISECOND};
use crate::record::{Event, Record};

/// What the kill finds unanswered is lost if it came later than this after SIGTERM.
const TAKEN_LATE_AFTER: Micros = 700 * MILLISECOND;
/// Where the kill's beginning was not noted: its end may be noted so much later than clients have seen it.
const SEEN_WITHIN: Micros = 300 * MILLISECOND;

/// A connection to a process that has been killed is noted for so long at most. No new process listens sooner.
const CONNECTED_AFTER_KILL: Micros = 10 * MILLISECOND;

/// The end of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifeEnd {
    /// When it was first told to end, if it was.
    pub terminated_at: Option<Micros>,
    /// When it had been waited for.
    pub ended_at: Micros,
    /// Whether it was killed; else it ended by itself.
    pub killed: bool,
    /// When the kill was about to be sent, if that was noted.
    kill_began_at: Option<Micros>,
}

/// The ends of all gateways' processes, by name, in order.
#[derive(Clone, Debug, Default)]
pub struct GatewayLives(BTreeMap<String, Vec<LifeEnd>>);

impl GatewayLives {
    /// Reads them from records in the order of their times.
    pub fn of(records: &[Record]) -> GatewayLives {
        let mut lives = GatewayLives::default();
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
                    let kill_began_at = kills.remove(record.source.as_str());
                    let end = LifeEnd { terminated_at, ended_at: record.at, killed, kill_began_at };
                    lives.0.entry(record.source.clone()).or_default().push(end);
                }
                _ => {}
            }
        }
        lives
    }

    /// The end of the process that got a request, by all records of it, if that process has ended: the one to which the
    /// client's connection was made, whenever the request was written on it.
    pub fn end_for(&self, request: &[&Record]) -> Option<LifeEnd> {
        let connected = request.iter().find_map(|record| match record.event {
            Event::RequestBegun { connected_at, .. } => Some((&record.source, connected_at)),
            _ => None,
        });
        let sent = || request.iter().find(|record| matches!(record.event, Event::Sent { .. }));
        let (gateway, at) = connected.or_else(|| sent().map(|record| (&record.source, record.at)))?;
        self.end_after(gateway, at)
    }

    /// The end of the process that got what a client did at this time, if it has ended.
    fn end_after(&self, gateway: &str, at: Micros) -> Option<LifeEnd> {
        let ends_after = |end: &LifeEnd| {
            let slack = if end.killed { CONNECTED_AFTER_KILL } else { 0 };
            end.ended_at + slack >= at
        };
        self.0.get(gateway)?.iter().copied().find(ends_after)
    }
}

impl LifeEnd {
    /// When the process was killed, if it was.
    pub fn killed_at(&self) -> Option<Micros> {
        self.killed.then_some(self.kill_began_at.unwrap_or(self.ended_at))
    }

    /// Whether what a client saw then came from the kill. Where the kill's beginning was not noted, its end may be noted so much
    /// later than clients have seen it.
    pub fn is_by_kill(&self, seen: Micros, noted_within: Micros) -> bool {
        let seen_after_kill = match self.kill_began_at {
            Some(kill_began_at) => seen >= kill_began_at,
            None => seen + noted_within >= self.ended_at,
        };
        self.killed && seen_after_kill
    }

    /// Whether the process had been told to end, or had ended, by then.
    pub fn ends_by(&self, at: Micros) -> bool {
        let ends_from = [self.terminated_at, self.kill_began_at, Some(self.ended_at)];
        ends_from.into_iter().flatten().any(|ends| ends <= at)
    }

    /// Whether a request that was sent then and found no answer by the kill, which its client saw at `seen`, is lost by the
    /// kill alone and not by the gateway: it came before a planned one, or nobody had planned it.
    pub fn excuses(&self, sent: Micros, seen: Micros) -> bool {
        let by_the_kill = self.is_by_kill(seen, SEEN_WITHIN);
        let came_late = self.terminated_at.is_some_and(|terminated| sent > terminated + TAKEN_LATE_AFTER);
        by_the_kill && !came_late
    }
}
