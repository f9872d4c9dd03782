use proptest::prelude::*;

use super::*;
use crate::{Ms, PerMille};

const BOUNDS: RetryAfter = RetryAfter { told: true, least: 200, most: 5_000 };

fn place(n: u32) -> Place {
    Place::of(&[7; 32], b"owner", &n.to_le_bytes())
}

fn gateway(level: PerMille, bands: &[(u8, u64)]) -> Admission {
    let mut admission = Admission::new(BOUNDS, Served::new(100, 60_000, 0));
    admission.set(level, 0, bands);
    admission
}

fn admits(admission: &mut Admission, now: Ms, request: &Request) -> bool {
    admission.judge(now, request) == Verdict::Admitted
}

prop_compose! {
    fn bands()(works in prop::collection::btree_map(0u8..120, 1u64..1_000_000, 0..12)) -> Vec<(u8, u64)> {
        works.into_iter().collect()
    }
}

proptest! {
    /// The cut turns away the level's share of the work, lowest bands first, within a rank.
    #[test]
    fn a_cut_turns_away_its_share(level in 0u32..=1_000, bands in bands()) {
        let cut = Cut::at(level, &bands);
        let whole: u64 = bands.iter().map(|b| b.1).sum();
        let below = |band| (0..=u16::MAX).step_by(64).filter(|r| cut.refuses(band, *r)).count() as f64 / 1_024.0;
        let refused: f64 = bands.iter().map(|(band, work)| below(*band) * *work as f64).sum();
        prop_assert!((refused - whole as f64 * f64::from(level) / 1_000.0).abs() <= whole as f64 * 0.002 + 1.0);
        for pair in bands.windows(2) {
            prop_assert!(below(pair[0].0) >= below(pair[1].0));
        }
    }

    /// What is refused at a level is refused at any higher one, and at every gateway alike.
    #[test]
    fn refused_here_is_refused_everywhere(level in 0u32..=1_000, more in 0u32..=1_000, bands in bands(), n: u32,
                                          band in 0u8..120, later: bool) {
        let request = Request { band, place: place(n), later };
        let here = admits(&mut gateway(level, &bands), 0, &request);
        prop_assert_eq!(here, admits(&mut gateway(level, &bands), 5_000, &request));
        let higher = (level + more).min(1_000);
        prop_assert!(here || !admits(&mut gateway(higher, &bands), 0, &request));
    }

    /// A later turn of a session that was admitted is admitted: anywhere at the same level, here at any but the last.
    #[test]
    fn a_session_once_served_goes_on(level in 0u32..1_000, other in 0u32..1_000, bands in bands(), n: u32,
                                     band in 0u8..120) {
        let first = Request { band, place: place(n), later: false };
        let next = Request { later: true, ..first };
        let mut here = gateway(level, &bands);
        if admits(&mut here, 0, &first) {
            prop_assert!(admits(&mut gateway(level, &bands), 0, &next));
            here.served(0, first.place);
            here.set(other, 0, &bands);
            prop_assert!(admits(&mut here, 1_000, &next));
        }
    }

    /// More worth, less work, an effect that may not come twice and a tenant within its share never go later.
    #[test]
    fn bands_rise_with_worth(worth in 0u32..1_000_000, more in 0u32..1_000_000, work in 1u32..1_000_000,
                             less in 1u32..1_000_000) {
        let at = |worth, work| band(worth, work, Repeat::May, false);
        prop_assert!(at(worth, work) <= at(worth + more, work) && at(worth, work.max(less)) <= at(worth, work.min(less)));
        prop_assert!(band(worth, work, Repeat::May, true) < band(worth, work, Repeat::MayNot, false));
        prop_assert!(band(worth, work, Repeat::May, true) < band(worth, work, Repeat::May, false));
        prop_assert!(band(worth, work, Repeat::May, false) < band(worth, work, Repeat::MayNot, true));
        prop_assert!(band(worth, work, Repeat::MayNot, false) < u8::MAX - 4);
    }

    /// Waits stay in the bounds, grow with the level, and spread over the window.
    #[test]
    fn returns_are_spread(least in 0u64..5_000, width in 100u64..60_000, level in 1u32..1_000, more in 0u32..1_000) {
        let bounds = RetryAfter { told: true, least, most: least + width };
        let wait = |level, n| bounds.at(level, place(n)).unwrap();
        let mut quarters = [0; 4];
        for n in 0..400 {
            let w = wait(level, n);
            prop_assert!((least..=least + width).contains(&w) && w <= wait(level + more, n));
            let window = (width * u64::from(level) / 1_000).max(1);
            quarters[((w - least) * 4 / (window + 1)) as usize] += 1;
        }
        prop_assert!(width * u64::from(level) < 100_000 || quarters.iter().all(|q| (60..=140).contains(q)));
        prop_assert_eq!(RetryAfter { told: false, ..bounds }.at(level, place(0)), None);
    }

    /// The memory is bounded, and holds a session over the next `most` ones.
    #[test]
    fn memory_is_bounded(most in 1usize..50, sessions in 1u32..300) {
        let mut served = Served::new(most, 10_000, 0);
        for n in 0..sessions {
            served.add(u64::from(n), place(n));
            prop_assert!(served.len() <= 2 * most);
            prop_assert!(served.has(u64::from(n), place(n.saturating_sub(most as u32 - 1))));
        }
        prop_assert!(!served.has(40_000, place(sessions - 1)));
    }
}

#[test]
fn who_presses_is_told_to_come_later() {
    let request = Request { band: 9, place: place(3), later: false };
    let mut gateway = gateway(1_000, &[(9, 1)]);
    let Verdict::Refused { after } = gateway.judge(0, &request) else { panic!("all is refused") };
    gateway.set(400, 0, &[(9, 1)]);
    let calm = gateway.bounds().at(400, request.place);
    gateway.set(400, 1_000, &[(20, 1), (21, 1)]);
    assert!(calm < after && gateway.judge(0, &request) == Verdict::Refused { after });
}
