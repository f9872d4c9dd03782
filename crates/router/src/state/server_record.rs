//! State of a server: its list entry, load and health, and this router's own traffic to it.

use std::collections::BTreeMap;

use super::{sanitize, DecayingValue, Health, RoutingStatistics, ServiceTime, Stage, REQUEST_RATE_DECAY};
use crate::api::{LoadReport, Millis, RequestId, Role, ServerEntry, ServerState};

/// Number of later attempts that overtake an attempt before it is considered lost. The wait of a lost attempt
/// does not indicate the length of the queue.
const LOST_OVERTAKE_COUNT: u32 = 3;
/// Weight of a new sample in the moving means of the wait.
const WAIT_SMOOTHING_FACTOR: f64 = 0.3;

/// Attempt in flight that has neither completed its prefill nor produced its first token.
pub struct PendingAttempt {
    /// Time of the send.
    pub sent_at: Millis,
    /// Number of attempts that were sent to the same server later and progressed earlier.
    pub overtaken_by: u32,
    /// Prefill work of the attempt, in tokens.
    pub work_tokens: f64,
}

impl PendingAttempt {
    /// Returns whether the wait of the attempt indicates the length of the server's queue.
    pub fn reflects_queue(&self) -> bool {
        self.overtaken_by < LOST_OVERTAKE_COUNT
    }
}

/// Stream of this router that is not included in the server's last memory report.
#[derive(Clone, Copy, Debug)]
pub struct UnreportedStream {
    /// Time at which the decode attempt was sent.
    pub sent_at: Millis,
    /// Share of the server's memory that the stream will use.
    pub memory_share: f64,
}

/// Load of a server according to its last report.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    /// Number of requests in flight at the server, from all routers.
    pub in_flight: f64,
    /// Time at which the report was received.
    pub reported_at: Millis,
}

/// Work of an attempt, and the credit that remains after its send.
#[derive(Clone, Copy, Debug)]
pub struct SentWork {
    /// Prefill work of the attempt, in tokens.
    pub tokens: f64,
    /// Work as a multiple of a typical request; 1 at a decode server.
    pub relative_work: f64,
    /// Slow-start credit that remains after the send, in sends.
    pub remaining_credit: f64,
}

/// Measurement of a completed prefill.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSample {
    /// Work of the prefill, in tokens.
    pub work_tokens: f64,
    /// Time from the send to the end, including the wait in the server's queue.
    pub elapsed: Millis,
    /// Time of the send.
    pub sent_at: Millis,
}

/// State of a server at this router.
#[derive(Default)]
pub struct ServerRecord {
    /// Entry in the server list.
    pub entry: ServerEntry,
    /// Stages that the server executes.
    pub role: Role,
    /// Capacity of the memory for request state, in tokens.
    pub memory_tokens: f64,
    /// Number of this router's attempts in flight at the server.
    pub in_flight: u32,
    /// This router's attempts in flight that have neither completed their prefill nor produced a first token.
    pub pending: BTreeMap<RequestId, PendingAttempt>,
    /// Share of memory in use or waited for, according to the last report; at least 1 after a rejection for
    /// lack of capacity; `None` before both.
    pub memory_share: Option<f64>,
    /// Time of the last memory report or rejection for lack of capacity, or else of the first listing.
    pub memory_reported_at: Millis,
    /// Streams of this router that are not included in the last memory report.
    pub unreported_streams: BTreeMap<RequestId, UnreportedStream>,
    /// Time for a token of prefill work, without the wait in the queue. At a mixed server it is measured up
    /// to the first token.
    pub service_time: ServiceTime,
    /// Moving mean of the wait in the queue.
    pub queue_wait: Millis,
    /// Failure score and ejection state.
    pub health: Health,
    /// Beginning of slow start; `None` if it was already over when the server was first listed.
    pub slow_start_since: Option<Millis>,
    /// Recent sends of this router, as multiples of a typical request.
    pub recent_sends: DecayingValue,
    /// Slow-start credit at `credit_updated_at`, in sends.
    pub send_credit: f64,
    /// Time at which the credit was last calculated.
    pub credit_updated_at: Millis,
    /// Time of the last load report, or else of the first listing.
    pub last_report_at: Millis,
    /// Time of the last probe.
    pub last_probed_at: Millis,
    /// Load according to the last report; `None` before the first report.
    pub reported_load: Option<ReportedLoad>,
    /// Number of attempts that this router has sent since the report in `reported_load`.
    pub sent_since_report: f64,
    /// Time at which an attempt of this router last succeeded or produced its first token, or else of the
    /// first listing.
    pub last_progress_at: Millis,
}

impl ServerRecord {
    /// Returns whether the server is listed as ready and is not ejected.
    pub fn is_available(&self, now: Millis) -> bool {
        self.entry.state == ServerState::Ready && !self.health.is_ejected(now)
    }

    /// Returns whether the server is listed as ready and is not ejected as unreachable.
    pub fn is_reachable(&self, now: Millis) -> bool {
        let ejected_as_unreachable = self.health.is_ejected(now) && self.health.is_unreachable();
        self.entry.state == ServerState::Ready && !ejected_as_unreachable
    }

    /// Returns the confidence in the memory report, from 1 for a new report to 0 if there is none. It decays
    /// to 1/e in `decay_time`.
    pub fn memory_report_confidence(&self, now: Millis, decay_time: Millis) -> f64 {
        self.memory_share.map_or(0.0, |_| ((self.memory_reported_at - now) / decay_time).exp())
    }

    /// Returns the requests in flight according to the last report, plus the sends of this router since then.
    /// Returns `None` if there is no report, or it is older than `max_age`.
    pub fn current_load(&self, now: Millis, max_age: Millis) -> Option<f64> {
        let report = self.reported_load.filter(|report| now <= report.reported_at + max_age)?;
        Some(report.in_flight + self.sent_since_report)
    }

    /// Returns the time for a token of work at this server, or 0 if it is unknown.
    ///
    /// With fewer than `min_samples`, all samples may include a wait in the queue and would cause the
    /// rejection of requests that an idle server could serve in time. In this case the estimate for the whole
    /// role is used, if it has enough samples.
    pub fn time_per_token(&self, role: ServiceTime, min_samples: u32) -> Millis {
        let known = [self.service_time, role].into_iter().find(|estimate| estimate.samples >= min_samples);
        known.map_or(0.0, |estimate| estimate.per_token)
    }

    /// Records the send of an attempt of this request to the server.
    pub fn record_send(&mut self, id: RequestId, work: SentWork, now: Millis) {
        self.in_flight += 1;
        self.sent_since_report += 1.0;
        self.recent_sends.add(work.relative_work, now, REQUEST_RATE_DECAY);
        let attempt = PendingAttempt { sent_at: now, overtaken_by: 0, work_tokens: work.tokens };
        self.pending.insert(id, attempt);
        self.send_credit = work.remaining_credit;
        self.credit_updated_at = now;
    }

    /// Records the end of an attempt of this request.
    pub fn record_attempt_end(&mut self, id: RequestId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.pending.remove(&id);
        self.unreported_streams.remove(&id);
    }

    /// Records the end of a prefill.
    pub fn record_prefill(&mut self, sample: PrefillSample, statistics: &mut RoutingStatistics, now: Millis) {
        let PrefillSample { work_tokens, elapsed, sent_at } = sample;
        self.service_time.record(elapsed / work_tokens);
        let wait = (elapsed - work_tokens * self.service_time.per_token).max(0.0);
        self.record_wait(wait, sent_at, statistics, now);
        statistics.record_service_time(Stage::Prefill, elapsed / work_tokens);
    }

    /// Records the wait of an attempt in the queue. The attempt overtakes all pending attempts sent before
    /// it.
    pub fn record_wait(
        &mut self, wait: Millis, sent_at: Millis, statistics: &mut RoutingStatistics, now: Millis,
    ) {
        for overtaken in self.pending.values_mut().filter(|pending| pending.sent_at < sent_at) {
            overtaken.overtaken_by += 1;
        }
        self.queue_wait += WAIT_SMOOTHING_FACTOR * (wait - self.queue_wait);
        statistics.record_wait(self.role, wait, WAIT_SMOOTHING_FACTOR, now);
    }

    /// Records a load report. `mean_prompt_tokens` converts a queue length in requests to tokens.
    pub fn record_load_report(&mut self, report: LoadReport, mean_prompt_tokens: f64, now: Millis) {
        self.last_report_at = now;
        if let Some(in_flight) = report.in_flight {
            self.reported_load = Some(ReportedLoad { in_flight: sanitize(in_flight), reported_at: now });
            self.sent_since_report = 0.0;
        }
        let Some(memory_in_use) = report.memory_share else { return };
        // Tokens that wait for memory count as memory in use, because the reported share does not exceed 1.
        let waiting_tokens = match (report.backlog_kilotokens, report.queue) {
            (Some(kilotokens), _) => sanitize(kilotokens) * 1000.0,
            (None, Some(queue)) => sanitize(queue) * mean_prompt_tokens,
            (None, None) => 0.0,
        };
        let memory_share = sanitize(memory_in_use) + waiting_tokens / self.memory_tokens;
        if self.memory_share != Some(memory_share) {
            // A changed value is assumed to include the streams that were sent before the previous report or
            // rejection for lack of capacity. Later streams remain unreported.
            let included_before = self.memory_reported_at;
            self.unreported_streams.retain(|_, stream| stream.sent_at >= included_before);
            self.memory_share = Some(memory_share);
        }
        self.memory_reported_at = now;
    }

    /// Discards the measurements of the server's speed.
    pub fn discard_measurements(&mut self) {
        self.service_time = ServiceTime::default();
        self.queue_wait = 0.0;
    }

    /// Resets the record for a new server process. The process is in slow start, has not reported any load,
    /// and does not inherit the failures and measurements of the previous process.
    pub fn restart(&mut self, started: Option<Millis>, now: Millis, send_credit: f64) {
        self.health = Health::default();
        self.memory_share = None;
        self.recent_sends = DecayingValue::zero(now);
        self.reported_load = None;
        self.unreported_streams.clear();
        self.pending.clear();
        self.discard_measurements();
        self.enter_slow_start(started, now, send_credit);
    }

    /// Starts slow start as of `since`, with this fraction of a send as credit.
    pub fn enter_slow_start(&mut self, since: Option<Millis>, now: Millis, send_credit: f64) {
        self.slow_start_since = since;
        self.send_credit = send_credit;
        self.credit_updated_at = now;
    }
}
