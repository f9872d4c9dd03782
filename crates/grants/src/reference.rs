//! Reference implementation of [`crate::compiled`], written for clarity instead of speed: hash maps, and a
//! scan of all rules at each check. The property tests use it as their oracle and the benchmark as its
//! baseline; nothing else calls it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::compiled::{DecisionReason, RuleName};
use crate::document::check::MAX_ANCESTOR_GENERATIONS;
use crate::document::{is_pattern, matches, Effect, Rule};
use crate::sections::{Catalogue, SectionKey, Sections, TeamSection};

pub struct ReferenceTable {
    sections: Sections,
    /// For each sibling of the catalogue, the models that each name stands for.
    expanded_names: Vec<HashMap<String, BTreeSet<String>>>,
    /// The model of each name or alias that resolves to the same model in all siblings of the catalogue.
    model_by_name: HashMap<String, String>,
    rule_indices: HashMap<RuleName, u32>,
}

/// The outcome of a check and its reason. If the siblings allow a call by different rules, `reason` is only
/// one of these rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReferenceDecision {
    pub allowed: bool,
    pub reason: DecisionReason,
    /// Whether a section that applies to the check is in conflict.
    pub in_conflict: bool,
}

impl ReferenceTable {
    pub fn new(sections: &Sections) -> ReferenceTable {
        let expanded_names: Vec<_> = sections.catalogue.iter().map(expand_names).collect();
        let mut model_by_name = HashMap::new();
        for (name, _) in expanded_names.first().into_iter().flatten() {
            let models: Vec<Option<String>> =
                sections.catalogue.iter().map(|catalogue| resolve(catalogue, name)).collect();
            if let Some(model) = models.first().cloned().flatten() {
                let in_all_catalogues =
                    sections.catalogue.iter().all(|c| c.models.iter().any(|m| m.name == model));
                if in_all_catalogues && models.iter().all(|other| other.as_ref() == Some(&model)) {
                    model_by_name.insert(name.clone(), model);
                }
            }
        }
        let mut rule_names = BTreeSet::new();
        for rule in sections.shared.iter().flatten() {
            rule_names.insert(RuleName { section: SectionKey::Shared, rule: rule.name.clone() });
        }
        for (team, siblings) in &sections.teams {
            for rule in siblings.iter().flatten().flat_map(|section| &section.rules) {
                rule_names
                    .insert(RuleName { section: SectionKey::Team(team.clone()), rule: rule.name.clone() });
            }
        }
        let rule_indices = rule_names.into_iter().zip(0u32..).collect();
        ReferenceTable { sections: sections.clone(), expanded_names, model_by_name, rule_indices }
    }

    pub fn check(&self, team: &str, model: &str, now: u64) -> ReferenceDecision {
        let refused = |reason| ReferenceDecision { allowed: false, reason, in_conflict: false };
        if !self.sections.teams.contains_key(team) {
            return refused(DecisionReason::UnknownTeam);
        }
        let Some(model) = self.model_by_name.get(model) else { return refused(DecisionReason::UnknownModel) };
        let mut lineage = BTreeMap::new();
        if self.collect_lineage(team, 0, &mut lineage).is_none() {
            return refused(DecisionReason::UnresolvedParents);
        }
        let mut matching = BTreeMap::new();
        for rule in self.sections.shared.iter().flatten() {
            if lineage.keys().any(|team| names_team(&rule.teams, team)) {
                self.collect_if_matching(SectionKey::Shared, rule, model, now, &mut matching);
            }
        }
        for (team, siblings) in &lineage {
            for rule in siblings.iter().flatten().flat_map(|section| &section.rules) {
                self.collect_if_matching(
                    SectionKey::Team((*team).to_owned()),
                    rule,
                    model,
                    now,
                    &mut matching,
                );
            }
        }
        let in_conflict = self.sections.catalogue.len() > 1
            || self.sections.shared.len() > 1
            || lineage.values().any(|siblings| siblings.len() > 1);
        let first =
            |effect| matching.iter().find(|((_, found), ())| *found == effect).map(|((rule, _), ())| *rule);
        if let Some(rule) = first(Effect::Deny) {
            return ReferenceDecision { allowed: false, reason: DecisionReason::Rule(rule), in_conflict };
        }
        let no_rules: &[Rule] = &[];
        let shared: Vec<&[Rule]> = match self.sections.shared.len() {
            0 => vec![no_rules],
            _ => self.sections.shared.iter().map(Vec::as_slice).collect(),
        };
        let allowed = shared.iter().all(|shared| self.allows(team, shared, model, now));
        match first(Effect::Allow) {
            Some(rule) if allowed => {
                ReferenceDecision { allowed, reason: DecisionReason::Rule(rule), in_conflict }
            }
            _ if in_conflict => {
                ReferenceDecision { allowed: false, reason: DecisionReason::Conflict, in_conflict }
            }
            _ => ReferenceDecision { allowed: false, reason: DecisionReason::Default, in_conflict },
        }
    }

    /// Collects the team and all generations above it, over all siblings. Returns `None` if a parent is
    /// missing or the depth exceeds the maximum, as it does in a cycle.
    fn collect_lineage<'a>(
        &'a self, team: &'a str, depth: usize, lineage: &mut BTreeMap<&'a str, &'a [Option<TeamSection>]>,
    ) -> Option<()> {
        let siblings = self.sections.teams.get(team)?;
        lineage.insert(team, siblings);
        if depth > MAX_ANCESTOR_GENERATIONS {
            return None;
        }
        siblings
            .iter()
            .flatten()
            .flat_map(|section| &section.parents)
            .try_for_each(|parent| self.collect_lineage(parent, depth + 1, lineage))
    }

    fn collect_if_matching(
        &self, section: SectionKey, rule: &Rule, model: &str, now: u64, out: &mut BTreeMap<(u32, Effect), ()>,
    ) {
        if rule.is_active(now) && self.covers_model(rule, model) {
            let name = RuleName { section, rule: rule.name.clone() };
            out.insert((self.rule_indices[&name], rule.effect), ());
        }
    }

    /// Returns whether the rule covers the model: in all catalogues for a rule that allows, in any for one
    /// that denies.
    fn covers_model(&self, rule: &Rule, model: &str) -> bool {
        let mut by_catalogue = self.expanded_names.iter().map(|expanded| {
            rule.models.iter().any(|wanted| match is_pattern(wanted) {
                true => matches(wanted, model),
                false => expanded.get(wanted).is_some_and(|models| models.contains(model)),
            })
        });
        match rule.effect {
            Effect::Allow => by_catalogue.all(|covered| covered),
            Effect::Deny => by_catalogue.any(|covered| covered),
        }
    }

    /// Returns whether every choice of siblings allows the call, given one sibling of the shared rules.
    fn allows(&self, team: &str, shared: &[Rule], model: &str, now: u64) -> bool {
        let rule_allows = |rule: &Rule| {
            rule.effect == Effect::Allow && rule.is_active(now) && self.covers_model(rule, model)
        };
        shared.iter().any(|rule| names_team(&rule.teams, team) && rule_allows(rule))
            || self.sections.teams[team].iter().all(|section| {
                section.as_ref().is_some_and(|section| {
                    section.rules.iter().any(rule_allows)
                        || section.parents.iter().any(|parent| self.allows(parent, shared, model, now))
                })
            })
    }
}

fn names_team(wanted: &[String], team: &str) -> bool {
    wanted.iter().any(|wanted| if is_pattern(wanted) { matches(wanted, team) } else { wanted == team })
}

fn resolve(catalogue: &Catalogue, name: &str) -> Option<String> {
    let own = catalogue.models.iter().find(|model| model.name == name);
    let by_alias = || catalogue.models.iter().find(|model| model.aliases.iter().any(|alias| alias == name));
    own.or_else(by_alias).map(|model| model.name.clone())
}

/// Returns the models that each name, alias and group of a catalogue stands for.
fn expand_names(catalogue: &Catalogue) -> HashMap<String, BTreeSet<String>> {
    let mut expanded: HashMap<String, BTreeSet<String>> = HashMap::new();
    for group in &catalogue.groups {
        let mut subgroups = BTreeSet::from([group.name.as_str()]);
        loop {
            let more = catalogue
                .groups
                .iter()
                .filter(|other| other.groups.iter().any(|parent| subgroups.contains(parent.as_str())));
            let before = subgroups.len();
            subgroups.extend(more.map(|other| other.name.as_str()).collect::<Vec<_>>());
            if subgroups.len() == before {
                break;
            }
        }
        let models = catalogue
            .models
            .iter()
            .filter(|m| m.groups.iter().any(|parent| subgroups.contains(parent.as_str())));
        expanded.insert(group.name.clone(), models.map(|model| model.name.clone()).collect());
    }
    for name in catalogue.models.iter().flat_map(|model| model.aliases.iter().chain([&model.name])) {
        expanded.insert(name.clone(), resolve(catalogue, name).into_iter().collect());
    }
    expanded
}
