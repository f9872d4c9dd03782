//! Sections: a document split into the units that are changed and replicated independently. Each team has a
//! section, all rules that are not for a single team share one, and models and groups share one.
//!
//! A section that was changed concurrently at two members has several *siblings*. Together they allow only
//! what all of them allow (see [`crate::compiled`]).

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::document::{is_pattern, Document, Group, Model, Rule, Team};

/// The name of a section, and its key in the replicated table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SectionKey {
    /// Models and groups.
    Catalogue,
    /// Rules that name several teams or a pattern.
    Shared,
    /// The parents of one team, and the rules for that team alone.
    Team(String),
}

/// Models and groups.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    pub models: Vec<Model>,
    pub groups: Vec<Group>,
}

/// The entry of one team: its parents, and the rules whose `teams` is exactly this team's name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSection {
    #[serde(default)]
    pub parents: Vec<String>,
    #[serde(default)]
    pub rules: Vec<Rule>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Section {
    Catalogue(Catalogue),
    Shared(Vec<Rule>),
    Team(TeamSection),
}

impl fmt::Display for SectionKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SectionKey::Catalogue => out.write_str("the list of models and groups"),
            SectionKey::Shared => out.write_str("the list of rules for several teams"),
            SectionKey::Team(name) => write!(out, "team `{name}`"),
        }
    }
}

impl Section {
    /// Returns whether the section is of the kind that the key names. The rules in a team's section must be
    /// for that team alone.
    pub fn matches_key(&self, key: &SectionKey) -> bool {
        match (self, key) {
            (Section::Catalogue(_), SectionKey::Catalogue) | (Section::Shared(_), SectionKey::Shared) => true,
            (Section::Team(section), SectionKey::Team(name)) => {
                section.rules.iter().all(|rule| rule.teams.as_slice() == std::slice::from_ref(name))
            }
            _ => false,
        }
    }
}

/// All sections with their siblings. For `catalogue` and `shared`, a list without siblings means the same as
/// one empty sibling; a team without siblings is not listed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sections {
    pub catalogue: Vec<Catalogue>,
    pub shared: Vec<Vec<Rule>>,
    /// `None` is the sibling of a concurrent change that removed the team.
    pub teams: BTreeMap<String, Vec<Option<TeamSection>>>,
}

impl Sections {
    /// Splits a document into its sections, with one sibling each.
    pub fn from_document(document: &Document) -> Sections {
        let mut teams: BTreeMap<String, Vec<Option<TeamSection>>> = BTreeMap::new();
        for team in &document.teams {
            let section = TeamSection { parents: team.parents.clone(), rules: Vec::new() };
            teams.insert(team.name.clone(), vec![Some(section)]);
        }
        let mut shared = Vec::new();
        for rule in &document.rules {
            let single_team = match rule.teams.as_slice() {
                [team] if !is_pattern(team) => teams.get_mut(team),
                _ => None,
            };
            match single_team.and_then(|siblings| siblings[0].as_mut()) {
                Some(section) => section.rules.push(rule.clone()),
                None => shared.push(rule.clone()),
            }
        }
        let catalogue = Catalogue { models: document.models.clone(), groups: document.groups.clone() };
        Sections { catalogue: vec![catalogue], shared: vec![shared], teams }
    }

    /// Splits a document into its sections, by key.
    pub fn by_key(document: &Document) -> BTreeMap<SectionKey, Section> {
        let sections = Sections::from_document(document);
        let catalogue = sections
            .catalogue
            .into_iter()
            .map(|section| (SectionKey::Catalogue, Section::Catalogue(section)));
        let shared =
            sections.shared.into_iter().map(|section| (SectionKey::Shared, Section::Shared(section)));
        let teams = sections.teams.into_iter().flat_map(|(name, siblings)| {
            siblings
                .into_iter()
                .flatten()
                .map(move |section| (SectionKey::Team(name.clone()), Section::Team(section)))
        });
        catalogue.chain(shared).chain(teams).collect()
    }

    /// Joins the first sibling of each section into a document for an administrator to read; of a team, the
    /// first one that is not a removal. The document is complete if no section is in conflict.
    pub fn to_document(&self) -> Document {
        let mut document = Document::default();
        if let Some(catalogue) = self.catalogue.first() {
            document.models = catalogue.models.clone();
            document.groups = catalogue.groups.clone();
        }
        document.rules.extend(self.shared.first().into_iter().flatten().cloned());
        for (name, siblings) in &self.teams {
            if let Some(section) = siblings.iter().flatten().next() {
                document.teams.push(Team { name: name.clone(), parents: section.parents.clone() });
                document.rules.extend(section.rules.iter().cloned());
            }
        }
        document
    }

    /// Returns the keys of the sections that are in conflict.
    pub fn conflicts(&self) -> Vec<SectionKey> {
        let catalogue = (self.catalogue.len() > 1).then_some(SectionKey::Catalogue);
        let shared = (self.shared.len() > 1).then_some(SectionKey::Shared);
        let teams = self.teams.iter().filter(|(_, siblings)| siblings.len() > 1);
        let teams = teams.map(|(name, _)| SectionKey::Team(name.clone()));
        catalogue.into_iter().chain(shared).chain(teams).collect()
    }
}
