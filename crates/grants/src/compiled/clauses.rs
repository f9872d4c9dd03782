//! Clauses: rules as sets of models with a time, and what several siblings' lists of them mean together.

use std::collections::{BTreeSet, HashMap};

use crate::document::StreamPolicy;

use super::models::ModelSet;

/// The most clauses that siblings' differing lists are multiplied out to for one team. Beyond it the rest is
/// left out, which allows less and never more.
pub const MAX_PRODUCT_CLAUSES: usize = 4_096;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Clause {
    pub models: ModelSet,
    /// Holds from here on, Unix ms.
    pub from: u64,
    /// Until just before here, Unix ms; the greatest time is never.
    pub until: u64,
    /// Index of the rule that is named.
    pub rule: u32,
    pub stream_policy: StreamPolicy,
}

pub type ClauseId = u32;

/// Clauses, each once.
#[derive(Default)]
pub struct Clauses {
    all: Vec<Clause>,
    ids: HashMap<Clause, ClauseId>,
}

impl Clauses {
    pub fn intern(&mut self, clause: Clause) -> ClauseId {
        if let Some(&id) = self.ids.get(&clause) {
            return id;
        }
        let id = self.all.len() as ClauseId;
        self.all.push(clause.clone());
        self.ids.insert(clause, id);
        id
    }

    pub fn get(&self, id: ClauseId) -> &Clause {
        &self.all[id as usize]
    }

    /// In the order in which they decide.
    pub fn sort(&self, ids: &mut [ClauseId]) {
        ids.sort_unstable_by_key(|&id| (self.get(id).rule, id));
    }

    /// What all the lists allow. What all have in common stays as it is, and only the rest is multiplied out:
    /// (C or A) and (C or B) is C or (A and B). The second is whether something was left out for its number.
    pub fn intersect_lists(&mut self, lists: Vec<BTreeSet<ClauseId>>) -> (BTreeSet<ClauseId>, bool) {
        let Some(common) = lists.iter().cloned().reduce(|left, right| &left & &right) else {
            return (BTreeSet::new(), false);
        };
        let mut rests = lists.iter().map(|list| list - &common);
        let mut product = rests.next().unwrap_or_default();
        let mut limit_reached = false;
        for rest in rests {
            let mut next = BTreeSet::new();
            'pairs: for &one in &product {
                for &other in &rest {
                    if next.len() >= MAX_PRODUCT_CLAUSES {
                        limit_reached = true;
                        break 'pairs;
                    }
                    next.extend(self.intersect(one, other));
                }
            }
            product = next;
        }
        (&common | &product, limit_reached)
    }

    fn intersect(&mut self, one: ClauseId, other: ClauseId) -> Option<ClauseId> {
        let (a, b) = (self.get(one), self.get(other));
        let mut models = a.models.clone();
        models.intersect_with(&b.models);
        let (from, until) = (a.from.max(b.from), a.until.min(b.until));
        let intersection = Clause {
            models,
            from,
            until,
            rule: a.rule.min(b.rule),
            stream_policy: a.stream_policy.max(b.stream_policy),
        };
        (from < until && !intersection.models.is_empty()).then(|| self.intern(intersection))
    }
}
