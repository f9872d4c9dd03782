//! The access log: what became of each request, one JSON line a request, and what a gateway has asked of others so far.
//!
//! A gateway writes these lines; `glenrail-log-report` reads them back and lays what was lost to its causes
//! ([`loss_report`]). Field names in the code say what a value is and its unit; serde attributes bind the keys that stand
//! in the log. No I/O.

#![deny(missing_docs)]

pub mod counts;
mod line;
pub mod loss_report;
mod record;

pub use record::{AttemptRecord, Release, RequestOutcome, RequestRecord, Stage, LINE_PREFIX};

#[cfg(test)]
mod tests;
