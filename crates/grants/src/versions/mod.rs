//! Versions of sections: which changes each change replaces, and a merge that loses no change.
//!
//! Every change has a *dot*: the member that accepted it, that member's incarnation, and a number. The
//! versioned section holds the content of its current changes (the siblings) and a version vector of all dots
//! that it includes. A change made with knowledge of another change replaces it. Two changes made without
//! knowledge of each other remain as siblings, in conflict, until a third change includes both. A merge keeps
//! every sibling that neither side has replaced, so the order, repetition and routing of messages make no
//! difference. Timestamps play no role: a store restored from an old copy holds dots that the other members'
//! version vectors include, and a change made on it, in its new incarnation, is in conflict with the changes
//! that it did not include.
//!
//! The one requirement is that **a member never uses an incarnation twice**. If two changes with the
//! same dot meet while both are siblings, the violation is detected ([`MergeOutcome::forked`]) and both are
//! kept; if one side has already replaced its change, the other one is dropped. A restart with an incarnation
//! that is not above those in the store fails ([`ReplicaError::IncarnationUsed`]).

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
