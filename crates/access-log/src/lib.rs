//! The access log of a gateway: one JSON line per request with its outcome, and periodic lines with the counts of the
//! gateway's calls to servers and to discovery.
//!
//! A gateway writes these lines. `glenrail-log-report` parses them and attributes losses to their causes
//! ([`loss_report`]). Field names in the code state the value and its unit; serde attributes define the keys in the
//! log. This crate does no I/O.

#![deny(missing_docs)]

pub mod counts;
mod line;
pub mod loss_report;
mod record;

pub use record::{AttemptRecord, Release, RequestOutcome, RequestRecord, Stage, LINE_PREFIX};

#[cfg(test)]
mod tests;
