//! Sentinels: idle connections to the server of an attempt that is to claim a lease, used to confirm the
//! delivery of the attempt.
//!
//! A failure that breaks connections without an error affects those that are open at that time. After the attempt
//! was written, a call on the sentinel shows whether there was such a failure; the attempt's own connection cannot
//! carry a second call ([`evidence`](crate::evidence)). This module decides which connection an attempt uses and
//! whether one more is opened; the caller owns the pool and its limits.

/// Sentinel policy of this version of the gateway.
pub const SENTINEL_POLICY: SentinelPolicy = SentinelPolicy::OpenIfNone;

/// Whether a connection may be opened only to serve as a sentinel. Each opened connection costs the server
/// work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentinelPolicy {
    /// A connection is opened if no idle one is available as a sentinel.
    OpenIfNone,
    /// Only connections that are already open serve as sentinels.
    ExistingOnly,
}

impl SentinelPolicy {
    /// Returns whether a sentinel is to be opened for an attempt while `idle` other connections are idle.
    pub fn should_open(self, idle: usize) -> bool {
        self == SentinelPolicy::OpenIfNone && idle == 0
    }
}

/// Returns which of `idle` connections an attempt uses, as an index counted from the one that became idle last; `None`
/// means a new connection.
///
/// The connection that became idle last remains as the sentinel: it has worked since the other one was last used,
/// so a missing answer on it also makes the other one doubtful. The two connections alternate, so neither reaches
/// the idle limit while attempts continue; any further ones do.
pub fn connection_to_take(idle: usize) -> Option<usize> {
    match idle {
        0 => None,
        1 => Some(0),
        _ => Some(1),
    }
}

#[cfg(test)]
mod tests;
