//! Clauses: rules as sets of models with a validity period, and the intersection of the siblings' lists of
//! clauses.

use std::collections::{BTreeSet, HashMap};

use crate::document::StreamPolicy;

use super::models::ModelSet;

/// Maximum number of clauses in each product of two differing lists. Pairs beyond it are left out, so the
/// table then allows less than the rules do, never more.
pub const MAX_PRODUCT_CLAUSES: usize = 4_096;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Clause {
    pub models: ModelSet,
    /// Start of validity (Unix ms, inclusive).
    pub from: u64,
    /// End of validity (Unix ms, exclusive); `u64::MAX` if there is none.
    pub until: u64,
    /// Index of the rule that is reported as the reason.
    pub rule: u32,
    pub stream_policy: StreamPolicy,
}

pub type ClauseId = u32;

/// Interned clauses: equal clauses share one id.
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

    /// Sorts the ids by the precedence of their rules.
    pub fn sort(&self, ids: &mut [ClauseId]) {
        ids.sort_unstable_by_key(|&id| (self.get(id).rule, id));
    }

    /// Returns clauses for what all lists allow. Clauses common to all lists are kept as they are; only the
    /// remaining ones are multiplied out, by the rule (C or A) and (C or B) = C or (A and B). The second
    /// value is whether pairs were left out because of [`MAX_PRODUCT_CLAUSES`].
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

    /// Returns the clause that covers what both clauses cover; `None` if that is nothing.
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
