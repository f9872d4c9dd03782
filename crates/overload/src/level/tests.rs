use proptest::prelude::*;

use super::*;
use crate::{wire, PerMille, WHOLE};

fn word(wish: PerMille, attempts: u32, seen: Option<u32>) -> Word {
    let classes = vec![Class { class: 1, attempts, ..Class::default() }];
    Word { wish, classes, seen, bands: vec![(10, attempts), (20, 7)], ..Word::default() }
}

prop_compose! {
    fn heard()(member in 0u64..12, age in 0u64..7_000, life in 0u64..3, number in 0u64..3, wish in 0u32..=1_000,
               attempts in 0u32..2_000_000, seen in prop::option::of(0u32..9_000_000)) -> Heard {
        Heard { member, age, word: Word { life, number, ..word(wish, attempts, seen) } }
    }
}

proptest! {
    /// The same words give the same fleet in any order, through the wire, and within the wishes.
    #[test]
    fn all_derive_the_same(heard in prop::collection::vec(heard(), 0..30), turn in 0usize..30) {
        let mut other: Vec<Heard> = heard.iter().rev().cloned().collect();
        let turn = turn % other.len().max(1);
        other.rotate_left(turn);
        for h in &mut other {
            h.word = wire::decode(&wire::encode(&h.word).unwrap()).unwrap();
            prop_assert_eq!(h.word.check(), Ok(()));
        }
        let fleet = Fleet::of(&heard);
        prop_assert_eq!(&fleet, &Fleet::of(&other));
        let live = || heard.iter().filter(|h| h.age < GONE).map(|h| h.word.wish);
        prop_assert!(fleet.level <= live().max().unwrap_or(0) && fleet.level >= live().min().unwrap_or(0));
        prop_assert!(fleet.shares.values().sum::<u32>() <= WHOLE);
    }

    /// Members that come from different levels stand at the same after the same words for SETTLES, and never move
    /// faster than the bound.
    #[test]
    fn members_settle_at_the_same(from in prop::collection::vec(0u32..=1_000, 2..6), target in 0u32..=1_000,
                                  steps in prop::collection::vec(1u64..2_500, 1..60)) {
        let mut levels: Vec<Level> = from.iter().map(|f| {
            let mut level = Level::new(0);
            (1..=4).for_each(|n| _ = level.step(n * 1_000, *f));
            level
        }).collect();
        let (mut now, mut counted) = (4_000, 0);
        for step in steps {
            now += step;
            counted += step.min(1_000);
            for level in &mut levels {
                let before = u64::from(level.get());
                let after = u64::from(level.step(now, target));
                prop_assert!(before.abs_diff(after) <= step * MOST_A_SECOND / 1_000 + 1);
            }
        }
        if counted >= SETTLES {
            prop_assert!(levels.iter().all(|l| l.get() == target));
        }
    }

    /// The wish moves by a bounded step, up above one bound and down below the other alone.
    #[test]
    fn a_wish_has_hysteresis(pressures in prop::collection::vec(0u32..4_000, 1..80), step in 1u64..1_500) {
        let (mut wish, mut now) = (Wish::new(0), 0);
        for pressure in pressures {
            let before = wish.get();
            now += step;
            let after = wish.step(now, pressure);
            prop_assert!(u64::from(before.abs_diff(after)) <= step.min(1_000) * 250 / 1_000 + 1);
            prop_assert!(after <= before || pressure > FULL);
            prop_assert!(after >= before || pressure < CALM);
        }
    }

    /// A liar counts at most its true traffic or an honest member's, and an honest member's weight is cut only where
    /// it has more than that.
    #[test]
    fn a_liar_gains_no_more_than_a_stated_share(true_traffic in prop::collection::vec(1_000u64..1_000_000, 3..20),
                                                times in 1u64..50, sees in 0u64..100) {
        let whole: u64 = true_traffic.iter().sum();
        let told: Vec<Told> = true_traffic.iter().enumerate().map(|(n, own)| Told {
            member: n as u64,
            own: if n == 0 { own * times } else { *own },
            seen: Some(if n == 0 { whole * sees } else { whole }),
        }).collect();
        let counted = capped(&told);
        let greatest = true_traffic[1..].iter().max().unwrap();
        // The reports' lag is a tenth of the whole.
        prop_assert!(counted[0] <= (true_traffic[0] + whole / 10 + 1).max(*greatest));
        prop_assert!(counted.iter().sum::<u64>() <= (whole + whole / 10).max(whole) || times == 1);
        for (n, own) in true_traffic.iter().enumerate().skip(1) {
            prop_assert!(counted[n] == *own || counted[n] >= counted[0]);
        }
    }

    /// What is gone does not count: a level without it is the level with it at that age.
    #[test]
    fn words_of_the_dead_fade_out(heard in prop::collection::vec(heard(), 1..12), age in GONE..GONE * 9) {
        let dead = Heard { member: 99, age, word: word(1_000, 2_000_000, None) };
        let with: Vec<Heard> = heard.iter().cloned().chain([dead]).collect();
        prop_assert_eq!(Fleet::of(&heard), Fleet::of(&with));
    }
}

#[test]
fn a_tenfold_liar_among_ten_moves_the_level_by_its_share() {
    let fleet = |times: u32| {
        let honest = (1..10).map(|member| Heard { member, age: 0, word: word(100, 50_000, Some(500_000)) });
        let liar = Heard { member: 0, age: 0, word: word(1_000, 50_000 * times, Some(500_000 * times)) };
        Fleet::of(&honest.chain([liar]).collect::<Vec<_>>())
    };
    // Its true traffic is a tenth; believed, it would be more than half, and the level 573.
    assert_eq!(fleet(1).level, 190);
    assert!(fleet(10).level <= 265, "{}", fleet(10).level);
}

#[test]
fn without_engines_reports_a_liar_counts_three_times_the_middle() {
    let told = |n: u64| Told { member: n, own: if n == 0 { 1_000_000 } else { 50_000 }, seen: None };
    assert_eq!(capped(&(0..10).map(told).collect::<Vec<_>>())[..2], [150_000, 50_000]);
}

#[test]
fn a_word_that_none_of_ours_tells_is_refused() {
    let good = word(10, 10, None);
    assert_eq!(Word { wish: 1_001, ..good.clone() }.check(), Err(WordError::WishAboveWhole { wish: 1_001 }));
    let twice = Word { classes: vec![Class::default(); 2], ..good.clone() };
    assert_eq!(twice.check(), Err(WordError::ClassTwice { class: 0 }));
    let many = Word { bands: vec![(1, 1); 49], ..good.clone() };
    assert!(matches!(many.check(), Err(WordError::TooMany { .. })));
    let largest = Word {
        life: u64::MAX,
        number: u64::MAX,
        wish: 1_000,
        pressure: u32::MAX,
        waits: vec![RoleWait { role: 255, wait: u64::MAX, aim: u64::MAX }; 8],
        classes: (236..=255)
            .map(|class| Class {
                class,
                arrived: u32::MAX,
                marked: u32::MAX,
                refused: u32::MAX,
                first: u32::MAX,
                attempts: u32::MAX,
            })
            .collect(),
        bands: vec![(255, u32::MAX); 48],
        seen: Some(u32::MAX),
        spare: vec![u32::MAX; 8],
    };
    assert_eq!(largest.check(), Ok(()));
    assert_eq!(wire::decode(&wire::encode(&largest).unwrap()), Ok(largest));
    let mut bytes = wire::encode(&good).unwrap();
    bytes[0] = 9;
    assert_eq!(wire::decode::<Word>(&bytes), Err(wire::WireError::UnknownFormat { found: 9 }));
    assert!(matches!(wire::decode::<Word>(&bytes[..0]), Err(wire::WireError::Malformed { .. })));
}
