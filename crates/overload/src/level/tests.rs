use proptest::prelude::*;

use super::*;
use crate::{wire, PerMille, PER_MILLE_SCALE};

fn report(desired_level: PerMille, attempts: u32, observed_fleet_attempts: Option<u32>) -> MemberReport {
    let classes = vec![ClassRates { class: 1, attempts, ..ClassRates::default() }];
    MemberReport {
        desired_level,
        classes,
        observed_fleet_attempts,
        work_by_band: vec![(10, attempts), (20, 7)],
        ..MemberReport::default()
    }
}

prop_compose! {
    fn received_report()(
        member in 0u64..12, age in 0u64..7_000, incarnation in 0u64..3, sequence in 0u64..3,
        desired_level in 0u32..=1_000, attempts in 0u32..2_000_000,
        observed_fleet_attempts in prop::option::of(0u32..9_000_000)
    ) -> ReceivedReport {
        ReceivedReport {
            member,
            age,
            report: MemberReport {
                incarnation,
                sequence,
                ..report(desired_level, attempts, observed_fleet_attempts)
            }
        }
    }
}

proptest! {
    /// The same reports give the same view in any order and after encoding. Its level lies between the lowest
    /// and the highest desired level.
    #[test]
    fn every_member_derives_the_same_view(
        reports in prop::collection::vec(received_report(), 0..30), rotation in 0usize..30
    ) {
        let mut other: Vec<ReceivedReport> = reports.iter().rev().cloned().collect();
        let rotation = rotation % other.len().max(1);
        other.rotate_left(rotation);
        for received in &mut other {
            received.report = wire::decode(&wire::encode(&received.report).unwrap()).unwrap();
            prop_assert_eq!(received.report.check(), Ok(()));
        }
        let fleet = FleetView::from_reports(&reports);
        prop_assert_eq!(&fleet, &FleetView::from_reports(&other));
        let desired_levels =
            || reports.iter().filter(|r| r.age < MAX_REPORT_AGE).map(|r| r.report.desired_level);
        prop_assert!(
            fleet.level <= desired_levels().max().unwrap_or(0)
                && fleet.level >= desired_levels().min().unwrap_or(0)
        );
        prop_assert!(fleet.traffic_shares.values().sum::<u32>() <= PER_MILLE_SCALE);
    }

    /// Members that start at different levels apply the same level after the same reports for SETTLING_TIME,
    /// and never change it faster than the bound.
    #[test]
    fn applied_levels_converge_within_the_settling_time(
        from in prop::collection::vec(0u32..=1_000, 2..6), target in 0u32..=1_000,
        steps in prop::collection::vec(1u64..2_500, 1..60)
    ) {
        let mut levels: Vec<AppliedLevel> = from.iter().map(|f| {
            let mut level = AppliedLevel::new(0);
            (1..=4).for_each(|n| _ = level.step(n * 1_000, *f));
            level
        }).collect();
        let (mut now, mut elapsed) = (4_000, 0);
        for step in steps {
            now += step;
            elapsed += step.min(1_000);
            for level in &mut levels {
                let before = u64::from(level.get());
                let after = u64::from(level.step(now, target));
                prop_assert!(before.abs_diff(after) <= step * MAX_CHANGE_PER_SECOND / 1_000 + 1);
            }
        }
        if elapsed >= SETTLING_TIME {
            prop_assert!(levels.iter().all(|l| l.get() == target));
        }
    }

    /// The desired level changes by a bounded step; it rises only above one pressure bound and falls only
    /// below the other.
    #[test]
    fn desired_level_has_hysteresis(
        pressures in prop::collection::vec(0u32..4_000, 1..80), step in 1u64..1_500
    ) {
        let (mut desired_level, mut now) = (DesiredLevel::new(0), 0);
        for pressure in pressures {
            let before = desired_level.get();
            now += step;
            let after = desired_level.step(now, pressure);
            prop_assert!(u64::from(before.abs_diff(after)) <= step.min(1_000) * 250 / 1_000 + 1);
            prop_assert!(after <= before || pressure > RAISE_ABOVE_PRESSURE);
            prop_assert!(after >= before || pressure < LOWER_BELOW_PRESSURE);
        }
    }

    /// A false claim counts for at most the true traffic plus the allowance, or the largest honest claim. An
    /// honest claim is reduced only if it still counts for at least as much as the false one.
    #[test]
    fn false_traffic_claim_gains_a_bounded_weight(
        true_traffic in prop::collection::vec(1_000u64..1_000_000, 3..20), factor in 1u64..50,
        observed_factor in 0u64..100
    ) {
        let total: u64 = true_traffic.iter().sum();
        let claims: Vec<TrafficClaim> = true_traffic.iter().enumerate().map(|(n, attempts)| TrafficClaim {
            member: n as u64,
            own_attempts: if n == 0 { attempts * factor } else { *attempts },
            observed_fleet_attempts: Some(if n == 0 { total * observed_factor } else { total }),
        }).collect();
        let capped = capped_attempts(&claims);
        let largest_honest = true_traffic[1..].iter().max().unwrap();
        // The allowance for the lag of engine reports is a tenth of the total.
        prop_assert!(capped[0] <= (true_traffic[0] + total / 10 + 1).max(*largest_honest));
        prop_assert!(capped.iter().sum::<u64>() <= (total + total / 10).max(total) || factor == 1);
        for (n, attempts) in true_traffic.iter().enumerate().skip(1) {
            prop_assert!(capped[n] == *attempts || capped[n] >= capped[0]);
        }
    }

    /// A report that has reached its maximum age does not change the view.
    #[test]
    fn expired_reports_have_no_weight(
        reports in prop::collection::vec(received_report(), 1..12),
        age in MAX_REPORT_AGE..MAX_REPORT_AGE * 9
    ) {
        let expired = ReceivedReport { member: 99, age, report: report(1_000, 2_000_000, None) };
        let with_expired: Vec<ReceivedReport> = reports.iter().cloned().chain([expired]).collect();
        prop_assert_eq!(FleetView::from_reports(&reports), FleetView::from_reports(&with_expired));
    }
}

#[test]
fn tenfold_false_claim_among_ten_moves_the_level_by_a_bounded_share() {
    let fleet = |factor: u32| {
        let honest = (1..10).map(|member| ReceivedReport {
            member,
            age: 0,
            report: report(100, 50_000, Some(500_000)),
        });
        let false_claim = ReceivedReport {
            member: 0,
            age: 0,
            report: report(1_000, 50_000 * factor, Some(500_000 * factor)),
        };
        FleetView::from_reports(&honest.chain([false_claim]).collect::<Vec<_>>())
    };
    // The true traffic of the false claimant is a tenth of the fleet's. With the full claim it would have
    // more than half of the weight, and the level would be 573.
    assert_eq!(fleet(1).level, 190);
    assert!(fleet(10).level <= 265, "{}", fleet(10).level);
}

#[test]
fn without_engine_reports_a_claim_is_capped_at_three_times_the_median() {
    let claim = |n: u64| TrafficClaim {
        member: n,
        own_attempts: if n == 0 { 1_000_000 } else { 50_000 },
        observed_fleet_attempts: None,
    };
    assert_eq!(capped_attempts(&(0..10).map(claim).collect::<Vec<_>>())[..2], [150_000, 50_000]);
}

#[test]
fn invalid_reports_are_rejected() {
    let good = report(10, 10, None);
    assert_eq!(
        MemberReport { desired_level: 1_001, ..good.clone() }.check(),
        Err(ReportError::LevelOutOfRange { desired_level: 1_001 })
    );
    let twice = MemberReport { classes: vec![ClassRates::default(); 2], ..good.clone() };
    assert_eq!(twice.check(), Err(ReportError::DuplicateClass { class: 0 }));
    let many = MemberReport { work_by_band: vec![(1, 1); 49], ..good.clone() };
    assert!(matches!(many.check(), Err(ReportError::TooMany { .. })));
    let largest = MemberReport {
        incarnation: u64::MAX,
        sequence: u64::MAX,
        desired_level: 1_000,
        pressure: u32::MAX,
        queue_waits: vec![RoleQueueWait { role: 255, wait: u64::MAX, target: u64::MAX }; 8],
        classes: (236..=255)
            .map(|class| ClassRates {
                class,
                arrivals: u32::MAX,
                marked_retries: u32::MAX,
                rejected: u32::MAX,
                first_attempts: u32::MAX,
                attempts: u32::MAX,
            })
            .collect(),
        work_by_band: vec![(255, u32::MAX); 48],
        observed_fleet_attempts: Some(u32::MAX),
        spare_units: vec![u32::MAX; 8],
    };
    assert_eq!(largest.check(), Ok(()));
    assert_eq!(wire::decode(&wire::encode(&largest).unwrap()), Ok(largest));
    let mut bytes = wire::encode(&good).unwrap();
    bytes[0] = 9;
    assert_eq!(wire::decode::<MemberReport>(&bytes), Err(wire::WireError::UnknownFormat { found: 9 }));
    assert!(matches!(wire::decode::<MemberReport>(&bytes[..0]), Err(wire::WireError::Malformed { .. })));
}
