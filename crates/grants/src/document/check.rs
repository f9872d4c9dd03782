//! What a document has to hold beyond its form: names that exist, once; no circles; bounds.

use std::collections::{HashMap, HashSet};

use super::error::{Fault, Kind};
use super::pattern::is_pattern;
use super::position::KeyPath;
use super::{Document, Rule};

/// The longest name, bytes.
pub const LONGEST_NAME: usize = 200;
/// The most generations above a team.
pub const DEEPEST: usize = 64;
/// The most teams, models with their aliases, groups, or rules.
pub const MOST: usize = 100_000;
/// The most names that one list of a document has.
pub const MOST_NAMES: usize = 10_000;

/// Everything that is wrong with the document, in the order in which it is looked for; empty for a good one.
pub fn faults(document: &Document) -> Vec<(KeyPath, Fault)> {
    let mut found = Vec::new();
    counts(document, &mut found);
    let teams = teams(document, &mut found);
    let (named, groups) = models(document, &mut found);
    references(document, &teams, &groups, &mut found);
    let mut rules = HashSet::new();
    for (at, rule) in document.rules.iter().enumerate() {
        let key = |field| KeyPath::at("rule", at, field);
        name(&rule.name, key("name"), &mut found);
        if !rules.insert(rule.name.as_str()) {
            found.push((key("name"), Fault::Twice { kind: Kind::Rule, name: rule.name.clone() }));
        }
        listed(&rule.teams, Kind::Team, &teams, &key("teams"), &mut found);
        listed(&rule.models, Kind::Model, &named, &key("models"), &mut found);
        window(rule, key("until"), &mut found);
    }
    generations(document, &mut found);
    circles(document, &mut found);
    found
}

type Found = Vec<(KeyPath, Fault)>;

fn counts(document: &Document, found: &mut Found) {
    let names = document.models.iter().map(|model| 1 + model.aliases.len()).sum();
    for (what, count) in [
        ("team", document.teams.len()),
        ("model", names),
        ("group", document.groups.len()),
        ("rule", document.rules.len()),
    ] {
        if count > MOST {
            found.push((KeyPath::at(what, MOST, ""), Fault::Many { what, count, limit: MOST }));
        }
    }
}

fn name(name: &str, key: KeyPath, found: &mut Found) {
    let good = !name.is_empty()
        && name.len() <= LONGEST_NAME
        && !is_pattern(name)
        && !name.chars().any(char::is_control);
    if !good {
        found.push((key, Fault::Name { name: name.to_owned(), limit: LONGEST_NAME }));
    }
}

fn teams<'a>(document: &'a Document, found: &mut Found) -> HashSet<&'a str> {
    let mut seen = HashSet::new();
    for (at, team) in document.teams.iter().enumerate() {
        let key = KeyPath::at("team", at, "name");
        name(&team.name, key.clone(), found);
        if !seen.insert(team.name.as_str()) {
            found.push((key, Fault::Twice { kind: Kind::Team, name: team.name.clone() }));
        }
    }
    seen
}

/// All names that a rule may use for models, and the groups among them.
fn models<'a>(document: &'a Document, found: &mut Found) -> (HashSet<&'a str>, HashSet<&'a str>) {
    let mut seen = HashSet::new();
    let mut groups = HashSet::new();
    let mut take = |text: &'a str, key: KeyPath| {
        name(text, key.clone(), found);
        if !seen.insert(text) {
            found.push((key, Fault::Twice { kind: Kind::Model, name: text.to_owned() }));
        }
    };
    for (at, group) in document.groups.iter().enumerate() {
        take(&group.name, KeyPath::at("group", at, "name"));
        groups.insert(group.name.as_str());
    }
    for (at, model) in document.models.iter().enumerate() {
        take(&model.name, KeyPath::at("model", at, "name"));
        for (nth, alias) in model.aliases.iter().enumerate() {
            take(alias, KeyPath::at("model", at, "aliases").item(nth));
        }
    }
    (seen, groups)
}

fn references(document: &Document, teams: &HashSet<&str>, groups: &HashSet<&str>, found: &mut Found) {
    let mut known = |names: &[String], kind: Kind, among: &HashSet<&str>, key: KeyPath| {
        if names.len() > MOST_NAMES {
            let fault = Fault::Many { what: "names", count: names.len(), limit: MOST_NAMES };
            found.push((key.clone(), fault));
        }
        for (nth, name) in names.iter().enumerate() {
            if !among.contains(name.as_str()) {
                found.push((key.clone().item(nth), Fault::Unknown { kind, name: name.clone() }));
            }
        }
    };
    for (at, team) in document.teams.iter().enumerate() {
        known(&team.parents, Kind::Team, teams, KeyPath::at("team", at, "parents"));
    }
    for (at, group) in document.groups.iter().enumerate() {
        known(&group.groups, Kind::Group, groups, KeyPath::at("group", at, "groups"));
    }
    for (at, model) in document.models.iter().enumerate() {
        known(&model.groups, Kind::Group, groups, KeyPath::at("model", at, "groups"));
    }
}

fn listed(names: &[String], kind: Kind, among: &HashSet<&str>, key: &KeyPath, found: &mut Found) {
    if names.is_empty() {
        found.push((key.clone(), Fault::Nothing));
    }
    if names.len() > MOST_NAMES {
        found.push((key.clone(), Fault::Many { what: "names", count: names.len(), limit: MOST_NAMES }));
    }
    for (nth, name) in names.iter().enumerate() {
        if !is_pattern(name) && !among.contains(name.as_str()) {
            found.push((key.clone().item(nth), Fault::Unknown { kind, name: name.clone() }));
        }
    }
}

fn window(rule: &Rule, key: KeyPath, found: &mut Found) {
    if let (Some(from), Some(until)) = (rule.from, rule.until) {
        if until <= from {
            found.push((key, Fault::Window { from, until }));
        }
    }
}

fn circles(document: &Document, found: &mut Found) {
    let teams = document.teams.iter().map(|team| (team.name.as_str(), team.parents.as_slice()));
    let groups = document.groups.iter().map(|group| (group.name.as_str(), group.groups.as_slice()));
    for (kind, list, field, edges) in [
        (Kind::Team, "team", "parents", teams.collect::<Vec<_>>()),
        (Kind::Group, "group", "groups", groups.collect::<Vec<_>>()),
    ] {
        if let Some((at, names)) = circle(&edges) {
            found.push((KeyPath::at(list, at, field), Fault::Circle { kind, names }));
        }
    }
}

/// A circle among the edges, first name repeated at its end, with the index of its first. What has no parents
/// left is taken away until nothing changes; what stays has a circle above it, and walking up finds it.
fn circle(edges: &[(&str, &[String])]) -> Option<(usize, Vec<String>)> {
    let index: HashMap<&str, usize> = edges.iter().enumerate().map(|(at, edge)| (edge.0, at)).collect();
    let parents: Vec<Vec<usize>> = edges
        .iter()
        .map(|edge| edge.1.iter().filter_map(|name| index.get(name.as_str()).copied()).collect())
        .collect();
    let left = crate::hierarchy::left_over(&parents);
    let mut walk = vec![*left.iter().next()?];
    let mut stands: HashMap<usize, usize> = HashMap::from([(walk[0], 0)]);
    loop {
        let next = *parents[*walk.last()?].iter().find(|parent| left.contains(*parent))?;
        if let Some(&from) = stands.get(&next) {
            let names = walk[from..].iter().chain([&next]).map(|&at| edges[at].0.to_owned()).collect();
            return Some((next, names));
        }
        stands.insert(next, walk.len());
        walk.push(next);
    }
}

fn generations(document: &Document, found: &mut Found) {
    let index: HashMap<&str, usize> =
        document.teams.iter().enumerate().map(|(at, team)| (team.name.as_str(), at)).collect();
    let parents: Vec<Vec<usize>> = document
        .teams
        .iter()
        .map(|team| team.parents.iter().filter_map(|name| index.get(name.as_str()).copied()).collect())
        .collect();
    for (at, depth) in crate::hierarchy::depths(&parents).into_iter().enumerate() {
        if depth.is_some_and(|depth| depth > DEEPEST) {
            let name = document.teams[at].name.clone();
            found.push((KeyPath::at("team", at, "parents"), Fault::Deep { name, limit: DEEPEST }));
            return;
        }
    }
}
