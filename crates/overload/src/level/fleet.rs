//! What all members derive alike from what they have heard.

use std::collections::BTreeMap;

use super::{capped, Told, Word};
use crate::{portion, Member, Ms, PerMille, WHOLE};

/// Up to this age a word counts whole; from there on less, down to nothing.
pub const FRESH: Ms = 1_500;
pub const GONE: Ms = 5_000;

/// A word, and how long ago it was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    pub member: Member,
    pub age: Ms,
    pub word: Word,
}

impl Heard {
    /// How much it counts, in thousandths.
    fn counts(&self) -> u64 {
        let left = GONE.saturating_sub(self.age).min(GONE - FRESH);
        left * u64::from(WHOLE) / (GONE - FRESH)
    }
}

/// The fleet as its members' words show it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Share of the work to be turned away.
    pub level: PerMille,
    /// Members that count at all.
    pub members: usize,
    /// Each member's part of the traffic, capped by what others see.
    pub shares: BTreeMap<Member, PerMille>,
    /// Work by band of the order, smallest band first, on a scale of its own.
    pub bands: Vec<(u8, u64)>,
}

impl Fleet {
    /// From the newest word of each member, own word included, in any order.
    pub fn of(heard: &[Heard]) -> Fleet {
        let mut newest: BTreeMap<Member, &Heard> = BTreeMap::new();
        for h in heard.iter().filter(|h| h.counts() > 0) {
            let later = |a: &Heard| (a.word.life, a.word.number, std::cmp::Reverse(a.age));
            let kept = newest.entry(h.member).or_insert(h);
            if later(h) > later(kept) {
                *kept = h;
            }
        }
        let heard: Vec<&Heard> = newest.into_values().collect();
        let told: Vec<Told> = heard.iter().map(|h| h.told()).collect();
        // One more than nothing, so that a fleet without traffic has a level too.
        let weighed = capped(&told).into_iter().zip(&heard).map(|(own, h)| (own + 1) * h.counts());
        let weights: Vec<u64> = weighed.collect();
        let all: u64 = weights.iter().fold(0, |sum, w| sum.saturating_add(*w));
        let level =
            heard.iter().zip(&weights).map(|(h, w)| u128::from(*w) * u128::from(h.word.wish.min(WHOLE)));
        let level = level.sum::<u128>() / u128::from(all.max(1));
        let share = |w: &u64| u32::try_from(portion(u64::from(WHOLE), *w, all)).unwrap_or(WHOLE);
        let mut bands: BTreeMap<u8, u64> = BTreeMap::new();
        for (h, w) in heard.iter().zip(&weights) {
            let whole: u64 = h.word.bands.iter().map(|(_, work)| u64::from(*work)).sum();
            for (band, work) in &h.word.bands {
                // A member tells how its traffic is made up; how much of it there is, others see.
                *bands.entry(*band).or_default() += portion(*w, u64::from(*work), whole);
            }
        }
        Fleet {
            level: u32::try_from(level).unwrap_or(WHOLE),
            members: heard.len(),
            shares: heard.iter().map(|h| h.member).zip(weights.iter().map(share)).collect(),
            bands: bands.into_iter().collect(),
        }
    }
}

impl Heard {
    fn told(&self) -> Told {
        // Kept small enough that sums of all members stay in their bounds.
        let own = self.word.traffic().min(u64::from(u32::MAX));
        Told { member: self.member, own, seen: self.word.seen.map(u64::from) }
    }
}
