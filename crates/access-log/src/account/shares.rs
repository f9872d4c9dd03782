//! What each class, or each tenant, asked for, and how much of it was served. A policy that serves the whole well may
//! still starve one of them: whoever gets far less than the fleet's mean falls short.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::fate::{Fate, Turn};
use crate::RequestRecord;

/// Less than this part of what the fleet serves on the mean is too little: of a class, and of a tenant.
pub const HALF: f64 = 0.5;
pub const THIRD: f64 = 1.0 / 3.0;
/// Who has less than this part of the turns and of the worth is not judged, unless its class may not be repeated.
const JUDGED: f64 = 0.05;

/// Worth in the account's units, and turns. The four ends add up to what was asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    pub turns: usize,
    pub asked: f64,
    pub in_time: f64,
    pub late: f64,
    pub refused: f64,
    pub failed: f64,
    /// Its class may not simply be repeated.
    pub once: bool,
}

/// By number of class or tenant.
#[derive(Debug, Default, PartialEq)]
pub struct Shares(pub BTreeMap<u32, Share>);

impl Share {
    /// The part of what was asked for that was served in time.
    pub fn served(&self) -> f64 {
        self.in_time / self.asked.max(1e-9)
    }

    fn add(&mut self, other: &Share) {
        self.turns += other.turns;
        self.asked += other.asked;
        self.in_time += other.in_time;
    }
}

impl Shares {
    /// `of`: whom the turn belongs to, and whether that is a class that may not be repeated.
    pub(super) fn note(&mut self, turn: &Turn, of: fn(&RequestRecord) -> (u32, bool)) {
        let Some(first) = turn.tries.first() else { return };
        let (whose, once) = of(first);
        let (share, worth) = (self.0.entry(whose).or_default(), turn.worth());
        share.turns += 1;
        share.asked += worth;
        share.once |= once;
        let end = match turn.fate() {
            Fate::InTime => &mut share.in_time,
            Fate::RefusedUnsent | Fate::RefusedAfter => &mut share.refused,
            _ if turn.served().is_some() => &mut share.late,
            _ => &mut share.failed,
        };
        *end += worth;
    }

    fn whole(&self) -> Share {
        let mut whole = Share::default();
        self.0.values().for_each(|s| whole.add(s));
        whole
    }

    /// Those that are served less than this part of the mean, and that mean; worst first.
    pub fn short(&self, part: f64) -> (Vec<(u32, Share)>, f64) {
        let whole = self.whole();
        let weighs = |s: &Share| {
            s.once || s.turns as f64 >= JUDGED * whole.turns as f64 || s.asked >= JUDGED * whole.asked
        };
        let short = |s: &Share| weighs(s) && s.served() < part * whole.served();
        let mut all: Vec<_> = self.0.iter().filter(|(_, s)| short(s)).map(|(id, s)| (*id, *s)).collect();
        all.sort_by(|a, b| a.1.served().total_cmp(&b.1.served()));
        (all, whole.served())
    }

    /// As text, in % of what each asked for.
    pub(super) fn table(&self, name: &str, part: f64) -> String {
        let mut text = String::new();
        for (id, s) in &self.0 {
            let of = |worth: f64| 100.0 * worth / s.asked.max(1e-9);
            let (in_time, late, refused, failed) = (of(s.in_time), of(s.late), of(s.refused), of(s.failed));
            let once = if s.once { "  not to be repeated" } else { "" };
            let _ = writeln!(
                text,
                "{:<14}{:>7} turns {in_time:>7.2}% in time {late:>6.2}% late {refused:>6.2}% refused {failed:>6.2}% \
                 failed{once}",
                format!("{name} {id}"),
                s.turns,
            );
        }
        let (short, mean) = self.short(part);
        for (id, s) in short {
            let once = if s.once { ", not to be repeated" } else { "" };
            let (has, mean) = (100.0 * s.served(), 100.0 * mean);
            let _ = writeln!(text, "SHORT: {name} {id}{once}: {has:.2}% in time, {mean:.2}% on the mean");
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{AttemptRecord, RequestOutcome};

    fn story(class: u32, session: u64, served: bool) -> RequestRecord {
        let run = AttemptRecord { first_token_ms: Some(100.0), ..AttemptRecord::default() };
        let (end, tries) =
            if served { (RequestOutcome::Served, vec![run]) } else { (RequestOutcome::Refused, vec![]) };
        RequestRecord {
            class,
            session,
            outcome: end,
            attempts: tries,
            at_most_once: class == 2,
            latency_objective_ms: 500.0,
            priority_weight: 1.0,
            ..RequestRecord::default()
        }
    }

    fn shares(stories: &[RequestRecord]) -> Shares {
        let mut shares = Shares::default();
        stories.iter().for_each(|s| shares.note(&Turn { tries: vec![s] }, |s| (s.class, s.at_most_once)));
        shares
    }

    /// Guards against a class that starves unseen in a good mean, above all one that may not be repeated and is rare.
    #[test]
    fn the_classes_that_fall_short_are_named_worst_first() {
        let well = (0..98).map(|n| story(0, n, n % 10 != 0));
        let ill = (0..10).map(|n| story(1, n, n < 3));
        let rare = [story(2, 0, false), story(3, 0, false)];
        let shares = shares(&well.chain(ill).chain(rare).collect::<Vec<_>>());
        let short: Vec<u32> = shares.short(HALF).0.iter().map(|s| s.0).collect();
        assert_eq!(short, [2, 1]);
        assert_eq!(shares.short(THIRD).0.len(), 1);
        // A tenant is not judged for one request of such a class.
        let mut tenants = Shares::default();
        let few = [story(2, 0, false)].into_iter().chain((1..60).map(|n| story(0, n, true)));
        let few: Vec<RequestRecord> = few.collect();
        few.iter().for_each(|s| tenants.note(&Turn { tries: vec![s] }, |s| (s.class, false)));
        assert_eq!(tenants.short(THIRD).0, []);
        assert!(shares.table("class", HALF).contains("SHORT: class 2, not to be repeated: 0.00% in time"));
    }

    #[test]
    fn the_ends_of_a_class_add_up() {
        let shares = shares(&(0..30).map(|n| story(n as u32 % 3, n, n % 4 != 0)).collect::<Vec<_>>());
        for s in shares.0.values() {
            let sum = s.in_time + s.late + s.refused + s.failed;
            assert!((sum - s.asked).abs() < 1e-9 && s.turns == 10, "{s:?}");
        }
    }
}
