//! Simulated servers of the large-fleet tests: processing times, load reports, and the peak load in relation
//! to overload.

use std::collections::BTreeSet;

use glenrail_router::*;

use crate::common::settings;

/// Interval at which a load report is renewed (ms).
const REPORT_INTERVAL: u64 = 300;
/// Fixed part of the duration of a prefill (ms).
const PREFILL_TIME: u64 = 20;
/// Duration of the prefill of 1,000 tokens that are not cached (ms).
const PREFILL_PER_1000_TOKENS: u64 = 50;
/// Length of each prompt, in tokens.
pub const PROMPT_TOKENS: u64 = 3_000;
/// Length of the shared prefix of each prompt, in tokens.
pub const PREFIX_TOKENS: u64 = 2_000;
/// Share of memory in use that a prefill server reports.
const PREFILL_MEMORY_SHARE: f64 = 0.1;
/// Number of streams that a decode server runs at a time. Further streams wait for a free slot.
const STREAM_SLOTS: usize = 40;
/// Duration of a stream (ms).
const STREAM_TIME: u64 = 3_000;

/// Load report, with the values of its last renewal.
#[derive(Default)]
struct Report {
    in_flight: f64,
    memory_share: f64,
    made_at: u64,
}

impl Report {
    fn is_due(&self, now: u64) -> bool {
        now >= self.made_at + REPORT_INTERVAL
    }

    fn to_load_report(&self) -> LoadReport {
        let (in_flight, memory_share) = (Some(self.in_flight), Some(self.memory_share));
        LoadReport { in_flight, memory_share, ..LoadReport::default() }
    }
}

/// Returns the share of its capacity that a server has, depending on its start time.
fn capacity_share(started: Option<u64>, now: u64) -> f64 {
    let rules = settings().rules;
    let share = |started| {
        rules.slow_start_initial_share
            + (1.0 - rules.slow_start_initial_share) * (now - started) as f64 / rules.slow_start_window
    };
    started.map_or(1.0, share).min(1.0)
}

/// Returns the maximum number of sends to a server in any overload window since its start, as a share of the
/// number that overloads it. `rate_per_s` is its throughput at full capacity.
fn peak_share_of_overload(sent: &[u64], started: u64, rate_per_s: f64) -> f64 {
    let rules = settings().rules;
    let share = |start: u64| {
        let window = start..start + rules.overload_window as u64;
        let sent_within = sent.iter().filter(|time| window.contains(*time)).count() as f64;
        let capacity = capacity_share(Some(started), start);
        sent_within / (rules.overload_multiple * capacity * rate_per_s * rules.overload_window / 1_000.0)
    };
    sent.iter().filter(|time| **time >= started).map(|time| share(*time)).fold(0.0, f64::max)
}

pub struct PrefillServer {
    /// End times of the requests in flight.
    pub ends: Vec<u64>,
    report: Report,
    pub cached_prefixes: BTreeSet<u64>,
    /// Number of accepted prefills.
    pub prefills: usize,
    /// Factor by which prefills take longer.
    pub slowness: u64,
    /// Whether the server accepts requests and does not respond.
    pub is_unresponsive: bool,
    /// Whether the server immediately responds to every request with an error.
    pub fails_at_once: bool,
    /// Start time; `None` if the server started before the run.
    pub started: Option<u64>,
    /// Times of the sends to the server.
    pub sent: Vec<u64>,
}

impl PrefillServer {
    pub fn new(started: Option<u64>) -> Self {
        PrefillServer {
            ends: Vec::new(),
            report: Report { memory_share: PREFILL_MEMORY_SHARE, ..Report::default() },
            cached_prefixes: BTreeSet::new(),
            prefills: 0,
            slowness: 1,
            is_unresponsive: false,
            fails_at_once: false,
            started,
            sent: Vec::new(),
        }
    }

    /// Accepts a prefill, and returns its end time.
    pub fn accept(&mut self, prefix: u64, now: u64) -> u64 {
        let cached_tokens = if self.cached_prefixes.insert(prefix) { 0 } else { PREFIX_TOKENS };
        let tokens = PROMPT_TOKENS - cached_tokens;
        let work_time = (PREFILL_TIME + tokens * PREFILL_PER_1000_TOKENS / 1_000) * self.slowness;
        let work_time = (work_time as f64 / capacity_share(self.started, now)) as u64;
        let end = self.ends.iter().copied().max().unwrap_or(0).max(now) + work_time;
        self.prefills += 1;
        self.ends.push(end);
        end
    }

    pub fn load_report(&mut self, now: u64) -> LoadReport {
        self.ends.retain(|end| *end > now);
        if self.report.is_due(now) {
            let in_flight = self.ends.len() as f64;
            self.report = Report { in_flight, memory_share: PREFILL_MEMORY_SHARE, made_at: now };
        }
        self.report.to_load_report()
    }

    /// Returns the maximum number of sends in any overload window, as a share of the number that overloads
    /// the server, or 0 if the server did not start during the run.
    pub fn peak_share_of_overload(&self) -> f64 {
        let prefill_time = PREFILL_TIME + (PROMPT_TOKENS - PREFIX_TOKENS) * PREFILL_PER_1000_TOKENS / 1_000;
        let rate_per_s = 1_000.0 / prefill_time as f64;
        self.started.map_or(0.0, |started| peak_share_of_overload(&self.sent, started, rate_per_s))
    }
}

pub struct DecodeServer {
    /// End times of the streams that run or wait.
    pub ends: Vec<u64>,
    report: Report,
    /// Start time; `None` if the server started before the run.
    pub started: Option<u64>,
    /// Times of the sends to the server.
    pub sent: Vec<u64>,
}

impl DecodeServer {
    pub fn new(started: Option<u64>) -> Self {
        DecodeServer { ends: Vec::new(), report: Report::default(), started, sent: Vec::new() }
    }

    /// Accepts a stream, and returns the time at which it begins, which is when a slot is free.
    pub fn accept(&mut self, now: u64) -> u64 {
        self.sent.push(now);
        self.ends.retain(|end| *end > now);
        self.ends.sort_unstable();
        let begin = self.ends.len().checked_sub(STREAM_SLOTS).map_or(now, |index| self.ends[index]);
        let stream_time = (STREAM_TIME as f64 / capacity_share(self.started, now)) as u64;
        self.ends.push(begin + stream_time);
        begin
    }

    pub fn load_report(&mut self, now: u64) -> LoadReport {
        self.ends.retain(|end| *end > now);
        if self.report.is_due(now) {
            let streams = self.ends.len() as f64;
            let memory_share = (streams / STREAM_SLOTS as f64).min(1.0);
            self.report = Report { in_flight: streams, memory_share, made_at: now };
        }
        self.report.to_load_report()
    }

    /// Returns the maximum number of sends in any overload window, as a share of the number that overloads
    /// the server, or 0 if the server did not start during the run.
    pub fn peak_share_of_overload(&self) -> f64 {
        let rate_per_s = STREAM_SLOTS as f64 * 1_000.0 / STREAM_TIME as f64;
        self.started.map_or(0.0, |started| peak_share_of_overload(&self.sent, started, rate_per_s))
    }
}
