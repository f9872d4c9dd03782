//! Independence of a tenant's quota from the requests of other tenants.

use super::*;
use proptest::prelude::*;

/// Returns the share of a tenant's requests from 20 s to 30 s that exceed its quota, if each tenant sends
/// this multiple of its rate.
fn share_over_quota(load_factors: [f64; 3], judged_tenant: usize) -> f64 {
    let rates = [3.0, 2.5, 1.5];
    let mut quotas = TenantQuotas::new(rates.into_iter(), 0.0);
    let mut requests: Vec<(Millis, usize)> = Vec::new();
    for (tenant, rate) in rates.iter().enumerate() {
        let interval = 1000.0 / (rate * load_factors[tenant]);
        let times = (1..).map(|n| interval * f64::from(n)).take_while(|time| *time < 30_000.0);
        requests.extend(times.map(|time| (time, tenant)));
    }
    requests.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut over_quota, mut total) = (0.0, 0.0);
    for (time, tenant) in requests {
        let is_over_quota = quotas.record_request(tenant, time);
        if tenant == judged_tenant && time > 20_000.0 {
            over_quota += f64::from(u8::from(is_over_quota));
            total += 1.0;
        }
    }
    over_quota / total
}

proptest! {
    /// If one tenant exceeds its quota, its excess requests are detected, and no request of the tenants
    /// within their quotas counts as exceeding a quota.
    #[test]
    fn a_burst_of_one_tenant_does_not_affect_the_others(
        first in 0.3..0.95f64, last in 0.3..0.95f64, burst in 2.0..6.0f64,
    ) {
        prop_assert_eq!(share_over_quota([first, burst, last], 0), 0.0);
        prop_assert_eq!(share_over_quota([first, burst, last], 2), 0.0);
        let over_quota = share_over_quota([first, burst, last], 1);
        prop_assert!((over_quota - (1.0 - 1.0 / burst)).abs() < 0.1, "{}", over_quota);
    }

    /// If a router receives up to 2.5 times the traffic of every tenant, for example the clients of another
    /// router, less than 30 % of the requests of a tenant with a smaller increase exceed its quota.
    #[test]
    fn more_traffic_of_every_tenant_puts_none_beyond_its_quota(factor in 1.5..2.5f64, less in 0.6..0.9f64) {
        prop_assert!(share_over_quota([factor * less, factor, factor], 0) < 0.3);
        prop_assert!(share_over_quota([factor, factor * less, factor], 2) < 0.3);
    }
}
