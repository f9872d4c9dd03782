//! What a request is allowed: repeats, attempts and cancellation.

use serde::{Deserialize, Serialize};

/// Whether a request may run at servers more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RetrySafety {
    /// It may run any number of times: it changes nothing, or servers drop repeats by its idempotency key.
    #[serde(rename = "Freely")]
    Idempotent,
    /// It may run at most once: after an attempt that may have run, no other may execute it.
    #[serde(rename = "Never")]
    AtMostOnce,
}

/// Limits of one request, fixed when it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestPolicy {
    /// Whether a request that may have run may be run again.
    #[serde(rename = "repeat")]
    pub retry_safety: RetrySafety,
    /// Most attempts in all, of either stage.
    #[serde(rename = "most")]
    pub max_attempts: usize,
    /// Whether the deployment allows cancelling an attempt in flight whose answer nobody waits for any more.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
}
