//! From parts to the table.

use std::collections::{BTreeSet, HashMap};

use crate::document::check::MAX_ANCESTOR_GENERATIONS;
use crate::document::{is_pattern, matches, Effect, Rule};
use crate::hierarchy::{depths, topological_order};
use crate::sections::{SectionKey, Sections, TeamSection};

use super::clauses::{Clause, ClauseId, Clauses};
use super::models::{ModelSet, Names, Resolver};
use super::rows::{rows, RowPlan};
use super::timelines::Verdicts;
use super::{RuleId, RuleName, Table};

/// Something in merged parts that cannot be made out, and refuses for that.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Trouble {
    #[error("team `{team}` has a parent `{parent}` that nobody knows; the team is refused everything")]
    NoParent { team: String, parent: String },
    #[error("team `{team}` stands in or under a circle of parents, or too deep; it is refused everything")]
    Circle { team: String },
    #[error(
        "the differing rules for team `{team}` are too many to weigh; some of what all allow is refused"
    )]
    Many { team: String },
}

impl Trouble {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Trouble::NoParent { .. } => "put the parent back, or change the team's parents",
            Trouble::Circle { .. } => "change the parents of one team in the circle",
            Trouble::Many { .. } => "settle the conflict: put the team's entry against its present version",
        }
    }
}

/// Both effects' clauses of one list of rules.
#[derive(Clone, Default)]
struct Said {
    denies: BTreeSet<ClauseId>,
    allows: BTreeSet<ClauseId>,
}

struct Builder<'a> {
    resolvers: Vec<Resolver<'a>>,
    models: usize,
    clauses: Clauses,
    rules: HashMap<(SectionKey, &'a str), u32>,
}

impl Builder<'_> {
    /// The rule as a clause, if it can ever hold: another member's bytes may say that it ends before it begins.
    /// Of several catalogues, allowing needs all of them and denying any.
    fn clause(&mut self, section: &SectionKey, rule: &Rule) -> Option<ClauseId> {
        let (from, until) = (rule.from.unwrap_or(0), rule.until.unwrap_or(u64::MAX));
        let sets = self.resolvers.iter().map(|resolver| resolver.models(&rule.models));
        let models = sets.reduce(|mut some, more| {
            match rule.effect {
                Effect::Allow => some.intersect(&more),
                Effect::Deny => some.unite(&more),
            }
            some
        });
        let models = models.unwrap_or_else(|| ModelSet::none(self.models));
        let named = self.rules.get(&(section.clone(), rule.name.as_str())).copied().unwrap_or(u32::MAX);
        let clause = Clause { models, from, until, rule: named, streams: rule.streams };
        (from < until).then(|| self.clauses.intern(clause))
    }

    fn said(&mut self, section: &SectionKey, rules: &[Rule]) -> Said {
        let mut said = Said::default();
        for rule in rules {
            let Some(clause) = self.clause(section, rule) else { continue };
            match rule.effect {
                Effect::Allow => said.allows.insert(clause),
                Effect::Deny => said.denies.insert(clause),
            };
        }
        said
    }
}

pub fn build(sections: &Sections, stamp: u64) -> Table {
    let models = Names::of(&sections.catalogue);
    let names: Vec<&str> = sections.teams.keys().map(String::as_str).collect();
    let index: HashMap<&str, usize> = names.iter().enumerate().map(|(at, &name)| (name, at)).collect();
    let rules = rule_names(sections);
    let mut builder = Builder {
        resolvers: sections.catalogue.iter().map(|catalogue| Resolver::of(catalogue, &models)).collect(),
        models: models.names().len(),
        clauses: Clauses::default(),
        rules: (0u32..)
            .zip(&rules)
            .map(|(at, name)| ((name.section.clone(), name.rule.as_str()), at))
            .collect(),
    };
    let shared = shared(sections, &names, &index, &mut builder);
    let (above, broken, mut troubles) = lineage(sections, &names, &index);
    let siblings: Vec<&[Option<TeamSection>]> = sections.teams.values().map(Vec::as_slice).collect();

    // By sibling of the shared rules, then by team: the clauses that allow. By team: those that deny.
    let mut allows = vec![vec![BTreeSet::new(); names.len()]; shared.len()];
    let mut denies = vec![BTreeSet::new(); names.len()];
    let mut plans = vec![None; names.len()];
    let everywhere = sections.catalogue.len() > 1 || sections.shared.len() > 1;
    let mut unsettled: Vec<bool> = siblings.iter().map(|own| everywhere || own.len() > 1).collect();
    for team in topological_order(&above) {
        if broken[team] {
            continue;
        }
        let key = SectionKey::Team(names[team].to_owned());
        let mut lists = vec![Vec::new(); shared.len()];
        let mut short = false;
        for section in siblings[team] {
            let own = section.as_ref().map(|section| builder.said(&key, &section.rules)).unwrap_or_default();
            denies[team].extend(own.denies);
            for (list, before) in lists.iter_mut().zip(&allows) {
                let mut all = own.allows.clone();
                for parent in section.iter().flat_map(|section| &section.parents) {
                    all.extend(index.get(parent.as_str()).into_iter().flat_map(|&up| &before[up]));
                }
                list.push(all);
            }
        }
        for &up in &above[team] {
            let inherited = denies[up].clone();
            denies[team].extend(inherited);
            unsettled[team] |= unsettled[up];
        }
        let mut by_shared = Vec::new();
        for (at, list) in lists.into_iter().enumerate() {
            let (mut both, left_out) = builder.clauses.all_of(list);
            short |= left_out;
            both.extend(&shared[at][team].allows);
            denies[team].extend(&shared[at][team].denies);
            allows[at][team] = both.clone();
            by_shared.push(both);
        }
        let (all, left_out) = builder.clauses.all_of(by_shared);
        if short || left_out {
            troubles.push(Trouble::Many { team: names[team].to_owned() });
        }
        let sorted = |set: &BTreeSet<ClauseId>, clauses: &Clauses| {
            let mut list: Vec<ClauseId> = set.iter().copied().collect();
            clauses.sort(&mut list);
            list
        };
        plans[team] = Some(RowPlan {
            denies: sorted(&denies[team], &builder.clauses),
            allows: sorted(&all, &builder.clauses),
            otherwise: if unsettled[team] { RuleId::Conflict } else { RuleId::Default },
        });
    }
    let refused = RowPlan { denies: Vec::new(), allows: Vec::new(), otherwise: RuleId::Broken };
    let plans = plans.into_iter().map(|plan| plan.unwrap_or_else(|| refused.clone())).collect();
    let mut verdicts = Verdicts::default();
    let rows = rows(models.names().len(), plans, &builder.clauses, &mut verdicts);
    let mut changes: Vec<u64> = verdicts.all.iter().flat_map(super::Verdict::changes).collect();
    changes.sort_unstable();
    changes.dedup();
    let team_names: Vec<Box<str>> = names.iter().map(|&name| name.into()).collect();
    let teams = team_names.iter().enumerate().map(|(at, name)| (name.clone(), at as u32)).collect();
    drop(builder);
    Table { stamp, teams, team_names, models, rules, rows, verdicts: verdicts.all, changes, troubles }
}

/// Every rule's name, in the order in which they decide.
fn rule_names(sections: &Sections) -> Vec<RuleName> {
    let mut names = BTreeSet::new();
    let mut add = |section: SectionKey, rules: &[Rule]| {
        names.extend(rules.iter().map(|rule| RuleName { section: section.clone(), rule: rule.name.clone() }));
    };
    sections.shared.iter().for_each(|rules| add(SectionKey::Shared, rules));
    for (name, siblings) in &sections.teams {
        siblings.iter().flatten().for_each(|section| add(SectionKey::Team(name.clone()), &section.rules));
    }
    names.into_iter().collect()
}

/// By sibling of the shared rules, by team: what they say of the team by its own name.
fn shared(
    sections: &Sections, names: &[&str], index: &HashMap<&str, usize>, builder: &mut Builder,
) -> Vec<Vec<Said>> {
    let none: &[Rule] = &[];
    let lists = if sections.shared.is_empty() {
        vec![none]
    } else {
        sections.shared.iter().map(Vec::as_slice).collect()
    };
    let mut by_list = Vec::new();
    for rules in lists {
        let mut said = vec![Said::default(); names.len()];
        for rule in rules {
            let Some(clause) = builder.clause(&SectionKey::Shared, rule) else { continue };
            let mut add = |team: usize| {
                match rule.effect {
                    Effect::Allow => said[team].allows.insert(clause),
                    Effect::Deny => said[team].denies.insert(clause),
                };
            };
            for wanted in &rule.teams {
                if is_pattern(wanted) {
                    let all = names.iter().enumerate();
                    all.filter(|(_, name)| matches(wanted, name)).for_each(|(team, _)| add(team));
                } else {
                    index.get(wanted.as_str()).copied().into_iter().for_each(&mut add);
                }
            }
        }
        by_list.push(said);
    }
    by_list
}

/// Each team's parents, of all siblings together; which teams' parents cannot be made out; and why.
fn lineage(
    sections: &Sections, names: &[&str], index: &HashMap<&str, usize>,
) -> (Vec<Vec<usize>>, Vec<bool>, Vec<Trouble>) {
    let mut above = Vec::new();
    let mut broken = vec![false; names.len()];
    let mut troubles = Vec::new();
    for (team, siblings) in sections.teams.values().enumerate() {
        let mut parents = BTreeSet::new();
        for parent in siblings.iter().flatten().flat_map(|section| &section.parents) {
            match index.get(parent.as_str()) {
                Some(&up) => drop(parents.insert(up)),
                None => {
                    broken[team] = true;
                    let (team, parent) = (names[team].to_owned(), parent.clone());
                    troubles.push(Trouble::NoParent { team, parent });
                }
            }
        }
        above.push(parents.into_iter().collect::<Vec<_>>());
    }
    for (team, depth) in depths(&above).into_iter().enumerate() {
        if depth.is_none_or(|depth| depth > MAX_ANCESTOR_GENERATIONS) {
            broken[team] = true;
            troubles.push(Trouble::Circle { team: names[team].to_owned() });
        }
    }
    for team in topological_order(&above) {
        broken[team] = broken[team] || above[team].iter().any(|&up| broken[up]);
    }
    (above, broken, troubles)
}
