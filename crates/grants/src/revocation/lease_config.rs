//! What the operators' file says of leases.

use serde::{Deserialize, Serialize};

/// What a member does whose knowledge has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StalePolicy {
    /// Models marked restricted are refused, others go on by what was known last.
    #[default]
    RefuseRestricted,
    RefuseAll,
    /// By what was known last. A revocation then ends only where it is heard of.
    GoOn,
}

/// What a member starts from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreState {
    /// Its own store, with all that it ever confirmed.
    Intact,
    /// Nothing.
    Empty,
    /// A copy of its store, which may be older than what it confirmed. Enforced, and not trusted as a voter's.
    Restored,
}

/// The same at all members; checked by [`new`](LeaseConfig::new).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    lease_ms: u64,
    drift_ppm: u64,
    wait_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseConfigError {
    #[error("a lease of {lease_ms} ms is not from {min} to {max} ms")]
    LeaseOutOfRange { lease_ms: u64, min: u64, max: u64 },
    #[error("a drift of {drift_ppm} millionths is more than {max}")]
    DriftTooLarge { drift_ppm: u64, max: u64 },
    #[error("a wait of {wait_ms} ms before a start without grants is more than {max} ms")]
    WaitTooLong { wait_ms: u64, max: u64 },
}

impl LeaseConfigError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            LeaseConfigError::LeaseOutOfRange { .. } => {
                "choose how long a cut-off member may go on: 5000 ms suits most"
            }
            LeaseConfigError::DriftTooLarge { .. } => {
                "clocks that drift so much need mending; 1000 millionths are plenty"
            }
            LeaseConfigError::WaitTooLong { .. } => {
                "let it start sooner; `stale` says what it may do without grants"
            }
        }
    }
}

const MIN_LEASE_MS: u64 = 100;
const MAX_LEASE_MS: u64 = 3_600_000;
const MAX_DRIFT_PPM: u64 = 200_000;
const MAX_WAIT_MS: u64 = 600_000;

impl LeaseConfig {
    /// `lease`: how long an answer counts, ms. `drift`: by how many millionths any clock may run fast or
    /// slow. `wait`: how long an empty member asks before it is ready all the same, ms.
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

    /// How long this clock has to run until a lease on any other has surely ended, ms: this one may run
    /// fast, the other slow; and one more, for the parts of a millisecond that neither clock shows.
    pub fn lease_bound_ms(&self) -> u64 {
        (self.lease_ms + 1).saturating_mul(1_000_000 + self.drift_ppm).div_ceil(1_000_000 - self.drift_ppm)
            + 1
    }
}
