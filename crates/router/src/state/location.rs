//! Locations of servers, and the scope of idempotency keys.

use crate::api::{DeduplicationScope, ServerEntry};

/// Zone and cell of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Index of the zone.
    pub zone: u32,
    /// Index of the cell within the zone.
    pub cell: u32,
}

impl ServerEntry {
    /// Returns the location of this server.
    pub(crate) fn location(&self) -> Location {
        Location { zone: self.zone, cell: self.cell }
    }
}

impl DeduplicationScope {
    /// Returns whether a server at one location recognises an idempotency key that was used at the other.
    pub(crate) fn covers(self, one: Location, other: Location) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => one.zone == other.zone,
            DeduplicationScope::Cell => one == other,
        }
    }
}
