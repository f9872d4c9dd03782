//! Tenant quotas: detects tenants that exceed their quota, from the requests at one of several routers.
//!
//! The settings contain the allowance over all routers, but a router's own share of the traffic is not known.
//! If clients are distributed unevenly, or another router is down, every tenant sends this router more than
//! the allowance divided by the number of routers. The share is estimated as the median, over all tenants, of
//! the tenant's rate relative to its allowance. A burst of one tenant does not change the median.
//!
//! The router owns this state, and the caller owns the clock.

use crate::api::Millis;
use crate::state::{median, DecayingValue};

/// Decay time of a tenant's request count (ms).
const REQUESTS_DECAY: Millis = 10_000.0;
/// Maximum burst of a tenant, as the time over which its unused allowance accumulates (ms).
const MAX_BURST_TIME: Millis = 3_000.0;
/// Minimum burst of a tenant at a router, in requests. In a fleet of hundreds of routers, the allowance at
/// one router is less than one request per second.
const MIN_BURST: f64 = 5.0;
/// Number of recent requests of each tenant that are ignored in the traffic share, because a few requests are
/// not significant. In a fleet of hundreds of routers, a router receives no more than that from any tenant.
const INSIGNIFICANT_REQUESTS: f64 = 2.0;
/// Maximum estimated traffic of a router, as a multiple of an even share.
const MAX_TRAFFIC_SHARE: f64 = 3.0;

/// Token bucket of one tenant at this router.
#[derive(Clone, Copy, Debug)]
struct TenantQuota {
    /// Allowance at this router, in requests per second.
    requests_per_s: f64,
    /// Requests in the bucket at `updated_at`.
    available_requests: f64,
    updated_at: Millis,
    recent_requests: DecayingValue,
}

/// Quotas of all tenants at this router, by their index in the settings.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas(Vec<TenantQuota>);

impl TenantQuotas {
    /// Creates the quotas from the allowance of each tenant at this router, in requests per second.
    pub fn new(rates: impl Iterator<Item = f64>, now: Millis) -> Self {
        let quota = |requests_per_s| TenantQuota {
            requests_per_s,
            available_requests: MIN_BURST,
            updated_at: now,
            recent_requests: DecayingValue::zero(now),
        };
        TenantQuotas(rates.map(quota).collect())
    }

    /// Returns the traffic of this router as a multiple of an even share, at least 1.
    fn traffic_share(&self, now: Millis) -> f64 {
        let with_allowance = self.0.iter().filter(|quota| quota.requests_per_s > 0.0);
        let used_share = |quota: &TenantQuota| {
            let requests = quota.recent_requests.value_at(now, REQUESTS_DECAY);
            let significant = (requests - INSIGNIFICANT_REQUESTS).max(0.0);
            significant * 1000.0 / REQUESTS_DECAY / quota.requests_per_s
        };
        median(with_allowance.map(used_share).collect()).clamp(1.0, MAX_TRAFFIC_SHARE)
    }

    /// Counts a request of a tenant and returns whether it exceeds the tenant's quota.
    pub fn record_request(&mut self, tenant: usize, now: Millis) -> bool {
        let traffic_share = self.traffic_share(now);
        let Some(quota) = self.0.get_mut(tenant) else { return false };
        quota.recent_requests.add(1.0, now, REQUESTS_DECAY);
        let rate = quota.requests_per_s * traffic_share;
        let max_burst = (rate * MAX_BURST_TIME / 1000.0).max(MIN_BURST);
        let accrued = rate * (now - quota.updated_at) / 1000.0;
        quota.available_requests = (quota.available_requests + accrued).min(max_burst);
        quota.updated_at = now;
        let is_over_quota = quota.available_requests < 1.0;
        if !is_over_quota {
            quota.available_requests -= 1.0;
        }
        is_over_quota
    }
}

#[cfg(test)]
mod tests;
