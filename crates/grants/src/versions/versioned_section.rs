//! A section of the document with its current siblings and a version vector of all known changes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::sections::{Section, SectionKey};

use super::version_vector::{Dot, VersionVector};

/// The content of one change. `None` removes the section.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Sibling {
    pub dot: Dot,
    pub section: Option<Section>,
}

/// The changes of a section that no other known change replaces, and a version vector of all known changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionedSection {
    vector: VersionVector,
    siblings: BTreeSet<Sibling>,
}

impl VersionedSection {
    /// Returns the result of a change that replaces all siblings.
    pub(super) fn with_change(&self, dot: Dot, section: Option<Section>) -> VersionedSection {
        let mut vector = self.vector.clone();
        vector.add(&dot);
        VersionedSection { vector, siblings: BTreeSet::from([Sibling { dot, section }]) }
    }

    /// Merges the changes of both. Commutative, associative and idempotent.
    pub fn merge(&self, other: &VersionedSection) -> VersionedSection {
        let mut vector = self.vector.clone();
        vector.merge(&other.vector);
        let siblings = self.not_replaced_by(other).chain(other.not_replaced_by(self)).cloned().collect();
        VersionedSection { vector, siblings }
    }

    /// Returns the siblings that no change in `other` replaces: those whose dot is not covered by the version
    /// vector of `other`, or is the dot of one of its siblings. Siblings with the same dot and different
    /// content (an incarnation was used twice) are both kept, because neither is known to replace the other.
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

    /// Returns the distinct contents of the siblings, sorted. Changes with equal content count once.
    pub fn contents(&self) -> BTreeSet<&Option<Section>> {
        self.siblings.iter().map(|sibling| &sibling.section).collect()
    }

    /// Returns whether concurrent changes differ. An administrator resolves the conflict with a change that
    /// includes both.
    pub fn in_conflict(&self) -> bool {
        self.contents().len() > 1
    }

    /// Returns the dots that occur with more than one content.
    pub fn forked_dots(&self) -> BTreeSet<Dot> {
        let mut seen = BTreeSet::new();
        self.siblings.iter().map(|sibling| sibling.dot).filter(|dot| !seen.insert(*dot)).collect()
    }

    /// Returns whether every sibling is of the kind that the key names and its dot is in the version vector.
    pub(super) fn is_valid(&self, key: &SectionKey) -> bool {
        self.siblings.iter().all(|sibling| {
            let matches_key = sibling.section.as_ref().is_none_or(|section| section.matches_key(key));
            matches_key && self.vector.covers(&sibling.dot)
        })
    }
}
