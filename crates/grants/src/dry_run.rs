//! What a change would do, before it is taken: who gains, who loses, and whom it would silence.

use std::collections::{BTreeMap, BTreeSet};

use crate::compiled::{Decision, Table};

/// Gains and losses of one team, by model, sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamDifference {
    pub gained: Vec<String>,
    /// With what refuses in the table after.
    pub lost: Vec<(String, Decision)>,
}

/// What differs between two tables at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DryRun {
    /// Teams for which something differs.
    pub teams: BTreeMap<String, TeamDifference>,
    /// Teams that are calling right now and would have no model left.
    pub losing_all_models: Vec<String>,
}

/// A change that takes every model from teams that are calling right now, without a plain `confirm`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this takes every model from {} that call right now: {}", .teams.len(), .teams.join(", "))]
pub struct ConfirmationRequired {
    pub teams: Vec<String>,
}

impl ConfirmationRequired {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        "try the change without keeping it to see who loses what; say `confirm` if it is meant"
    }
}

impl DryRun {
    /// Both at `now` (Unix ms). Models and teams go by their names, so that one taken away loses and one added
    /// gains. `calling`: the teams with requests under way or of late, as the caller counts them.
    pub fn compare(before: &Table, after: &Table, now: u64, active_teams: &BTreeSet<String>) -> DryRun {
        let mut run = DryRun::default();
        let teams: BTreeSet<&str> = before.teams().chain(after.teams()).map(|(name, _)| name).collect();
        for team in teams {
            let (old, new) = (allowed_models(before, team, now), allowed_models(after, team, now));
            let difference = TeamDifference {
                gained: new.difference(&old).map(|&model| model.to_owned()).collect(),
                lost: old
                    .difference(&new)
                    .map(|&model| (model.to_owned(), after.check_names(team, model, now)))
                    .collect(),
            };
            if new.is_empty() && !old.is_empty() && active_teams.contains(team) {
                run.losing_all_models.push(team.to_owned());
            }
            if difference != TeamDifference::default() {
                run.teams.insert(team.to_owned(), difference);
            }
        }
        run
    }

    /// Whether the change may be taken.
    pub fn require_confirmation(&self, confirmed: bool) -> Result<(), ConfirmationRequired> {
        match confirmed || self.losing_all_models.is_empty() {
            true => Ok(()),
            false => Err(ConfirmationRequired { teams: self.losing_all_models.clone() }),
        }
    }
}

fn allowed_models<'a>(table: &'a Table, team: &str, now: u64) -> BTreeSet<&'a str> {
    let team = table.team(team);
    let models = team.into_iter().flat_map(|team| table.decisions(team, now));
    models.filter(|(_, decision)| decision.allowed).map(|(model, _)| model).collect()
}
