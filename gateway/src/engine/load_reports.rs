//! Load reports in response heads, in comments of event streams and in responses to probes.
//!
//! A report that cannot be read is ignored and counted; it never affects the response that carries it.

use std::cell::Cell;

use glenrail_router::{LoadReport, ServerId};
use http::HeaderMap;

use crate::log;

/// Name of the header with the load report, and of the comment with it in a stream.
const LOAD_REPORT_NAME: &str = "srv-load";

/// A load report as received, or its absence.
#[derive(Clone, Copy, Debug, Default)]
pub enum ReceivedReport {
    /// The response carries no report.
    #[default]
    Absent,
    /// The response carries a report without any figure that can be read.
    Unreadable,
    /// The figures that can be read.
    Read(LoadReport),
}

impl ReceivedReport {
    /// Reads the report in the headers of a response.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        match headers.get(LOAD_REPORT_NAME) {
            Some(value) => ReceivedReport::from_bytes(value.as_bytes()),
            None => ReceivedReport::Absent,
        }
    }

    /// Reads the report in the body of a response to a probe. A body without a figure is no report.
    pub fn from_probe_body(body: &[u8]) -> Self {
        if body.contains(&b'=') {
            ReceivedReport::from_bytes(body)
        } else {
            ReceivedReport::Absent
        }
    }

    /// Reads the last readable report in the comments of an event stream.
    pub fn from_comments(lines: &str) -> Self {
        let mut received = ReceivedReport::Absent;
        for value in lines.lines().rev().filter_map(load_comment) {
            received = ReceivedReport::from_text(value);
            if matches!(received, ReceivedReport::Read(_)) {
                break;
            }
        }
        received
    }

    fn from_bytes(bytes: &[u8]) -> Self {
        std::str::from_utf8(bytes).map_or(ReceivedReport::Unreadable, ReceivedReport::from_text)
    }

    fn from_text(text: &str) -> Self {
        parse(text).map_or(ReceivedReport::Unreadable, ReceivedReport::Read)
    }

    /// Returns the report if it can be read.
    pub fn readable(self) -> Option<LoadReport> {
        match self {
            ReceivedReport::Read(report) => Some(report),
            ReceivedReport::Absent | ReceivedReport::Unreadable => None,
        }
    }
}

/// Parses a load report: an optional format name `TEXT`, then `name=value` pairs separated by commas. A value that is not a
/// finite number from 0 is left out. Returns `None` if no pair is left.
fn parse(text: &str) -> Option<LoadReport> {
    let mut pairs: Vec<(&str, f64)> = Vec::new();
    for pair in text.trim().trim_start_matches("TEXT").split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Ok(value) = value.trim().parse::<f64>() else { continue };
        if value.is_finite() && value >= 0.0 {
            pairs.push((name.trim(), value));
        }
    }
    if pairs.is_empty() {
        return None;
    }
    let value = |name: &str| pairs.iter().find(|pair| pair.0 == name).map(|pair| pair.1);
    Some(glenrail_settings::load_report(value))
}

/// Returns the value of a comment line with a load report; `None` for any other line.
fn load_comment(line: &str) -> Option<&str> {
    let (name, value) = line.strip_prefix(':')?.trim_start().split_once(':')?;
    name.eq_ignore_ascii_case(LOAD_REPORT_NAME).then_some(value)
}

/// Number of load reports of one pool's servers that could not be read.
#[derive(Debug, Default)]
pub struct UnreadableReports(Cell<u64>);

impl UnreadableReports {
    /// Returns the readable report, and counts and logs an unreadable one.
    pub fn check(&self, received: ReceivedReport, server: ServerId) -> Option<LoadReport> {
        if matches!(received, ReceivedReport::Unreadable) {
            self.0.set(self.0.get() + 1);
            log!("load report of server {:x} cannot be read; ignored", server.0);
        }
        received.readable()
    }

    /// Returns the count since the process started.
    pub fn count(&self) -> u64 {
        self.0.get()
    }
}

#[cfg(test)]
mod tests;
