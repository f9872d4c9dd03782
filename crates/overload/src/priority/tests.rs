use proptest::prelude::*;

use super::*;
use crate::{Ms, PerMille};

const BOUNDS: RetryAfterBounds = RetryAfterBounds { enabled: true, min: 200, max: 5_000 };

fn session(n: u32) -> SessionHash {
    SessionHash::new(&[7; 32], b"owner", &n.to_le_bytes())
}

fn gateway(level: PerMille, bands: &[(u8, u64)]) -> Admission {
    let mut admission = Admission::new(BOUNDS, ServedSessions::new(100, 60_000, 0));
    admission.update(level, 0, bands);
    admission
}

fn admits(admission: &mut Admission, now: Ms, request: &Request) -> bool {
    admission.decide(now, request) == Decision::Admitted
}

prop_compose! {
    fn bands()(works in prop::collection::btree_map(0u8..120, 1u64..1_000_000, 0..12)) -> Vec<(u8, u64)> {
        works.into_iter().collect()
    }
}

proptest! {
    /// The cutoff rejects the share of the work that the level sets, to within one rank, lowest bands first.
    #[test]
    fn cutoff_rejects_the_share_of_work_that_the_level_sets(level in 0u32..=1_000, bands in bands()) {
        let cutoff = Cutoff::for_level(level, &bands);
        let total_work: u64 = bands.iter().map(|b| b.1).sum();
        let rejected_part =
            |band| (0..=u16::MAX).step_by(64).filter(|r| cutoff.rejects(band, *r)).count() as f64 / 1_024.0;
        let rejected: f64 = bands.iter().map(|(band, work)| rejected_part(*band) * *work as f64).sum();
        prop_assert!(
            (rejected - total_work as f64 * f64::from(level) / 1_000.0).abs()
                <= total_work as f64 * 0.002 + 1.0
        );
        for pair in bands.windows(2) {
            prop_assert!(rejected_part(pair[0].0) >= rejected_part(pair[1].0));
        }
    }

    /// A request that is rejected at a level is rejected at any higher one, and at every gateway alike.
    #[test]
    fn rejection_is_the_same_at_every_gateway(
        level in 0u32..=1_000, more in 0u32..=1_000, bands in bands(), n: u32, band in 0u8..120,
        is_later_turn: bool
    ) {
        let request = Request { band, session: session(n), is_later_turn };
        let admitted = admits(&mut gateway(level, &bands), 0, &request);
        prop_assert_eq!(admitted, admits(&mut gateway(level, &bands), 5_000, &request));
        let higher = (level + more).min(1_000);
        prop_assert!(admitted || !admits(&mut gateway(higher, &bands), 0, &request));
    }

    /// A later turn of an admitted session is admitted: by any gateway at the same level, and by the gateway
    /// that served it at any level below the maximum.
    #[test]
    fn later_turn_of_an_admitted_session_is_admitted(
        level in 0u32..1_000, other in 0u32..1_000, bands in bands(), n: u32, band in 0u8..120
    ) {
        let first = Request { band, session: session(n), is_later_turn: false };
        let next = Request { is_later_turn: true, ..first };
        let mut this_gateway = gateway(level, &bands);
        if admits(&mut this_gateway, 0, &first) {
            prop_assert!(admits(&mut gateway(level, &bands), 0, &next));
            this_gateway.record_served(0, first.session);
            this_gateway.update(other, 0, &bands);
            prop_assert!(admits(&mut this_gateway, 1_000, &next));
        }
    }

    /// A band never falls with more value, with less work, for a request that must not be repeated, or for a
    /// tenant within its share.
    #[test]
    fn band_rises_with_value(
        value in 0u32..1_000_000, more in 0u32..1_000_000, work in 1u32..1_000_000,
        less in 1u32..1_000_000
    ) {
        let band_of = |value, work| priority_band(value, work, Idempotency::Idempotent, false);
        prop_assert!(
            band_of(value, work) <= band_of(value + more, work)
                && band_of(value, work.max(less)) <= band_of(value, work.min(less))
        );
        prop_assert!(
            priority_band(value, work, Idempotency::Idempotent, true)
                < priority_band(value, work, Idempotency::NonIdempotent, false)
        );
        prop_assert!(
            priority_band(value, work, Idempotency::Idempotent, true)
                < priority_band(value, work, Idempotency::Idempotent, false)
        );
        prop_assert!(
            priority_band(value, work, Idempotency::Idempotent, false)
                < priority_band(value, work, Idempotency::NonIdempotent, true)
        );
        prop_assert!(priority_band(value, work, Idempotency::NonIdempotent, false) < u8::MAX - 4);
    }

    /// Delays stay within the bounds, grow with the level, and are spread over the window.
    #[test]
    fn retry_delays_are_spread_over_the_window(
        min in 0u64..5_000, width in 100u64..60_000, level in 1u32..1_000, more in 0u32..1_000
    ) {
        let bounds = RetryAfterBounds { enabled: true, min, max: min + width };
        let delay = |level, n| bounds.delay(level, session(n)).unwrap();
        let mut quarters = [0; 4];
        for n in 0..400 {
            let delay_ms = delay(level, n);
            prop_assert!((min..=min + width).contains(&delay_ms) && delay_ms <= delay(level + more, n));
            let window = (width * u64::from(level) / 1_000).max(1);
            quarters[((delay_ms - min) * 4 / (window + 1)) as usize] += 1;
        }
        prop_assert!(width * u64::from(level) < 100_000 || quarters.iter().all(|q| (60..=140).contains(q)));
        prop_assert_eq!(RetryAfterBounds { enabled: false, ..bounds }.delay(level, session(0)), None);
    }

    /// The memory is bounded, and keeps a session at least while the next `capacity` - 1 sessions are added.
    #[test]
    fn served_sessions_are_bounded(capacity in 1usize..50, sessions in 1u32..300) {
        let mut served = ServedSessions::new(capacity, 10_000, 0);
        for n in 0..sessions {
            served.insert(u64::from(n), session(n));
            prop_assert!(served.len() <= 2 * capacity);
            prop_assert!(served.contains(u64::from(n), session(n.saturating_sub(capacity as u32 - 1))));
        }
        prop_assert!(!served.contains(40_000, session(sessions - 1)));
    }
}

#[test]
fn client_retry_pressure_lengthens_the_retry_delay() {
    let request = Request { band: 9, session: session(3), is_later_turn: false };
    let mut gateway = gateway(1_000, &[(9, 1)]);
    let Decision::Rejected { retry_after } = gateway.decide(0, &request) else {
        panic!("the level rejects everything")
    };
    gateway.update(400, 0, &[(9, 1)]);
    let delay_without_pressure = gateway.retry_after_bounds().delay(400, request.session);
    gateway.update(400, 1_000, &[(20, 1), (21, 1)]);
    assert!(
        delay_without_pressure < retry_after
            && gateway.decide(0, &request) == Decision::Rejected { retry_after }
    );
}
