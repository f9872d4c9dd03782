//! What is known of a server.

use std::collections::BTreeMap;

use super::{decayed, sanitize, FailureKind, RoutingStatistics, ServiceTime, Stage};
use crate::api::*;

#[derive(Default)]
pub struct Health {
    pub score: f64,
    pub ejections: u32,
    /// Ejected until then; afterwards on trial until an attempt sent since has succeeded.
    pub ejected_until: Millis,
    pub ejected_at: Millis,
    pub on_trial: bool,
    /// The symptom that ejected it.
    pub cause: Option<FailureKind>,
}

impl Health {
    /// Ejected at this time.
    pub fn is_ejected(&self, now: Millis) -> bool {
        self.on_trial && now < self.ejected_until
    }
    /// It could not be reached, which the panic threshold does not forgive.
    pub fn is_unreachable(&self) -> bool {
        matches!(self.cause, Some(FailureKind::Unresponsive | FailureKind::ConnectFailed))
    }
}

/// An attempt that waits for its read to end or its stream to begin: since when, how many that were sent later have moved
/// on, and its work in tokens.
pub struct PendingAttempt {
    pub sent_at: Millis,
    pub overtaken_by: u32,
    pub work: f64,
}

/// So many attempts that were sent later and have moved on say that one is lost: its wait tells nothing of the queue.
const OVERTAKEN: u32 = 3;
/// Weight of a new wait.
const WAIT_BLEND: f64 = 0.3;

impl PendingAttempt {
    /// Whether its wait tells of its server.
    pub fn reflects_queue(&self) -> bool {
        self.overtaken_by < OVERTAKEN
    }
}

#[derive(Default)]
pub struct ServerRecord {
    pub entry: ServerEntry,
    pub role: Role,
    pub memory_tokens: f64,
    /// Attempts out, and those of them that wait.
    pub in_flight: u32,
    pub pending: BTreeMap<RequestId, PendingAttempt>,
    pub memory_share: Option<f64>,
    pub memory_reported_at: Millis,
    /// Own streams that the last report cannot know of: when sent, share of memory.
    pub unreported_streams: BTreeMap<RequestId, (Millis, f64)>,
    /// Time to the end of a read or to the first token, by work; and what of it was waiting.
    pub service_time: ServiceTime,
    pub queue_wait: Millis,
    pub health: Health,
    pub slow_start_since: Option<Millis>,
    pub recent_sends: (f64, Millis),
    pub send_credit: f64,
    pub credit_updated_at: Millis,
    /// Last sign of life of any kind, and last time that an attempt moved on there.
    pub last_heard_at: Millis,
    pub last_probed_at: Millis,
    /// Requests in flight there as it last said, and when; what this router sent there since counts on top.
    pub reported_load: Option<(f64, Millis)>,
    pub sent_since_report: f64,
    pub last_progress_at: Millis,
}

impl ServerRecord {
    /// Listed as ready, and not ejected.
    pub fn is_available(&self, now: Millis) -> bool {
        self.entry.state == ServerState::Ready && !self.health.is_ejected(now)
    }
    /// Listed as ready, and not ejected as unreachable.
    pub fn is_reachable(&self, now: Millis) -> bool {
        self.entry.state == ServerState::Ready
            && !(self.health.is_ejected(now) && self.health.is_unreachable())
    }
    /// What a report of its memory is still worth, from 1 (just now) to 0 (none yet), fading in that time.
    pub fn memory_report_confidence(&self, now: Millis, fades: Millis) -> f64 {
        self.memory_share.map_or(0.0, |_| ((self.memory_reported_at - now) / fades).exp())
    }
    /// Requests in flight there: what it said within this time, and what this router has sent there since.
    pub fn current_load(&self, now: Millis, within: Millis) -> Option<f64> {
        let (load, _) = self.reported_load.filter(|(_, at)| now <= at + within)?;
        Some(load + self.sent_since_report)
    }
    /// The time that a unit of work takes here. Of few samples all may have waited in a queue, which is no reason to
    /// refuse what an idle server could read: until there are enough its role's speak, and before those nobody.
    pub fn time_per_token(&self, role: ServiceTime, enough: u32) -> f64 {
        let known = [self.service_time, role].into_iter().find(|p| p.samples >= enough);
        known.map_or(0.0, |p| p.per_token)
    }
    /// An attempt of this request goes out to it, which leaves it this much of its credit. `work` in tokens, `weight` in
    /// usual requests; `fades` (ms): the memory of its sends.
    pub fn record_send(
        &mut self, id: RequestId, now: Millis, credit: f64, (work, weight, fades): (f64, f64, Millis),
    ) {
        self.in_flight += 1;
        self.sent_since_report += 1.0;
        self.recent_sends = (weight + decayed(self.recent_sends, now, fades), now);
        self.pending.insert(id, PendingAttempt { sent_at: now, overtaken_by: 0, work });
        (self.send_credit, self.credit_updated_at) = (credit, now);
    }
    /// An attempt of this request has come to its end.
    pub fn record_attempt_end(&mut self, id: RequestId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.pending.remove(&id);
        self.unreported_streams.remove(&id);
    }
    /// A read of this much work, sent then, has ended here.
    pub fn record_prefill(
        &mut self, learned: &mut RoutingStatistics, work: f64, elapsed: Millis, sent: Millis, now: Millis,
    ) {
        self.service_time.record(elapsed / work);
        self.record_wait(learned, (elapsed - work * self.service_time.per_token).max(0.0), sent, now);
        learned.service_time_by_stage[Stage::Prefill as usize].record(elapsed / work);
    }
    /// An attempt that was sent then has met this wait here.
    pub fn record_wait(&mut self, learned: &mut RoutingStatistics, wait: Millis, sent: Millis, now: Millis) {
        self.pending.values_mut().filter(|w| w.sent_at < sent).for_each(|w| w.overtaken_by += 1);
        self.queue_wait += WAIT_BLEND * (wait - self.queue_wait);
        let like = &mut learned.wait_by_role[self.role as usize];
        *like = (like.0 + WAIT_BLEND * (wait - like.0), now);
    }
    /// Takes in what it says of itself; `prompt`: mean tokens of a prompt.
    pub fn record_load_report(&mut self, report: LoadReport, prompt: f64, now: Millis) {
        self.last_heard_at = now;
        if let Some(load) = report.in_flight {
            (self.reported_load, self.sent_since_report) = (Some((sanitize(load), now)), 0.0);
        }
        // What waits for memory counts as if it held it: a full writer's share alone stops at the top.
        let waits = report
            .backlog_kilotokens
            .map(|k| sanitize(k) * 1000.0)
            .or(report.queue.map(|q| sanitize(q) * prompt));
        let Some(memory) =
            report.memory_share.map(|m| sanitize(m) + waits.unwrap_or(0.0) / self.memory_tokens)
        else {
            return;
        };
        if self.memory_share != Some(memory) {
            // A fresh figure: it knows of what was sent before the last sight of the old one.
            let known = self.memory_reported_at;
            self.unreported_streams.retain(|_, r| r.0 >= known);
            self.memory_share = Some(memory);
        }
        self.memory_reported_at = now;
    }
    /// Forgets what was measured of its speed.
    pub fn forget_measurements(&mut self) {
        (self.service_time, self.queue_wait) = (ServiceTime::default(), 0.0);
    }
    /// A new process runs there: cold, empty, and not to blame for what the old one did.
    pub fn restart(&mut self, since: Option<Millis>, now: Millis, credit: f64) {
        (self.health, self.memory_share, self.recent_sends) = (Health::default(), None, (0.0, now));
        self.reported_load = None;
        self.unreported_streams.clear();
        self.pending.clear();
        self.forget_measurements();
        self.enter_slow_start(since, now, credit);
    }
    /// A new process seems to run there: cold from this time on, with this part of a send earned.
    pub fn enter_slow_start(&mut self, since: Option<Millis>, now: Millis, credit: f64) {
        (self.slow_start_since, self.send_credit, self.credit_updated_at) = (since, credit, now);
    }
}
