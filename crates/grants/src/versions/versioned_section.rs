//! One part with all that is known of its changes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::sections::{Section, SectionKey};

use super::version_vector::{Clock, Dot};

/// What one change says. No part: that it is taken away.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Sibling {
    pub dot: Dot,
    pub section: Option<Section>,
}

/// The changes of a part that none known replaces, and a clock of all that are known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    clock: Clock,
    siblings: BTreeSet<Sibling>,
}

impl Cell {
    /// The cell after a change that knew all of this one.
    pub(super) fn changed(&self, dot: Dot, section: Option<Section>) -> Cell {
        let mut clock = self.clock.clone();
        clock.add(&dot);
        Cell { clock, siblings: BTreeSet::from([Sibling { dot, section }]) }
    }

    /// What both know together. Commutative, associative, idempotent.
    pub fn merge(&self, other: &Cell) -> Cell {
        let mut clock = self.clock.clone();
        clock.merge(&other.clock);
        let siblings = self.stays(other).chain(other.stays(self)).cloned().collect();
        Cell { clock, siblings }
    }

    /// Those that the other has as well, or never saw. One that the other has under the same dot with another
    /// content (a life used twice) stays, too: neither is known to replace the other.
    fn stays<'a>(&'a self, other: &'a Cell) -> impl Iterator<Item = &'a Sibling> {
        self.siblings.iter().filter(|own| {
            !other.clock.covers(&own.dot) || other.siblings.iter().any(|theirs| theirs.dot == own.dot)
        })
    }

    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    pub fn siblings(&self) -> impl Iterator<Item = &Sibling> {
        self.siblings.iter()
    }

    /// The differing contents of the siblings, sorted. Two changes that say the same are one.
    pub fn contents(&self) -> BTreeSet<&Option<Section>> {
        self.siblings.iter().map(|sibling| &sibling.section).collect()
    }

    /// Whether concurrent changes differ, which an admin has to settle by a change that knows both.
    pub fn conflict(&self) -> bool {
        self.contents().len() > 1
    }

    /// Dots that stand for more than one content.
    pub fn forks(&self) -> BTreeSet<Dot> {
        let mut seen = BTreeSet::new();
        self.siblings.iter().map(|sibling| sibling.dot).filter(|dot| !seen.insert(*dot)).collect()
    }

    /// Whether every sibling is such as the key names, and its dot is in the clock.
    pub(super) fn sound(&self, key: &SectionKey) -> bool {
        self.siblings.iter().all(|sibling| {
            let matches_key = sibling.section.as_ref().is_none_or(|section| section.matches_key(key));
            matches_key && self.clock.covers(&sibling.dot)
        })
    }
}
