//! A document in the parts that change and travel by themselves: one for each team, one for the rules that
//! are not for one team alone, one for models and groups.
//!
//! A part that was changed at two places at once has several *siblings*; what they mean together is what all
//! of them allow (see [`crate::compiled`]).

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::document::{is_pattern, Document, Group, Model, Rule, Team};

/// The name of a part, and its key in the replicated table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SectionKey {
    /// Models and groups.
    Catalogue,
    /// Rules for several teams, or by a pattern.
    Shared,
    /// A team's parents, and the rules for it alone.
    Team(String),
}

/// Models and groups.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    pub models: Vec<Model>,
    pub groups: Vec<Group>,
}

/// A team's entry: its parents, and the rules whose `teams` is this team's name alone.
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
    /// Whether it is such as the key names. A team's rules are for that team alone.
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

/// All parts with their siblings. A list without siblings is as one that says nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sections {
    pub catalogue: Vec<Catalogue>,
    pub shared: Vec<Vec<Rule>>,
    /// None among the siblings: one of the concurrent changes took the team away.
    pub teams: BTreeMap<String, Vec<Option<TeamSection>>>,
}

impl Sections {
    /// The parts of a document, one sibling each.
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

    /// The parts by key.
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

    /// The document that the first sibling of each part makes, as an admin reads it; where no part is in
    /// conflict, the whole truth.
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

    /// The parts that are in conflict.
    pub fn conflicts(&self) -> Vec<SectionKey> {
        let catalogue = (self.catalogue.len() > 1).then_some(SectionKey::Catalogue);
        let shared = (self.shared.len() > 1).then_some(SectionKey::Shared);
        let teams = self.teams.iter().filter(|(_, siblings)| siblings.len() > 1);
        let teams = teams.map(|(name, _)| SectionKey::Team(name.clone()));
        catalogue.into_iter().chain(shared).chain(teams).collect()
    }
}
