//! Verdicts: what is decided for a cell, by time.

use std::collections::{BTreeSet, HashMap};

use super::clauses::{ClauseId, Clauses};
use super::{Decision, DecisionReason};

/// Constant, or in pieces by time.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Timeline {
    initial: Decision,
    /// From each time (Unix ms, rising) on, another decision.
    changes: Box<[(u64, Decision)]>,
}

impl Timeline {
    pub fn at(&self, now: u64) -> Decision {
        match self.changes.partition_point(|&(from, _)| from <= now) {
            0 => self.initial,
            passed => self.changes[passed - 1].1,
        }
    }

    pub fn change_times(&self) -> impl Iterator<Item = u64> + '_ {
        self.changes.iter().map(|&(at, _)| at)
    }
}

/// What decides in one cell: the first clause that holds, else the decision by default.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TimelineKey {
    /// With whether it denies.
    pub clauses: Vec<(ClauseId, bool)>,
    pub default_reason: DecisionReason,
}

/// Verdicts, each once.
#[derive(Default)]
pub struct Timelines {
    pub all: Vec<Timeline>,
    ids: HashMap<TimelineKey, u32>,
}

impl Timelines {
    pub fn intern(&mut self, key: TimelineKey, clauses: &Clauses) -> u32 {
        if let Some(&id) = self.ids.get(&key) {
            return id;
        }
        let id = self.all.len() as u32;
        self.all.push(build_timeline(&key, clauses));
        self.ids.insert(key, id);
        id
    }
}

/// Goes through the times at which clauses begin and end, with the places of those that hold in order.
fn build_timeline(key: &TimelineKey, clauses: &Clauses) -> Timeline {
    let mut events: Vec<(u64, usize, bool)> = Vec::new();
    for (position, &(id, _)) in key.clauses.iter().enumerate() {
        let clause = clauses.get(id);
        events.push((clause.from, position, true));
        if clause.until != u64::MAX {
            events.push((clause.until, position, false));
        }
    }
    events.sort_unstable();
    let decide = |valid: &BTreeSet<usize>| match valid.first() {
        None => Decision::refused(key.default_reason),
        Some(&position) => {
            let (id, denies) = key.clauses[position];
            let clause = clauses.get(id);
            Decision {
                allowed: !denies,
                reason: DecisionReason::Rule(clause.rule),
                stream_policy: clause.stream_policy,
            }
        }
    };
    let mut valid = BTreeSet::new();
    let mut segments: Vec<(u64, Decision)> = vec![(0, decide(&valid))];
    let mut events = events.into_iter().peekable();
    while let Some((at, position, starts)) = events.next() {
        if starts {
            valid.insert(position);
        } else {
            valid.remove(&position);
        }
        if events.peek().is_some_and(|next| next.0 == at) {
            continue;
        }
        let decision = decide(&valid);
        match segments.last_mut() {
            Some(last) if last.0 == at => last.1 = decision,
            Some(last) if last.1 == decision => {}
            _ => segments.push((at, decision)),
        }
    }
    let initial = segments[0].1;
    Timeline { initial, changes: segments.drain(1..).collect() }
}
