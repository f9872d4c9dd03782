//! Tenant quotas: which tenants are beyond their quota, as one router of several sees it.
//!
//! A router knows the allowance of all routers together but not its own part of the traffic. Where clients
//! are spread unevenly, or another router is down, every tenant sends it more than the allowance divided by
//! the routers. The rate of the median tenant against its allowance is that part; one tenant's burst does not
//! move it.
//!
//! The router owns this state, and the caller owns the clock.

use crate::api::Millis;
use crate::state::{median, DecayingValue};

/// Decay time of the count of a tenant's requests (ms).
const REQUESTS_DECAY: Millis = 10_000.0;
/// A tenant may save up so much time's worth of its allowance (ms) ...
const MAX_SAVED_TIME: Millis = 3_000.0;
/// ... and at least so many requests at a router: one of hundreds of routers is granted less than one a
/// second.
const MIN_BURST: f64 = 5.0;
/// A few requests show nothing: one of hundreds of routers sees no more of anybody.
const INSIGNIFICANT_REQUESTS: f64 = 2.0;
/// Most that one router is taken to get of the traffic, in even parts.
const MAX_TRAFFIC_SHARE: f64 = 3.0;

/// Token bucket of one tenant at one router.
#[derive(Clone, Copy, Debug)]
struct TenantQuota {
    /// Allowance of this router alone, in requests a second.
    requests_per_s: f64,
    /// Requests that are within the quota at `updated_at`.
    saved_requests: f64,
    updated_at: Millis,
    recent_requests: DecayingValue,
}

/// Quotas of all tenants at one router, by their index in the settings.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas(Vec<TenantQuota>);

impl TenantQuotas {
    /// `rates`: allowance of each tenant at this router, in requests a second.
    pub fn new(rates: impl Iterator<Item = f64>, now: Millis) -> Self {
        let quota = |requests_per_s| TenantQuota {
            requests_per_s,
            saved_requests: MIN_BURST,
            updated_at: now,
            recent_requests: DecayingValue::zero(now),
        };
        TenantQuotas(rates.map(quota).collect())
    }

    /// This router's part of the traffic, in even parts; never less than one.
    fn traffic_share(&self, now: Millis) -> f64 {
        let with_allowance = self.0.iter().filter(|quota| quota.requests_per_s > 0.0);
        let used_share = |quota: &TenantQuota| {
            let requests = quota.recent_requests.value_at(now, REQUESTS_DECAY);
            let significant = (requests - INSIGNIFICANT_REQUESTS).max(0.0);
            significant * 1000.0 / REQUESTS_DECAY / quota.requests_per_s
        };
        median(with_allowance.map(used_share).collect()).clamp(1.0, MAX_TRAFFIC_SHARE)
    }

    /// Counts a tenant's request and returns whether it is beyond the tenant's quota.
    pub fn record_request(&mut self, tenant: usize, now: Millis) -> bool {
        let traffic_share = self.traffic_share(now);
        let Some(quota) = self.0.get_mut(tenant) else { return false };
        quota.recent_requests.add(1.0, now, REQUESTS_DECAY);
        let rate = quota.requests_per_s * traffic_share;
        let max_saved = (rate * MAX_SAVED_TIME / 1000.0).max(MIN_BURST);
        let earned = rate * (now - quota.updated_at) / 1000.0;
        quota.saved_requests = (quota.saved_requests + earned).min(max_saved);
        quota.updated_at = now;
        let is_beyond = quota.saved_requests < 1.0;
        if !is_beyond {
            quota.saved_requests -= 1.0;
        }
        is_beyond
    }
}

#[cfg(test)]
mod tests;
