//! The servers of the large-fleet tests: how long they take, what they report, and how close to overload they
//! came.

use std::collections::BTreeSet;

use glenrail_router::*;

use crate::common::settings;

/// Interval at which load reports are renewed (ms).
const REPORT_INTERVAL: u64 = 300;
/// Time of a prefill (ms), and for each thousand tokens that are not cached.
const PREFILL_TIME: u64 = 20;
const PREFILL_PER_1000_TOKENS: u64 = 50;
/// Length of each prompt, and of its shared prefix, in tokens.
pub const PROMPT_TOKENS: u64 = 3_000;
pub const PREFIX_TOKENS: u64 = 2_000;
/// Share of its memory that a prefill server reports to be in use.
const PREFILL_MEMORY_SHARE: f64 = 0.1;
/// Streams that a decode server runs at a time, each for so long (ms). More of them wait for one to end.
const STREAM_SLOTS: usize = 40;
const STREAM_TIME: u64 = 3_000;

/// A load report, as it was when it was last renewed.
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

/// Share of its capacity that a server has which started then.
fn capacity_share(started: Option<u64>, now: u64) -> f64 {
    let rules = settings().rules;
    let share = |started| {
        rules.slow_start_initial_share
            + (1.0 - rules.slow_start_initial_share) * (now - started) as f64 / rules.slow_start_window
    };
    started.map_or(1.0, share).min(1.0)
}

/// The most that a server was sent in any overload window since it started, as a share of what overloads it.
/// `rate_per_s` is what it can do at full capacity.
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
    /// When each request in flight there will be done.
    pub ends: Vec<u64>,
    report: Report,
    pub cached_prefixes: BTreeSet<u64>,
    /// Prefills that it has got.
    pub prefills: usize,
    /// It takes so many times as long.
    pub slowness: u64,
    /// It accepts requests and answers nothing.
    pub is_unresponsive: bool,
    /// It answers every request at once, with an error.
    pub fails_at_once: bool,
    /// When it started, if that was during the run.
    pub started: Option<u64>,
    /// When it was sent a request, each.
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

    /// Accepts a prefill, and returns when it will be done.
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

    /// The most that it was sent in any overload window, as a share of what overloads it; 0 if it did not
    /// start during the run.
    pub fn peak_share_of_overload(&self) -> f64 {
        let prefill_time = PREFILL_TIME + (PROMPT_TOKENS - PREFIX_TOKENS) * PREFILL_PER_1000_TOKENS / 1_000;
        let rate_per_s = 1_000.0 / prefill_time as f64;
        self.started.map_or(0.0, |started| peak_share_of_overload(&self.sent, started, rate_per_s))
    }
}

pub struct DecodeServer {
    /// When each stream that it runs or that waits there will end.
    pub ends: Vec<u64>,
    report: Report,
    /// When it started, if that was during the run.
    pub started: Option<u64>,
    /// When it was sent a request, each.
    pub sent: Vec<u64>,
}

impl DecodeServer {
    pub fn new(started: Option<u64>) -> Self {
        DecodeServer { ends: Vec::new(), report: Report::default(), started, sent: Vec::new() }
    }

    /// Accepts a stream, and returns when it will begin: at once, or when a slot is free.
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

    /// The most that it was sent in any overload window, as a share of what overloads it; 0 if it did not
    /// start during the run.
    pub fn peak_share_of_overload(&self) -> f64 {
        let rate_per_s = STREAM_SLOTS as f64 * 1_000.0 / STREAM_TIME as f64;
        self.started.map_or(0.0, |started| peak_share_of_overload(&self.sent, started, rate_per_s))
    }
}
