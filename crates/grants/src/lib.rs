//! Grants: which teams may call which models, and how a change of the rules reaches every member of the
//! fleet.
//!
//! The crate holds decisions and state only. It opens no socket and no file, starts no thread and reads no
//! clock: the caller does the I/O and passes the time. The caller uses it at these points:
//!
//! | event | calls |
//! | --- | --- |
//! | startup | [`versions::Replica::restore`] from the store, [`compiled::Table::compile`], [`revocation::Member::new`] |
//! | a request, and before each attempt | read the lease, call [`compiled::Table::check`], read the clock, call [`revocation::Lease::apply`] |
//! | the time of [`compiled::Table::next_change`] | check open streams again: [`compiled::Decision::open_stream_policy`] |
//! | an administrator's change | [`versions::Replica::propose`], [`dry_run::DryRun`], write to disk, [`versions::Replica::apply`], compile, swap the table, [`revocation::Member::record_change`], [`track`](revocation::Member::track) |
//! | a sync response from another member | [`versions::Replica::preview_merge`], write to disk, [`merge`](versions::Replica::merge), compile, swap the table, [`record_change`](revocation::Member::record_change), [`handle_response`](revocation::Member::handle_response) |
//!
//! The calls of a row must be made in this order: a change is stored first, then enforced, and only then sent
//! or confirmed to other members. The guarantees in `docs/one-fleet.md` depend on it.

pub mod compiled;
pub mod document;
pub mod dry_run;
mod hierarchy;
pub mod reference;
pub mod revocation;
pub mod sections;
pub mod versions;
