//! One part with all that is known of its changes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::sections::{Section, SectionKey};

use super::version_vector::{Dot, VersionVector};

/// What one change says. No part: that it is taken away.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Sibling {
    pub dot: Dot,
    pub section: Option<Section>,
}

/// The changes of a part that none known replaces, and a clock of all that are known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionedSection {
    vector: VersionVector,
    siblings: BTreeSet<Sibling>,
}

impl VersionedSection {
    /// The cell after a change that knew all of this one.
    pub(super) fn with_change(&self, dot: Dot, section: Option<Section>) -> VersionedSection {
        let mut vector = self.vector.clone();
        vector.add(&dot);
        VersionedSection { vector, siblings: BTreeSet::from([Sibling { dot, section }]) }
    }

    /// What both know together. Commutative, associative, idempotent.
    pub fn merge(&self, other: &VersionedSection) -> VersionedSection {
        let mut vector = self.vector.clone();
        vector.merge(&other.vector);
        let siblings = self.not_replaced_by(other).chain(other.not_replaced_by(self)).cloned().collect();
        VersionedSection { vector, siblings }
    }

    /// Those that the other has as well, or never saw. One that the other has under the same dot with another
    /// content (a life used twice) stays, too: neither is known to replace the other.
    fn not_replaced_by<'a>(&'a self, other: &'a VersionedSection) -> impl Iterator<Item = &'a Sibling> {
        self.siblings.iter().filter(|own| {
            !other.vector.covers(&own.dot) || other.siblings.iter().any(|theirs| theirs.dot == own.dot)
        })
    }

    pub fn vector(&self) -> &VersionVector {
        &self.vector
    }

    pub fn siblings(&self) -> impl Iterator<Item = &Sibling> {
        self.siblings.iter()
    }

    /// The differing contents of the siblings, sorted. Two changes that say the same are one.
    pub fn contents(&self) -> BTreeSet<&Option<Section>> {
        self.siblings.iter().map(|sibling| &sibling.section).collect()
    }

    /// Whether concurrent changes differ, which an admin has to settle by a change that knows both.
    pub fn in_conflict(&self) -> bool {
        self.contents().len() > 1
    }

    /// Dots that stand for more than one content.
    pub fn forked_dots(&self) -> BTreeSet<Dot> {
        let mut seen = BTreeSet::new();
        self.siblings.iter().map(|sibling| sibling.dot).filter(|dot| !seen.insert(*dot)).collect()
    }

    /// Whether every sibling is such as the key names, and its dot is in the clock.
    pub(super) fn is_valid(&self, key: &SectionKey) -> bool {
        self.siblings.iter().all(|sibling| {
            let matches_key = sibling.section.as_ref().is_none_or(|section| section.matches_key(key));
            matches_key && self.vector.covers(&sibling.dot)
        })
    }
}
