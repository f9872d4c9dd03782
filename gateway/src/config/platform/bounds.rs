//! How the process's descriptors and memory are shared out.

use crate::admin::MAX_CONNECTIONS;
use crate::front::server::MAX_REJECTING_CONNECTIONS;

/// Descriptors of the process's own: standard streams, the runtime's, signals', listeners and their copies for a
/// successor (17 are open with both fronts), the poll of discovery and the one after it, the fleet's, a file being read.
pub(super) const OWN_DESCRIPTORS: usize = 24;
/// Each front has one more for a moment, between an accept and the close of the connection that is evicted for it.
const FRONTS: usize = 2;
/// Descriptors of a process that is given no limit.
pub(super) const DEFAULT_SOCKETS: usize = 1024;
/// Memory in mebibytes of a process that is given no limit.
pub(super) const DEFAULT_MEMORY_MB: usize = 192;
/// With less memory, in mebibytes, none is left for bodies.
pub(super) const LEAST_MEMORY_MB: usize = 16;
/// Request bodies may take the memory divided by this.
const BODIES_DIVISOR: usize = 4;
/// The operators' front may take the descriptors divided by this, up to its own bound.
const OPERATORS_DIVISOR: usize = 8;

/// Descriptors and memory that the process may use, and how they are shared out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Connections of clients, at all fronts together.
    pub client_connections: usize,
    /// Connections to servers.
    pub server_connections: usize,
    /// Connections of operators.
    pub operators: usize,
    /// Bytes of request bodies in memory at once.
    pub bodies: usize,
}

impl Bounds {
    /// Whatever clients, servers and operators hold at once, connections that are being rejected included, the process
    /// keeps its own descriptors.
    pub fn new(sockets: usize, memory_mb: usize) -> Self {
        let usable = sockets.saturating_sub(OWN_DESCRIPTORS + FRONTS);
        let operators = (usable / OPERATORS_DIVISOR).clamp(1, MAX_CONNECTIONS);
        let usable = usable.saturating_sub(operators + operators.min(MAX_REJECTING_CONNECTIONS) + 1);
        // A front rejects at once as many connections more as it has, up to its bound.
        let share = (usable.saturating_sub(FRONTS * MAX_REJECTING_CONNECTIONS) / 2).max(usable / 3).max(2);
        Bounds {
            client_connections: share,
            server_connections: share,
            operators,
            bodies: memory_mb.max(LEAST_MEMORY_MB) * (1 << 20) / BODIES_DIVISOR,
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds::new(DEFAULT_SOCKETS, DEFAULT_MEMORY_MB)
    }
}
