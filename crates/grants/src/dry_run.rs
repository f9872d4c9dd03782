//! What a change would do, before it is taken: who gains, who loses, and whom it would silence.

use std::collections::{BTreeMap, BTreeSet};

use crate::compiled::{Decision, Table};

/// Gains and losses of one team, by model, sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    pub gains: Vec<String>,
    /// With what refuses in the table after.
    pub loses: Vec<(String, Decision)>,
}

/// What differs between two tables at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DryRun {
    /// Teams for which something differs.
    pub teams: BTreeMap<String, Difference>,
    /// Teams that are calling right now and would have no model left.
    pub silenced: Vec<String>,
}

/// A change that takes every model from teams that are calling right now, without a plain `confirm`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this takes every model from {} that call right now: {}", .teams.len(), .teams.join(", "))]
pub struct Unconfirmed {
    pub teams: Vec<String>,
}

impl Unconfirmed {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        "try the change without keeping it to see who loses what; say `confirm` if it is meant"
    }
}

impl DryRun {
    /// Both at `now` (Unix ms). Models and teams go by their names, so that one taken away loses and one added
    /// gains. `calling`: the teams with requests under way or of late, as the caller counts them.
    pub fn of(before: &Table, after: &Table, now: u64, calling: &BTreeSet<String>) -> DryRun {
        let mut run = DryRun::default();
        let teams: BTreeSet<&str> = before.teams().chain(after.teams()).map(|(name, _)| name).collect();
        for team in teams {
            let (old, new) = (allowed(before, team, now), allowed(after, team, now));
            let difference = Difference {
                gains: new.difference(&old).map(|&model| model.to_owned()).collect(),
                loses: old
                    .difference(&new)
                    .map(|&model| (model.to_owned(), after.check_names(team, model, now)))
                    .collect(),
            };
            if new.is_empty() && !old.is_empty() && calling.contains(team) {
                run.silenced.push(team.to_owned());
            }
            if difference != Difference::default() {
                run.teams.insert(team.to_owned(), difference);
            }
        }
        run
    }

    /// Whether the change may be taken.
    pub fn confirm(&self, confirmed: bool) -> Result<(), Unconfirmed> {
        match confirmed || self.silenced.is_empty() {
            true => Ok(()),
            false => Err(Unconfirmed { teams: self.silenced.clone() }),
        }
    }
}

fn allowed<'a>(table: &'a Table, team: &str, now: u64) -> BTreeSet<&'a str> {
    let team = table.team(team);
    let models = team.into_iter().flat_map(|team| table.effective(team, now));
    models.filter(|(_, decision)| decision.allowed).map(|(model, _)| model).collect()
}
