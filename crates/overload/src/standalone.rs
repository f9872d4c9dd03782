//! The same decisions where gateways may not talk: from the settings' number of routers and a gateway's own counts.
//! All see the same engines' queues, so their wishes are alike, and the order's hash is the same at all of them;
//! budgets are cut into equal parts, which is what each seat owns when nothing is lent.

use crate::budget::{Budget, Terms, TermsError, Units};
use crate::level::{Fleet, Heard, Level, Wish, Word};
use crate::{Ms, PerMille, WHOLE};

/// Requests a second, in thousandths, from which on a gateway trusts its own mix of bands whole.
const ENOUGH: u64 = 20_000;

/// One gateway of so many that do not talk.
#[derive(Clone, Debug)]
pub struct Alone {
    routers: u32,
    wish: Wish,
    level: Level,
    bands: Vec<(u8, u64)>,
}

impl Alone {
    /// `routers` as the settings say.
    pub fn new(routers: u32, now: Ms) -> Self {
        Alone { routers: routers.max(1), wish: Wish::new(now), level: Level::new(now), bands: Vec::new() }
    }

    /// Takes what this gateway would have told, and gives the level that it acts on. The fewer requests it has, the
    /// slower its mix of bands follows: one of hundreds of routers sees too few for a second to say anything.
    pub fn step(&mut self, now: Ms, word: &Word) -> PerMille {
        let wish = self.wish.step(now, word.pressure);
        let own = Heard { member: 0, age: 0, word: Word { wish, ..word.clone() } };
        let fleet = Fleet::of(&[own]);
        let arrived: u64 = word.classes.iter().map(|c| u64::from(c.arrived)).sum();
        let new = (arrived * u64::from(WHOLE) / ENOUGH).clamp(20, u64::from(WHOLE));
        self.blend(&fleet.bands, new);
        self.level.step(now, fleet.level)
    }

    /// Work by band, smallest band first, for the order's cut.
    pub fn bands(&self) -> &[(u8, u64)] {
        &self.bands
    }

    /// This gateway's part of a budget: an n-th, whatever others do. It lends nothing, since it is all floor.
    pub fn budget(&self, total: Units, burst: Ms, now: Ms) -> Result<Budget, TermsError> {
        let floor = WHOLE;
        let (seats, lease) = (self.routers, 5_000);
        let terms = Terms { total, seats, seated: true, floor, lease, drift: 100, witnesses: 0, burst };
        Budget::new(terms, 0, 0, now)
    }

    /// Moves the bands by so many thousandths to what is seen now, each on a scale of a million.
    fn blend(&mut self, seen: &[(u8, u64)], new: u64) {
        let whole: u64 = seen.iter().map(|b| b.1).sum();
        if whole == 0 {
            return;
        }
        let new = if self.bands.is_empty() { u64::from(WHOLE) } else { new };
        let mut bands: std::collections::BTreeMap<u8, u64> = std::collections::BTreeMap::new();
        for (band, work) in &self.bands {
            bands.insert(*band, work * (u64::from(WHOLE) - new) / u64::from(WHOLE));
        }
        for (band, work) in seen {
            *bands.entry(*band).or_default() +=
                crate::portion(1_000_000, *work, whole) * new / u64::from(WHOLE);
        }
        bands.retain(|_, work| *work > 0);
        self.bands = bands.into_iter().collect();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::level::Class;
    use proptest::prelude::*;

    proptest! {
        /// Parts of all routers that the settings count are within the budget, from their first moment.
        #[test]
        fn parts_are_an_nth(routers in 1u32..400, total in 0u32..1_000_000, now in 0u64..100_000) {
            let part = Alone::new(routers, 0).budget(total, 1_000, 0).unwrap().part(now);
            prop_assert!(u64::from(part) * u64::from(routers) <= u64::from(total));
            prop_assert!(u64::from(part + 1) * u64::from(routers) > u64::from(total));
        }

        /// Two gateways that see the same queues act on the same level, and their mixes stay mixes.
        #[test]
        fn the_same_queues_give_the_same_level(pressures in prop::collection::vec(0u32..3_000, 1..50),
                                               bands in prop::collection::vec((0u8..9, 0u32..9_000), 0..9)) {
            let (mut a, mut b) = (Alone::new(3, 0), Alone::new(3, 0));
            for (n, pressure) in pressures.iter().enumerate() {
                let now = n as u64 * 200;
                let word = Word { pressure: *pressure, ..Word::default() };
                let class = Class { arrived: 3_000, attempts: 900, ..Class::default() };
                let other = Word { bands: bands.clone(), classes: vec![class], ..word.clone() };
                prop_assert_eq!(a.step(now, &word), b.step(now, &other));
                prop_assert!(b.bands().iter().map(|b| b.1).sum::<u64>() <= 1_000_000);
                prop_assert!(b.bands().windows(2).all(|w| w[0].0 < w[1].0));
            }
        }
    }
}
