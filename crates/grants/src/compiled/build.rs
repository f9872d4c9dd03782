//! The compiler: builds a table from sections.

use std::collections::{BTreeSet, HashMap};

use crate::document::check::MAX_ANCESTOR_GENERATIONS;
use crate::document::{is_pattern, matches, Effect, Rule};
use crate::hierarchy::{depths, topological_order};
use crate::sections::{SectionKey, Sections, TeamSection};

use super::clauses::{Clause, ClauseId, Clauses};
use super::models::{ModelNames, ModelResolver, ModelSet};
use super::rows::{build_rows, RowPlan};
use super::timelines::Timelines;
use super::{DecisionReason, RuleName, Table};

/// A problem in merged sections that makes the table refuse calls.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CompileWarning {
    #[error("team `{team}` has an unknown parent `{parent}`; all calls of the team are refused")]
    UnknownParent { team: String, parent: String },
    #[error(
        "team `{team}` is in or below a cycle of parents, or too deep; all calls of the team are refused"
    )]
    ParentCycle { team: String },
    #[error(
        "the conflicting rules of team `{team}` have too many combinations; some calls that all allow are refused"
    )]
    TooManyCombinations { team: String },
}

impl CompileWarning {
    /// Returns what an operator can do about the problem.
    pub fn advice(&self) -> &'static str {
        match self {
            CompileWarning::UnknownParent { .. } => "restore the parent, or change the team's parents",
            CompileWarning::ParentCycle { .. } => "change the parents of one team in the cycle",
            CompileWarning::TooManyCombinations { .. } => {
                "resolve the conflict: submit the team's entry against its current version"
            }
        }
    }
}

/// The clauses of one list of rules, by effect.
#[derive(Clone, Default)]
struct RuleClauses {
    denies: BTreeSet<ClauseId>,
    allows: BTreeSet<ClauseId>,
}

struct Builder<'a> {
    /// One resolver for each sibling of the catalogue.
    resolvers: Vec<ModelResolver<'a>>,
    /// Number of models in the table.
    models: usize,
    clauses: Clauses,
    rules: HashMap<(SectionKey, &'a str), u32>,
}

impl Builder<'_> {
    /// Converts a rule to a clause. Returns `None` if the rule is never valid: data from another member is
    /// not validated and may have an end before its start. With several catalogues, a rule that allows covers
    /// the models that it names in all of them; a rule that denies covers the models that it names in any of
    /// them.
    fn clause(&mut self, section: &SectionKey, rule: &Rule) -> Option<ClauseId> {
        let (from, until) = (rule.from.unwrap_or(0), rule.until.unwrap_or(u64::MAX));
        let sets = self.resolvers.iter().map(|resolver| resolver.models(&rule.models));
        let models = sets.reduce(|mut combined, next| {
            match rule.effect {
                Effect::Allow => combined.intersect_with(&next),
                Effect::Deny => combined.union_with(&next),
            }
            combined
        });
        let models = models.unwrap_or_else(|| ModelSet::empty(self.models));
        let rule_index = self.rules.get(&(section.clone(), rule.name.as_str())).copied().unwrap_or(u32::MAX);
        let clause = Clause { models, from, until, rule: rule_index, stream_policy: rule.streams };
        (from < until).then(|| self.clauses.intern(clause))
    }

    fn rule_clauses(&mut self, section: &SectionKey, rules: &[Rule]) -> RuleClauses {
        let mut found = RuleClauses::default();
        for rule in rules {
            let Some(clause) = self.clause(section, rule) else { continue };
            match rule.effect {
                Effect::Allow => found.allows.insert(clause),
                Effect::Deny => found.denies.insert(clause),
            };
        }
        found
    }
}

pub fn build(sections: &Sections, table_id: u64) -> Table {
    let models = ModelNames::new(&sections.catalogue);
    let names: Vec<&str> = sections.teams.keys().map(String::as_str).collect();
    let index: HashMap<&str, usize> = names.iter().enumerate().map(|(at, &name)| (name, at)).collect();
    let rules = rule_names(sections);
    let mut builder = Builder {
        resolvers: sections
            .catalogue
            .iter()
            .map(|catalogue| ModelResolver::new(catalogue, &models))
            .collect(),
        models: models.names().len(),
        clauses: Clauses::default(),
        rules: (0u32..)
            .zip(&rules)
            .map(|(at, name)| ((name.section.clone(), name.rule.as_str()), at))
            .collect(),
    };
    let shared = shared_clauses(sections, &names, &index, &mut builder);
    let (parents, unresolved, mut warnings) = resolve_parents(sections, &names, &index);
    let siblings: Vec<&[Option<TeamSection>]> = sections.teams.values().map(Vec::as_slice).collect();

    // `allows[shared sibling][team]` holds the clauses that allow, `denies[team]` those that deny.
    let mut allows = vec![vec![BTreeSet::new(); names.len()]; shared.len()];
    let mut denies = vec![BTreeSet::new(); names.len()];
    let mut plans = vec![None; names.len()];
    let global_conflict = sections.catalogue.len() > 1 || sections.shared.len() > 1;
    let mut in_conflict: Vec<bool> = siblings.iter().map(|own| global_conflict || own.len() > 1).collect();
    for team in topological_order(&parents) {
        if unresolved[team] {
            continue;
        }
        let key = SectionKey::Team(names[team].to_owned());
        let mut lists = vec![Vec::new(); shared.len()];
        let mut truncated = false;
        for section in siblings[team] {
            let own = section
                .as_ref()
                .map(|section| builder.rule_clauses(&key, &section.rules))
                .unwrap_or_default();
            denies[team].extend(own.denies);
            for (list, allows_by_team) in lists.iter_mut().zip(&allows) {
                let mut all = own.allows.clone();
                for parent in section.iter().flat_map(|section| &section.parents) {
                    all.extend(
                        index
                            .get(parent.as_str())
                            .into_iter()
                            .flat_map(|&parent_index| &allows_by_team[parent_index]),
                    );
                }
                list.push(all);
            }
        }
        for &parent_index in &parents[team] {
            let inherited = denies[parent_index].clone();
            denies[team].extend(inherited);
            in_conflict[team] |= in_conflict[parent_index];
        }
        let mut by_shared = Vec::new();
        for (at, list) in lists.into_iter().enumerate() {
            let (mut allowed_by_all, limit_reached) = builder.clauses.intersect_lists(list);
            truncated |= limit_reached;
            allowed_by_all.extend(&shared[at][team].allows);
            denies[team].extend(&shared[at][team].denies);
            allows[at][team] = allowed_by_all.clone();
            by_shared.push(allowed_by_all);
        }
        let (all, limit_reached) = builder.clauses.intersect_lists(by_shared);
        if truncated || limit_reached {
            warnings.push(CompileWarning::TooManyCombinations { team: names[team].to_owned() });
        }
        let sorted = |set: &BTreeSet<ClauseId>, clauses: &Clauses| {
            let mut list: Vec<ClauseId> = set.iter().copied().collect();
            clauses.sort(&mut list);
            list
        };
        plans[team] = Some(RowPlan {
            denies: sorted(&denies[team], &builder.clauses),
            allows: sorted(&all, &builder.clauses),
            default_reason: if in_conflict[team] {
                DecisionReason::Conflict
            } else {
                DecisionReason::Default
            },
        });
    }
    let refuse_all =
        RowPlan { denies: Vec::new(), allows: Vec::new(), default_reason: DecisionReason::UnresolvedParents };
    let plans = plans.into_iter().map(|plan| plan.unwrap_or_else(|| refuse_all.clone())).collect();
    let mut timelines = Timelines::default();
    let rows = build_rows(models.names().len(), plans, &builder.clauses, &mut timelines);
    let mut change_times: Vec<u64> = timelines.all.iter().flat_map(super::Timeline::change_times).collect();
    change_times.sort_unstable();
    change_times.dedup();
    let team_names: Vec<Box<str>> = names.iter().map(|&name| name.into()).collect();
    let teams = team_names.iter().enumerate().map(|(at, name)| (name.clone(), at as u32)).collect();
    drop(builder);
    Table {
        table_id,
        teams,
        team_names,
        models,
        rules,
        rows,
        timelines: timelines.all,
        change_times,
        warnings,
    }
}

/// Returns the names of all rules in their order of precedence.
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

/// Returns, for each sibling of the shared rules and each team, the clauses of the rules that name the team
/// itself.
fn shared_clauses(
    sections: &Sections, names: &[&str], index: &HashMap<&str, usize>, builder: &mut Builder,
) -> Vec<Vec<RuleClauses>> {
    let no_rules: &[Rule] = &[];
    let lists = if sections.shared.is_empty() {
        vec![no_rules]
    } else {
        sections.shared.iter().map(Vec::as_slice).collect()
    };
    let mut by_list = Vec::new();
    for rules in lists {
        let mut by_team = vec![RuleClauses::default(); names.len()];
        for rule in rules {
            let Some(clause) = builder.clause(&SectionKey::Shared, rule) else { continue };
            let mut add = |team: usize| {
                match rule.effect {
                    Effect::Allow => by_team[team].allows.insert(clause),
                    Effect::Deny => by_team[team].denies.insert(clause),
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
        by_list.push(by_team);
    }
    by_list
}

/// Returns the parents of each team, over all siblings; whether each team's lineage is unresolved (a parent
/// of it or of a team above it is unknown, in a cycle, or too many generations up); and a warning for each
/// cause.
fn resolve_parents(
    sections: &Sections, names: &[&str], index: &HashMap<&str, usize>,
) -> (Vec<Vec<usize>>, Vec<bool>, Vec<CompileWarning>) {
    let mut parents_by_team = Vec::new();
    let mut unresolved = vec![false; names.len()];
    let mut warnings = Vec::new();
    for (team, siblings) in sections.teams.values().enumerate() {
        let mut parents = BTreeSet::new();
        for parent in siblings.iter().flatten().flat_map(|section| &section.parents) {
            match index.get(parent.as_str()) {
                Some(&parent_index) => drop(parents.insert(parent_index)),
                None => {
                    unresolved[team] = true;
                    let (team, parent) = (names[team].to_owned(), parent.clone());
                    warnings.push(CompileWarning::UnknownParent { team, parent });
                }
            }
        }
        parents_by_team.push(parents.into_iter().collect::<Vec<_>>());
    }
    for (team, depth) in depths(&parents_by_team).into_iter().enumerate() {
        if depth.is_none_or(|depth| depth > MAX_ANCESTOR_GENERATIONS) {
            unresolved[team] = true;
            warnings.push(CompileWarning::ParentCycle { team: names[team].to_owned() });
        }
    }
    for team in topological_order(&parents_by_team) {
        unresolved[team] =
            unresolved[team] || parents_by_team[team].iter().any(|&parent_index| unresolved[parent_index]);
    }
    (parents_by_team, unresolved, warnings)
}
