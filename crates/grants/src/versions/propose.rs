//! Changes by admins, against the version that they saw.

use std::collections::BTreeSet;

use crate::document::check::find_faults;
use crate::document::{Document, DocumentError, Fault, KeyPath, KeySegment, Team};
use crate::sections::{Section, SectionKey, Sections, TeamSection};

use super::entry::Entry;
use super::error::LedgerError;
use super::replica::{Ledger, Merged};
use super::version_vector::{Dot, Version};
use super::versioned_section::Cell;

/// Changes that are checked and not taken yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    changes: Vec<(SectionKey, Cell, Dot)>,
}

impl Proposal {
    /// Nothing would change.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// What to keep on disk before it is applied, and to tell the others after.
    pub fn entries(&self) -> Result<Vec<Entry>, LedgerError> {
        self.changes.iter().map(|(key, cell, _)| Ok(Entry::of(key, cell)?)).collect()
    }

    pub fn keys(&self) -> impl Iterator<Item = &SectionKey> {
        self.changes.iter().map(|change| &change.0)
    }

    pub fn dots(&self) -> Vec<Dot> {
        self.changes.iter().map(|change| change.2).collect()
    }
}

impl Ledger {
    /// A change of one team against the version that the admin saw. Made against a conflict, it settles it.
    /// No part: the team is taken away. What it names has to be there; faults that stood before, as
    /// merging may leave them, do not hinder it.
    pub fn propose(
        &mut self, team: &str, expected: Version, section: Option<TeamSection>,
    ) -> Result<Proposal, LedgerError> {
        let key = SectionKey::Team(team.to_owned());
        self.expect(Some(&key), expected, self.version(&key))?;
        let before = self.parts();
        if section.is_none() && !before.teams.contains_key(team) {
            return Err(LedgerError::Missing { key });
        }
        if let Some(rule) =
            section.iter().flat_map(|section| &section.rules).find(|rule| rule.teams != [team])
        {
            let fault = Fault::RuleForOtherTeams { rule: rule.name.clone(), team: team.to_owned() };
            return Err(DocumentError { position: None, key: KeyPath::default(), fault }.into());
        }
        let mut after = before.clone();
        match &section {
            Some(section) => after.teams.insert(team.to_owned(), vec![Some(section.clone())]),
            None => after.teams.remove(team),
        };
        no_new_fault(&before, &after, team)?;
        let change = self.change(key, section.map(Section::Team))?;
        Ok(Proposal { changes: vec![change] })
    }

    /// A whole document against the version of all that the admin saw. Only parts that it changes are changed, and
    /// those in conflict, which it settles.
    pub fn propose_document(
        &mut self, expected: Version, document: &Document,
    ) -> Result<Proposal, LedgerError> {
        self.expect(None, expected, self.version_of_all())?;
        if let Some((key, fault)) = find_faults(document).into_iter().next() {
            return Err(DocumentError { position: None, key, fault }.into());
        }
        let mut wanted = Sections::by_key(document);
        let keys: BTreeSet<SectionKey> = self.cells.keys().chain(wanted.keys()).cloned().collect();
        let mut changes = Vec::new();
        for key in keys {
            let section = wanted.remove(&key);
            let same = match self.cells.get(&key) {
                Some(cell) => cell.contents() == BTreeSet::from([&section]),
                None => false,
            };
            if !same {
                changes.push(self.change(key, section)?);
            }
        }
        Ok(Proposal { changes })
    }

    /// What all parts would be with the proposal taken, to try it.
    pub fn with(&self, proposal: &Proposal) -> Sections {
        let mut tried = self.clone();
        tried.apply(proposal);
        tried.parts()
    }

    /// Takes a proposal, once it is kept. Should another change have come between, both stand, in conflict.
    pub fn apply(&mut self, proposal: &Proposal) -> Vec<(SectionKey, Merged)> {
        let changes = proposal.changes.iter();
        changes.map(|(key, cell, _)| (key.clone(), self.merge(key, cell))).collect()
    }

    fn expect(
        &self, key: Option<&SectionKey>, expected: Version, present: Version,
    ) -> Result<(), LedgerError> {
        match expected == present {
            true => Ok(()),
            false => Err(LedgerError::Conflict { key: key.cloned(), expected, present }),
        }
    }

    fn change(
        &mut self, key: SectionKey, section: Option<Section>,
    ) -> Result<(SectionKey, Cell, Dot), LedgerError> {
        if section.as_ref().is_some_and(|section| !section.matches_key(&key)) {
            return Err(LedgerError::Form { key });
        }
        let dot = Dot { origin: self.origin, count: self.count.saturating_add(1) };
        let cell = self.cells.get(&key).cloned().unwrap_or_default().changed(dot, section);
        Entry::of(&key, &cell)?;
        // Used up even if the proposal is never applied: a store may hold it all the same.
        self.count = dot.count;
        Ok((key, cell, dot))
    }
}

/// The first fault that the change would bring, under its key in the team's entry.
fn no_new_fault(before: &Sections, after: &Sections, team: &str) -> Result<(), DocumentError> {
    let (old, new) = (before.to_document(), after.to_document());
    let known: Vec<Fault> = find_faults(&old).into_iter().map(|(_, fault)| fault).collect();
    match find_faults(&new).into_iter().find(|(_, fault)| !known.contains(fault)) {
        None => Ok(()),
        Some((key, fault)) => Err(DocumentError { position: None, key: within(key, &new, team), fault }),
    }
}

/// The key as a reader of the one entry knows it: `team[7].parents` is `parents`, `rule[30]` is `rules[0]`.
fn within(key: KeyPath, document: &Document, team: &str) -> KeyPath {
    let own = |at: &usize| document.rules.get(*at).is_some_and(|rule| rule.teams == [team]);
    match key.0.as_slice() {
        [KeySegment::Field(list), KeySegment::Index(at), rest @ ..] if list == "team" => {
            match document.teams.get(*at) {
                Some(Team { name, .. }) if name == team => KeyPath(rest.to_vec()),
                _ => key,
            }
        }
        [KeySegment::Field(list), KeySegment::Index(at), rest @ ..] if list == "rule" && own(at) => {
            let first = document.rules.iter().position(|rule| rule.teams == [team]).unwrap_or(*at);
            let mut path = vec![KeySegment::Field("rules".to_owned()), KeySegment::Index(at - first)];
            path.extend_from_slice(rest);
            KeyPath(path)
        }
        _ => key,
    }
}
