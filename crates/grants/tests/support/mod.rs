//! Strategies for property tests. They use few names, so that several rules apply to the same call.

#![allow(dead_code)]

use glenrail_grants::document::{Effect, Group, Model, Rule, StreamPolicy};
use glenrail_grants::sections::{Catalogue, Sections, TeamSection};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;

pub const TEAMS: [&str; 5] = ["a", "ab", "b", "ba", "c"];
pub const MODELS: [&str; 4] = ["m", "mn", "n", "no"];
/// All names that a request may use for a model, including one that never exists.
pub const REQUESTED_MODELS: [&str; 8] = ["m", "mn", "n", "no", "x", "y", "g", "none"];

fn names(of: &'static [&'static str], max: usize) -> impl Strategy<Value = Vec<String>> {
    vec(select(of).prop_map(str::to_owned), 0..=max)
}

/// The first letter of a rule's name shows its effect, so that no name is used for both effects.
pub fn rule(teams: impl Strategy<Value = Vec<String>>) -> impl Strategy<Value = Rule> {
    let models = names(&["m", "mn", "n", "no", "x", "y", "g", "h", "m*", "*n", "*"], 2);
    let time = || option::weighted(0.3, 0..10u64);
    (0..6u8, any::<bool>(), teams, models, time(), time(), any::<bool>()).prop_map(
        |(name, allow, teams, models, from, until, cut)| Rule {
            name: format!("{}{name}", if allow { "a" } else { "d" }),
            effect: if allow { Effect::Allow } else { Effect::Deny },
            teams,
            models,
            from,
            until,
            streams: if cut { StreamPolicy::Cut } else { StreamPolicy::Finish },
        },
    )
}

pub fn team_section(name: &'static str) -> impl Strategy<Value = TeamSection> {
    let rules = vec(rule(Just(vec![name.to_owned()])), 0..4);
    (names(&TEAMS, 1), rules).prop_map(|(parents, rules)| TeamSection { parents, rules: unique_names(rules) })
}

pub fn shared() -> impl Strategy<Value = Vec<Rule>> {
    vec(rule(names(&["a", "b", "c", "a*", "*b", "*"], 2)), 0..4).prop_map(unique_names)
}

/// Keeps one rule for each name, as validation requires of every document.
fn unique_names(mut rules: Vec<Rule>) -> Vec<Rule> {
    rules.sort_by(|one, other| one.name.cmp(&other.name));
    rules.dedup_by(|one, other| one.name == other.name);
    rules
}

pub fn catalogue() -> impl Strategy<Value = Catalogue> {
    let model = (names(&["x", "y"], 1), names(&["g", "h"], 2), any::<bool>(), any::<bool>());
    let groups = names(&["g", "h"], 1);
    (vec(model, MODELS.len()), groups).prop_map(|(models, parents)| {
        let models =
            MODELS.iter().zip(models).filter(|(_, (.., included))| *included).map(|(name, fields)| {
                let (aliases, groups, restricted, _) = fields;
                Model { name: (*name).to_owned(), aliases, groups, restricted }
            });
        let group = |name: &str, groups| Group { name: name.to_owned(), groups };
        Catalogue { models: models.collect(), groups: vec![group("g", parents), group("h", Vec::new())] }
    })
}

/// Sections with up to `siblings` siblings each, and with the problems that merging can cause: cycles and
/// missing parents.
pub fn sections(siblings: usize) -> impl Strategy<Value = Sections> {
    let team = |name| vec(option::weighted(0.9, team_section(name)), 1..=siblings);
    let teams = (team("a"), team("ab"), team("b"), team("ba"), option::of(team("c")));
    (vec(catalogue(), 1..=siblings), vec(shared(), 1..=siblings), teams).prop_map(
        |(catalogue, shared, (a, ab, b, ba, c))| {
            let listed = [Some(a), Some(ab), Some(b), Some(ba), c];
            let teams = TEAMS.iter().zip(listed);
            let teams = teams
                .filter_map(|(name, team_siblings)| Some(((*name).to_owned(), team_siblings?)))
                .collect();
            Sections { catalogue, shared, teams }
        },
    )
}
