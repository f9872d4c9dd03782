//! Timelines: the decision for a cell as a function of time.

use std::collections::{BTreeSet, HashMap};

use super::clauses::{ClauseId, Clauses};
use super::{Decision, DecisionReason};

/// A decision that is constant, or changes at known times.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Timeline {
    initial: Decision,
    /// The decision from each time (Unix ms, ascending) until the next one.
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

/// The input of one timeline: the first valid clause decides; without one the call is refused for the default
/// reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TimelineKey {
    /// In order of precedence, each with whether it denies.
    pub clauses: Vec<(ClauseId, bool)>,
    pub default_reason: DecisionReason,
}

/// Interned timelines: equal keys share one id.
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

/// Sweeps over the times at which clauses start and end, and keeps the positions of the valid clauses in
/// order.
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
