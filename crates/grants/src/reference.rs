//! The plain twin of [`crate::compiled`]: hash maps, and a scan over all rules at each check. It says the same
//! by other means, is the oracle of the property tests, and is what the bench compares with. Nothing runs it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::compiled::{RuleId, RuleName};
use crate::document::check::MAX_ANCESTOR_GENERATIONS;
use crate::document::{is_pattern, matches, Effect, Rule};
use crate::sections::{Catalogue, SectionKey, Sections, TeamSection};

pub struct Twin {
    sections: Sections,
    catalogues: Vec<HashMap<String, BTreeSet<String>>>,
    known: HashMap<String, String>,
    rules: HashMap<RuleName, u32>,
}

/// Whether, and what decided. Where siblings had to agree to allow, the rule named is any that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plain {
    pub allowed: bool,
    pub rule: RuleId,
    /// A part that has a say is in conflict.
    pub unsettled: bool,
}

impl Twin {
    pub fn of(sections: &Sections) -> Twin {
        let catalogues: Vec<_> = sections.catalogue.iter().map(meanings).collect();
        let mut known = HashMap::new();
        for (name, _) in catalogues.first().into_iter().flatten() {
            let models: Vec<Option<String>> =
                sections.catalogue.iter().map(|catalogue| resolve(catalogue, name)).collect();
            if let Some(model) = models.first().cloned().flatten() {
                let everywhere = sections.catalogue.iter().all(|c| c.models.iter().any(|m| m.name == model));
                if everywhere && models.iter().all(|other| other.as_ref() == Some(&model)) {
                    known.insert(name.clone(), model);
                }
            }
        }
        let mut names = BTreeSet::new();
        for rule in sections.shared.iter().flatten() {
            names.insert(RuleName { section: SectionKey::Shared, rule: rule.name.clone() });
        }
        for (team, siblings) in &sections.teams {
            for rule in siblings.iter().flatten().flat_map(|section| &section.rules) {
                names.insert(RuleName { section: SectionKey::Team(team.clone()), rule: rule.name.clone() });
            }
        }
        let rules = names.into_iter().zip(0u32..).collect();
        Twin { sections: sections.clone(), catalogues, known, rules }
    }

    pub fn check(&self, team: &str, model: &str, now: u64) -> Plain {
        let refused = |rule| Plain { allowed: false, rule, unsettled: false };
        if !self.sections.teams.contains_key(team) {
            return refused(RuleId::UnknownTeam);
        }
        let Some(model) = self.known.get(model) else { return refused(RuleId::UnknownModel) };
        let mut lineage = BTreeMap::new();
        if self.walk(team, 0, &mut lineage).is_none() {
            return refused(RuleId::Broken);
        }
        let mut holding = BTreeMap::new();
        for rule in self.sections.shared.iter().flatten() {
            if lineage.keys().any(|team| names(&rule.teams, team)) {
                self.hold(SectionKey::Shared, rule, model, now, &mut holding);
            }
        }
        for (team, siblings) in &lineage {
            for rule in siblings.iter().flatten().flat_map(|section| &section.rules) {
                self.hold(SectionKey::Team((*team).to_owned()), rule, model, now, &mut holding);
            }
        }
        let unsettled = self.sections.catalogue.len() > 1
            || self.sections.shared.len() > 1
            || lineage.values().any(|siblings| siblings.len() > 1);
        let first = |effect| holding.iter().find(|((_, is), ())| *is == effect).map(|((rule, _), ())| *rule);
        if let Some(rule) = first(Effect::Deny) {
            return Plain { allowed: false, rule: RuleId::Rule(rule), unsettled };
        }
        let none: &[Rule] = &[];
        let shared: Vec<&[Rule]> = match self.sections.shared.len() {
            0 => vec![none],
            _ => self.sections.shared.iter().map(Vec::as_slice).collect(),
        };
        let allowed = shared.iter().all(|shared| self.allows(team, shared, model, now));
        match first(Effect::Allow) {
            Some(rule) if allowed => Plain { allowed, rule: RuleId::Rule(rule), unsettled },
            _ if unsettled => Plain { allowed: false, rule: RuleId::Conflict, unsettled },
            _ => Plain { allowed: false, rule: RuleId::Default, unsettled },
        }
    }

    /// The team and all generations above, of any sibling; none if they cannot be made out.
    fn walk<'a>(
        &'a self, team: &'a str, depth: usize, seen: &mut BTreeMap<&'a str, &'a [Option<TeamSection>]>,
    ) -> Option<()> {
        let siblings = self.sections.teams.get(team)?;
        seen.insert(team, siblings);
        if depth > MAX_ANCESTOR_GENERATIONS {
            return None;
        }
        siblings
            .iter()
            .flatten()
            .flat_map(|section| &section.parents)
            .try_for_each(|parent| self.walk(parent, depth + 1, seen))
    }

    fn hold(
        &self, section: SectionKey, rule: &Rule, model: &str, now: u64, out: &mut BTreeMap<(u32, Effect), ()>,
    ) {
        if rule.is_active(now) && self.applies(rule, model) {
            let name = RuleName { section, rule: rule.name.clone() };
            out.insert((self.rules[&name], rule.effect), ());
        }
    }

    /// Whether the rule speaks of the model: to allow, in all catalogues; to deny, in any.
    fn applies(&self, rule: &Rule, model: &str) -> bool {
        let mut each = self.catalogues.iter().map(|meanings| {
            rule.models.iter().any(|wanted| match is_pattern(wanted) {
                true => matches(wanted, model),
                false => meanings.get(wanted).is_some_and(|models| models.contains(model)),
            })
        });
        match rule.effect {
            Effect::Allow => each.all(|it| it),
            Effect::Deny => each.any(|it| it),
        }
    }

    /// Whether, with these shared rules, every choice of siblings allows it.
    fn allows(&self, team: &str, shared: &[Rule], model: &str, now: u64) -> bool {
        let is =
            |rule: &Rule| rule.effect == Effect::Allow && rule.is_active(now) && self.applies(rule, model);
        shared.iter().any(|rule| names(&rule.teams, team) && is(rule))
            || self.sections.teams[team].iter().all(|section| {
                section.as_ref().is_some_and(|section| {
                    section.rules.iter().any(is)
                        || section.parents.iter().any(|parent| self.allows(parent, shared, model, now))
                })
            })
    }
}

fn names(wanted: &[String], team: &str) -> bool {
    wanted.iter().any(|wanted| if is_pattern(wanted) { matches(wanted, team) } else { wanted == team })
}

fn resolve(catalogue: &Catalogue, name: &str) -> Option<String> {
    let own = catalogue.models.iter().find(|model| model.name == name);
    let by_alias = || catalogue.models.iter().find(|model| model.aliases.iter().any(|alias| alias == name));
    own.or_else(by_alias).map(|model| model.name.clone())
}

/// What each name, alias and group of a catalogue stands for.
fn meanings(catalogue: &Catalogue) -> HashMap<String, BTreeSet<String>> {
    let mut meanings: HashMap<String, BTreeSet<String>> = HashMap::new();
    for group in &catalogue.groups {
        let mut within = BTreeSet::from([group.name.as_str()]);
        loop {
            let more = catalogue
                .groups
                .iter()
                .filter(|it| it.groups.iter().any(|parent| within.contains(parent.as_str())));
            let before = within.len();
            within.extend(more.map(|it| it.name.as_str()).collect::<Vec<_>>());
            if within.len() == before {
                break;
            }
        }
        let models = catalogue
            .models
            .iter()
            .filter(|m| m.groups.iter().any(|parent| within.contains(parent.as_str())));
        meanings.insert(group.name.clone(), models.map(|model| model.name.clone()).collect());
    }
    for name in catalogue.models.iter().flat_map(|model| model.aliases.iter().chain([&model.name])) {
        meanings.insert(name.clone(), resolve(catalogue, name).into_iter().collect());
    }
    meanings
}
