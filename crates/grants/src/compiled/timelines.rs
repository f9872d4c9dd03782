//! Verdicts: what is decided for a cell, by time.

use std::collections::{BTreeSet, HashMap};

use super::clauses::{ClauseId, Clauses};
use super::{Decision, RuleId};

/// Constant, or in pieces by time.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Verdict {
    first: Decision,
    /// From each time (Unix ms, rising) on, another decision.
    then: Box<[(u64, Decision)]>,
}

impl Verdict {
    pub fn at(&self, now: u64) -> Decision {
        match self.then.partition_point(|&(from, _)| from <= now) {
            0 => self.first,
            passed => self.then[passed - 1].1,
        }
    }

    pub fn changes(&self) -> impl Iterator<Item = u64> + '_ {
        self.then.iter().map(|&(at, _)| at)
    }
}

/// What decides in one cell: the first clause that holds, else the decision by default.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Reason {
    /// With whether it denies.
    pub clauses: Vec<(ClauseId, bool)>,
    pub otherwise: RuleId,
}

/// Verdicts, each once.
#[derive(Default)]
pub struct Verdicts {
    pub all: Vec<Verdict>,
    ids: HashMap<Reason, u32>,
}

impl Verdicts {
    pub fn intern(&mut self, reason: Reason, clauses: &Clauses) -> u32 {
        if let Some(&id) = self.ids.get(&reason) {
            return id;
        }
        let id = self.all.len() as u32;
        self.all.push(verdict(&reason, clauses));
        self.ids.insert(reason, id);
        id
    }
}

/// Goes through the times at which clauses begin and end, with the places of those that hold in order.
fn verdict(reason: &Reason, clauses: &Clauses) -> Verdict {
    let mut events: Vec<(u64, usize, bool)> = Vec::new();
    for (position, &(id, _)) in reason.clauses.iter().enumerate() {
        let clause = clauses.get(id);
        events.push((clause.from, position, true));
        if clause.until != u64::MAX {
            events.push((clause.until, position, false));
        }
    }
    events.sort_unstable();
    let decide = |holding: &BTreeSet<usize>| match holding.first() {
        None => Decision::refused(reason.otherwise),
        Some(&position) => {
            let (id, denies) = reason.clauses[position];
            let clause = clauses.get(id);
            Decision { allowed: !denies, rule: RuleId::Rule(clause.rule), streams: clause.streams }
        }
    };
    let mut holding = BTreeSet::new();
    let mut pieces: Vec<(u64, Decision)> = vec![(0, decide(&holding))];
    let mut events = events.into_iter().peekable();
    while let Some((at, position, begins)) = events.next() {
        if begins {
            holding.insert(position);
        } else {
            holding.remove(&position);
        }
        if events.peek().is_some_and(|next| next.0 == at) {
            continue;
        }
        let now = decide(&holding);
        match pieces.last_mut() {
            Some(last) if last.0 == at => last.1 = now,
            Some(last) if last.1 == now => {}
            _ => pieces.push((at, now)),
        }
    }
    let first = pieces[0].1;
    Verdict { first, then: pieces.drain(1..).collect() }
}
