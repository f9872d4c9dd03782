//! What the operators' file says of leases.

use serde::{Deserialize, Serialize};

/// What a member does whose knowledge has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stale {
    /// Models marked restricted are refused, others go on by what was known last.
    #[default]
    RefuseRestricted,
    RefuseAll,
    /// By what was known last. A revocation then ends only where it is heard of.
    GoOn,
}

/// What a member starts from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Its own store, with all that it ever confirmed.
    Kept,
    /// Nothing.
    Empty,
    /// A copy of its store, which may be older than what it confirmed. Enforced, and not trusted as a voter's.
    Restored,
}

/// The same at all members; checked by [`new`](Terms::new).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    lease: u64,
    drift: u64,
    wait: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TermsError {
    #[error("a lease of {lease} ms is not from {least} to {max} ms")]
    Lease { lease: u64, least: u64, max: u64 },
    #[error("a drift of {drift} millionths is more than {max}")]
    Drift { drift: u64, max: u64 },
    #[error("a wait of {wait} ms before a start without grants is more than {max} ms")]
    Wait { wait: u64, max: u64 },
}

impl TermsError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            TermsError::Lease { .. } => "choose how long a cut-off member may go on: 5000 ms suits most",
            TermsError::Drift { .. } => "clocks that drift so much need mending; 1000 millionths are plenty",
            TermsError::Wait { .. } => "let it start sooner; `stale` says what it may do without grants",
        }
    }
}

const LEAST_LEASE: u64 = 100;
const MOST_LEASE: u64 = 3_600_000;
const MOST_DRIFT: u64 = 200_000;
const MOST_WAIT: u64 = 600_000;

impl Terms {
    /// `lease`: how long an answer counts, ms. `drift`: by how many millionths any clock may run fast or
    /// slow. `wait`: how long an empty member asks before it is ready all the same, ms.
    pub fn new(lease: u64, drift: u64, wait: u64) -> Result<Terms, TermsError> {
        if !(LEAST_LEASE..=MOST_LEASE).contains(&lease) {
            return Err(TermsError::Lease { lease, least: LEAST_LEASE, max: MOST_LEASE });
        }
        if drift > MOST_DRIFT {
            return Err(TermsError::Drift { drift, max: MOST_DRIFT });
        }
        if wait > MOST_WAIT {
            return Err(TermsError::Wait { wait, max: MOST_WAIT });
        }
        Ok(Terms { lease, drift, wait })
    }

    pub fn lease(&self) -> u64 {
        self.lease
    }

    pub fn wait(&self) -> u64 {
        self.wait
    }

    /// How long this clock has to run until a lease on any other has surely ended, ms: this one may run
    /// fast, the other slow; and one more, for the parts of a millisecond that neither clock shows.
    pub fn outlasts(&self) -> u64 {
        (self.lease + 1).saturating_mul(1_000_000 + self.drift).div_ceil(1_000_000 - self.drift) + 1
    }
}
