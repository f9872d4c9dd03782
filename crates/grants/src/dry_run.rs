//! Dry run: the effect of a change before it is accepted. Lists the models that each team gains and loses,
//! and the active teams that would lose all of them.

use std::collections::{BTreeMap, BTreeSet};

use crate::compiled::{Decision, Table};

/// The models that one team gains and loses, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamDifference {
    pub gained: Vec<String>,
    /// Each model with the decision of the new table that refuses it.
    pub lost: Vec<(String, Decision)>,
}

/// The differences between two tables at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DryRun {
    /// Only the teams with a difference.
    pub teams: BTreeMap<String, TeamDifference>,
    /// Active teams that have access to at least one model now and would have access to none.
    pub losing_all_models: Vec<String>,
}

/// The error for a change that removes every model from active teams and was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the change removes every model from {} teams that are sending requests: {}", .teams.len(), .teams.join(", "))]
pub struct ConfirmationRequired {
    pub teams: Vec<String>,
}

impl ConfirmationRequired {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        "run the change as a dry run to see which models each team loses; send it with `confirm` if that is intended"
    }
}

impl DryRun {
    /// Compares two tables at `now` (Unix ms). Models and teams are matched by name, so a removed one counts
    /// as lost and an added one as gained. `active_teams` are the teams with requests in flight or recent
    /// requests, as counted by the caller.
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

    /// Returns an error if the change needs confirmation and `confirmed` is false.
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
