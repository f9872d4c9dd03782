//! Validation of documents beyond their syntax: that names exist and are unique, that there are no cycles,
//! and that limits are kept.

use std::collections::{HashMap, HashSet};

use super::error::{Fault, NameKind};
use super::pattern::is_pattern;
use super::position::KeyPath;
use super::{Document, Rule};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Maximum number of generations above a team.
pub const MAX_ANCESTOR_GENERATIONS: usize = 64;
/// Maximum number of teams, of groups, of rules, and of models together with their aliases.
pub const MAX_ENTRIES: usize = 100_000;
/// Maximum number of names in a list of parents or groups, or in a list of a rule. Aliases are limited by
/// [`MAX_ENTRIES`] instead.
pub const MAX_LIST_NAMES: usize = 10_000;

/// Returns the faults of the document, in the order of the checks; an empty list if it is valid. Lists all
/// faults, except that only the first team with too many generations and one cycle each of teams and of
/// groups are reported.
pub fn find_faults(document: &Document) -> Vec<(KeyPath, Fault)> {
    let mut found = Vec::new();
    check_counts(document, &mut found);
    let teams = check_teams(document, &mut found);
    let (named, groups) = check_models(document, &mut found);
    check_references(document, &teams, &groups, &mut found);
    let mut rules = HashSet::new();
    for (at, rule) in document.rules.iter().enumerate() {
        let key = |field| KeyPath::list_item("rule", at, field);
        check_name(&rule.name, key("name"), &mut found);
        if !rules.insert(rule.name.as_str()) {
            found.push((key("name"), Fault::DuplicateName { kind: NameKind::Rule, name: rule.name.clone() }));
        }
        check_rule_list(&rule.teams, NameKind::Team, &teams, &key("teams"), &mut found);
        check_rule_list(&rule.models, NameKind::Model, &named, &key("models"), &mut found);
        check_window(rule, key("until"), &mut found);
    }
    check_generations(document, &mut found);
    check_cycles(document, &mut found);
    found
}

type Found = Vec<(KeyPath, Fault)>;

fn check_counts(document: &Document, found: &mut Found) {
    let model_names = document.models.iter().map(|model| 1 + model.aliases.len()).sum();
    for (what, count) in [
        ("team", document.teams.len()),
        ("model", model_names),
        ("group", document.groups.len()),
        ("rule", document.rules.len()),
    ] {
        if count > MAX_ENTRIES {
            found.push((
                KeyPath::list_item(what, MAX_ENTRIES, ""),
                Fault::LimitExceeded { what, count, limit: MAX_ENTRIES },
            ));
        }
    }
}

fn check_name(name: &str, key: KeyPath, found: &mut Found) {
    let valid = !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && !is_pattern(name)
        && !name.chars().any(char::is_control);
    if !valid {
        found.push((key, Fault::InvalidName { name: name.to_owned(), limit: MAX_NAME_BYTES }));
    }
}

/// Returns the names of all teams.
fn check_teams<'a>(document: &'a Document, found: &mut Found) -> HashSet<&'a str> {
    let mut seen = HashSet::new();
    for (at, team) in document.teams.iter().enumerate() {
        let key = KeyPath::list_item("team", at, "name");
        check_name(&team.name, key.clone(), found);
        if !seen.insert(team.name.as_str()) {
            found.push((key, Fault::DuplicateName { kind: NameKind::Team, name: team.name.clone() }));
        }
    }
    seen
}

/// Returns all names that a rule may use for models, and the group names among them.
fn check_models<'a>(document: &'a Document, found: &mut Found) -> (HashSet<&'a str>, HashSet<&'a str>) {
    let mut seen = HashSet::new();
    let mut groups = HashSet::new();
    let mut add = |text: &'a str, key: KeyPath| {
        check_name(text, key.clone(), found);
        if !seen.insert(text) {
            found.push((key, Fault::DuplicateName { kind: NameKind::Model, name: text.to_owned() }));
        }
    };
    for (at, group) in document.groups.iter().enumerate() {
        add(&group.name, KeyPath::list_item("group", at, "name"));
        groups.insert(group.name.as_str());
    }
    for (at, model) in document.models.iter().enumerate() {
        add(&model.name, KeyPath::list_item("model", at, "name"));
        for (nth, alias) in model.aliases.iter().enumerate() {
            add(alias, KeyPath::list_item("model", at, "aliases").with_index(nth));
        }
    }
    (seen, groups)
}

/// Checks the lists that must hold names, not patterns: parents of teams, groups of groups and groups of
/// models.
fn check_references(document: &Document, teams: &HashSet<&str>, groups: &HashSet<&str>, found: &mut Found) {
    let mut check_list = |names: &[String], kind: NameKind, valid_names: &HashSet<&str>, key: KeyPath| {
        if names.len() > MAX_LIST_NAMES {
            let fault = Fault::LimitExceeded { what: "names", count: names.len(), limit: MAX_LIST_NAMES };
            found.push((key.clone(), fault));
        }
        for (nth, name) in names.iter().enumerate() {
            if !valid_names.contains(name.as_str()) {
                found.push((key.clone().with_index(nth), Fault::UnknownName { kind, name: name.clone() }));
            }
        }
    };
    for (at, team) in document.teams.iter().enumerate() {
        check_list(&team.parents, NameKind::Team, teams, KeyPath::list_item("team", at, "parents"));
    }
    for (at, group) in document.groups.iter().enumerate() {
        check_list(&group.groups, NameKind::Group, groups, KeyPath::list_item("group", at, "groups"));
    }
    for (at, model) in document.models.iter().enumerate() {
        check_list(&model.groups, NameKind::Group, groups, KeyPath::list_item("model", at, "groups"));
    }
}

/// Checks a list of a rule, which may hold patterns and must not be empty.
fn check_rule_list(
    names: &[String], kind: NameKind, valid_names: &HashSet<&str>, key: &KeyPath, found: &mut Found,
) {
    if names.is_empty() {
        found.push((key.clone(), Fault::EmptyList));
    }
    if names.len() > MAX_LIST_NAMES {
        found.push((
            key.clone(),
            Fault::LimitExceeded { what: "names", count: names.len(), limit: MAX_LIST_NAMES },
        ));
    }
    for (nth, name) in names.iter().enumerate() {
        if !is_pattern(name) && !valid_names.contains(name.as_str()) {
            found.push((key.clone().with_index(nth), Fault::UnknownName { kind, name: name.clone() }));
        }
    }
}

fn check_window(rule: &Rule, key: KeyPath, found: &mut Found) {
    if let (Some(from), Some(until)) = (rule.from, rule.until) {
        if until <= from {
            found.push((key, Fault::EmptyWindow { from, until }));
        }
    }
}

fn check_cycles(document: &Document, found: &mut Found) {
    let teams = document.teams.iter().map(|team| (team.name.as_str(), team.parents.as_slice()));
    let groups = document.groups.iter().map(|group| (group.name.as_str(), group.groups.as_slice()));
    for (kind, list, field, edges) in [
        (NameKind::Team, "team", "parents", teams.collect::<Vec<_>>()),
        (NameKind::Group, "group", "groups", groups.collect::<Vec<_>>()),
    ] {
        if let Some((at, names)) = find_cycle(&edges) {
            found.push((KeyPath::list_item(list, at, field), Fault::Cycle { kind, names }));
        }
    }
}

/// Finds a cycle among the edges (each an item's name and its parents). Returns the index of the cycle's
/// first item and the names along the cycle, with the first name repeated at the end.
///
/// Every item in a cycle or below one has such an item among its parents, so walking up through these parents
/// always comes back to an item that was visited before.
fn find_cycle(edges: &[(&str, &[String])]) -> Option<(usize, Vec<String>)> {
    let index: HashMap<&str, usize> = edges.iter().enumerate().map(|(at, edge)| (edge.0, at)).collect();
    let parents: Vec<Vec<usize>> = edges
        .iter()
        .map(|edge| edge.1.iter().filter_map(|name| index.get(name.as_str()).copied()).collect())
        .collect();
    let candidates = crate::hierarchy::in_or_below_cycle(&parents);
    let mut path = vec![*candidates.iter().next()?];
    let mut path_index: HashMap<usize, usize> = HashMap::from([(path[0], 0)]);
    loop {
        let next = *parents[*path.last()?].iter().find(|parent| candidates.contains(*parent))?;
        if let Some(&start) = path_index.get(&next) {
            let names = path[start..].iter().chain([&next]).map(|&at| edges[at].0.to_owned()).collect();
            return Some((next, names));
        }
        path_index.insert(next, path.len());
        path.push(next);
    }
}

/// Reports the first team with too many generations above it.
fn check_generations(document: &Document, found: &mut Found) {
    let index: HashMap<&str, usize> =
        document.teams.iter().enumerate().map(|(at, team)| (team.name.as_str(), at)).collect();
    let parents: Vec<Vec<usize>> = document
        .teams
        .iter()
        .map(|team| team.parents.iter().filter_map(|name| index.get(name.as_str()).copied()).collect())
        .collect();
    for (at, depth) in crate::hierarchy::depths(&parents).into_iter().enumerate() {
        if depth.is_some_and(|depth| depth > MAX_ANCESTOR_GENERATIONS) {
            let name = document.teams[at].name.clone();
            found.push((
                KeyPath::list_item("team", at, "parents"),
                Fault::TooManyGenerations { name, limit: MAX_ANCESTOR_GENERATIONS },
            ));
            return;
        }
    }
}
