//! All parts with their versions, as one member knows them.

use std::collections::{BTreeMap, BTreeSet};

use crate::sections::{Section, SectionKey, Sections};

use super::entry::key_bytes;
use super::error::ReplicaError;
use super::version_vector::{Dot, Origin, Version};
use super::versioned_section::{Sibling, VersionedSection};

/// Changes go in three steps: [`propose`](Replica::propose), then the driver keeps the proposal's entries on disk,
/// then [`apply`](Replica::apply). A store that fails leaves all as it was. What other members tell is merged
/// likewise: [`preview_merge`](Replica::preview_merge) to keep, [`merge`](Replica::merge) to take.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(super) origin: Origin,
    /// Changes taken in this life, and those that another used it for.
    pub(super) count: u64,
    pub(super) sections: BTreeMap<SectionKey, VersionedSection>,
}

/// What became of a merge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Something is known that was not before.
    pub changed: bool,
    /// The part is in conflict now.
    pub in_conflict: bool,
    /// Changes that stood here and were replaced by ones that knew them. Together with the siblings that stay,
    /// every change is named once where it ends.
    pub replaced: Vec<Dot>,
    /// Dots with two contents: a life was used twice. Both contents are kept, in conflict.
    pub forked: Vec<Dot>,
    /// A change under this very life that was not made here: a second process has this name, or had this life.
    pub foreign_change: bool,
}

impl Replica {
    /// A ledger that knows nothing.
    pub fn new(origin: Origin) -> Replica {
        Replica { origin, count: 0, sections: BTreeMap::new() }
    }

    /// A ledger of what a store kept, under a new life.
    pub fn restore(
        origin: Origin, sections: impl IntoIterator<Item = (SectionKey, VersionedSection)>,
    ) -> Result<Replica, ReplicaError> {
        let sections: BTreeMap<SectionKey, VersionedSection> = sections.into_iter().collect();
        let already_used =
            |dot: Dot| dot.origin.member == origin.member && dot.origin.incarnation >= origin.incarnation;
        if sections.values().any(|section| section.vector().dots().any(already_used)) {
            return Err(ReplicaError::IncarnationUsed { origin });
        }
        Ok(Replica { origin, count: 0, sections })
    }

    pub fn is_empty(&self) -> bool {
        self.sections.is_empty()
    }

    pub fn section(&self, key: &SectionKey) -> Option<&VersionedSection> {
        self.sections.get(key)
    }

    /// All cells, those of parts taken away included: they say that it was done.
    pub fn sections(&self) -> impl Iterator<Item = (&SectionKey, &VersionedSection)> {
        self.sections.iter()
    }

    /// The version of one part; of one that never was, too.
    pub fn version(&self, key: &SectionKey) -> Version {
        let mut hash = blake3::Hasher::new();
        if let Some(section) = self.sections.get(key) {
            hash_section(&mut hash, key, section);
        }
        Version::from_hasher(&hash)
    }

    /// The version of all together.
    pub fn version_of_all(&self) -> Version {
        let mut hash = blake3::Hasher::new();
        self.sections.iter().for_each(|(key, section)| hash_section(&mut hash, key, section));
        Version::from_hasher(&hash)
    }

    /// All parts with their siblings, to be compiled.
    pub fn contents(&self) -> Sections {
        let mut sections = Sections::default();
        for (key, versioned) in &self.sections {
            let contents = versioned.contents();
            if contents == BTreeSet::from([&None]) {
                continue;
            }
            for content in contents {
                match (key, content) {
                    (SectionKey::Team(name), None) => {
                        sections.teams.entry(name.clone()).or_default().push(None)
                    }
                    (SectionKey::Team(name), Some(Section::Team(section))) => {
                        sections.teams.entry(name.clone()).or_default().push(Some(section.clone()));
                    }
                    (SectionKey::Catalogue, Some(Section::Catalogue(section))) => {
                        sections.catalogue.push(section.clone())
                    }
                    (SectionKey::Catalogue, None) => sections.catalogue.push(Default::default()),
                    (SectionKey::Shared, Some(Section::Shared(section))) => {
                        sections.shared.push(section.clone())
                    }
                    (SectionKey::Shared, None) => sections.shared.push(Vec::new()),
                    _ => {}
                }
            }
        }
        sections
    }

    /// The parts in conflict, each with what stands against what.
    pub fn conflicts(&self) -> impl Iterator<Item = (&SectionKey, Vec<&Sibling>)> {
        let sections = self.sections.iter().filter(|(_, section)| section.in_conflict());
        sections.map(|(key, section)| (key, section.siblings().collect()))
    }

    /// What the cell would be with this one merged; none if it says nothing new.
    pub fn preview_merge(&self, key: &SectionKey, received: &VersionedSection) -> Option<VersionedSection> {
        let Some(own) = self.sections.get(key) else { return Some(received.clone()) };
        let merged = own.merge(received);
        (merged != *own).then_some(merged)
    }

    /// Takes what another member, or a proposal, says of a part.
    pub fn merge(&mut self, key: &SectionKey, received: &VersionedSection) -> MergeOutcome {
        let mut outcome = MergeOutcome::default();
        if let Some(dot) =
            received.vector().dots().find(|dot| dot.origin == self.origin && dot.count > self.count)
        {
            outcome.foreign_change = true;
            self.count = dot.count;
        }
        if let Some(merged) = self.preview_merge(key, received) {
            let before = self.sections.get(key).into_iter().flat_map(VersionedSection::siblings);
            let replaced = before.filter(|old| !merged.siblings().any(|remaining| remaining == *old));
            outcome.replaced = replaced.map(|old| old.dot).collect();
            outcome.changed = true;
            self.sections.insert(key.clone(), merged);
        }
        if let Some(section) = self.sections.get(key) {
            outcome.in_conflict = section.in_conflict();
            outcome.forked = section.forked_dots().into_iter().collect();
        }
        outcome
    }
}

fn hash_section(hash: &mut blake3::Hasher, key: &SectionKey, section: &VersionedSection) {
    let name = key_bytes(key);
    hash.update(&(name.len() as u64).to_le_bytes()).update(&name);
    for dot in section.vector().dots() {
        for number in [dot.origin.member, dot.origin.incarnation, dot.count] {
            hash.update(&number.to_le_bytes());
        }
    }
    hash.update(&[0xff; 8]);
}
