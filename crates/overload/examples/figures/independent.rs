//! Each gateway for itself, by the rules of `crates/router/src/policy/load_shedding.rs` and `crates/router/src/policy/retries.rs`: refused by chance where a
//! first token is expected late, and a retry is paid from a tenth of a retry that each request earns.

use glenrail_overload::Ms;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::policy::{Gates, Turn, AIM, GATEWAYS};

const LATEST: f64 = 0.7;
const EARN: f64 = 0.1;
const SAVED: f64 = 30.0;
/// What a retry after a quick error costs.
const LEAST: f64 = 0.1;

pub struct Lone {
    random: StdRng,
    retries: [f64; GATEWAYS],
}

impl Lone {
    pub fn new(seed: u64) -> Self {
        Lone { random: StdRng::seed_from_u64(seed), retries: [SAVED; GATEWAYS] }
    }
}

impl Gates for Lone {
    fn tick(&mut self, _: Ms, _: Ms) {}

    fn kill(&mut self, _: usize) {}

    fn admits(&mut self, _: Ms, gateway: usize, _: &Turn, wait: Ms) -> bool {
        self.retries[gateway] = (self.retries[gateway] + EARN).min(SAVED);
        let part = wait as f64 / (AIM as f64 * LATEST);
        part <= 1.0 || self.random.random::<f64>() >= (3.0 * (part - 1.0)).min(0.95)
    }

    fn sent(&mut self, _: Ms, _: usize, _: &Turn, _: bool) {}

    fn again(&mut self, _: Ms, gateway: usize) -> bool {
        let may = self.retries[gateway] >= LEAST;
        self.retries[gateway] -= if may { LEAST } else { 0.0 };
        may
    }

    fn served(&mut self, _: Ms, _: usize, _: &Turn) {}
}
