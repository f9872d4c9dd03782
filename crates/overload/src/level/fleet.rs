//! View of the whole fleet, which all members derive alike from the reports they have received.

use std::collections::BTreeMap;

use super::{capped_attempts, MemberReport, TrafficClaim};
use crate::{scale_by_ratio, Member, Ms, PerMille, PER_MILLE_SCALE};

/// Age (ms) up to which a report has full weight; beyond it the weight falls linearly to zero at
/// [`MAX_REPORT_AGE`].
pub const FULL_WEIGHT_AGE: Ms = 1_500;
/// Age (ms) from which a report is ignored.
pub const MAX_REPORT_AGE: Ms = 5_000;

/// A report of a member, with the milliseconds since it was sent as its `age`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedReport {
    pub member: Member,
    pub age: Ms,
    pub report: MemberReport,
}

impl ReceivedReport {
    /// Returns the weight that the report has by its age, in thousandths.
    fn age_weight(&self) -> u64 {
        let remaining = MAX_REPORT_AGE.saturating_sub(self.age).min(MAX_REPORT_AGE - FULL_WEIGHT_AGE);
        remaining * u64::from(PER_MILLE_SCALE) / (MAX_REPORT_AGE - FULL_WEIGHT_AGE)
    }
}

/// Aggregate of the newest report of each member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Share of the work to shed.
    pub level: PerMille,
    /// Number of members that have a report with any weight.
    pub member_count: usize,
    /// Each member's share of the fleet's traffic. A member's traffic is capped by what others observe, and
    /// weighted by the age of its report.
    pub traffic_shares: BTreeMap<Member, PerMille>,
    /// Work by priority band, lowest band first. Only the proportions matter: the scale is arbitrary.
    pub work_by_band: Vec<(u8, u64)>,
}

impl FleetView {
    /// Aggregates reports, the own one included, in any order. Only the newest of each member counts.
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
        // Plus one, so that a fleet without traffic has a level too.
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
                // A member reports how its work is distributed over the bands; how much it counts depends on
                // its capped traffic.
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
        // Limited so that sums over all members do not overflow.
        let own_attempts = self.report.total_attempts().min(u64::from(u32::MAX));
        TrafficClaim {
            member: self.member,
            own_attempts,
            observed_fleet_attempts: self.report.observed_fleet_attempts.map(u64::from),
        }
    }
}
