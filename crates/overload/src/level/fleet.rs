//! What all members derive alike from what they have heard.

use std::collections::BTreeMap;

use super::{capped_attempts, MemberReport, TrafficClaim};
use crate::{scale_by_ratio, Member, Ms, PerMille, PER_MILLE_SCALE};

/// Up to this age a word counts whole; from there on less, down to nothing.
pub const FULL_WEIGHT_AGE: Ms = 1_500;
pub const MAX_REPORT_AGE: Ms = 5_000;

/// A word, and how long ago it was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedReport {
    pub member: Member,
    pub age: Ms,
    pub report: MemberReport,
}

impl ReceivedReport {
    /// How much it counts, in thousandths.
    fn age_weight(&self) -> u64 {
        let remaining = MAX_REPORT_AGE.saturating_sub(self.age).min(MAX_REPORT_AGE - FULL_WEIGHT_AGE);
        remaining * u64::from(PER_MILLE_SCALE) / (MAX_REPORT_AGE - FULL_WEIGHT_AGE)
    }
}

/// The fleet as its members' words show it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Share of the work to be turned away.
    pub level: PerMille,
    /// Members that count at all.
    pub member_count: usize,
    /// Each member's part of the traffic, capped by what others see.
    pub traffic_shares: BTreeMap<Member, PerMille>,
    /// Work by band of the order, smallest band first, on a scale of its own.
    pub work_by_band: Vec<(u8, u64)>,
}

impl FleetView {
    /// From the newest word of each member, own word included, in any order.
    pub fn from_reports(reports: &[ReceivedReport]) -> FleetView {
        let mut newest: BTreeMap<Member, &ReceivedReport> = BTreeMap::new();
        for r in reports.iter().filter(|r| r.age_weight() > 0) {
            let recency =
                |a: &ReceivedReport| (a.report.incarnation, a.report.sequence, std::cmp::Reverse(a.age));
            let newest_of_member = newest.entry(r.member).or_insert(r);
            if recency(r) > recency(newest_of_member) {
                *newest_of_member = r;
            }
        }
        let reports: Vec<&ReceivedReport> = newest.into_values().collect();
        let claims: Vec<TrafficClaim> = reports.iter().map(|r| r.claimed_traffic()).collect();
        // One more than nothing, so that a fleet without traffic has a level too.
        let weighted = capped_attempts(&claims)
            .into_iter()
            .zip(&reports)
            .map(|(own_attempts, r)| (own_attempts + 1) * r.age_weight());
        let weights: Vec<u64> = weighted.collect();
        let total_weight: u64 = weights.iter().fold(0, |sum, w| sum.saturating_add(*w));
        let level = reports
            .iter()
            .zip(&weights)
            .map(|(r, w)| u128::from(*w) * u128::from(r.report.desired_level.min(PER_MILLE_SCALE)));
        let level = level.sum::<u128>() / u128::from(total_weight.max(1));
        let traffic_share = |w: &u64| {
            u32::try_from(scale_by_ratio(u64::from(PER_MILLE_SCALE), *w, total_weight))
                .unwrap_or(PER_MILLE_SCALE)
        };
        let mut work_by_band: BTreeMap<u8, u64> = BTreeMap::new();
        for (r, w) in reports.iter().zip(&weights) {
            let member_work: u64 = r.report.work_by_band.iter().map(|(_, work)| u64::from(*work)).sum();
            for (band, work) in &r.report.work_by_band {
                // A member tells how its traffic is made up; how much of it there is, others see.
                *work_by_band.entry(*band).or_default() += scale_by_ratio(*w, u64::from(*work), member_work);
            }
        }
        FleetView {
            level: u32::try_from(level).unwrap_or(PER_MILLE_SCALE),
            member_count: reports.len(),
            traffic_shares: reports.iter().map(|r| r.member).zip(weights.iter().map(traffic_share)).collect(),
            work_by_band: work_by_band.into_iter().collect(),
        }
    }
}

impl ReceivedReport {
    fn claimed_traffic(&self) -> TrafficClaim {
        // Kept small enough that sums of all members stay in their bounds.
        let own_attempts = self.report.total_attempts().min(u64::from(u32::MAX));
        TrafficClaim {
            member: self.member,
            own_attempts,
            observed_fleet_attempts: self.report.observed_fleet_attempts.map(u64::from),
        }
    }
}
