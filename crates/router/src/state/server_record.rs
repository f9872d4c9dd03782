//! What the router knows of one server: its list entry, its load and health, and its own traffic there.

use std::collections::BTreeMap;

use super::{sanitize, DecayingValue, Health, RoutingStatistics, ServiceTime, Stage, REQUEST_RATE_DECAY};
use crate::api::{LoadReport, Millis, RequestId, Role, ServerEntry, ServerState};

/// An attempt that this many later ones have overtaken is taken for lost, so its wait says nothing of the
/// queue.
const LOST_AFTER_OVERTAKEN: u32 = 3;
/// Weight of a new wait in the moving means.
const WAIT_BLEND: f64 = 0.3;

/// An attempt in flight that waits for the end of its prefill or for its first token.
pub struct PendingAttempt {
    /// When it was sent.
    pub sent_at: Millis,
    /// How many attempts that were sent to the same server later have got on before it.
    pub overtaken_by: u32,
    /// Its work, in tokens.
    pub work_tokens: f64,
}

impl PendingAttempt {
    /// Whether its wait shows the length of the server's queue.
    pub fn reflects_queue(&self) -> bool {
        self.overtaken_by < LOST_AFTER_OVERTAKEN
    }
}

/// A stream of this router that a server's last memory report cannot include.
#[derive(Clone, Copy, Debug)]
pub struct UnreportedStream {
    /// When it was sent.
    pub sent_at: Millis,
    /// Share of the server's memory that it will use.
    pub memory_share: f64,
}

/// Load of a server by its last report.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    /// Requests in flight at the server, from all routers.
    pub in_flight: f64,
    /// When the report came.
    pub reported_at: Millis,
}

/// What an attempt costs the server that it is sent to.
#[derive(Clone, Copy, Debug)]
pub struct SentWork {
    /// Its work, in tokens.
    pub tokens: f64,
    /// The same, in usual requests.
    pub relative: f64,
    /// Slow-start credit that it leaves, in whole sends.
    pub remaining_credit: f64,
}

/// A prefill that has ended.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSample {
    /// Its work, in tokens.
    pub work_tokens: f64,
    /// Time that it took, including its wait in the server's queue.
    pub elapsed: Millis,
    /// When it was sent.
    pub sent_at: Millis,
}

/// One server as this router knows it.
#[derive(Default)]
pub struct ServerRecord {
    /// Its entry in the server list.
    pub entry: ServerEntry,
    /// What it does.
    pub role: Role,
    /// Capacity of its memory for request state, in tokens.
    pub memory_tokens: f64,
    /// Attempts of this router in flight there.
    pub in_flight: u32,
    /// Those of them that wait for the end of their prefill or for their first token.
    pub pending: BTreeMap<RequestId, PendingAttempt>,
    /// Share of its memory in use by its last report, with what waits for memory; `None`: never reported.
    pub memory_share: Option<f64>,
    /// When its memory was last reported.
    pub memory_reported_at: Millis,
    /// Streams of this router that the last memory report cannot include.
    pub unreported_streams: BTreeMap<RequestId, UnreportedStream>,
    /// Time to the end of a prefill, or at a mixed server to the first token, without the wait.
    pub service_time: ServiceTime,
    /// Moving mean of the wait before that.
    pub queue_wait: Millis,
    /// Its failures and its ejection.
    pub health: Health,
    /// Start of its slow start; `None`: so long ago that it is over.
    pub slow_start_since: Option<Millis>,
    /// What this router has sent there of late, in usual requests.
    pub recent_sends: DecayingValue,
    /// Slow-start credit at `credit_updated_at`, in whole sends.
    pub send_credit: f64,
    /// When that credit was last reckoned.
    pub credit_updated_at: Millis,
    /// Last sign of life of any kind.
    pub last_heard_at: Millis,
    /// Last probe.
    pub last_probed_at: Millis,
    /// Its load by its last report.
    pub reported_load: Option<ReportedLoad>,
    /// What this router has sent there since that report; it counts on top of it.
    pub sent_since_report: f64,
    /// Last time that an attempt of this router succeeded there or got its first token.
    pub last_progress_at: Millis,
}

impl ServerRecord {
    /// Whether it is listed as ready and not ejected.
    pub fn is_available(&self, now: Millis) -> bool {
        self.entry.state == ServerState::Ready && !self.health.is_ejected(now)
    }

    /// Whether it is listed as ready and not ejected as unreachable.
    pub fn is_reachable(&self, now: Millis) -> bool {
        let ejected_as_unreachable = self.health.is_ejected(now) && self.health.is_unreachable();
        self.entry.state == ServerState::Ready && !ejected_as_unreachable
    }

    /// Confidence in its memory report, from 1 (just reported) down to 0 (never reported); it falls to 1/e in
    /// `decay_time`.
    pub fn memory_report_confidence(&self, now: Millis, decay_time: Millis) -> f64 {
        self.memory_share.map_or(0.0, |_| ((self.memory_reported_at - now) / decay_time).exp())
    }

    /// Requests in flight there: by a report no older than `max_age`, and what this router has sent since.
    pub fn current_load(&self, now: Millis, max_age: Millis) -> Option<f64> {
        let report = self.reported_load.filter(|report| now <= report.reported_at + max_age)?;
        Some(report.in_flight + self.sent_since_report)
    }

    /// Milliseconds that a token of work takes here; 0 while that is unknown.
    ///
    /// Of a few samples all may have waited in a queue, which is no reason to reject what an idle server
    /// could do. So below `min_samples` the estimate for its whole role is used, and below that none.
    pub fn time_per_token(&self, role: ServiceTime, min_samples: u32) -> Millis {
        let known = [self.service_time, role].into_iter().find(|estimate| estimate.samples >= min_samples);
        known.map_or(0.0, |estimate| estimate.per_token)
    }

    /// Notes that an attempt of this request is sent to it.
    pub fn record_send(&mut self, id: RequestId, work: SentWork, now: Millis) {
        self.in_flight += 1;
        self.sent_since_report += 1.0;
        self.recent_sends.add(work.relative, now, REQUEST_RATE_DECAY);
        let attempt = PendingAttempt { sent_at: now, overtaken_by: 0, work_tokens: work.tokens };
        self.pending.insert(id, attempt);
        self.send_credit = work.remaining_credit;
        self.credit_updated_at = now;
    }

    /// Notes that an attempt of this request has come to its end.
    pub fn record_attempt_end(&mut self, id: RequestId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.pending.remove(&id);
        self.unreported_streams.remove(&id);
    }

    /// Notes the end of a prefill.
    pub fn record_prefill(&mut self, sample: PrefillSample, statistics: &mut RoutingStatistics, now: Millis) {
        let PrefillSample { work_tokens, elapsed, sent_at } = sample;
        self.service_time.record(elapsed / work_tokens);
        let wait = (elapsed - work_tokens * self.service_time.per_token).max(0.0);
        self.record_wait(wait, sent_at, statistics, now);
        statistics.record_service_time(Stage::Prefill, elapsed / work_tokens);
    }

    /// Notes the wait before the service of an attempt, which overtakes all attempts sent before it.
    pub fn record_wait(
        &mut self, wait: Millis, sent_at: Millis, statistics: &mut RoutingStatistics, now: Millis,
    ) {
        for overtaken in self.pending.values_mut().filter(|pending| pending.sent_at < sent_at) {
            overtaken.overtaken_by += 1;
        }
        self.queue_wait += WAIT_BLEND * (wait - self.queue_wait);
        statistics.record_wait(self.role, wait, WAIT_BLEND, now);
    }

    /// Takes a load report in. `mean_prompt_tokens` turns a queue of requests into tokens.
    pub fn record_load_report(&mut self, report: LoadReport, mean_prompt_tokens: f64, now: Millis) {
        self.last_heard_at = now;
        if let Some(in_flight) = report.in_flight {
            self.reported_load = Some(ReportedLoad { in_flight: sanitize(in_flight), reported_at: now });
            self.sent_since_report = 0.0;
        }
        let Some(memory_in_use) = report.memory_share else { return };
        // What waits for memory counts as if it used it: the share alone stops at 1 at a server that is full.
        let waiting_tokens = match (report.backlog_kilotokens, report.queue) {
            (Some(kilotokens), _) => sanitize(kilotokens) * 1000.0,
            (None, Some(queue)) => sanitize(queue) * mean_prompt_tokens,
            (None, None) => 0.0,
        };
        let memory_share = sanitize(memory_in_use) + waiting_tokens / self.memory_tokens;
        if self.memory_share != Some(memory_share) {
            // A new figure includes what was sent before the last report of the old one.
            let included_before = self.memory_reported_at;
            self.unreported_streams.retain(|_, stream| stream.sent_at >= included_before);
            self.memory_share = Some(memory_share);
        }
        self.memory_reported_at = now;
    }

    /// Drops what was measured of its speed.
    pub fn forget_measurements(&mut self) {
        self.service_time = ServiceTime::default();
        self.queue_wait = 0.0;
    }

    /// Starts afresh for a new process: in slow start, empty, and not to blame for the failures of the old
    /// one.
    pub fn restart(&mut self, started: Option<Millis>, now: Millis, send_credit: f64) {
        self.health = Health::default();
        self.memory_share = None;
        self.recent_sends = DecayingValue::zero(now);
        self.reported_load = None;
        self.unreported_streams.clear();
        self.pending.clear();
        self.forget_measurements();
        self.enter_slow_start(started, now, send_credit);
    }

    /// Enters slow start, as of `since`, with this part of a send as credit.
    pub fn enter_slow_start(&mut self, since: Option<Millis>, now: Millis, send_credit: f64) {
        self.slow_start_since = since;
        self.send_credit = send_credit;
        self.credit_updated_at = now;
    }
}
