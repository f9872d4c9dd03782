//! Sentinels: an attempt that a lease waits for is written while another connection to its server stands idle.
//!
//! What silences connections without an error strikes those that stand. After the write the sentinel is asked: its answer or its
//! silence tells what the attempt's own connection, which carries no second call, cannot
//! ([`evidence`](crate::evidence)). This module decides which connection is used and whether one more is opened; the caller
//! owns the pool and its limits.

/// The policy of this release.
pub const SENTINEL_POLICY: SentinelPolicy = SentinelPolicy::Kept;

/// Whether a connection is opened only to stand beside an attempt. Each one that is opened costs its server work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentinelPolicy {
    /// Where no idle connection would stand beside the attempt, one is opened.
    Kept,
    /// Only a connection that stands already is a sentinel.
    IfStanding,
}

impl SentinelPolicy {
    /// Whether a connection is opened beside an attempt while so many idle ones stand.
    pub fn opens_one(self, standing: usize) -> bool {
        self == SentinelPolicy::Kept && standing == 0
    }
}

/// Which of so many idle connections an attempt takes, counted from the one that became idle last; `None`: a new one.
///
/// The one that became idle last is left as the sentinel: it has worked since the other one was last used, so its silence speaks
/// against that one, too. The two take turns, so that neither reaches its idle time while there are attempts; further ones do.
pub fn connection_to_take(idle: usize) -> Option<usize> {
    match idle {
        0 => None,
        1 => Some(0),
        _ => Some(1),
    }
}

#[cfg(test)]
mod tests;
