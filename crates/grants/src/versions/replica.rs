//! All parts with their versions, as one member knows them.

use std::collections::{BTreeMap, BTreeSet};

use crate::sections::{Section, SectionKey, Sections};

use super::entry::key_bytes;
use super::error::LedgerError;
use super::version_vector::{Dot, Origin, Version};
use super::versioned_section::{Cell, Sibling};

/// Changes go in three steps: [`propose`](Ledger::propose), then the driver keeps the proposal's entries on disk,
/// then [`apply`](Ledger::apply). A store that fails leaves all as it was. What other members tell is merged
/// likewise: [`merged`](Ledger::merged) to keep, [`merge`](Ledger::merge) to take.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub(super) origin: Origin,
    /// Changes taken in this life, and those that another used it for.
    pub(super) count: u64,
    pub(super) cells: BTreeMap<SectionKey, Cell>,
}

/// What became of a merge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Something is known that was not before.
    pub news: bool,
    /// The part is in conflict now.
    pub conflict: bool,
    /// Changes that stood here and were replaced by ones that knew them. Together with the siblings that stay,
    /// every change is named once where it ends.
    pub replaced: Vec<Dot>,
    /// Dots with two contents: a life was used twice. Both contents are kept, in conflict.
    pub forked: Vec<Dot>,
    /// A change under this very life that was not made here: a second process has this name, or had this life.
    pub usurped: bool,
}

impl Ledger {
    /// A ledger that knows nothing.
    pub fn new(origin: Origin) -> Ledger {
        Ledger { origin, count: 0, cells: BTreeMap::new() }
    }

    /// A ledger of what a store kept, under a new life.
    pub fn restore(
        origin: Origin, cells: impl IntoIterator<Item = (SectionKey, Cell)>,
    ) -> Result<Ledger, LedgerError> {
        let cells: BTreeMap<SectionKey, Cell> = cells.into_iter().collect();
        let later = |dot: Dot| dot.origin.member == origin.member && dot.origin.life >= origin.life;
        if cells.values().any(|cell| cell.clock().dots().any(later)) {
            return Err(LedgerError::LifeUsed { origin });
        }
        Ok(Ledger { origin, count: 0, cells })
    }

    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    pub fn cell(&self, key: &SectionKey) -> Option<&Cell> {
        self.cells.get(key)
    }

    /// All cells, those of parts taken away included: they say that it was done.
    pub fn cells(&self) -> impl Iterator<Item = (&SectionKey, &Cell)> {
        self.cells.iter()
    }

    /// The version of one part; of one that never was, too.
    pub fn version(&self, key: &SectionKey) -> Version {
        let mut hash = blake3::Hasher::new();
        if let Some(cell) = self.cells.get(key) {
            digest(&mut hash, key, cell);
        }
        Version::of(&hash)
    }

    /// The version of all together.
    pub fn version_of_all(&self) -> Version {
        let mut hash = blake3::Hasher::new();
        self.cells.iter().for_each(|(key, cell)| digest(&mut hash, key, cell));
        Version::of(&hash)
    }

    /// All parts with their siblings, to be compiled.
    pub fn parts(&self) -> Sections {
        let mut sections = Sections::default();
        for (key, cell) in &self.cells {
            let contents = cell.contents();
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
        let cells = self.cells.iter().filter(|(_, cell)| cell.conflict());
        cells.map(|(key, cell)| (key, cell.siblings().collect()))
    }

    /// What the cell would be with this one merged; none if it says nothing new.
    pub fn merged(&self, key: &SectionKey, told: &Cell) -> Option<Cell> {
        let Some(own) = self.cells.get(key) else { return Some(told.clone()) };
        let merged = own.merge(told);
        (merged != *own).then_some(merged)
    }

    /// Takes what another member, or a proposal, says of a part.
    pub fn merge(&mut self, key: &SectionKey, told: &Cell) -> Merged {
        let mut became = Merged::default();
        if let Some(dot) = told.clock().dots().find(|dot| dot.origin == self.origin && dot.count > self.count)
        {
            became.usurped = true;
            self.count = dot.count;
        }
        if let Some(merged) = self.merged(key, told) {
            let before = self.cells.get(key).into_iter().flat_map(Cell::siblings);
            let gone = before.filter(|old| !merged.siblings().any(|stays| stays == *old));
            became.replaced = gone.map(|old| old.dot).collect();
            became.news = true;
            self.cells.insert(key.clone(), merged);
        }
        if let Some(cell) = self.cells.get(key) {
            became.conflict = cell.conflict();
            became.forked = cell.forks().into_iter().collect();
        }
        became
    }
}

fn digest(hash: &mut blake3::Hasher, key: &SectionKey, cell: &Cell) {
    let name = key_bytes(key);
    hash.update(&(name.len() as u64).to_le_bytes()).update(&name);
    for dot in cell.clock().dots() {
        for number in [dot.origin.member, dot.origin.life, dot.count] {
            hash.update(&number.to_le_bytes());
        }
    }
    hash.update(&[0xff; 8]);
}
