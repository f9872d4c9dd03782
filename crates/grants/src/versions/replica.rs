//! The replica: all sections with their versions, as one member has them.

use std::collections::{BTreeMap, BTreeSet};

use crate::sections::{Section, SectionKey, Sections};

use super::entry::key_bytes;
use super::error::ReplicaError;
use super::version_vector::{Dot, Origin, Version};
use super::versioned_section::{Sibling, VersionedSection};

/// All sections as one member has them. A change takes three steps: [`propose`](Replica::propose), then the
/// caller writes the proposal's entries to disk, then [`apply`](Replica::apply). A failed write leaves the
/// replica unchanged. Changes from other members take the same steps:
/// [`preview_merge`](Replica::preview_merge) returns what to write, [`merge`](Replica::merge) applies it.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(super) origin: Origin,
    /// Highest number used for a change under this incarnation, including proposals that were never applied
    /// and changes that another process made under it.
    pub(super) count: u64,
    pub(super) sections: BTreeMap<SectionKey, VersionedSection>,
}

/// The result of merging a section.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether the merge brought any change that was not known here.
    pub changed: bool,
    /// Whether the section is in conflict after the merge.
    pub in_conflict: bool,
    /// The siblings of this replica that the merge replaced with changes that include them. Each change that
    /// was a sibling here is either reported once or is still a sibling.
    pub replaced: Vec<Dot>,
    /// Dots with two contents, because an incarnation was used twice. Both contents are kept, in conflict.
    pub forked: Vec<Dot>,
    /// Whether the merge found a change by another process with the same member id and the same incarnation
    /// as this member.
    pub foreign_change: bool,
}

impl Replica {
    /// Creates an empty replica.
    pub fn new(origin: Origin) -> Replica {
        Replica { origin, count: 0, sections: BTreeMap::new() }
    }

    /// Restores a replica from the content of a store. `origin` must have a new incarnation.
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

    /// Returns all sections, including removed ones: their entries record the removal.
    pub fn sections(&self) -> impl Iterator<Item = (&SectionKey, &VersionedSection)> {
        self.sections.iter()
    }

    /// Returns the version of one section. A section that never existed has a version too.
    pub fn version(&self, key: &SectionKey) -> Version {
        let mut hash = blake3::Hasher::new();
        if let Some(section) = self.sections.get(key) {
            hash_section(&mut hash, key, section);
        }
        Version::from_hasher(&hash)
    }

    /// Returns the version of all sections together.
    pub fn version_of_all(&self) -> Version {
        let mut hash = blake3::Hasher::new();
        self.sections.iter().for_each(|(key, section)| hash_section(&mut hash, key, section));
        Version::from_hasher(&hash)
    }

    /// Returns the contents of all sections with their siblings, as input for the compiler.
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

    /// Returns the sections that are in conflict, each with its siblings.
    pub fn conflicts(&self) -> impl Iterator<Item = (&SectionKey, Vec<&Sibling>)> {
        let sections = self.sections.iter().filter(|(_, section)| section.in_conflict());
        sections.map(|(key, section)| (key, section.siblings().collect()))
    }

    /// Returns what the section would be after merging `received`; `None` if the merge would change nothing.
    pub fn preview_merge(&self, key: &SectionKey, received: &VersionedSection) -> Option<VersionedSection> {
        let Some(own) = self.sections.get(key) else { return Some(received.clone()) };
        let merged = own.merge(received);
        (merged != *own).then_some(merged)
    }

    /// Merges a section from another member or from a proposal.
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
