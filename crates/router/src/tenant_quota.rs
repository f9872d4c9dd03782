//! Which tenants use more than their share, told by one router of several. No clock, no I/O.
//!
//! A router knows the allowance of all routers together and not its own part of the traffic: where clients are spread
//! unevenly, or another router is down, all tenants ask more of it than their allowance divided by the routers. What the
//! middle tenant asks for, against its allowance, is that part; one tenant's burst does not move it.

use crate::api::Millis;
use crate::state::{decayed, median};

/// What was asked for is counted in this memory (ms).
const MEMORY: Millis = 10_000.0;
/// A tenant may save up so much time's worth of its allowance (ms), and at least so many requests at a router: one of
/// hundreds of routers is granted less than one a second.
const SAVED: Millis = 3_000.0;
const SAVED_LEAST: f64 = 5.0;
/// A few requests show nothing: one of hundreds of routers sees no more of anybody.
const CHANCE: f64 = 2.0;
/// At most so many times its part of the traffic is taken to come to one router.
const MOST: f64 = 3.0;

/// One tenant at one router.
#[derive(Clone, Copy, Debug)]
pub struct TenantQuota {
    /// Requests a second granted to this router alone.
    requests_per_s: f64,
    credit: f64,
    updated_at: Millis,
    recent_requests: (f64, Millis),
}

/// All tenants at one router.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas(Vec<TenantQuota>);

impl TenantQuotas {
    /// `rates`: what each tenant is granted at this router, in requests a second.
    pub fn new(rates: impl Iterator<Item = f64>, now: Millis) -> Self {
        TenantQuotas(
            rates
                .map(|rate| TenantQuota {
                    requests_per_s: rate,
                    credit: SAVED_LEAST,
                    updated_at: now,
                    recent_requests: (0.0, now),
                })
                .collect(),
        )
    }

    /// This router's part of the traffic against an even one, never less than that.
    pub fn traffic_share(&self, now: Millis) -> f64 {
        let granted = self.0.iter().filter(|s| s.requests_per_s > 0.0);
        let sure = |count: f64| (count - CHANCE).max(0.0);
        let used = granted
            .map(|s| sure(decayed(s.recent_requests, now, MEMORY)) * 1000.0 / MEMORY / s.requests_per_s);
        median(used.collect()).clamp(1.0, MOST)
    }

    /// Takes in a tenant's request and tells whether it lies beyond its share.
    pub fn record_request(&mut self, tenant: usize, now: Millis) -> bool {
        let part = self.traffic_share(now);
        let Some(s) = self.0.get_mut(tenant) else { return false };
        s.recent_requests = (1.0 + decayed(s.recent_requests, now, MEMORY), now);
        let rate = s.requests_per_s * part;
        let most = (rate * SAVED / 1000.0).max(SAVED_LEAST);
        (s.credit, s.updated_at) = ((s.credit + rate * (now - s.updated_at) / 1000.0).min(most), now);
        let over = s.credit < 1.0;
        s.credit -= f64::from(u8::from(!over));
        over
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Of this tenant's requests in ten seconds, the share told to be over, where each asks for so many times its rate.
    fn told(times: [f64; 3], of: usize) -> f64 {
        let rates = [3.0, 2.5, 1.5];
        let mut shares = TenantQuotas::new(rates.into_iter(), 0.0);
        let mut asks: Vec<(Millis, usize)> = Vec::new();
        for (tenant, rate) in rates.iter().enumerate() {
            let gap = 1000.0 / (rate * times[tenant]);
            asks.extend(
                (1..).map(|n| gap * f64::from(n)).take_while(|at| *at < 30_000.0).map(|at| (at, tenant)),
            );
        }
        asks.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut over, mut all) = (0.0, 0.0);
        for (at, tenant) in asks {
            let is = shares.record_request(tenant, at);
            if tenant == of && at > 20_000.0 {
                over += f64::from(u8::from(is));
                all += 1.0;
            }
        }
        over / all
    }

    proptest! {
        /// Whoever keeps within its share is never told to be over, however far over one other is; that one is.
        #[test]
        fn one_burst_is_told_from_the_others(a in 0.3..0.95f64, b in 0.3..0.95f64, burst in 2.0..6.0f64) {
            prop_assert_eq!(told([a, burst, b], 0), 0.0);
            prop_assert_eq!(told([a, burst, b], 2), 0.0);
            let over = told([a, burst, b], 1);
            prop_assert!((over - (1.0 - 1.0 / burst)).abs() < 0.1, "{}", over);
        }

        /// A router that carries another's clients too takes nobody to be over for that.
        #[test]
        fn more_traffic_of_all_is_nobodys_fault(times in 1.5..2.5f64, less in 0.6..0.9f64) {
            prop_assert!(told([times * less, times, times], 0) < 0.3);
            prop_assert!(told([times, times * less, times], 2) < 0.3);
        }
    }
}
