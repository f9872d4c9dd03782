//! Partition of the process's file descriptors and memory among clients, servers and operators.

use crate::admin::MAX_CONNECTIONS;
use crate::front::server::MAX_REJECTING_CONNECTIONS;

/// File descriptors reserved for the process itself: standard streams, runtime, signals, listeners and their copies for
/// a successor (17 in total with both fronts), two connections to discovery (of the current poll and the next), the
/// sockets of the fleet, and a file being read.
pub(super) const RESERVED_DESCRIPTORS: usize = 24;
/// Number of fronts. Each briefly needs one more descriptor, between accepting a connection and closing the one evicted
/// for it.
const FRONTS: usize = 2;
/// Default limit on file descriptors.
pub(super) const DEFAULT_SOCKETS: usize = 1024;
/// Default memory limit, in mebibytes.
pub(super) const DEFAULT_MEMORY_MB: usize = 192;
/// Minimum memory limit, in mebibytes. With less, none remains for request bodies.
pub(super) const MIN_MEMORY_MB: usize = 16;
/// Divisor of the memory limit that gives the share of request bodies.
const REQUEST_BODIES_DIVISOR: usize = 4;
/// Divisor of the usable descriptors that gives the share of the operators' front, up to that front's own maximum.
const OPERATOR_CONNECTIONS_DIVISOR: usize = 8;

/// Limits on connections and memory, derived from the descriptors and memory that the process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum number of client connections, over all fronts.
    pub client_connections: usize,
    /// Maximum number of connections to servers.
    pub server_connections: usize,
    /// Maximum number of operators' connections.
    pub operators: usize,
    /// Maximum total size of the request bodies in memory, in bytes.
    pub bodies: usize,
}

impl Bounds {
    /// Computes the limits so that the connections of clients, servers and operators together, including those being
    /// rejected, never use the descriptors reserved for the process itself.
    pub fn new(sockets: usize, memory_mb: usize) -> Self {
        let usable = sockets.saturating_sub(RESERVED_DESCRIPTORS + FRONTS);
        let operators = (usable / OPERATOR_CONNECTIONS_DIVISOR).clamp(1, MAX_CONNECTIONS);
        let usable = usable.saturating_sub(operators + operators.min(MAX_REJECTING_CONNECTIONS) + 1);
        // Besides its connections, a front may have as many more in rejection, up to `MAX_REJECTING_CONNECTIONS`.
        let share = (usable.saturating_sub(FRONTS * MAX_REJECTING_CONNECTIONS) / 2).max(usable / 3).max(2);
        Bounds {
            client_connections: share,
            server_connections: share,
            operators,
            bodies: memory_mb.max(MIN_MEMORY_MB) * (1 << 20) / REQUEST_BODIES_DIVISOR,
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds::new(DEFAULT_SOCKETS, DEFAULT_MEMORY_MB)
    }
}
