//! Where the worth that was asked for went: every turn's worth falls to exactly one [`Fate`], so the parts add up.
//!
//! A client's tries for one turn of a conversation have names of their own, and may come to different gateways;
//! they are told to be one turn by session, prompt length and class. A turn that was not answered in time is laid to
//! what took most of its time.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::{End, Stage, Story, Try};

/// A read that ends within so many milliseconds a token of what it had to read did not wait (the slowest reader's
/// pace, cold); the same for a stream's begin, by token of state.
const READ_MS: f64 = 0.12;
const BEGIN_MS: f64 = 0.02;
/// What any attempt takes, beside its work.
const ATTEMPT_MS: f64 = 60.0;

/// What became of a turn, and by what cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    InTime,
    /// Answered late, or never: most of its time went by at a reader's queue ...
    LateReader,
    /// ... at a writer's queue ...
    LateWriter,
    /// ... in attempts that brought nothing (time-outs, call-backs, resets, errors, no connection) ...
    LateLost,
    /// ... between attempts: turned away, no server found, or between a client's tries.
    LateBetween,
    /// Every try was refused; none had been sent.
    RefusedUnsent,
    /// Refused after attempts.
    RefusedAfter,
    Failed,
    /// The stream broke after its begin.
    Cut,
    /// The client went before its time, and never came back.
    Left,
}

const FATES: [(Fate, &str); 10] = [
    (Fate::InTime, "in time"),
    (Fate::LateReader, "late: waited at a reader"),
    (Fate::LateWriter, "late: waited at a writer"),
    (Fate::LateLost, "late: attempts that brought nothing"),
    (Fate::LateBetween, "late: between attempts and tries"),
    (Fate::RefusedUnsent, "refused unsent"),
    (Fate::RefusedAfter, "refused after attempts"),
    (Fate::Failed, "failed"),
    (Fate::Cut, "stream cut"),
    (Fate::Left, "client left first"),
];

/// All tries of one turn, in order of arrival.
struct Turn<'a> {
    tries: Vec<&'a Story>,
}

impl Turn<'_> {
    fn worth(&self) -> f64 {
        self.tries.first().map_or(0.0, |s| s.worth * (s.prompt + 500.0))
    }

    /// First token of the answer that was served, since the first try's arrival.
    fn served(&self) -> Option<f64> {
        let came = self.tries.first()?.came;
        let served = self.tries.iter().find(|s| s.end == End::Served)?;
        Some(served.came - came + served.first()?)
    }

    fn attempts(&self) -> impl Iterator<Item = (&Story, &Try)> {
        self.tries.iter().flat_map(|s| s.tries.iter().map(move |t| (*s, t)))
    }

    /// Time that went by beyond the work itself: at readers, at writers, in lost attempts, between them.
    fn times(&self) -> [f64; 4] {
        let mut times = [0.0; 4];
        let mut busy = 0.0;
        for (story, t) in self.attempts() {
            let until = t.first.unwrap_or(t.ended);
            let took = (until - t.sent).max(0.0);
            busy += took;
            let own = ATTEMPT_MS
                + match t.stage {
                    Stage::Read => (story.prompt - t.kept).max(0.0) * READ_MS,
                    Stage::Run => story.prompt * BEGIN_MS,
                };
            match (t.stage, t.how.as_str()) {
                (Stage::Read, "Read") => times[0] += (took - own).max(0.0),
                _ if t.first.is_some() => times[1] += (took - own).max(0.0),
                _ => times[2] += took,
            }
        }
        let whole: f64 = match (self.served(), self.tries.first(), self.tries.last()) {
            (Some(first), ..) => first,
            (None, Some(a), Some(z)) => z.came - a.came + z.took,
            _ => 0.0,
        };
        times[3] = (whole - busy).max(0.0);
        times
    }

    fn fate(&self) -> Fate {
        let Some(last) = self.tries.last() else { return Fate::Left };
        let in_time = self.tries.first().zip(self.served()).is_some_and(|(s, first)| first <= s.aim);
        if in_time {
            return Fate::InTime;
        }
        let late = self.served().is_some();
        if !late && self.tries.iter().any(|s| s.end == End::Cut) {
            return Fate::Cut;
        }
        let unsent = self.tries.iter().all(|s| s.tries.is_empty());
        match last.end {
            End::Refused if !late => return if unsent { Fate::RefusedUnsent } else { Fate::RefusedAfter },
            End::Left if !late && last.took < last.aim => return Fate::Left,
            _ => {}
        }
        let times = self.times();
        let most = (0..4).max_by(|a, b| times[*a].total_cmp(&times[*b])).unwrap_or(3);
        match most {
            _ if !late && last.end == End::Failed && last.took < last.aim => Fate::Failed,
            0 => Fate::LateReader,
            1 => Fate::LateWriter,
            2 => Fate::LateLost,
            _ => Fate::LateBetween,
        }
    }
}

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
    /// The costliest turns of each fate, told at length.
    told: BTreeMap<Fate, Vec<(f64, String)>>,
    /// By server: attempts, those that brought nothing, time waited.
    servers: BTreeMap<(bool, String), (usize, usize, f64)>,
}

impl Account {
    /// The account of these stories, which stand in order of arrival, as far as their turns began so many seconds
    /// after the first arrival: what a run warms up and cools down with is left out.
    pub fn of(stories: &[Story], from: f64, to: f64) -> Account {
        let zero = stories.first().map_or(0.0, |s| s.came);
        let mut turns: BTreeMap<(u32, u64, u64), Turn> = BTreeMap::new();
        for s in stories {
            let key = (s.class, s.session, s.prompt.to_bits());
            turns.entry(key).or_insert(Turn { tries: Vec::new() }).tries.push(s);
        }
        let within = |t: &&Turn| {
            let began = t.tries.first().map_or(0.0, |s| (s.came - zero) / 1000.0);
            from <= began && began < to
        };
        let mut account = Account::default();
        for turn in turns.values().filter(within) {
            (account.turns, account.requests) = (account.turns + 1, account.requests + turn.tries.len());
            let (fate, worth) = (turn.fate(), turn.worth());
            account.asked += worth;
            let part = account.fates.entry(fate).or_default();
            *part = (part.0 + 1, part.1 + worth);
            let told = turn.tries.iter().map(|s| format!("    {s}\n")).collect();
            account.told.entry(fate).or_default().push((worth, told));
            for s in turn.tries.iter().filter(|s| s.end == End::Refused) {
                let after = s.tries.last().map_or("unsent", |t| &t.how);
                *account.refused.entry(after.into()).or_default() += 1;
            }
            for (_, t) in turn.attempts() {
                let reads = t.stage == Stage::Read;
                let alike = account.attempts.entry((reads, t.how.clone())).or_default();
                *alike = (alike.0 + 1, alike.1 + usize::from(t.cold));
                let server = account.servers.entry((reads, t.to.clone())).or_default();
                let lost = t.first.is_none() && t.how != "Read";
                server.0 += 1;
                server.1 += usize::from(lost);
                server.2 += t.first.unwrap_or(t.ended) - t.sent;
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
mod tests {
    use super::*;

    fn attempt(stage: Stage, sent: f64, until: f64, how: &str) -> Try {
        let first = (stage == Stage::Run && how == "Served").then_some(until);
        let ended = if first.is_some() { until + 4_000.0 } else { until };
        Try { to: "a".into(), stage, sent, first, ended, how: how.into(), ..Try::default() }
    }

    fn story(session: u64, came: f64, end: End, tries: Vec<Try>) -> Story {
        let took = tries.last().map_or(0.0, |t| t.ended);
        Story {
            session,
            came,
            end,
            took,
            tries,
            prompt: 1_000.0,
            aim: 2_000.0,
            worth: 2.0,
            ..Story::default()
        }
    }

    fn fate(stories: &[Story]) -> Fate {
        let account = Account::of(stories, 0.0, f64::MAX);
        assert_eq!((account.turns, account.fates.len()), (1, 1));
        *account.fates.keys().next().expect("a fate")
    }

    #[test]
    fn what_took_most_of_the_time_is_the_cause() {
        let run = |sent, until| attempt(Stage::Run, sent, until, "Served");
        let read = |until| attempt(Stage::Read, 0.0, until, "Read");
        assert_eq!(fate(&[story(1, 0.0, End::Served, vec![read(90.0), run(91.0, 150.0)])]), Fate::InTime);
        assert_eq!(
            fate(&[story(1, 0.0, End::Served, vec![read(3_000.0), run(3_001.0, 3_100.0)])]),
            Fate::LateReader
        );
        assert_eq!(
            fate(&[story(1, 0.0, End::Served, vec![read(90.0), run(91.0, 4_000.0)])]),
            Fate::LateWriter
        );
        let lost = attempt(Stage::Read, 0.0, 5_000.0, "Cancelled");
        let then = [attempt(Stage::Read, 5_000.0, 5_050.0, "Read"), run(5_051.0, 5_100.0)];
        assert_eq!(fate(&[story(1, 0.0, End::Served, [vec![lost], then.to_vec()].concat())]), Fate::LateLost);
    }

    /// Guards against counting a client's second try as a turn of its own, and its wait as nobody's.
    #[test]
    fn a_turn_is_judged_from_its_first_try_on() {
        let well = vec![attempt(Stage::Read, 0.0, 90.0, "Read"), attempt(Stage::Run, 91.0, 150.0, "Served")];
        let refused = story(1, 0.0, End::Refused, vec![]);
        let soon = story(1, 500.0, End::Served, well.clone());
        let later = story(1, 2_500.0, End::Served, well);
        assert_eq!(fate(&[refused.clone(), soon]), Fate::InTime);
        assert_eq!(fate(&[refused.clone(), later]), Fate::LateBetween);
        assert_eq!(fate(&[refused.clone(), refused]), Fate::RefusedUnsent);
    }

    #[test]
    fn the_parts_add_up_and_what_lies_outside_is_left_out() {
        let one = |n: u64, end| story(n, n as f64 * 1_000.0, end, vec![]);
        let stories: Vec<Story> =
            (0..20).map(|n| one(n, [End::Refused, End::Failed, End::Left][n as usize % 3])).collect();
        let account = Account::of(&stories, 5.0, 15.0);
        assert_eq!(account.turns, 10);
        let sum: f64 = account.fates.keys().map(|f| account.share(*f)).sum();
        assert!((sum - 1.0).abs() < 1e-9, "{sum}");
        assert!(account.table(1).contains("refused unsent"));
        assert_eq!(account.refused, BTreeMap::from([("unsent".to_string(), 3)]));
    }
}
