//! Proposals: changes by administrators, checked against the version that they are based on.

use std::collections::BTreeSet;

use crate::document::check::find_faults;
use crate::document::{Document, DocumentError, Fault, KeyPath, KeySegment, Team};
use crate::sections::{Section, SectionKey, Sections, TeamSection};

use super::entry::Entry;
use super::error::ReplicaError;
use super::replica::{MergeOutcome, Replica};
use super::version_vector::{Dot, Version};
use super::versioned_section::VersionedSection;

/// Changes that passed the checks and are not applied yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    changes: Vec<(SectionKey, VersionedSection, Dot)>,
}

impl Proposal {
    /// Returns whether the proposal changes nothing.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the entries to write to disk before the proposal is applied, and to send to other members
    /// afterwards.
    pub fn entries(&self) -> Result<Vec<Entry>, ReplicaError> {
        self.changes.iter().map(|(key, section, _)| Ok(Entry::encode(key, section)?)).collect()
    }

    pub fn keys(&self) -> impl Iterator<Item = &SectionKey> {
        self.changes.iter().map(|change| &change.0)
    }

    pub fn dots(&self) -> Vec<Dot> {
        self.changes.iter().map(|change| change.2).collect()
    }
}

impl Replica {
    /// Proposes a change of one team, based on the version that the administrator saw. It resolves a conflict
    /// if it is based on one. `None` removes the team. All names in it must exist. Faults that the document
    /// already has, as merges can leave them, do not prevent the change.
    pub fn propose(
        &mut self, team: &str, expected: Version, section: Option<TeamSection>,
    ) -> Result<Proposal, ReplicaError> {
        let key = SectionKey::Team(team.to_owned());
        self.check_version(Some(&key), expected, self.version(&key))?;
        let before = self.contents();
        if section.is_none() && !before.teams.contains_key(team) {
            return Err(ReplicaError::Missing { key });
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
        check_for_new_faults(&before, &after, team)?;
        let change = self.prepare_change(key, section.map(Section::Team))?;
        Ok(Proposal { changes: vec![change] })
    }

    /// Proposes a whole document, based on the version of all sections that the administrator saw. Changes
    /// only the sections whose content differs, and those in conflict, which it resolves.
    pub fn propose_document(
        &mut self, expected: Version, document: &Document,
    ) -> Result<Proposal, ReplicaError> {
        self.check_version(None, expected, self.version_of_all())?;
        if let Some((key, fault)) = find_faults(document).into_iter().next() {
            return Err(DocumentError { position: None, key, fault }.into());
        }
        let mut wanted = Sections::by_key(document);
        let keys: BTreeSet<SectionKey> = self.sections.keys().chain(wanted.keys()).cloned().collect();
        let mut changes = Vec::new();
        for key in keys {
            let section = wanted.remove(&key);
            let unchanged = match self.sections.get(&key) {
                Some(versioned) => versioned.contents() == BTreeSet::from([&section]),
                None => false,
            };
            if !unchanged {
                changes.push(self.prepare_change(key, section)?);
            }
        }
        Ok(Proposal { changes })
    }

    /// Returns the contents of all sections as they would be with the proposal applied, for a dry run.
    pub fn preview(&self, proposal: &Proposal) -> Sections {
        let mut copy = self.clone();
        copy.apply(proposal);
        copy.contents()
    }

    /// Applies a proposal after it is written to disk. If a change of the same section from another
    /// member was merged in between, both remain as siblings, in conflict if their contents differ. If two
    /// proposals for a section are made before either is applied, only the one made later remains.
    pub fn apply(&mut self, proposal: &Proposal) -> Vec<(SectionKey, MergeOutcome)> {
        let changes = proposal.changes.iter();
        changes.map(|(key, section, _)| (key.clone(), self.merge(key, section))).collect()
    }

    fn check_version(
        &self, key: Option<&SectionKey>, expected: Version, current: Version,
    ) -> Result<(), ReplicaError> {
        match expected == current {
            true => Ok(()),
            false => Err(ReplicaError::VersionMismatch { key: key.cloned(), expected, current }),
        }
    }

    fn prepare_change(
        &mut self, key: SectionKey, section: Option<Section>,
    ) -> Result<(SectionKey, VersionedSection, Dot), ReplicaError> {
        if section.as_ref().is_some_and(|section| !section.matches_key(&key)) {
            return Err(ReplicaError::WrongSection { key });
        }
        let dot = Dot { origin: self.origin, count: self.count.saturating_add(1) };
        let versioned = self.sections.get(&key).cloned().unwrap_or_default().with_change(dot, section);
        Entry::encode(&key, &versioned)?;
        // The number is used up even if the proposal is never applied, because the store may already contain
        // it.
        self.count = dot.count;
        Ok((key, versioned, dot))
    }
}

/// Returns the first fault that the change would add, with its key relative to the team's entry.
fn check_for_new_faults(before: &Sections, after: &Sections, team: &str) -> Result<(), DocumentError> {
    let (old, new) = (before.to_document(), after.to_document());
    let existing: Vec<Fault> = find_faults(&old).into_iter().map(|(_, fault)| fault).collect();
    match find_faults(&new).into_iter().find(|(_, fault)| !existing.contains(fault)) {
        None => Ok(()),
        Some((key, fault)) => {
            Err(DocumentError { position: None, key: relative_key(key, &new, team), fault })
        }
    }
}

/// Converts a key of the document to the key in the team's entry: `team[7].parents` becomes `parents`, and
/// `rule[30]` becomes `rules[0]` if it is the team's first rule. Other keys stay unchanged.
fn relative_key(key: KeyPath, document: &Document, team: &str) -> KeyPath {
    let is_own_rule = |at: &usize| document.rules.get(*at).is_some_and(|rule| rule.teams == [team]);
    match key.0.as_slice() {
        [KeySegment::Field(list), KeySegment::Index(at), rest @ ..] if list == "team" => {
            match document.teams.get(*at) {
                Some(Team { name, .. }) if name == team => KeyPath(rest.to_vec()),
                _ => key,
            }
        }
        [KeySegment::Field(list), KeySegment::Index(at), rest @ ..] if list == "rule" && is_own_rule(at) => {
            let first = document.rules.iter().position(|rule| rule.teams == [team]).unwrap_or(*at);
            let mut path = vec![KeySegment::Field("rules".to_owned()), KeySegment::Index(at - first)];
            path.extend_from_slice(rest);
            KeyPath(path)
        }
        _ => key,
    }
}
