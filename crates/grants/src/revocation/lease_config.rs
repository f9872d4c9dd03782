//! Settings of leases, and the state of the store that a member starts with.

use serde::{Deserialize, Serialize};

/// What a stale member does, that is a member whose lease has expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StalePolicy {
    /// Refuses calls to restricted models and serves other calls by the last known grants.
    #[default]
    RefuseRestricted,
    RefuseAll,
    /// Serves all calls by the last known grants. A revocation then takes effect only on the members that
    /// receive it.
    GoOn,
}

/// The state of the store that a member starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreState {
    /// The member's own store, with everything that it ever confirmed.
    Intact,
    /// No store.
    Empty,
    /// A copy of the store, which may be older than what the member confirmed. Its rules are enforced, but as
    /// a voter the member is not trusted to have all that it confirmed.
    Restored,
}

/// Settings of leases, which must be the same on all members. [`new`](LeaseConfig::new) checks their range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    lease_ms: u64,
    drift_ppm: u64,
    wait_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseConfigError {
    #[error("the lease of {lease_ms} ms is not in the range from {min} to {max} ms")]
    LeaseOutOfRange { lease_ms: u64, min: u64, max: u64 },
    #[error("the clock drift of {drift_ppm} millionths exceeds the maximum of {max}")]
    DriftTooLarge { drift_ppm: u64, max: u64 },
    #[error("the wait of {wait_ms} ms before a start without grants exceeds the maximum of {max} ms")]
    WaitTooLong { wait_ms: u64, max: u64 },
}

impl LeaseConfigError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            LeaseConfigError::LeaseOutOfRange { .. } => {
                "choose how long a disconnected member may go on serving; 5000 ms suits most fleets"
            }
            LeaseConfigError::DriftTooLarge { .. } => {
                "correct the clocks if they drift that much; 1000 millionths are ample otherwise"
            }
            LeaseConfigError::WaitTooLong { .. } => {
                "set a shorter wait; `stale` determines what the member may do without grants"
            }
        }
    }
}

const MIN_LEASE_MS: u64 = 100;
const MAX_LEASE_MS: u64 = 3_600_000;
const MAX_DRIFT_PPM: u64 = 200_000;
const MAX_WAIT_MS: u64 = 600_000;

impl LeaseConfig {
    /// Creates the settings. `lease_ms` is the validity of a response, in ms. `drift_ppm` is the maximum
    /// deviation of any clock's rate, in millionths. `wait_ms` is how long a member without a store waits for
    /// a lease before it is ready without one, in ms.
    pub fn new(lease_ms: u64, drift_ppm: u64, wait_ms: u64) -> Result<LeaseConfig, LeaseConfigError> {
        if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&lease_ms) {
            return Err(LeaseConfigError::LeaseOutOfRange { lease_ms, min: MIN_LEASE_MS, max: MAX_LEASE_MS });
        }
        if drift_ppm > MAX_DRIFT_PPM {
            return Err(LeaseConfigError::DriftTooLarge { drift_ppm, max: MAX_DRIFT_PPM });
        }
        if wait_ms > MAX_WAIT_MS {
            return Err(LeaseConfigError::WaitTooLong { wait_ms, max: MAX_WAIT_MS });
        }
        Ok(LeaseConfig { lease_ms, drift_ppm, wait_ms })
    }

    pub fn lease_ms(&self) -> u64 {
        self.lease_ms
    }

    pub fn wait_ms(&self) -> u64 {
        self.wait_ms
    }

    /// Returns the time on this clock after which a lease that starts now on any other clock has certainly
    /// expired, in ms. This clock may run fast and the other one slow. One ms is added to each interval for
    /// the fractions that neither clock shows.
    pub fn lease_bound_ms(&self) -> u64 {
        (self.lease_ms + 1).saturating_mul(1_000_000 + self.drift_ppm).div_ceil(1_000_000 - self.drift_ppm)
            + 1
    }
}
