//! Which models a team may call: documents, a compiled table, versions that merge, leases of knowledge.

pub mod compiled;
pub mod document;
pub mod dry_run;
mod generations;
pub mod parts;
pub mod revocation;
pub mod twin;
pub mod versions;
