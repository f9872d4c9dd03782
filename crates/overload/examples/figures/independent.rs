//! Gateways that decide independently, by the rules of `crates/router/src/policy/load_shedding.rs` and
//! `crates/router/src/policy/retries.rs`: requests are rejected at random when the first token is expected
//! late, and each request earns a tenth of a retry.

use glenrail_overload::Ms;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::policy::{AdmissionPolicy, Turn, FIRST_TOKEN_TARGET, GATEWAY_COUNT};

/// Part of the target above which requests are rejected.
const SHED_ABOVE: f64 = 0.7;
/// Retries that each request earns.
const RETRY_EARNED_PER_REQUEST: f64 = 0.1;
/// Maximum number of retries that a gateway saves up.
const MAX_SAVED_RETRIES: f64 = 30.0;
/// Cost of a retry after an immediate error, in retries.
const QUICK_ERROR_RETRY_COST: f64 = 0.1;

pub struct IndependentGateways {
    rng: StdRng,
    saved_retries: [f64; GATEWAY_COUNT],
}

impl IndependentGateways {
    pub fn new(seed: u64) -> Self {
        IndependentGateways {
            rng: StdRng::seed_from_u64(seed),
            saved_retries: [MAX_SAVED_RETRIES; GATEWAY_COUNT],
        }
    }
}

impl AdmissionPolicy for IndependentGateways {
    fn tick(&mut self, _: Ms, _: Ms) {}

    fn stop_gateway(&mut self, _: usize) {}

    fn admits(&mut self, _: Ms, gateway: usize, _: &Turn, wait: Ms) -> bool {
        self.saved_retries[gateway] =
            (self.saved_retries[gateway] + RETRY_EARNED_PER_REQUEST).min(MAX_SAVED_RETRIES);
        let wait_ratio = wait as f64 / (FIRST_TOKEN_TARGET as f64 * SHED_ABOVE);
        wait_ratio <= 1.0 || self.rng.random::<f64>() >= (3.0 * (wait_ratio - 1.0)).min(0.95)
    }

    fn record_attempt(&mut self, _: Ms, _: usize, _: &Turn, _: bool) {}

    fn may_retry(&mut self, _: Ms, gateway: usize) -> bool {
        let allowed = self.saved_retries[gateway] >= QUICK_ERROR_RETRY_COST;
        self.saved_retries[gateway] -= if allowed { QUICK_ERROR_RETRY_COST } else { 0.0 };
        allowed
    }

    fn record_served(&mut self, _: Ms, _: usize, _: &Turn) {}
}
