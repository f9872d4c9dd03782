//! Where the worth that was asked for went: every turn's worth falls to exactly one [`Fate`], so the parts add up.
//!
//! A client's tries for one turn of a conversation have names of their own, and may come to different gateways;
//! they are told to be one turn by session, prompt length and class. A turn that was not answered in time is laid to
//! what took most of its time.

use std::collections::BTreeMap;
use std::fmt::Write;

use fate::{Turn, FATES};

use crate::{RequestOutcome, RequestRecord, Stage};

pub use fate::Fate;
pub use moves::Moves;
pub use shares::Shares;

mod fate;
mod moves;
mod shares;

#[derive(Debug, Default, PartialEq)]
pub struct Account {
    pub requests: usize,
    pub turns: usize,
    /// Worth asked for, in the units of the classes times prompt tokens.
    pub asked: f64,
    /// Turns and worth by fate.
    pub fates: BTreeMap<Fate, (usize, f64)>,
    /// Attempts by stage and outcome, and those of them at servers that were cold.
    pub attempts: BTreeMap<(bool, String), (usize, usize)>,
    /// Tries that were refused, by what the last attempt brought (`unsent`: there was none).
    pub refused: BTreeMap<String, usize>,
    /// What each class and each tenant asked for, and what became of it.
    pub classes: Shares,
    pub tenants: Shares,
    /// States that were moved, and reads that nobody took.
    pub moves: Moves,
    /// The costliest turns of each fate, told at length.
    told: BTreeMap<Fate, Vec<(f64, String)>>,
    /// By server: attempts, those that brought nothing, time waited.
    servers: BTreeMap<(bool, String), (usize, usize, f64)>,
}

impl Account {
    /// The account of these stories, which stand in order of arrival, as far as their turns began so many seconds
    /// after the first arrival: what a run warms up and cools down with is left out.
    pub fn of(stories: &[RequestRecord], from: f64, to: f64) -> Account {
        let zero = stories.first().map_or(0.0, |s| s.arrived_unix_ms);
        let mut turns: BTreeMap<(u32, u64, u64), Turn> = BTreeMap::new();
        for s in stories {
            let key = (s.class, s.session, s.prompt_tokens.to_bits());
            turns.entry(key).or_insert(Turn { tries: Vec::new() }).tries.push(s);
        }
        let within = |t: &&Turn| {
            let began = t.tries.first().map_or(0.0, |s| (s.arrived_unix_ms - zero) / 1000.0);
            from <= began && began < to
        };
        let mut account = Account::default();
        for turn in turns.values().filter(within) {
            (account.turns, account.requests) = (account.turns + 1, account.requests + turn.tries.len());
            let (fate, worth) = (turn.fate(), turn.worth());
            account.asked += worth;
            account.classes.note(turn, |s| (s.class, s.at_most_once));
            account.tenants.note(turn, |s| (s.tenant, false));
            account.moves.note(turn);
            let part = account.fates.entry(fate).or_default();
            *part = (part.0 + 1, part.1 + worth);
            let told = turn.tries.iter().map(|s| format!("    {s}\n")).collect();
            account.told.entry(fate).or_default().push((worth, told));
            for s in turn.tries.iter().filter(|s| s.outcome == RequestOutcome::Refused) {
                let after = s.attempts.last().map_or("unsent", |t| &t.outcome);
                *account.refused.entry(after.into()).or_default() += 1;
            }
            for (_, t) in turn.attempts() {
                let reads = t.stage == Stage::Read;
                let alike = account.attempts.entry((reads, t.outcome.clone())).or_default();
                *alike = (alike.0 + 1, alike.1 + usize::from(t.slow_start));
                let server = account.servers.entry((reads, t.server.clone())).or_default();
                let lost = t.first_token_ms.is_none() && t.outcome != "Read";
                server.0 += 1;
                server.1 += usize::from(lost);
                server.2 += t.first_token_ms.unwrap_or(t.ended_ms) - t.sent_ms;
            }
        }
        account
    }

    /// The share of the worth asked for that fell to this.
    pub fn share(&self, fate: Fate) -> f64 {
        self.fates.get(&fate).map_or(0.0, |f| f.1) / self.asked.max(1e-9)
    }

    /// The account as text; of each loss so many turns are told at length.
    pub fn table(&self, tell: usize) -> String {
        let mut text = format!("requests {}  turns {}\n", self.requests, self.turns);
        for (fate, name) in FATES {
            let turns = self.fates.get(&fate).map_or(0, |f| f.0);
            let _ =
                writeln!(text, "{name:<38}{turns:>7} turns {:>7.2}% of the worth", 100.0 * self.share(fate));
        }
        for ((reads, how), (count, cold)) in &self.attempts {
            let stage = if *reads { "read" } else { "run " };
            let _ = writeln!(text, "{stage} {how:<14}{count:>7}   {cold:>6} at cold servers");
        }
        text += &self.classes.table("class", shares::HALF);
        text += &self.tenants.table("tenant", shares::THIRD);
        for (after, count) in &self.refused {
            let _ = writeln!(text, "refused, {after:<22}{count:>7}");
        }
        for reads in [true, false] {
            let mut servers: Vec<_> = self.servers.iter().filter(|s| s.0 .0 == reads).collect();
            servers.sort_by(|a, b| b.1 .2.total_cmp(&a.1 .2));
            let _ = writeln!(text, "{} of {} servers, most time first:", servers.len().min(8), servers.len());
            for ((_, id), (attempts, lost, time)) in servers.into_iter().take(8) {
                let mean = time / *attempts as f64;
                let _ =
                    writeln!(text, "    {id:<18}{attempts:>6} attempts {lost:>5} lost {mean:>8.0} ms each");
            }
        }
        for (fate, name) in FATES.iter().filter(|f| f.0 != Fate::InTime && tell > 0) {
            let mut told: Vec<_> = self.told.get(fate).into_iter().flatten().collect();
            told.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (_, story) in told.into_iter().take(tell) {
                let _ = write!(text, "{name}\n{story}");
            }
        }
        text
    }
}

#[cfg(test)]
mod tests;
