//! The same decisions where gateways may not talk: from the settings' number of routers and a gateway's own counts.
//! All see the same engines' queues, so their wishes are alike, and the order's hash is the same at all of them;
//! budgets are cut into equal parts, which is what each seat owns when nothing is lent.

use crate::budget::{Budget, BudgetConfig, ConfigError, Units};
use crate::level::{AppliedLevel, DesiredLevel, FleetView, MemberReport, ReceivedReport};
use crate::{Ms, PerMille, PER_MILLE_SCALE};

/// Requests a second, in thousandths, from which on a gateway trusts its own mix of bands whole.
const FULL_TRUST_ARRIVALS: u64 = 20_000;

/// One gateway of so many that do not talk.
#[derive(Clone, Debug)]
pub struct StandaloneGateway {
    routers: u32,
    desired: DesiredLevel,
    applied: AppliedLevel,
    work_by_band: Vec<(u8, u64)>,
}

impl StandaloneGateway {
    /// `routers` as the settings say.
    pub fn new(routers: u32, now: Ms) -> Self {
        StandaloneGateway {
            routers: routers.max(1),
            desired: DesiredLevel::new(now),
            applied: AppliedLevel::new(now),
            work_by_band: Vec::new(),
        }
    }

    /// Takes what this gateway would have told, and gives the level that it acts on. The fewer requests it has, the
    /// slower its mix of bands follows: one of hundreds of routers sees too few for a second to say anything.
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

    /// Work by band, smallest band first, for the order's cut.
    pub fn work_by_band(&self) -> &[(u8, u64)] {
        &self.work_by_band
    }

    /// This gateway's part of a budget: an n-th, whatever others do. It lends nothing, since it is all floor.
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

    /// Moves the bands by so many thousandths to what is seen now, each on a scale of a million.
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
        /// Parts of all routers that the settings count are within the budget, from their first moment.
        #[test]
        fn spendable_rate_is_an_equal_part_of_the_budget(
            routers in 1u32..400, total in 0u32..1_000_000, now in 0u64..100_000
        ) {
            let spendable =
                StandaloneGateway::new(routers, 0).budget(total, 1_000, 0).unwrap().spendable(now);
            prop_assert!(u64::from(spendable) * u64::from(routers) <= u64::from(total));
            prop_assert!(u64::from(spendable + 1) * u64::from(routers) > u64::from(total));
        }

        /// Two gateways that see the same queues act on the same level, and their mixes stay mixes.
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
