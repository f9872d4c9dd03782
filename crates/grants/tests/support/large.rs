//! A document of the largest supported size: 10,000 teams and 1,000 models.

use glenrail_grants::document::{Document, Effect, Group, Model, Rule, StreamPolicy, Team};

pub const TEAMS: usize = 10_000;
pub const MODELS: usize = 1_000;

pub fn team(n: usize) -> String {
    format!("team-{n:05}")
}

pub fn model(n: usize) -> String {
    format!("model-{n:04}")
}

/// Teams are in 100 divisions under ten houses, models in 50 groups under five families. There are 300 rules
/// for several teams, a third of them with a time window, and three rules for each team alone, so that no two
/// rows are equal.
pub fn document() -> Document {
    let mut document = Document::default();
    for n in 0..5 {
        document.groups.push(Group { name: format!("family-{n}"), groups: Vec::new() });
    }
    for n in 0..50 {
        document
            .groups
            .push(Group { name: format!("group-{n:02}"), groups: vec![format!("family-{}", n % 5)] });
    }
    for n in 0..MODELS {
        let groups = vec![format!("group-{:02}", n % 50)];
        let aliases = vec![format!("alias-{n:04}")];
        document.models.push(Model { name: model(n), aliases, groups, restricted: n % 7 == 0 });
    }
    for n in 0..10 {
        document.teams.push(Team { name: format!("house-{n}"), parents: Vec::new() });
    }
    for n in 0..100 {
        document
            .teams
            .push(Team { name: format!("division-{n:02}"), parents: vec![format!("house-{}", n % 10)] });
    }
    for n in 0..TEAMS - 110 {
        document.teams.push(Team { name: team(n), parents: vec![format!("division-{:02}", n % 100)] });
    }
    let mut rule = |name: String, deny: bool, teams: String, models: String, window: Option<(u64, u64)>| {
        document.rules.push(Rule {
            name,
            effect: if deny { Effect::Deny } else { Effect::Allow },
            teams: vec![teams],
            models: vec![models],
            from: window.map(|window| window.0),
            until: window.map(|window| window.1),
            streams: StreamPolicy::Finish,
        });
    };
    for n in 0..300u64 {
        let teams = match n % 3 {
            0 => format!("house-{}", n % 10),
            1 => format!("division-{:02}", n % 100),
            _ => format!("team-{:02}*", n % 100),
        };
        let models =
            if n % 2 == 0 { format!("group-{:02}", n % 50) } else { format!("model-{:02}*", n % 100) };
        let window = (n % 3 == 0).then_some((n * 1_000, n * 1_000 + 100_000));
        rule(format!("shared-{n:03}"), n % 5 == 0, teams, models, window);
    }
    for n in 0..TEAMS - 110 {
        let own = |k: usize| model(n * 7 % MODELS * 31 % MODELS / 3 * 3 % MODELS + k);
        rule(format!("own-{n:05}"), false, team(n), own(0), None);
        rule(format!("ban-{n:05}"), true, team(n), model(n * 13 % MODELS), None);
        rule(
            format!("lent-{n:05}"),
            false,
            team(n),
            model(n * 17 % MODELS),
            Some((n as u64, n as u64 + 50_000)),
        );
    }
    document
}
