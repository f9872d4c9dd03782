//! How far tries beget tries: attempts a first try, and tries a turn, over the whole fleet.

use crate::level::{Class, Heard, GONE};
use crate::{portion, Ms, PerMille, WHOLE};

/// What a fleet's words show, in thousandths; a thousand where there is nothing to go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Amplification {
    /// Attempts at engines for each request that got a first one.
    pub attempts: PerMille,
    /// Requests of clients, marked tries included, for each that was no try of an earlier one.
    pub tries: PerMille,
}

impl Amplification {
    pub fn of(heard: &[Heard]) -> Amplification {
        let classes = || heard.iter().filter(|h| h.age < GONE).flat_map(|h| &h.word.classes);
        let sum = |count: fn(&Class) -> u32| classes().map(|c| u64::from(count(c))).sum::<u64>();
        let (arrived, marked) = (sum(|c| c.arrived), sum(|c| c.marked));
        Amplification {
            attempts: a_whole(sum(|c| c.attempts), sum(|c| c.first)),
            tries: a_whole(arrived, arrived.saturating_sub(marked)),
        }
    }
}

impl Amplification {
    /// How much clients press, in thousandths: nothing at one try a turn, all of it at five.
    pub fn returns(&self) -> PerMille {
        (self.tries.saturating_sub(WHOLE) / 4).min(WHOLE)
    }
}

fn a_whole(of: u64, each: u64) -> PerMille {
    if each == 0 {
        return WHOLE;
    }
    u32::try_from(portion(of, u64::from(WHOLE), each)).unwrap_or(u32::MAX).max(WHOLE)
}

/// Keeps one member's further attempts to a share of its first ones. A sum of such members keeps the same share, so
/// that the fleet's bound needs no talk: attempts <= first tries x (1 + share) + `saved` a member. The fleet's
/// budget bounds their number besides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Guard {
    share: PerMille,
    most: u64,
    saved: u64,
    at: Ms,
}

/// In which what was saved up fades to half (ms): a calm night is no leave for a storm in the morning.
const HALVES: Ms = 10_000;

impl Guard {
    /// `share` in thousandths of first tries; at most `saved` attempts may be saved up.
    pub fn new(share: PerMille, saved: u32, now: Ms) -> Self {
        Guard { share, most: u64::from(saved) * u64::from(WHOLE), saved: 0, at: now }
    }

    /// A request gets its first attempt.
    pub fn first(&mut self, now: Ms) {
        self.fade(now);
        self.saved = (self.saved + u64::from(self.share)).min(self.most);
    }

    /// Whether a further attempt may follow. It is counted as made.
    pub fn again(&mut self, now: Ms) -> bool {
        self.fade(now);
        let may = self.saved >= u64::from(WHOLE);
        self.saved -= if may { u64::from(WHOLE) } else { 0 };
        may
    }

    fn fade(&mut self, now: Ms) {
        let halves = now.saturating_sub(self.at) / HALVES;
        if halves > 0 {
            self.saved = self.saved.checked_shr(u32::try_from(halves).unwrap_or(u32::MAX)).unwrap_or(0);
            self.at += halves * HALVES;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::level::Word;
    use proptest::prelude::*;

    proptest! {
        /// Whatever is asked of whichever member: attempts of the fleet stay under its share of first tries.
        #[test]
        fn attempts_are_bounded(asks in prop::collection::vec((0usize..5, any::<bool>(), 0u64..3_000), 1..400),
                                share in 0u32..1_000, saved in 0u32..40) {
            let mut guards = vec![Guard::new(share, saved, 0); 5];
            let (mut now, mut first, mut again) = (0, 0, 0);
            for (member, is_first, passed) in asks {
                now += passed;
                if is_first {
                    guards[member].first(now);
                    first += 1;
                } else {
                    again += u64::from(guards[member].again(now));
                }
                prop_assert!(again * 1_000 <= first * u64::from(share));
            }
        }

        /// What is measured over the fleet is what its members counted, and never under one.
        #[test]
        fn measured_over_the_fleet(counts in prop::collection::vec((1u32..1_000, 0u32..1_000, 0u32..1_000), 1..9)) {
            let heard: Vec<Heard> = counts.iter().enumerate().map(|(n, (first, more, marked))| {
                let class = Class { class: 0, first: *first, attempts: first + more, arrived: first + marked,
                                    marked: *marked, refused: 0 };
                Heard { member: n as u64, age: 0, word: Word { classes: vec![class], ..Word::default() } }
            }).collect();
            let (first, more, marked) = counts.iter().fold((0, 0, 0), |s, c| (s.0 + c.0, s.1 + c.1, s.2 + c.2));
            let found = Amplification::of(&heard);
            prop_assert_eq!(found.attempts, (first + more) * 1_000 / first);
            prop_assert_eq!(found.tries, (first + marked) * 1_000 / first);
            prop_assert!(found.returns() <= 1_000 && (found.returns() == 0) == (found.tries < 1_004));
        }
    }
}
