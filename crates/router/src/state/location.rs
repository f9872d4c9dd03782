//! Where servers stand, and which of them share idempotency keys.

use crate::api::{DeduplicationScope, ServerEntry};

/// A zone, and a cell in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// The zone.
    pub zone: u32,
    /// The cell in that zone.
    pub cell: u32,
}

impl ServerEntry {
    /// Where this server stands.
    pub(crate) fn location(&self) -> Location {
        Location { zone: self.zone, cell: self.cell }
    }
}

impl DeduplicationScope {
    /// Whether a server at one location recognises an idempotency key that was used at the other.
    pub(crate) fn covers(self, one: Location, other: Location) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => one.zone == other.zone,
            DeduplicationScope::Cell => one == other,
        }
    }
}
