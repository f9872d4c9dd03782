//! Outlier detection by time-out: detects servers without progress, and attempts that are lost at a working
//! server.
//!
//! The state is the time of the last progress and of the last load report in each server's record. A server
//! that is terminated, disconnected or hung is ejected, and its attempts are cancelled in time for a retry.

use super::probes::PROBE_INTERVAL;
use super::Router;
use crate::api::{Action, Idempotency, Millis, RequestClass, Role, ServerId};
use crate::state::{Attempt, FailureKind, RequestState, ServerRecord, Stage};
use crate::{fleet_load, wait_estimate};

/// Maximum time without progress at a server, as a multiple of the shortest objective of all classes.
const OBJECTIVES_WITHOUT_PROGRESS: f64 = 3.0;
/// Upper bound of the objective of a class when the shortest objective is determined, as a share of the
/// deadline of the class.
const MAX_OBJECTIVE_DEADLINE_SHARE: f64 = 0.25;
/// Upper bound of the shortest objective of all classes (ms).
const MAX_OBJECTIVE: Millis = 1e6;
/// Factor by which the maximum time without progress is longer at a server that still sends load reports.
const REPORTING_TIMEOUT_FACTOR: f64 = 2.5;
/// Maximum age of the last load report of a server that still sends load reports (ms).
const MAX_REPORT_AGE: Millis = 2.0 * PROBE_INTERVAL;
/// Share of the objective in the time after which an attempt is lost if later attempts have overtaken it at
/// its server or if the server has restarted. The whole time is this share plus [`LOST_WORK_FACTOR`] times
/// the estimated time for the attempt's work.
const LOST_OBJECTIVE_SHARE: f64 = 0.3;
/// Factor on the estimated time for an attempt's work in the time after which the attempt is lost.
const LOST_WORK_FACTOR: f64 = 2.0;
/// Factor on [`LOST_OBJECTIVE_SHARE`] for a prefill that is the only attempt at its server while other
/// servers have progressed.
const SOLE_PREFILL_FACTOR: f64 = 2.0;

/// Time of the last progress of a server.
struct ServerProgress {
    server: ServerId,
    role: Role,
    last_progress_at: Millis,
}

/// Information that distinguishes a lost attempt from one that waits in a queue.
struct LostAttemptDetector {
    now: Millis,
    /// Progress of all servers; empty in a large fleet, where a router's own attempts are not representative.
    progress: Vec<ServerProgress>,
}

impl LostAttemptDetector {
    /// Returns whether an attempt in flight at this server is lost.
    fn is_lost_attempt(&self, server: &ServerRecord, request: &RequestState, attempt: &Attempt) -> bool {
        let is_overtaken =
            server.pending.get(&request.request.id).is_none_or(|pending| !pending.reflects_queue());
        if !is_overtaken && !self.is_stalled_sole_prefill(server, attempt) {
            return false;
        }
        let share = LOST_OBJECTIVE_SHARE * if is_overtaken { 1.0 } else { SOLE_PREFILL_FACTOR };
        let work_time = LOST_WORK_FACTOR * attempt.work_tokens * server.service_time.per_token;
        self.now > attempt.sent_at + share * request.first_token_objective() + work_time
    }

    /// Returns whether a prefill is the only attempt at its server, where no attempt can overtake it, and
    /// other servers of the same role have progressed since its send.
    fn is_stalled_sole_prefill(&self, server: &ServerRecord, attempt: &Attempt) -> bool {
        let has_progressed_elsewhere = |other: &ServerProgress| {
            other.server != attempt.server
                && other.role == server.role
                && other.last_progress_at > attempt.sent_at
        };
        server.pending.len() == 1
            && attempt.stage == Stage::Prefill
            && self.progress.iter().any(has_progressed_elsewhere)
    }
}

impl Router {
    /// Ejects servers that have been unresponsive for too long, and cancels attempts that are lost.
    ///
    /// A server without a fault that pauses for longer than the time-out is also ejected.
    pub(super) fn detect_timeouts(&mut self, actions: &mut Vec<Action>) {
        for id in self.unresponsive_servers() {
            self.record_failure(id, FailureKind::Unresponsive, actions);
        }
        let progress_of = |(id, server): (&ServerId, &ServerRecord)| ServerProgress {
            server: *id,
            role: server.role,
            last_progress_at: server.last_progress_at,
        };
        let progress = match fleet_load::is_large_fleet(self.router_count()) {
            true => Vec::new(),
            false => self.servers.iter().map(progress_of).collect(),
        };
        let detector = LostAttemptDetector { now: self.now, progress };
        let is_lost = |server: &ServerRecord, request: &RequestState, attempt: &Attempt| {
            detector.is_lost_attempt(server, request, attempt)
        };
        self.cancel_lost_attempts(is_lost, actions);
    }

    /// Returns the servers with an attempt that has waited for too long without any progress of the server.
    fn unresponsive_servers(&self) -> Vec<ServerId> {
        let objective_of =
            |class: &RequestClass| class.latency_objective.min(class.deadline * MAX_OBJECTIVE_DEADLINE_SHARE);
        let shortest_objective = self.settings.classes.iter().map(objective_of).fold(f64::MAX, f64::min);
        let progress_timeout = OBJECTIVES_WITHOUT_PROGRESS * shortest_objective.min(MAX_OBJECTIVE);
        let is_unresponsive = |server: &&ServerRecord| {
            let mut pending = server.pending.values();
            pending.any(|attempt| self.is_unresponsive_since(server, attempt.sent_at, progress_timeout))
        };
        self.servers.values().filter(is_unresponsive).map(|server| server.entry.server).collect()
    }

    /// Returns whether a server with work sent at `sent_at` has made no progress for longer than
    /// `progress_timeout`, and for longer than the work sent until then can take.
    fn is_unresponsive_since(
        &self, server: &ServerRecord, sent_at: Millis, progress_timeout: Millis,
    ) -> bool {
        let is_reporting = self.now < server.last_report_at + MAX_REPORT_AGE;
        let factor = if is_reporting { REPORTING_TIMEOUT_FACTOR } else { 1.0 };
        let has_waited = |time: Millis| self.now > sent_at.max(server.last_progress_at) + time;
        let busy_time =
            || wait_estimate::max_busy_time(server, &self.statistics, self.router_count(), sent_at);
        has_waited(factor * progress_timeout) && has_waited(busy_time())
    }

    /// Cancels the last attempt of each request if it `is_lost` and a retry is harmless, instead of waiting
    /// for its time-out. A prefill may always be repeated, because it has no side effects.
    pub(super) fn cancel_lost_attempts(
        &mut self, is_lost: impl Fn(&ServerRecord, &RequestState, &Attempt) -> bool,
        actions: &mut Vec<Action>,
    ) {
        if !self.settings.limits.cancellation {
            return;
        }
        for request in self.requests.values_mut().filter(|request| request.awaits_first_token()) {
            let Some(attempt) = request.attempts.last().filter(|attempt| attempt.in_flight) else { continue };
            let is_repeatable =
                attempt.stage == Stage::Prefill || request.class.idempotency == Idempotency::Idempotent;
            let Some(server) = self.servers.get(&attempt.server) else { continue };
            if is_repeatable && is_lost(server, request, attempt) {
                request.cancel_attempts(actions);
            }
        }
    }
}
