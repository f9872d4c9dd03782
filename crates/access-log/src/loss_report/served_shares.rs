//! Requested and served weight of each class or tenant. A policy that serves most of the total may still starve one
//! class or tenant, so those that are served far less than the mean are reported.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::turn::{Turn, TurnResult};
use crate::RequestRecord;

/// A class is starved if its share served in time is below this fraction of the mean.
pub const STARVED_CLASS_THRESHOLD: f64 = 0.5;
/// A tenant is starved if its share served in time is below this fraction of the mean.
pub const STARVED_TENANT_THRESHOLD: f64 = 1.0 / 3.0;
/// Minimum fraction of all turns, or of the requested weight, from which a class or tenant is evaluated. A class that
/// is not idempotent is always evaluated.
const MIN_EVALUATED_SHARE: f64 = 0.05;

/// Requested and served weight of one class or tenant, as priority weight times tokens. The weights of the four results
/// add up to `requested_weight`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServedShare {
    /// Number of clients' turns.
    pub turns: usize,
    /// Weight of all turns.
    pub requested_weight: f64,
    /// Weight of turns with a first token within the latency objective.
    pub in_time: f64,
    /// Weight of turns with a later first token.
    pub late: f64,
    /// Weight of rejected turns.
    pub rejected: f64,
    /// Weight of turns that were neither served nor rejected.
    pub failed: f64,
    /// Whether this is a class that is not idempotent and so must not simply be retried; false for tenants.
    pub at_most_once: bool,
}

/// Class or tenant that a turn is counted for.
pub(super) struct Owner {
    /// Index of the class or tenant.
    pub id: u32,
    /// Whether this is a class that must not simply be retried.
    pub at_most_once: bool,
}

/// Requested and served weight by index of class or tenant.
#[derive(Debug, Default, PartialEq)]
pub struct ServedShares(pub BTreeMap<u32, ServedShare>);

/// Starved classes or tenants.
pub struct StarvedOwners {
    /// Index and weights of each, the smallest share served in time first.
    pub owners: Vec<(u32, ServedShare)>,
    /// Fraction of the total requested weight that was served in time.
    pub mean: f64,
}

impl ServedShare {
    /// Fraction of the requested weight that was served in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time / self.requested_weight.max(1e-9)
    }

    fn add(&mut self, other: &ServedShare) {
        self.turns += other.turns;
        self.requested_weight += other.requested_weight;
        self.in_time += other.in_time;
    }

    /// Whether the class or tenant is large enough to be evaluated, or is a class that must not simply be retried.
    fn is_evaluated(&self, sum: &ServedShare) -> bool {
        self.at_most_once
            || self.turns as f64 >= MIN_EVALUATED_SHARE * sum.turns as f64
            || self.requested_weight >= MIN_EVALUATED_SHARE * sum.requested_weight
    }
}

impl ServedShares {
    /// Counts a turn for its class or tenant.
    pub(super) fn add(&mut self, turn: &Turn, owner_of: fn(&RequestRecord) -> Owner) {
        let Some(first) = turn.requests.first() else { return };
        let owner = owner_of(first);
        let share = self.0.entry(owner.id).or_default();
        let weight = turn.weight();
        share.turns += 1;
        share.requested_weight += weight;
        share.at_most_once |= owner.at_most_once;
        let part = match turn.result() {
            TurnResult::InTime => &mut share.in_time,
            TurnResult::RejectedUnsent | TurnResult::RejectedAfterAttempts => &mut share.rejected,
            _ if turn.first_token_ms().is_some() => &mut share.late,
            _ => &mut share.failed,
        };
        *part += weight;
    }

    fn sum(&self) -> ServedShare {
        let mut sum = ServedShare::default();
        self.0.values().for_each(|share| sum.add(share));
        sum
    }

    /// Returns the classes or tenants whose share served in time is below the mean multiplied by `threshold`.
    pub fn starved(&self, threshold: f64) -> StarvedOwners {
        let sum = self.sum();
        let is_starved = |share: &ServedShare| {
            share.is_evaluated(&sum) && share.in_time_share() < threshold * sum.in_time_share()
        };
        let starved = self.0.iter().filter(|(_, share)| is_starved(share));
        let mut owners: Vec<_> = starved.map(|(id, share)| (*id, *share)).collect();
        owners.sort_by(|a, b| a.1.in_time_share().total_cmp(&b.1.in_time_share()));
        StarvedOwners { owners, mean: sum.in_time_share() }
    }

    /// The shares as text, in percent of each owner's requested weight. `name` is "class" or "tenant".
    pub(super) fn table(&self, name: &str, threshold: f64) -> String {
        let mut text = String::new();
        for (id, share) in &self.0 {
            write_share(&mut text, &format!("{name} {id}"), share);
        }
        let starved = self.starved(threshold);
        for (id, share) in starved.owners {
            let repeats = if share.at_most_once { ", not to be repeated" } else { "" };
            let (served, mean) = (100.0 * share.in_time_share(), 100.0 * starved.mean);
            let _ =
                writeln!(text, "SHORT: {name} {id}{repeats}: {served:.2}% in time, {mean:.2}% on the mean");
        }
        text
    }
}

fn write_share(text: &mut String, name: &str, share: &ServedShare) {
    let percent = |weight: f64| 100.0 * weight / share.requested_weight.max(1e-9);
    let in_time = percent(share.in_time);
    let late = percent(share.late);
    let rejected = percent(share.rejected);
    let failed = percent(share.failed);
    let repeats = if share.at_most_once { "  not to be repeated" } else { "" };
    let _ = writeln!(
        text,
        "{name:<14}{:>7} turns {in_time:>7.2}% in time {late:>6.2}% late {rejected:>6.2}% refused {failed:>6.2}% \
         failed{repeats}",
        share.turns,
    );
}

#[cfg(test)]
mod tests;
