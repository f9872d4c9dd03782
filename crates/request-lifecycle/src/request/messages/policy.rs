//! Policy of a request: retry safety, number of attempts and cancellation.

use serde::{Deserialize, Serialize};

/// Whether a request may be executed by servers more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RetrySafety {
    /// It may run any number of times: it has no side effects, or servers drop repeats by its idempotency key.
    #[serde(rename = "Freely")]
    Idempotent,
    /// It may run at most once: after an attempt that may have run, no other attempt may execute it.
    #[serde(rename = "Never")]
    AtMostOnce,
}

/// Policy of one request, fixed when the request arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestPolicy {
    /// Whether the request may be run again after an attempt that may have run.
    #[serde(rename = "repeat")]
    pub retry_safety: RetrySafety,
    /// Maximum number of attempts, counting both stages.
    #[serde(rename = "most")]
    pub max_attempts: usize,
    /// Whether the deployment allows cancelling an attempt in flight once its client no longer waits for the
    /// response.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
}
