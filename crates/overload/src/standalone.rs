//! Overload control for gateways that may not exchange messages: the same decisions from the number of
//! routers in the settings and from the gateway's own counts.
//!
//! All gateways see the queues of the same engines, so that their desired levels are similar, and the session
//! hash is the same at all of them. Budgets are divided into equal parts, which is what each owner has while
//! nothing is lent.

use crate::budget::{Budget, BudgetConfig, ConfigError, Units};
use crate::level::{AppliedLevel, DesiredLevel, FleetView, MemberReport, ReceivedReport};
use crate::{Ms, PerMille, PER_MILLE_SCALE};

/// Arrivals, in thousandths of a request per second, from which the latest distribution of work over bands
/// replaces the former one completely.
const FULL_TRUST_ARRIVALS: u64 = 20_000;

/// One of several gateways that do not exchange messages.
#[derive(Clone, Debug)]
pub struct StandaloneGateway {
    routers: u32,
    desired: DesiredLevel,
    applied: AppliedLevel,
    work_by_band: Vec<(u8, u64)>,
}

impl StandaloneGateway {
    /// `routers` is the number of gateways according to the settings.
    pub fn new(routers: u32, now: Ms) -> Self {
        StandaloneGateway {
            routers: routers.max(1),
            desired: DesiredLevel::new(now),
            applied: AppliedLevel::new(now),
            work_by_band: Vec::new(),
        }
    }

    /// Takes the report that this gateway would send, and returns the level to apply. The fewer requests
    /// arrive, the more slowly the distribution over bands is updated: one of hundreds of routers receives
    /// too few requests for one second to be representative.
    pub fn step(&mut self, now: Ms, report: &MemberReport) -> PerMille {
        let desired_level = self.desired.step(now, report.pressure);
        let own_report =
            ReceivedReport { member: 0, age: 0, report: MemberReport { desired_level, ..report.clone() } };
        let view = FleetView::from_reports(&[own_report]);
        let arrivals: u64 = report.classes.iter().map(|c| u64::from(c.arrivals)).sum();
        let weight = (arrivals * u64::from(PER_MILLE_SCALE) / FULL_TRUST_ARRIVALS)
            .clamp(20, u64::from(PER_MILLE_SCALE));
        self.blend(&view.work_by_band, weight);
        self.applied.step(now, view.level)
    }

    /// Returns the work by band, lowest band first, for the [`Cutoff`](crate::priority::Cutoff).
    pub fn work_by_band(&self) -> &[(u8, u64)] {
        &self.work_by_band
    }

    /// Returns this gateway's equal part of a budget, whatever the other gateways do. It lends nothing, since
    /// the floor is the whole share.
    pub fn budget(&self, total: Units, burst_duration: Ms, now: Ms) -> Result<Budget, ConfigError> {
        let floor = PER_MILLE_SCALE;
        let (share_owners, lease_duration) = (self.routers, 5_000);
        let config = BudgetConfig {
            total,
            share_owners,
            owns_share: true,
            floor,
            lease_duration,
            max_clock_drift: 100,
            witnesses: 0,
            burst_duration,
        };
        Budget::new(config, 0, 0, now)
    }

    /// Replaces `weight` thousandths of the distribution by the observed one, or all of it if it is empty.
    /// Both are scaled to a sum of one million. Does nothing if no work was observed.
    fn blend(&mut self, observed: &[(u8, u64)], weight: u64) {
        let total_work: u64 = observed.iter().map(|b| b.1).sum();
        if total_work == 0 {
            return;
        }
        let weight = if self.work_by_band.is_empty() { u64::from(PER_MILLE_SCALE) } else { weight };
        let mut work_by_band: std::collections::BTreeMap<u8, u64> = std::collections::BTreeMap::new();
        for (band, work) in &self.work_by_band {
            work_by_band
                .insert(*band, work * (u64::from(PER_MILLE_SCALE) - weight) / u64::from(PER_MILLE_SCALE));
        }
        for (band, work) in observed {
            *work_by_band.entry(*band).or_default() +=
                crate::scale_by_ratio(1_000_000, *work, total_work) * weight / u64::from(PER_MILLE_SCALE);
        }
        work_by_band.retain(|_, work| *work > 0);
        self.work_by_band = work_by_band.into_iter().collect();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::level::ClassRates;
    use proptest::prelude::*;

    proptest! {
        /// The equal parts of all configured routers stay within the budget and use it up as far as possible,
        /// from the start.
        #[test]
        fn spendable_rate_is_an_equal_part_of_the_budget(
            routers in 1u32..400, total in 0u32..1_000_000, now in 0u64..100_000
        ) {
            let spendable =
                StandaloneGateway::new(routers, 0).budget(total, 1_000, 0).unwrap().spendable(now);
            prop_assert!(u64::from(spendable) * u64::from(routers) <= u64::from(total));
            prop_assert!(u64::from(spendable + 1) * u64::from(routers) > u64::from(total));
        }

        /// Two gateways that see the same queues apply the same level, whatever their traffic. Distributions
        /// stay sorted by band and within their total of one million.
        #[test]
        fn equal_queues_give_equal_levels(
            pressures in prop::collection::vec(0u32..3_000, 1..50),
            work_by_band in prop::collection::vec((0u8..9, 0u32..9_000), 0..9)
        ) {
            let (mut a, mut b) = (StandaloneGateway::new(3, 0), StandaloneGateway::new(3, 0));
            for (n, pressure) in pressures.iter().enumerate() {
                let now = n as u64 * 200;
                let report = MemberReport { pressure: *pressure, ..MemberReport::default() };
                let class = ClassRates { arrivals: 3_000, attempts: 900, ..ClassRates::default() };
                let other = MemberReport {
                    work_by_band: work_by_band.clone(),
                    classes: vec![class],
                    ..report.clone()
                };
                prop_assert_eq!(a.step(now, &report), b.step(now, &other));
                prop_assert!(b.work_by_band().iter().map(|b| b.1).sum::<u64>() <= 1_000_000);
                prop_assert!(b.work_by_band().windows(2).all(|w| w[0].0 < w[1].0));
            }
        }
    }
}
