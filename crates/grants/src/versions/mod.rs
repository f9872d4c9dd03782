//! Versions of parts: who changed what, knowing what; and merging without losing a change.
//!
//! Every change has a *dot*: the member that took it, that member's life, and a number. A part's cell holds what
//! its changes say now (its siblings), and a clock of all dots that they knew of. A change made knowing another
//! replaces it; two that did not know of each other stay side by side, in conflict, until a third knows both.
//! Merging two cells keeps what neither has seen replaced, so order, repetition and detours of messages make
//! no difference. Nothing is decided by time: a store copied back from yesterday holds dots that the others'
//! clocks cover, and a change made on it, in its new life, stands beside those that it did not know.
//!
//! The one condition: **a member never uses a life twice**. A change under a life that was used is found
//! ([`MergeOutcome::forked`], [`ReplicaError::IncarnationUsed`]) where the two versions meet, and both are kept.

mod entry;
mod error;
mod propose;
mod replica;
mod version_vector;
mod versioned_section;

pub use entry::{Entry, ENTRY_FORMAT, MAX_ENTRY_BYTES};
pub use error::{EntryError, ReplicaError};
pub use propose::Proposal;
pub use replica::{MergeOutcome, Replica};
pub use version_vector::{Dot, Origin, Version, VersionVector};
pub use versioned_section::{Sibling, VersionedSection};
