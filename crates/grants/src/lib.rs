//! Which models a team may call: documents, a compiled table, versions that merge, leases of knowledge.
//!
//! Decisions and state only: no socket, no clock, no thread, no file. A driver goes through them like this:
//!
//! | when | what |
//! | --- | --- |
//! | at the start | [`versions::Replica::restore`] from the store, [`compiled::Table::compile`], [`revocation::Member::new`] |
//! | at a request, and before each attempt | the lease, then [`compiled::Table::check`], then the clock: [`revocation::Lease::apply`] |
//! | at [`compiled::Table::next_change`] | look again at streams under way: [`compiled::Decision::open_stream_policy`] |
//! | an admin's change | [`versions::Replica::propose`], [`dry_run::DryRun`], keep, [`versions::Replica::apply`], compile, swap, [`revocation::Member::record_change`], [`track`](revocation::Member::track) |
//! | what a member tells | [`versions::Replica::preview_merge`], keep, [`merge`](versions::Replica::merge), compile, swap, [`record_change`](revocation::Member::record_change), [`handle_response`](revocation::Member::handle_response) |
//!
//! The order within a line is what the promises of `docs/one-fleet.md` rest on: kept, then enforced, then told.

pub mod compiled;
pub mod document;
pub mod dry_run;
mod hierarchy;
pub mod reference;
pub mod revocation;
pub mod sections;
pub mod versions;
